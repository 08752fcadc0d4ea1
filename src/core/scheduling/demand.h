// How much capacity the unfinished jobs ask for.
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

struct Demand {
  // Running tasks, and waiting ones as far as they press.
  Resources requested;
  Resources ordinary_only;  // the share of it that no spot machine may run
  uint32_t waiting = 0;     // admissible waiting tasks
  std::vector<const Job*> waiting_jobs;
};

// Which part of a job's waiting tasks must have capacity now if the job is to
// meet what is expected of it: 1 if there is no time to lose, less if its tasks
// can run one after another.
double Pressure(const Job& job, WallTime now, const Deployment& deployment);

// Waiting tasks are admissible as far as their team's limit allows beside the
// team's other tasks, in the order in which jobs get capacity. Jobs in
// `failing` ask for nothing beyond what is running. Each job's waiting tasks
// ask for capacity in proportion to their pressure. With `partition`, only the
// share of chunks that this partition has claimed or will be offered first.
Demand MeasureDemand(const StateCache& state_cache,
                     const Deployment& deployment,
                     const std::set<std::string>& failing, WallTime now,
                     uint32_t partition_count,
                     std::optional<uint32_t> partition);

// The jobs that the partitions' newest heartbeats call failing.
std::set<std::string> FailingJobs(const StateCache& state_cache,
                                  uint32_t partition_count);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_SCHEDULING_DEMAND_H_
