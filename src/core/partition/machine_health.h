// Decides which machines are lost, and deletes those that are of no more use.
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

// The only writer of `Machine::cordoned`, `gone` (but for heartbeats, which
// bring a machine back) and `deleting`.
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

  // Whether the leader wants the machine returned.
  void UpdateCordon(Machine& machine);
  // Declares the machine gone once its worker's lease must have expired. That
  // proves that nothing bound to it runs any more.
  void UpdateLease(Machine& machine);
  // Whether the machine has been deleted and nothing is bound to it any more.
  static bool IsForgettable(const Machine& machine) {
    return machine.gone && machine.deleting && machine.bound.empty();
  }
  // Asks the cloud to delete machines that are silent, drained, or receive no
  // answers. One call at a time, within the budget of cloud calls.
  void DeleteMachines();

 private:
  // What can be said of all machines together.
  struct Survey {
    bool silence_believable = true;
    bool unreachability_believable = true;
  };
  Survey SurveyMachines() const;
  // Why the machine should be deleted; null if it should not.
  const char* ReasonToDelete(const Machine& machine,
                             const Survey& survey) const;
  // Marks machines as being deleted and returns their names.
  std::vector<std::string> ChooseMachinesToDelete();
  void OnDeleteReply(const std::vector<std::string>& names,
                     const CloudReply& reply);
  bool InboundUnreachable(const Machine& machine) const;
  Duration SilenceOf(const Machine& machine) const;

  Context& context_;
  const OwnershipTerm& term_;
  MachineRegistry& machines_;
  WorkerResponder& responder_;
  RescheduleSignal& reschedule_;
  LifetimeGuard lifetime_;
  bool call_pending_ = false;
  SteadyTime next_call_{};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_MACHINE_HEALTH_H_
