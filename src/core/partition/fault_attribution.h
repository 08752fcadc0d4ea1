// Acts on failures: which machines are quarantined, which jobs wait before they
// are tried again.
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

// Feeds stored outcomes of attempts to the failure tracker and carries out what
// follows. The only writer of `Machine::quarantined`.
class FaultAttribution {
 public:
  FaultAttribution(Outbox& out, const StateCache& state_cache,
                   MachineRegistry& machines)
      : out_(out), state_cache_(state_cache), machines_(machines) {}

  // A task of the job has completed on the machine.
  void RecordSuccess(const std::string& machine, const std::string& job);
  // A task of the job has ended in an error on the machine.
  void RecordFailure(const std::string& machine, const std::string& job);
  // A replica that had proven itself has ended on the machine.
  void RecordReplicaEnd(const std::string& machine, const std::string& job);
  // Replicas never complete. One that has run for a while stands for a task
  // that has, when faulty jobs are told from faulty machines.
  void RecordReplicaRuns(const Machine& machine, BoundAttempt& attempt);
  // The machine has been deleted.
  void ForgetMachine(const std::string& machine) {
    tracker_.ForgetMachine(machine);
  }

  // What has been learned, for whoever only asks.
  const FailureTracker& tracker() const { return tracker_; }

 private:
  void Quarantine(const std::string& name);

  Outbox& out_;
  const StateCache& state_cache_;
  MachineRegistry& machines_;
  FailureTracker tracker_;
  // Services of which a replica has run for a while.
  std::set<std::string> proven_services_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_FAULT_ATTRIBUTION_H_
