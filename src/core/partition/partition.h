// One partition of the cluster as its owner runs it: the machines that hash
// into it, and the chunks of jobs that it owns.
//
// Everything is decided by comparing what is stored with the machines' newest
// heartbeats. One transaction at a time carries the outcome: ends, new
// assignments, finished jobs; it depends on the partition's fencing token, on
// the modification revisions of the segments that it overwrites and on those of
// the jobs whose tasks start. Nobody else writes what the partition owns, so
// nothing else can have changed. Heartbeats are answered after it, so that
// starts and acknowledgements follow what is stored.
#ifndef PITCHFALL_CORE_PARTITION_PARTITION_H_
#define PITCHFALL_CORE_PARTITION_PARTITION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/membership/fencing_token_announcer.h"
#include "core/partition/answer_entitlement.h"
#include "core/partition/attempt_bindings.h"
#include "core/partition/attempt_reconciler.h"
#include "core/partition/committer.h"
#include "core/partition/fault_attribution.h"
#include "core/partition/heartbeat_handler.h"
#include "core/partition/load_reporter.h"
#include "core/partition/machine_drainer.h"
#include "core/partition/machine_health.h"
#include "core/partition/machine_registry.h"
#include "core/partition/ownership_term.h"
#include "core/partition/pending_transaction.h"
#include "core/partition/reschedule_signal.h"
#include "core/partition/task_starter.h"
#include "core/partition/transaction_builder.h"
#include "core/partition/worker_responder.h"
#include "core/scheduling/team_quota.h"
#include "core/state/context.h"

namespace pitchfall {

// Exists from the moment at which the state cache names this process as the
// owner until it names another.
class Partition {
 public:
  Partition(Context& context, uint32_t number, uint64_t fencing_token);
  // Refuses the heartbeats that still wait for their answers.
  ~Partition();
  Partition(const Partition&) = delete;
  Partition& operator=(const Partition&) = delete;

  void OnWorkerHeartbeat(RequestId request, const WorkerHeartbeat& heartbeat);
  // Another controller claims to own the partition by this fencing token.
  void OnPeerClaim(const std::string& label, uint64_t fencing_token) {
    entitlement_.OnPeerClaim(label, fencing_token);
  }
  // Does what is due. To be called at least every few tens of milliseconds.
  void Step();

  uint32_t number() const { return term_.partition; }
  uint64_t fencing_token() const { return term_.fencing_token; }
  const MachineRegistry::Machines& machines() const {
    return machines_.machines();
  }
  FreeCapacity Free() const { return machines_.Free(context_.now()); }
  // When a worker was last heard. Owners that their workers cannot reach hand
  // the partition over.
  SteadyTime last_heard() const { return heartbeats_.last_heard(); }
  // When it last sent a transaction; before any, when it was taken over.
  SteadyTime last_write() const { return committer_.last_write(); }

 private:
  void ReconcileMachines();
  void ScheduleTasks();
  TransactionBudget BudgetFor(double write_tokens) const;
  void PreemptTasks(const std::vector<const Job*>& jobs);
  PendingTransaction DraftTransaction(const TransactionBudget& budget,
                                      const std::vector<const Job*>& jobs);
  void ForgetPlanned();
  void OnCommitted(CommitOutcome outcome, const PendingTransaction& pending,
                   SteadyTime sent);
  // Learns from the attempts whose ends have been stored.
  void RecordReports(const PendingTransaction& pending);
  void PauseAfterRefusal(const AttemptReport& report);

  Context& context_;
  const OwnershipTerm term_;
  RescheduleSignal reschedule_;
  MachineRegistry machines_;
  TeamQuota quota_;
  AttemptBindings bindings_;
  AnswerEntitlement entitlement_;
  FaultAttribution faults_;
  WorkerResponder responder_;
  HeartbeatHandler heartbeats_;
  MachineHealth health_;
  MachineDrainer drainer_;
  AttemptReconciler reconciler_;
  TaskStarter starter_;
  LoadReporter load_reporter_;
  TransactionBuilder builder_;
  Committer committer_;
  FencingTokenAnnouncer announcer_;

  // Chunks that one transaction may change; falls when one does not fit.
  size_t max_chunks_ = TransactionBudget::kUnlimited;
  bool last_write_too_large_ = false;
  bool short_of_write_tokens_ = false;
  SteadyTime next_schedule_{};
  SteadyTime next_reconcile_{};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_PARTITION_H_
