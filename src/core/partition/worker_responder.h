// Sends commands to workers: in the answers to their heartbeats, or, for stops,
// also in direct calls.
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

// Heartbeats wait for their answers until the decisions that follow from them
// have been stored, so that start commands and acknowledgements agree with the
// stored state. Every accepted heartbeat is answered or refused exactly once.
class WorkerResponder {
 public:
  WorkerResponder(Context& context, const OwnershipTerm& term,
                  AnswerEntitlement& entitlement, MachineRegistry& machines)
      : context_(context),
        term_(term),
        entitlement_(entitlement),
        machines_(machines) {}

  // Answers every waiting heartbeat that arrived at `accepted_until` or before
  // with the commands that follow from the stored state, or refuses it if this
  // owner may no longer answer.
  void AnswerHeartbeats(SteadyTime accepted_until);
  // Answers the machine's waiting heartbeat, if there is one, with 503.
  void Refuse(Machine& machine);
  // Sends stops in direct calls to the machines that have no heartbeat waiting.
  void SendDirectStops();

 private:
  void Answer(Machine& machine);
  CommandPolicy PolicyFor(const Machine& machine) const;
  // Marks the stops of a failed call as not sent, so that they are repeated.
  // The worker reports what it has stopped, and the answers to its heartbeats
  // repeat stops too, but a worker that reaches no controller sends none
  // (DirectStops.AreRepeatedUntilOneIsCarriedOut).
  // The worker has sent its reply after the heartbeat `newest`; if it numbers
  // it lower, it has restarted meanwhile.
  void OnStopReply(const std::string& name, HeartbeatId newest,
                   const std::vector<WorkerCommand>& stops,
                   const WorkerReply& reply);

  Context& context_;
  const OwnershipTerm& term_;
  AnswerEntitlement& entitlement_;
  MachineRegistry& machines_;
  LifetimeGuard lifetime_;
};

// Whether the job of the bound attempt is neither done nor cancelled, according
// to its stored record and to what other controllers have reported.
bool IsJobActive(const Context& context, const BoundAttempt& attempt);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_WORKER_RESPONDER_H_
