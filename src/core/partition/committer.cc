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
                       CommitCallback on_committed) {
  SteadyTime now = context_.now();
  auto puts = static_cast<double>(transaction.writes.size());
  // The transaction is sent whatever the number of tokens; the budget stays in
  // debt until enough tokens have been added.
  context_.state_write_bucket.TakeOnCredit(now, puts);
  context_.state_request_bucket.TakeOnCredit(now, 1);
  busy_ = true;
  last_write_ = now;
  context_.outbox.Log(
      LogLevel::kDebug,
      "event=store partition={} chunks={} starts={} teams={} done={} "
      "transfers={} puts={} tokens={:.1f}",
      term_.partition, pending.chunks.size(), pending.start_count,
      pending.teams.size(), pending.done_jobs.size(), pending.transfers.size(),
      transaction.writes.size(), context_.state_write_bucket.Available(now));
  auto handler = lifetime_.Wrap(
      [this, pending = std::move(pending), transaction,
       on_committed = std::move(on_committed)](const StateReply& reply) {
        on_committed(OnReply(transaction, reply), pending);
      });
  context_.outbox.CallState(std::move(transaction),
                            context_.tuning.state_timeout, std::move(handler));
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
        context_.state_write_bucket.Drain(context_.now());
      break;
    case CommitOutcome::kUnknown:
      outcome_unknown_ = true;
      context_.outbox.Log(
          LogLevel::kWarning,
          "event=write_unknown partition={} status={} writes={}",
          term_.partition, reply.status, transaction.writes.size());
      ReadBeforeNextWrite();
      break;
    case CommitOutcome::kConflict:
      // The write fence has another revision than this process knows: an
      // advance whose reply was lost has been carried out.
      for (const std::string& key : reply.failed_keys) {
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
    context_.outbox.Log(LogLevel::kError,
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

// A read shows whether a write without a reply has been carried out, but not
// that it never will be: a delayed copy of the request could still add starts
// that use capacity and quota given to other tasks since. Every write has the
// revision of the write fence as a condition, so once the fence has changed no
// earlier write can succeed
// (AnswerBound.AfterAWriteWithoutAnAnswerTheFenceIsRaisedFirst).
void Committer::AdvanceWriteFence(FenceCallback on_reply) {
  SteadyTime now = context_.now();
  if (!context_.state_write_bucket.Take(now, 1)) return;
  context_.state_request_bucket.TakeOnCredit(now, 1);
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
  context_.outbox.CallState(std::move(transaction),
                            context_.tuning.state_timeout, std::move(handler));
}

void Committer::OnFenceAdvanced(const StateReply& reply) {
  if (reply.status == http_status::kOk) {
    write_fence_ = reply.revision;
    outcome_unknown_ = false;
  }
  // The lost write may have been carried out before the write fence was
  // advanced: the read shows its effects.
  context_.state_watcher.AfterNextRead(lifetime_.Wrap([this](bool read) {
    busy_ = false;
    if (!read) outcome_unknown_ = true;
  }));
}

}  // namespace pitchfall
