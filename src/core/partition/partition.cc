#include "core/partition/partition.h"

#include <algorithm>
#include <utility>

#include "core/scheduling/placement.h"
#include "core/scheduling/preemption.h"

namespace pitchfall {
namespace {

constexpr Duration kReconcileInterval = Millis(40);
constexpr Duration kScheduleInterval = Millis(80);
// How much longer than that a scheduling pass is put off while nothing changes.
constexpr Duration kIdleScheduleDelay = Millis(250);
// The delay after a write that was not carried out.
constexpr Duration kWriteRetryDelay = Millis(150);
// How long a heartbeat waits for tokens of the write budget before it is
// answered without the changes that they would have paid for.
constexpr Duration kMaxHoldWithoutTokens = Millis(600);
// How long a machine is given no tasks after it has refused a start: for a
// moment what its worker holds differs from what is stored.
constexpr Duration kPauseAfterRefusal = Millis(2000);
// The state service accepts four conditions for each operation of a
// transaction. Three of them may be jobs whose tasks start; the fourth is left
// for segments, teams and ends. The partition and its write fence add two
// conditions to every transaction.
constexpr size_t kJobConditionsPerOperation = 3;
constexpr size_t kPartitionConditions = 2;

}  // namespace

Partition::Partition(Context& context, uint32_t number, uint64_t fencing_token)
    : context_(context),
      term_{number, fencing_token, context.now()},
      quota_(context, number),
      bindings_(context.state_cache, number, machines_, quota_, reschedule_),
      entitlement_(context, term_),
      faults_(context.outbox, context.state_cache, machines_),
      responder_(context, term_, entitlement_, machines_),
      heartbeats_(context, term_, machines_, entitlement_, responder_, faults_),
      health_(context, term_, machines_, responder_, reschedule_),
      drainer_(context, machines_),
      reconciler_(context, term_, machines_, quota_),
      starter_(context, term_, machines_, quota_, faults_.tracker()),
      load_reporter_(context, term_, machines_, faults_.tracker()),
      builder_(context, term_),
      committer_(context, term_),
      announcer_(context, number, fencing_token,
                 [this](const std::string& name) {
                   const Machine* machine = machines_.Find(name);
                   return machine != nullptr && machine->fencing_token_seen;
                 }) {
  context_.outbox.Log(LogLevel::kInfo,
                      "event=partition_acquired partition={} token={}",
                      term_.partition, term_.fencing_token);
}

Partition::~Partition() {
  for (auto& [name, machine] : machines_.machines()) responder_.Refuse(machine);
  context_.outbox.Log(LogLevel::kInfo,
                      "event=partition_released partition={} token={}",
                      term_.partition, term_.fencing_token);
}

void Partition::OnWorkerHeartbeat(RequestId request,
                                  const WorkerHeartbeat& heartbeat) {
  if (heartbeats_.Handle(request, heartbeat)) reschedule_.Raise();
}

void Partition::RunDueWork() {
  SteadyTime now = context_.now();
  ReconcileMachines();
  announcer_.RunDueWork();
  if (committer_.busy() || now < next_schedule_) return;
  bool within_idle_delay = now - next_schedule_ < kIdleScheduleDelay;
  if (!reschedule_.raised() && within_idle_delay) return;
  if (!context_.state_watcher.IsFresh()) {
    responder_.AnswerHeartbeats(now);
    next_schedule_ = now + kScheduleInterval;
    return;
  }
  if (committer_.outcome_unknown()) {
    committer_.AdvanceWriteFence([this](bool advanced) {
      next_schedule_ =
          context_.now() + (advanced ? Duration(0) : kWriteRetryDelay);
    });
    return;
  }
  ScheduleTasks();
}

void Partition::ReconcileMachines() {
  SteadyTime now = context_.now();
  if (now < next_reconcile_) return;
  next_reconcile_ = now + kReconcileInterval;
  // Without write tokens nothing is stored, so holding a heartbeat for the
  // full time gains nothing.
  Duration hold = short_of_write_tokens_ ? kMaxHoldWithoutTokens
                                         : context_.tuning.heartbeat_hold;
  responder_.AnswerHeartbeats(now - hold);
  auto& machines = machines_.machines();
  for (auto entry = machines.begin(); entry != machines.end();) {
    Machine& machine = entry->second;
    health_.UpdateCordon(machine);
    health_.UpdateLease(machine);
    drainer_.Drain(machine);
    if (health_.CanRemove(machine)) {
      faults_.ForgetMachine(machine.name);
      entry = machines_.Erase(entry);
    } else {
      ++entry;
    }
  }
  health_.DeleteMachines();
  responder_.SendDirectStops();
}

TransactionBudget Partition::BudgetFor(double write_tokens) const {
  size_t operations = context_.state_limits.Operations();
  size_t conditions = kJobConditionsPerOperation * operations;
  TransactionBudget budget;
  // One token pays for the segment. Puts beyond the available tokens are
  // borrowed; otherwise a finished job would have to wait for a transaction
  // that changes nothing else.
  budget.max_puts =
      std::min<size_t>(static_cast<size_t>(write_tokens) + 1, operations / 2);
  budget.max_starting_jobs =
      conditions - std::min(conditions, kPartitionConditions);
  // After a refusal for size the next transaction is made as small as possible,
  // so that it is accepted.
  if (last_write_too_large_) budget.max_puts = budget.max_starting_jobs = 1;
  budget.max_chunks = max_chunks_;
  return budget;
}

void Partition::ScheduleTasks() {
  SteadyTime now = context_.now();
  double tokens = context_.state_write_bucket.Available(now);
  short_of_write_tokens_ = tokens < 1;
  if (short_of_write_tokens_) {
    // Scheduling stays due at every call, so that this partition gets its turn
    // as soon as there is a token
    // (Operations.PartitionsOfOneOwnerTakeTurnsToWrite).
    reschedule_.Raise();
    return;
  }
  next_schedule_ = now + kScheduleInterval;
  reschedule_.Clear();
  ForgetPlanned();
  TransactionBudget budget = BudgetFor(tokens);
  std::vector<const Job*> jobs = OrderJobs(
      context_.state_cache, context_.outbox.now().wall, context_.deployment);
  quota_.RecountClusterUse();
  PreemptTasks(jobs);
  PendingTransaction pending = DraftTransaction(budget, jobs);
  auto transaction = builder_.Build(pending, committer_.write_fence());
  // Ends free capacity and are therefore the last changes to be left out. If
  // there are more of them than one transaction can hold, the number of chunks
  // is halved until they fit.
  while (!transaction && max_chunks_ > 1 && !pending.chunks.empty()) {
    max_chunks_ = std::min(max_chunks_, pending.chunks.size() + 1) / 2;
    budget.max_chunks = max_chunks_;
    pending = DraftTransaction(budget, jobs);
    transaction = builder_.Build(pending, committer_.write_fence());
  }
  if (pending.empty()) {
    responder_.AnswerHeartbeats(now);
    return;
  }
  if (!transaction) {
    reschedule_.Raise();
    context_.outbox.Log(
        LogLevel::kError, "event=segments_full partition={} bytes={}",
        term_.partition, context_.state_cache.LiveBytes(term_.partition));
    responder_.AnswerHeartbeats(now);
    return;
  }
  committer_.Commit(
      std::move(pending), std::move(*transaction),
      [this, now](CommitOutcome outcome, const PendingTransaction& committed) {
        OnCommitted(outcome, committed, now);
      });
}

void Partition::PreemptTasks(const std::vector<const Job*>& jobs) {
  auto victims = ChooseVictims(context_.state_cache, context_.deployment, jobs,
                               context_.outbox.now().wall);
  for (auto& [name, machine] : machines_.machines()) {
    for (auto& [key, attempt] : machine.bound) {
      auto victim = victims.find({key.first, key.second, attempt.attempt});
      bool chosen = victim != victims.end();
      attempt.stop_without_saving =
          chosen && victim->second == StopKind::kWithoutSaving;
      if (chosen && !attempt.preempted) {
        context_.outbox.Log(
            LogLevel::kInfo, "event=preempt job={} task={} machine={} team={}",
            key.first, key.second, name, attempt.job->spec().team);
      }
      attempt.preempted = chosen;
    }
  }
}

void Partition::ForgetPlanned() {
  machines_.ForgetPlanned();
  quota_.ClearPlanned();
}

PendingTransaction Partition::DraftTransaction(
    const TransactionBudget& budget, const std::vector<const Job*>& jobs) {
  ForgetPlanned();
  PendingTransaction pending(budget);
  reconciler_.AddEndedAttempts(pending);
  reconciler_.AddFinishedJobs(pending);
  load_reporter_.AddLoad(pending);
  starter_.AddStarts(pending, jobs);
  quota_.ReleaseUnused(pending.teams, pending.PutsLeft());
  return pending;
}

void Partition::OnCommitted(CommitOutcome outcome,
                            const PendingTransaction& pending,
                            SteadyTime sent) {
  reschedule_.Raise();
  for (auto& [name, machine] : machines_.machines())
    machine.planned.resources = {};
  quota_.ClearPlanned();
  last_write_too_large_ = outcome == CommitOutcome::kTooLarge;
  switch (outcome) {
    case CommitOutcome::kStored:
      load_reporter_.OnStored(pending);
      if (pending.load) faults_.ForgetEnded();  // once in a sizing period
      RecordReports(pending);
      // The number of chunks rises again step by step.
      max_chunks_ = pending.chunks.size() < max_chunks_
                        ? TransactionBudget::kUnlimited
                        : 2 * max_chunks_;
      responder_.AnswerHeartbeats(sent);
      break;
    case CommitOutcome::kTooLarge:
      // The transaction exceeded a limit that is not known here, so the next
      // one changes less.
      max_chunks_ = std::max<size_t>(1, pending.chunks.size() / 2);
      next_schedule_ = context_.now() + kWriteRetryDelay;
      break;
    case CommitOutcome::kRefused:
      next_schedule_ = context_.now() + kWriteRetryDelay;
      break;
    case CommitOutcome::kConflict:
    case CommitOutcome::kUnknown:
      break;  // the committer reads the state before the next write
  }
}

void Partition::RecordReports(const PendingTransaction& pending) {
  std::vector<AttemptReport> reports = pending.reports;
  std::ranges::stable_sort(reports, {}, &AttemptReport::kind);
  for (const AttemptReport& report : reports) {
    switch (report.kind) {
      case AttemptReport::Kind::kSuccess:
        faults_.RecordSuccess(report.machine, report.job);
        break;
      case AttemptReport::Kind::kFailure:
        faults_.RecordFailure(report.machine, report.job);
        break;
      case AttemptReport::Kind::kProvenReplicaEnded:
        faults_.RecordReplicaEnd(report.machine, report.job);
        break;
      case AttemptReport::Kind::kRefusal:
        PauseAfterRefusal(report);
        break;
    }
  }
}

void Partition::PauseAfterRefusal(const AttemptReport& report) {
  Machine* machine = machines_.Find(report.machine);
  if (machine == nullptr) return;
  machine->paused_until =
      std::max(machine->paused_until, context_.now() + kPauseAfterRefusal);
  context_.outbox.Log(LogLevel::kInfo, "event=start_refused machine={} job={}",
                      report.machine, report.job);
}

}  // namespace pitchfall
