// Decides which job gets capacity first, and on which machine a task starts.
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

// Position of a job in the order; smaller comes first. The parts are: the class
// (0: waited too long to begin, 1: within its team's guarantee, 2: any other),
// the negated aged priority, the due time and the time of submission, both in
// ticks of WallTime.
using JobRank = std::tuple<int, int, int64_t, int64_t>;

// A job that has waited this long without any of its tasks having started comes
// before all others until one has: otherwise large jobs and jobs of low
// priority could wait for ever behind a stream of small and urgent ones.
inline constexpr Duration kStarvationAge = Millis(150000);
// Whether the job has waited that long and none of its tasks is assigned or
// done.
bool IsStarving(const Job& job, WallTime now);

// Returns the job's priority for the order of jobs, which rises as the job
// ages. Ageing never entitles a job to stop tasks of others, which depends on
// its own priority alone, but it protects the job's tasks from preemption (see
// ChooseVictims).
int AgedPriority(const Job& job, WallTime now);

// Returns all jobs that are not final in the order in which they should get
// capacity.
//
// Due times are those of the deadline and of the objectives of the job's class.
// Under overload not all of them can be met, and the order by earliest due time
// would make all jobs a little late. Therefore as many as possible of a team's
// jobs of one priority are planned to be on time, by Moore's algorithm: jobs
// are taken by due time, and whenever one would be late, the job with the most
// work so far is moved to its next due time. Jobs that can meet none come last.
std::vector<const Job*> OrderJobs(const StateCache& state_cache, WallTime now,
                                  const Deployment& deployment);

// The zones of one job's tasks at this moment, for jobs that must stay in one
// zone or be spread over zones.
struct ZoneUse {
  std::map<std::string, uint32_t> tasks;  // by zone
  uint32_t total = 0;
};

// Whether the job's constraints (spot machines, zone, machine type, one zone,
// spread) allow one more of its tasks on this machine, given the zones of its
// other tasks. Does not look at free capacity.
bool IsPlacementAllowed(const JobSpec& spec, const Machine& machine,
                        const ZoneUse& use);

// Returns the best of `machines` with capacity for one task of the job, or null
// if there is none. Machines in `avoid` are left out. `waiting` is the number
// of tasks that are still to be placed. The criteria, in this order:
//
// 1. With `urgent`, the machine where the task starts soonest.
// 2. A machine that has the image, then one that will have it anyway: a fetch
//    is paid once for all tasks that wait for it.
// 3. For a service, a machine without another of its replicas.
// 4. A machine where the task takes no slot from a larger one.
//    `largest_waiting_cpus` is the number of processors (in the unit of
//    Resources::cpus) of the largest task that waits, 0 if none is known.
//    Smaller tasks should fill machines where such a task would not fit,
//    because otherwise the capacity for many large ones would lie in fragments.
// 5. A spot machine, being cheaper.
// 6. If the image must be fetched, a machine with capacity for more of the
//    waiting tasks, so that they share the fetch.
// 7. The fullest machine, so that expensive and hardly used ones run empty and
//    can be returned.
Machine* ChooseMachine(const JobSpec& spec, uint32_t waiting,
                       const ZoneUse& use,
                       const std::vector<Machine*>& machines,
                       const std::set<std::string>& avoid, bool urgent = false,
                       int64_t largest_waiting_cpus = 0);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_SCHEDULING_PLACEMENT_H_
