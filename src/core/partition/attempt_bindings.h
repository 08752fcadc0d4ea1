// Keeps each machine's bound attempts in step with the stored chunk records.
#ifndef PITCHFALL_CORE_PARTITION_ATTEMPT_BINDINGS_H_
#define PITCHFALL_CORE_PARTITION_ATTEMPT_BINDINGS_H_

#include <cstdint>

#include "core/model/job.h"
#include "core/partition/machine_registry.h"
#include "core/partition/reschedule_signal.h"
#include "core/scheduling/team_quota.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// Listens to the state cache as long as it exists. The only writer of
// `Machine::bound`, `bound_images` and `used`.
class AttemptBindings : public ChunkListener {
 public:
  // Loads what earlier owners have bound.
  AttemptBindings(StateCache& state_cache, uint32_t partition,
                  MachineRegistry& machines, TeamQuota& quota,
                  RescheduleSignal& reschedule);
  ~AttemptBindings() override;
  AttemptBindings(const AttemptBindings&) = delete;
  AttemptBindings& operator=(const AttemptBindings&) = delete;

  void OnChunk(const Job& job, uint32_t chunk, const Job::Chunk* before,
               const Job::Chunk* after) override;

 private:
  void Bind(const Job& job, const Assignment& assignment);
  void Unbind(const Job& job, const Assignment& assignment);

  StateCache& state_cache_;
  const uint32_t partition_;
  MachineRegistry& machines_;
  TeamQuota& quota_;
  RescheduleSignal& reschedule_;
  bool loading_ = true;  // while what earlier owners have bound is read in
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_ATTEMPT_BINDINGS_H_
