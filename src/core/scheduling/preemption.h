// Which running tasks should make capacity for more important work of their
// team.
#ifndef PITCHFALL_CORE_SCHEDULING_PREEMPTION_H_
#define PITCHFALL_CORE_SCHEDULING_PREEMPTION_H_

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"

namespace pitchfall {

struct Victim {
  std::string job;
  uint32_t task = 0;
  uint32_t attempt = 0;
  auto operator<=>(const Victim&) const = default;
};

enum class StopKind : uint8_t {
  kSave,
  // Saving takes longer than what waits can: the work since the task's last
  // checkpoint is given up.
  kAtOnce,
};

// Where a team's limit keeps its more important jobs waiting, tasks of its less
// important ones that can save their progress, as many as are needed. The
// choice follows from the state cache alone: owners of different partitions,
// who each stop their own, arrive at the same one.
//
// Tasks that cannot save are left to finish: stopping them would throw away
// more than the wait costs.
std::map<Victim, StopKind> ChooseVictims(
    const StateCache& state_cache, const Deployment& deployment,
    const std::vector<const Job*>& jobs_in_order, WallTime now);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_SCHEDULING_PREEMPTION_H_
