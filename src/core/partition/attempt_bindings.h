// Updates each machine's bound attempts from the stored chunk records.
#ifndef PITCHFALL_CORE_PARTITION_ATTEMPT_BINDINGS_H_
#define PITCHFALL_CORE_PARTITION_ATTEMPT_BINDINGS_H_

#include <cstdint>

#include "core/model/job.h"
#include "core/partition/machine_registry.h"
#include "core/partition/reschedule_signal.h"
#include "core/scheduling/team_quota.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// Follows the assignments of one partition's chunks in the state cache, from
// construction to destruction, and updates the use of machines and team quota.
// The only class that adds to or removes from `Machine::bound`, and that writes
// `Machine::bound_images` and `Machine::used`.
class AttemptBindings : public ChunkListener {
 public:
  // Binds the attempts that are already stored: those of earlier owners of the
  // partition. `state_cache` and the other references must outlive this object.
  AttemptBindings(StateCache& state_cache, uint32_t partition,
                  MachineRegistry& machines, TeamQuota& quota,
                  RescheduleSignal& reschedule);
  ~AttemptBindings() override;
  AttemptBindings(const AttemptBindings&) = delete;
  AttemptBindings& operator=(const AttemptBindings&) = delete;

  // Unbinds assignments that are gone from the chunk's record, or whose chunk
  // has left this partition, and binds new ones. Requests a scheduling pass
  // whatever has changed.
  void OnChunkChanged(const Job& job, uint32_t chunk, const Job::Chunk* before,
                      const Job::Chunk* after) override;

 private:
  void Bind(const Job& job, const Assignment& assignment);
  void Unbind(const Job& job, const Assignment& assignment);

  StateCache& state_cache_;
  const uint32_t partition_;
  MachineRegistry& machines_;
  TeamQuota& quota_;
  RescheduleSignal& reschedule_;
  // True only in the constructor, while the attempts of earlier owners are
  // bound.
  bool loading_ = true;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_ATTEMPT_BINDINGS_H_
