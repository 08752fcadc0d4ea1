// Moves tasks off machines that are about to go.
#ifndef PITCHFALL_CORE_PARTITION_MACHINE_DRAINER_H_
#define PITCHFALL_CORE_PARTITION_MACHINE_DRAINER_H_

#include "core/model/machine.h"
#include "core/partition/machine_registry.h"
#include "core/state/context.h"

namespace pitchfall {

// The only writer of `BoundAttempt::drain_requested`; the responder sends the
// stops that follow.
class MachineDrainer {
 public:
  MachineDrainer(Context& context, const MachineRegistry& machines)
      : context_(context), machines_(machines) {}

  // Requests the eviction of tasks that should leave the machine now: replicas,
  // tasks with checkpoints that keep a cordoned machine alone, and before a
  // spot machine is taken whatever can still be saved.
  void Drain(Machine& machine);

 private:
  void DrainReplicas(Machine& machine);
  void DrainCheckpointed(Machine& machine);
  void SaveBeforePreemption(Machine& machine);
  bool WorthMoving(const Machine& machine) const;
  bool HasCapacityElsewhere(const Machine& machine, const JobSpec& spec) const;
  bool IsPreemptedSoon(const Machine& machine) const;
  // What a stop takes to reach the worker.
  Duration StopDelay() const;

  Context& context_;
  const MachineRegistry& machines_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_MACHINE_DRAINER_H_
