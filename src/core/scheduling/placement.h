// Which waiting job goes first, and on which machine a task goes.
#ifndef PITCHFALL_CORE_SCHEDULING_PLACEMENT_H_
#define PITCHFALL_CORE_SCHEDULING_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/base/time.h"
#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// Smaller goes first: guarantee, priority, due time, age.
using JobRank = std::tuple<int, int, int64_t, int64_t>;

// A job that has waited this long without any of its tasks having started goes
// before all others until one has: large jobs and unimportant ones must not
// wait for ever behind a stream of small and urgent ones.
inline constexpr Duration kMustBegin = Millis(150000);
bool MustBegin(const Job& job, WallTime now);

// The job's priority as far as the order goes; it rises as the job ages. Who
// may make capacity for whom follows from the job's own priority alone.
int AgedPriority(const Job& job, WallTime now);

// All open jobs in the order in which they should get capacity.
//
// Due times are those of the deadline and of the class's objectives. Under
// overload not all can be met, and going by the earliest would make all a
// little late. Of a team's jobs of one priority as many as possible are planned
// to be on time (Moore's algorithm: by due time, and whenever one would be
// late, the one with the most work so far steps back to its next due time);
// those that can meet none come last.
std::vector<const Job*> OrderJobs(const StateCache& state_cache, WallTime now,
                                  const Deployment& deployment);

// Where the tasks of one job are at this moment, for jobs that must stay in one
// zone or be spread over zones.
struct ZoneUse {
  std::map<std::string, uint32_t> tasks;
  uint32_t total = 0;
};

// Whether the job's rules allow one more of its tasks on this machine, given
// where its other tasks are.
bool Allowed(const JobSpec& spec, const Machine& machine, const ZoneUse& use);

// The best machine with capacity for one task among `machines`, or null, when
// `waiting` of them are to be placed. Machines that have the image come first,
// then those that are to get it anyhow: a fetch is paid once for all tasks that
// wait for it. Then cheap ones, then one with capacity for as many of them as
// can be, for the same reason; then the fullest, so that dear and hardly used
// ones run empty and can be returned. Machines in `avoid` are passed over. If
// it is `hurried`, the machine where it starts soonest comes first. Tasks of up
// to `widest` processors wait too: smaller ones rather go where none of them
// would fit, or capacity for many would stand free in pieces.
Machine* ChooseMachine(const JobSpec& spec, uint32_t waiting,
                       const ZoneUse& use,
                       const std::vector<Machine*>& machines,
                       const std::set<std::string>& avoid, bool hurried = false,
                       int64_t widest = 0);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_SCHEDULING_PLACEMENT_H_
