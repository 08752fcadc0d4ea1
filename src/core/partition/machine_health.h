// Decides which machines are lost, and deletes those that are no longer usable
// or needed.
#ifndef PITCHFALL_CORE_PARTITION_MACHINE_HEALTH_H_
#define PITCHFALL_CORE_PARTITION_MACHINE_HEALTH_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/base/lifetime_guard.h"
#include "core/model/machine.h"
#include "core/partition/machine_registry.h"
#include "core/partition/ownership_term.h"
#include "core/partition/reschedule_signal.h"
#include "core/partition/worker_responder.h"
#include "core/state/context.h"

namespace pitchfall {

// The only writer of `Machine::cordoned`, `Machine::deleting` and
// `Machine::gone`, except that HeartbeatHandler clears `gone`, and `deleting`
// of a machine that was gone, when it accepts a heartbeat.
class MachineHealth {
 public:
  MachineHealth(Context& context, const OwnershipTerm& term,
                MachineRegistry& machines, WorkerResponder& responder,
                RescheduleSignal& reschedule)
      : context_(context),
        term_(term),
        machines_(machines),
        responder_(responder),
        reschedule_(reschedule) {}

  // Takes over from the state cache whether the leader wants the machine
  // returned to the cloud.
  void UpdateCordon(Machine& machine);
  // Marks the machine as gone once its worker's lease must have expired, which
  // proves that no task bound to it runs any more.
  void UpdateLease(Machine& machine);
  // Whether the machine can be removed from the registry: the cloud has
  // confirmed its deletion, and no task is bound to it. Before, late copies of
  // its heartbeats could not be told from new ones once it were removed
  // (RestartedMachine.*).
  bool CanRemove(const Machine& machine) const {
    return machine.bound.empty() && machines_.WasDeleted(machine.name);
  }
  // Asks the cloud to delete machines that send no heartbeats, are drained,
  // have restarted, or receive no answers. At most one call is in flight, and
  // every call takes a token from the budget of cloud calls.
  void DeleteMachines();

 private:
  // Whether the symptoms of single machines are plausible, given how many
  // machines show them at the same time.
  struct SymptomCheck {
    // False if most machines are silent: a network fault is more likely.
    bool silence_plausible = true;
    // False if many machines seem to receive no answers: it is more likely that
    // this controller answers too late.
    bool unreachability_plausible = true;
  };
  SymptomCheck CheckSymptoms() const;
  // The `reason=` value of the log line if the machine should be deleted, or
  // null if it should stay.
  const char* ReasonToDelete(const Machine& machine,
                             const SymptomCheck& symptoms) const;
  // Marks the machines to delete as `deleting` and returns their names, at most
  // as many as one call takes. Includes machines whose deletion was requested
  // before: it may take effect at any moment, so it is repeated until it is
  // confirmed.
  std::vector<std::string> ChooseMachinesToDelete();
  void OnDeleteReply(const std::vector<std::string>& names,
                     const CloudReply& reply);
  // Whether the machine has shown no sign of receiving answers for longer than
  // a lease.
  bool InboundUnreachable(const Machine& machine) const;
  // The time since the machine's last heartbeat, or since this ownership began
  // if that is later.
  Duration SilenceOf(const Machine& machine) const;

  Context& context_;
  const OwnershipTerm& term_;
  MachineRegistry& machines_;
  WorkerResponder& responder_;
  RescheduleSignal& reschedule_;
  LifetimeGuard lifetime_;
  bool call_pending_ = false;
  SteadyTime next_call_{};  // no deletion is requested before
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_MACHINE_HEALTH_H_
