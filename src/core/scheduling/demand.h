// Measures how much capacity the unfinished jobs ask for.
#ifndef PITCHFALL_CORE_SCHEDULING_DEMAND_H_
#define PITCHFALL_CORE_SCHEDULING_DEMAND_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/settings.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// The demand of all partitions or of one.
struct Demand {
  // Capacity for the running tasks and for the part of the admissible waiting
  // tasks that needs it now (see UrgentFraction).
  Resources requested;
  Resources ordinary_only;  // the part of it that may not run on spot machines
  uint32_t waiting = 0;     // admissible waiting tasks
  // The jobs of these tasks, in the order in which they get capacity; they
  // point into the state cache.
  std::vector<const Job*> waiting_jobs;
};

// Returns the fraction of a job's waiting tasks that must get capacity now for
// the job to be done in time: 1 for services, for jobs without a deadline or
// objective, and for jobs whose tasks should start at once; otherwise less, the
// more of its tasks can run one after another before the next due time.
double UrgentFraction(const Job& job, WallTime now,
                      const Deployment& deployment);

// Measures the capacity that unfinished jobs ask for. Waiting tasks are
// admissible as far as their team's limit allows beside the team's other tasks,
// in the order in which jobs get capacity. Of a job in `failing` no waiting
// task is admissible, or a single one if the job is a service. Each job's
// admissible tasks ask for capacity in proportion to UrgentFraction.
//
// With `partition`, only that partition's share counts: the running tasks that
// it has stored, and of the waiting tasks those in chunks that it owns. Without
// it, all partitions count.
Demand MeasureDemand(const StateCache& state_cache,
                     const Deployment& deployment,
                     const std::set<std::string>& failing, WallTime now,
                     uint32_t partition_count,
                     std::optional<uint32_t> partition);

// Returns the identifiers of the jobs that the partitions' stored load records
// list as failing.
std::set<std::string> FailingJobs(const StateCache& state_cache,
                                  uint32_t partition_count);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_SCHEDULING_DEMAND_H_
