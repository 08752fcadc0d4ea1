// Handles the heartbeats of a partition's workers.
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

// Refuses heartbeats that this owner may not act on. Of the others it records
// in the machine registry what they say about the machine and its attempts;
// they stay unanswered until the responder answers them.
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

  // Returns whether the heartbeat was accepted. If not, the request has been
  // answered: with 421 and the label of a later owner if one has claimed the
  // partition, else with 503.
  bool Handle(RequestId request, const WorkerHeartbeat& heartbeat);

  // When the last heartbeat was accepted; the time of construction, at the
  // start of the ownership, if there has been none.
  SteadyTime last_heard() const { return last_heard_; }

 private:
  // Returns whether the heartbeat is out of date: from a deleted machine, from
  // one whose lease in that agent epoch has run out, not newer than the newest
  // known one, or with a lower fencing token than that although the worker has
  // not restarted.
  bool IsStale(const WorkerHeartbeat& heartbeat) const;
  // Stores the heartbeat as the machine's newest and the request as the one to
  // answer. An earlier one that still waits for its answer is refused.
  void Accept(RequestId request, const WorkerHeartbeat& heartbeat);
  // Updates the machine, which must have a heartbeat, from that heartbeat.
  void UpdateMachine(Machine& machine);
  // Updates a bound attempt from its entry in the heartbeat.
  void UpdateAttempt(Machine& machine, const ReportedTask& task,
                     std::pair<const TaskKey, BoundAttempt>& entry);
  // Sets the time at which the cloud will take the spot machine, from the first
  // heartbeat that announces it.
  void RecordPreemptionNotice(Machine& machine);
  // Does nothing for jobs that are not services, nor for attempts that an
  // earlier owner bound, since their replicas may have been running before.
  void LogReplicaUp(const Machine& machine,
                    const std::pair<const TaskKey, BoundAttempt>& entry) const;
  // Updates whether the machine seems to receive answers. `before` is the
  // heartbeat before the newest; nullopt if there was none.
  void UpdateInboundReachability(Machine& machine,
                                 const std::optional<WorkerHeartbeat>& before);
  // Handles the first heartbeat to this owner, or the first of a new agent
  // epoch.
  void OnNewAgentEpoch(Machine& machine);

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
