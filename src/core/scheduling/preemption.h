// Selects running tasks that should stop to make capacity for more important
// work of their team.
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

// A task attempt that should stop.
struct Victim {
  std::string job;
  uint32_t task = 0;
  uint32_t attempt = 0;
  auto operator<=>(const Victim&) const = default;
};

// How a victim stops.
enum class StopKind : uint8_t {
  kSave,  // after it has saved a checkpoint
  // Without saving, because saving takes longer than the more important job can
  // wait: the work since the task's last checkpoint is lost.
  kWithoutSaving,
};

// For each team whose limit keeps jobs waiting, selects as many tasks as are
// needed, among those that can save their progress and whose job's aged
// priority is lower than the waiting job's own priority. Apart from `now`, the
// selection depends only on what all controllers share, the state cache and the
// deployment (`jobs_in_order` follows from these, see OrderJobs), so that
// owners of different partitions, who each stop their own tasks, arrive at the
// same one.
//
// Tasks that cannot save are left to finish: stopping them would lose more than
// the wait costs.
std::map<Victim, StopKind> ChooseVictims(
    const StateCache& state_cache, const Deployment& deployment,
    const std::vector<const Job*>& jobs_in_order, WallTime now);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_SCHEDULING_PREEMPTION_H_
