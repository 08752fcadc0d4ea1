// Takes in workers' heartbeats.
#ifndef PITCHFALL_CORE_PARTITION_HEARTBEAT_HANDLER_H_
#define PITCHFALL_CORE_PARTITION_HEARTBEAT_HANDLER_H_

#include <optional>
#include <utility>

#include "core/model/machine.h"
#include "core/partition/answer_entitlement.h"
#include "core/partition/fault_attribution.h"
#include "core/partition/machine_registry.h"
#include "core/partition/ownership_term.h"
#include "core/partition/worker_responder.h"
#include "core/state/context.h"

namespace pitchfall {

// Refuses heartbeats that this owner may not act on, and notes in the registry
// what the others say about the machine and its attempts. Those accepted wait
// for the responder.
class HeartbeatHandler {
 public:
  HeartbeatHandler(Context& context, const OwnershipTerm& term,
                   MachineRegistry& machines, AnswerEntitlement& entitlement,
                   WorkerResponder& responder, FaultAttribution& faults)
      : context_(context),
        term_(term),
        machines_(machines),
        entitlement_(entitlement),
        responder_(responder),
        faults_(faults),
        last_heard_(context.now()) {}

  // Returns whether the heartbeat was accepted. Otherwise it has been answered:
  // 421 naming a known successor, or 503.
  bool Handle(RequestId request, const WorkerHeartbeat& heartbeat);

  // When the last heartbeat was accepted; before any, when the ownership began.
  SteadyTime last_heard() const { return last_heard_; }

 private:
  // Whether the heartbeat is an old copy that says nothing about the machine
  // now.
  bool IsStale(const WorkerHeartbeat& heartbeat) const;
  void Accept(RequestId request, const WorkerHeartbeat& heartbeat);
  void UpdateMachine(Machine& machine);
  void UpdateAttempt(Machine& machine, const ReportedTask& task,
                     std::pair<const TaskKey, BoundAttempt>& entry);
  void NotePreemptionNotice(Machine& machine);
  void LogReplicaUp(const Machine& machine,
                    const std::pair<const TaskKey, BoundAttempt>& entry) const;
  // What a newer heartbeat says about whether the machine receives answers.
  void UpdateInboundReachability(Machine& machine,
                                 const std::optional<WorkerHeartbeat>& before);
  void NoteNewAgentEpoch(Machine& machine);

  Context& context_;
  const OwnershipTerm& term_;
  MachineRegistry& machines_;
  AnswerEntitlement& entitlement_;
  WorkerResponder& responder_;
  FaultAttribution& faults_;
  SteadyTime last_heard_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_HEARTBEAT_HANDLER_H_
