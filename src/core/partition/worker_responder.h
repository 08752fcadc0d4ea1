// Sends commands to workers: in answers to their heartbeats, and stops
// directly.
#ifndef PITCHFALL_CORE_PARTITION_WORKER_RESPONDER_H_
#define PITCHFALL_CORE_PARTITION_WORKER_RESPONDER_H_

#include <string>
#include <vector>

#include "core/base/lifetime_guard.h"
#include "core/model/machine.h"
#include "core/partition/answer_entitlement.h"
#include "core/partition/machine_registry.h"
#include "core/partition/ownership_term.h"
#include "core/partition/worker_commands.h"
#include "core/state/context.h"

namespace pitchfall {

// Heartbeats wait unanswered until what they lead to has been stored, so that
// starts and acknowledgements follow what is stored. Every heartbeat that was
// accepted is answered or refused exactly once.
class WorkerResponder {
 public:
  WorkerResponder(Context& context, const OwnershipTerm& term,
                  AnswerEntitlement& entitlement, MachineRegistry& machines)
      : context_(context),
        term_(term),
        entitlement_(entitlement),
        machines_(machines) {}

  // Answers every heartbeat that came at `accepted_until` or before with the
  // commands that follow from what is stored, or refuses it if this owner may
  // not answer any more.
  void AnswerHeartbeats(SteadyTime accepted_until);
  // Refuses the machine's waiting heartbeat with 503, if there is one.
  void Refuse(Machine& machine);
  // Sends stops at once to machines that have no heartbeat waiting.
  void SendDirectStops();

 private:
  void Answer(Machine& machine);
  CommandPolicy PolicyFor(const Machine& machine) const;
  void OnStopReply(const std::string& name,
                   const std::vector<WorkerCommand>& stops,
                   const WorkerReply& reply);

  Context& context_;
  const OwnershipTerm& term_;
  AnswerEntitlement& entitlement_;
  MachineRegistry& machines_;
  LifetimeGuard lifetime_;
};

// Whether the bound attempt should be running: its job is neither done nor
// cancelled, be it by the stored record or by another controller's word.
bool IsWanted(const Context& context, const BoundAttempt& attempt);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_WORKER_RESPONDER_H_
