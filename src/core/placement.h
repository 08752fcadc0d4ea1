// Which waiting job goes first, and on which machine a task goes.
#ifndef PITCHFALL_CORE_PLACEMENT_H_
#define PITCHFALL_CORE_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/jobs.h"
#include "core/machines.h"
#include "core/mirror.h"
#include "core/settings.h"
#include "core/time.h"

namespace pitchfall {

// Smaller goes first: guarantee, priority, deadline, age.
using JobRank = std::tuple<int, int, int64_t, int64_t>;

// When the job should be complete, as micros of the time of day: the earliest
// of its deadline and its class's objectives that can still be met, by the
// estimate and by what the team's limit lets run at once. A job that can meet
// none comes after all that can.
int64_t DueOf(const Job& job, WallTime now, const Deployment& deployment);

// All open jobs in the order in which they should get room.
std::vector<const Job*> OrderJobs(const Mirror& mirror, WallTime now,
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

// The best machine with room for one task among `machines`, or null, when
// `waiting` of them are to be placed. Machines that have the image come first,
// then those that are to get it anyhow: a fetch is paid once for all tasks that
// wait for it. Then cheap ones, then one with room for as many of them as can
// be, for the same reason; then the fullest, so that dear and hardly used ones
// run empty and can be returned. Machines in `avoid` are passed over.
Machine* ChooseMachine(const JobSpec& spec, uint32_t waiting,
                       const ZoneUse& use,
                       const std::vector<Machine*>& machines,
                       const std::set<std::string>& avoid);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PLACEMENT_H_
