// Quarantines machines that are at fault for failed tasks, and delays retries
// of jobs that are.
#ifndef PITCHFALL_CORE_PARTITION_FAULT_ATTRIBUTION_H_
#define PITCHFALL_CORE_PARTITION_FAULT_ATTRIBUTION_H_

#include <set>
#include <string>
#include <vector>

#include "core/model/outbox.h"
#include "core/partition/failure_tracker.h"
#include "core/partition/machine_registry.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// Passes the outcomes of attempts, once they are stored, to the failure
// tracker, and acts on its verdicts. The only class that writes
// `Machine::quarantined`.
class FaultAttribution {
 public:
  FaultAttribution(Outbox& outbox, const StateCache& state_cache,
                   MachineRegistry& machines)
      : outbox_(outbox), state_cache_(state_cache), machines_(machines) {}

  // Records that a task of the job has completed on the machine.
  void RecordSuccess(const std::string& machine, const std::string& job);
  // Records that a task of the job has ended in an error on the machine.
  void RecordFailure(const std::string& machine, const std::string& job);
  // Records that a replica has ended on the machine after it had run long
  // enough to count as proven.
  void RecordReplicaEnd(const std::string& machine, const std::string& job);
  // Marks the attempt as proven, and records a success, once it is a replica
  // that has run for a while. Replicas never complete, so this stands for the
  // completion of a task when faulty jobs are told from faulty machines.
  void MarkProvenReplica(const Machine& machine, BoundAttempt& attempt);
  // Drops what is known about the machine, which has been deleted.
  void ForgetMachine(const std::string& machine) {
    tracker_.ForgetMachine(machine);
  }

  // Drops what is known about jobs that have ended and machines that are gone.
  // To be called from time to time.
  void ForgetEnded();

  // The recorded failures, for reading only.
  const FailureTracker& tracker() const { return tracker_; }

 private:
  // Has no effect if the machine is unknown or already quarantined.
  void Quarantine(const std::string& name);

  Outbox& outbox_;
  const StateCache& state_cache_;
  MachineRegistry& machines_;
  FailureTracker tracker_;
  // Identifiers of services of which a replica has run for a while on any of
  // the partition's machines.
  std::set<std::string> proven_services_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_FAULT_ATTRIBUTION_H_
