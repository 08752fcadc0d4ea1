// The control loop of one partition of the cluster, run by the partition's
// owner. A partition consists of the machines whose names hash into it and the
// chunks of jobs that it owns.
//
// Each pass compares the stored state with the machines' newest heartbeats and
// stores its decisions (ended attempts, new assignments, finished jobs) in one
// transaction, of which at most one is in flight. Its conditions are the
// partition's fencing token, the modification revisions of the segments that it
// overwrites and those of the jobs whose tasks start. No other process writes
// what the partition owns, so nothing else can have changed. Heartbeats are
// answered after the transaction, so that start commands and acknowledgements
// follow from what is stored.
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

// An object of this class exists from the moment at which the state cache names
// this process as the owner until it names another one.
class Partition {
 public:
  Partition(Context& context, uint32_t number, uint64_t fencing_token);
  // Refuses the heartbeats that still wait for an answer.
  ~Partition();
  Partition(const Partition&) = delete;
  Partition& operator=(const Partition&) = delete;

  // Answers `request` later, once the decisions that follow from the heartbeat
  // have been stored, or refuses it at once.
  void OnWorkerHeartbeat(RequestId request, const WorkerHeartbeat& heartbeat);
  // Must be called when another controller claims to own the partition by this
  // fencing token. `label` names the controller.
  void OnPeerClaim(const std::string& label, uint64_t fencing_token) {
    entitlement_.OnPeerClaim(label, fencing_token);
  }
  // Does the periodic work that is due. Must be called at least every few tens
  // of milliseconds.
  void RunDueWork();

  uint32_t number() const { return term_.partition; }
  uint64_t fencing_token() const { return term_.fencing_token; }
  const MachineRegistry::Machines& machines() const {
    return machines_.machines();
  }
  // The free processors of the machines that accept tasks now.
  FreeCapacity Free() const { return machines_.Free(context_.now()); }
  // When the last heartbeat was accepted; before any, when the ownership began.
  // An owner that its workers cannot reach hands the partition over.
  SteadyTime last_heard() const { return heartbeats_.last_heard(); }
  // When the last transaction was sent; before any, when the ownership began.
  SteadyTime last_write() const { return committer_.last_write(); }

 private:
  // Answers heartbeats that have waited long enough, updates the state of every
  // machine, and sends the calls that follow: deletions and direct stops.
  void ReconcileMachines();
  // Decides on preemptions, ends and starts, and sends the transaction that
  // stores them.
  void ScheduleTasks();
  // What one transaction may change when the write budget holds
  // `write_tokens`, at least 1.
  TransactionBudget BudgetFor(double write_tokens) const;
  // Marks the bound attempts that should stop for more important work of their
  // team, and no others, as preempted.
  void PreemptTasks(const std::vector<const Job*>& jobs);
  // Decides anew, within the budget, what the next transaction changes. `jobs`
  // come in the order in which they should get capacity.
  PendingTransaction DraftTransaction(const TransactionBudget& budget,
                                      const std::vector<const Job*>& jobs);
  // Resets the planned use of machines and quotas.
  void ForgetPlanned();
  // Handles the outcome of a transaction that was sent at `sent`.
  void OnCommitted(CommitOutcome outcome, const PendingTransaction& pending,
                   SteadyTime sent);
  // Passes the stored ends of attempts on to the fault attribution.
  void RecordReports(const PendingTransaction& pending);
  // Keeps tasks from a machine for a moment after it has refused a start.
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

  // The number of chunks that one transaction may change. It is halved when a
  // transaction does not fit, and raised again when one is stored.
  size_t max_chunks_ = TransactionBudget::kUnlimited;
  bool last_write_too_large_ = false;
  // Whether the write budget held less than one token when a scheduling pass
  // was last due.
  bool short_of_write_tokens_ = false;
  SteadyTime next_schedule_{};   // no scheduling pass begins before
  SteadyTime next_reconcile_{};  // machines are not reconciled before
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_PARTITION_H_
