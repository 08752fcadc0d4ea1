// Evicts tasks from machines that are about to be deleted or preempted.
#ifndef PITCHFALL_CORE_PARTITION_MACHINE_DRAINER_H_
#define PITCHFALL_CORE_PARTITION_MACHINE_DRAINER_H_

#include "core/model/machine.h"
#include "core/partition/machine_registry.h"
#include "core/state/context.h"

namespace pitchfall {

// The only writer of `BoundAttempt::drain_requested`. WorkerResponder sends the
// stop commands that follow from it.
class MachineDrainer {
 public:
  MachineDrainer(Context& context, const MachineRegistry& machines)
      : context_(context), machines_(machines) {}

  // Requests the eviction of the tasks that should leave the machine now:
  // - replicas, if the machine is cordoned, quarantined or to be preempted;
  // - tasks with checkpoints, if they are all that keeps a cordoned machine in
  //   use;
  // - tasks that can still save a checkpoint before a spot machine is
  //   preempted.
  void Drain(Machine& machine);

 private:
  // Evicts replicas, which never end by themselves, as soon as another machine
  // has capacity for them; shortly before a preemption it evicts all of them.
  // Few are evicted at a time, so that the capacity found for each is still
  // free when it starts there.
  void DrainReplicas(Machine& machine);
  // Evicts the tasks of a cordoned machine if all of them can resume elsewhere
  // from a checkpoint: the machine stays rented until the last task is gone.
  void DrainCheckpointed(Machine& machine);
  // Evicts tasks with checkpoints once the time left before the preemption is
  // little more than they need to save.
  void SaveBeforePreemption(Machine& machine);
  // Whether moving all of the machine's tasks is worth its price: saving, a
  // fetch of the image and a new start. Every task must have checkpoints and
  // have run for a while, and at least one must have much work left.
  bool WorthMoving(const Machine& machine) const;
  // Whether another machine in the same zone, where the job's placement rules
  // certainly allow it, has capacity for one of its tasks.
  bool HasCapacityElsewhere(const Machine& machine, const JobSpec& spec) const;
  // Whether a stop command sent later might not arrive before the preemption.
  bool IsPreemptedSoon(const Machine& machine) const;
  // The time that a stop command may take to reach the worker.
  Duration StopDelay() const;

  Context& context_;
  const MachineRegistry& machines_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_MACHINE_DRAINER_H_
