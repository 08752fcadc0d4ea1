#include "core/partition/committer.h"

#include <string>
#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {
namespace {

CommitOutcome OutcomeOf(int status) {
  switch (status) {
    case http_status::kOk:
      return CommitOutcome::kStored;
    case http_status::kBadRequest:
      return CommitOutcome::kTooLarge;
    case http_status::kConflict:
      return CommitOutcome::kConflict;
    case http_status::kTooManyRequests:
    case http_status::kServiceUnavailable:
      return CommitOutcome::kRefused;
    default:
      return CommitOutcome::kUnknown;
  }
}

}  // namespace

void Committer::Commit(PendingTransaction pending, Transaction transaction,
                       OnCommitted on_committed) {
  SteadyTime now = context_.now();
  auto puts = static_cast<double>(transaction.writes.size());
  // What has been decided is stored; the budget is in debt until enough tokens
  // have come in.
  context_.writes.TakeOnCredit(now, puts);
  context_.requests.TakeOnCredit(now, 1);
  busy_ = true;
  last_write_ = now;
  context_.out.Log(
      LogLevel::kDebug,
      "event=store partition={} chunks={} starts={} teams={} done={} "
      "transfers={} puts={} tokens={:.1f}",
      term_.partition, pending.chunks.size(), pending.starts,
      pending.teams.size(), pending.done_jobs.size(), pending.transfers.size(),
      transaction.writes.size(), context_.writes.Available(now));
  auto handler = lifetime_.Wrap(
      [this, pending = std::move(pending), transaction,
       on_committed = std::move(on_committed)](const StateReply& reply) {
        on_committed(OnReply(transaction, reply), pending);
      });
  context_.out.CallState(std::move(transaction), context_.tuning.state_timeout,
                         std::move(handler));
}

CommitOutcome Committer::OnReply(const Transaction& transaction,
                                 const StateReply& reply) {
  busy_ = false;
  CommitOutcome outcome = OutcomeOf(reply.status);
  switch (outcome) {
    case CommitOutcome::kStored:
      OnStored(transaction, reply);
      break;
    case CommitOutcome::kTooLarge:
      context_.state_limits.OnRefused();
      LogTooLarge(transaction);
      break;
    case CommitOutcome::kRefused:
      if (reply.status == http_status::kTooManyRequests)
        context_.writes.Drain(context_.now());
      break;
    case CommitOutcome::kUnknown:
      outcome_unknown_ = true;
      context_.out.Log(LogLevel::kWarning,
                       "event=write_unknown partition={} status={} writes={}",
                       term_.partition, reply.status,
                       transaction.writes.size());
      ReadBeforeNextWrite();
      break;
    case CommitOutcome::kConflict:
      // A write fence whose own answer was lost.
      for (const std::string& key : reply.failed) {
        if (key == keys::WriteFence(term_.partition, term_.fencing_token)) {
          outcome_unknown_ = true;
        }
      }
      ReadBeforeNextWrite();
      break;
  }
  return outcome;
}

void Committer::OnStored(const Transaction& transaction,
                         const StateReply& reply) {
  for (const Write& write : transaction.writes) {
    context_.state_cache.Apply({write.key, write.value, reply.revision});
  }
  context_.state_limits.OnAccepted();
}

void Committer::LogTooLarge(const Transaction& transaction) const {
  for (const Write& write : transaction.writes) {
    context_.out.Log(LogLevel::kError,
                     "event=write_refused partition={} key={} writes={} "
                     "conditions={} value_bytes={}",
                     term_.partition, write.key, transaction.writes.size(),
                     transaction.conditions.size(),
                     context_.state_limits.ValueBytes());
  }
}

void Committer::ReadBeforeNextWrite() {
  busy_ = true;
  context_.state_watcher.AfterNextRead(
      lifetime_.Wrap([this](bool) { busy_ = false; }));
}

// Reading shows whether a write without an answer has been carried out, but not
// that it never will be: a late copy would add starts to capacity and quota
// that have been given to others by then. Every write depends on the write
// fence, so once that has changed no earlier one can come through
// (AnswerBound.AfterAWriteWithoutAnAnswerTheFenceIsRaisedFirst).
void Committer::AdvanceWriteFence(OnFenceReply on_reply) {
  SteadyTime now = context_.now();
  if (!context_.writes.Take(now, 1)) return;
  context_.requests.TakeOnCredit(now, 1);
  busy_ = true;
  last_write_ = now;
  Transaction transaction;
  transaction.conditions.push_back(
      {keys::Partition(term_.partition), term_.fencing_token});
  transaction.writes.push_back(
      {keys::WriteFence(term_.partition, term_.fencing_token),
       PartitionRecord{context_.deployment.label, context_.incarnation}, 0});
  auto handler = lifetime_.Wrap(
      [this, on_reply = std::move(on_reply)](const StateReply& reply) {
        on_reply(reply.status == http_status::kOk);
        OnFenceAdvanced(reply);
      });
  context_.out.CallState(std::move(transaction), context_.tuning.state_timeout,
                         std::move(handler));
}

void Committer::OnFenceAdvanced(const StateReply& reply) {
  if (reply.status == http_status::kOk) {
    write_fence_ = reply.revision;
    outcome_unknown_ = false;
  }
  // What the lost write did, if it was carried out before the write fence.
  context_.state_watcher.AfterNextRead(lifetime_.Wrap([this](bool read) {
    busy_ = false;
    if (!read) outcome_unknown_ = true;
  }));
}

}  // namespace pitchfall
