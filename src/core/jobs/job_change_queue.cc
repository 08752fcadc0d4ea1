#include "core/jobs/job_change_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/model/http_status.h"
#include "core/model/job.h"
#include "core/model/limits.h"

namespace pitchfall {
namespace {

// A change that could not be stored within this time is refused, so that the
// client, which stops waiting after five seconds, still gets an answer.
constexpr Duration kMaxQueueTime = Millis(2500);

// The delay between a stored batch and the next, in which changes accumulate
// so that one transaction stores several.
constexpr Duration kStoreInterval = Millis(15);
// The delay after the state service replied 429: the rate limit that all
// controllers share is exceeded.
constexpr Duration kRateLimitedDelay = Millis(100);
// The delay after any other error or no reply, when the state service is
// presumably failing.
constexpr Duration kFailureDelay = Millis(200);

// Starts and results of tasks have priority, but they use up the whole write
// budget. Once a submission has waited for this long it takes a token in
// advance, and the next start or result waits instead.
constexpr Duration kSubmissionCreditDelay = Millis(40);
// How many tokens below zero a change may take the write budget. Cancellations
// may do so without waiting first.
constexpr double kMaxSubmissionDebt = 2;
constexpr double kMaxCancellationDebt = 2;

// Submissions are refused once the queue holds as many changes as are stored in
// kMaxQueueSeconds at the present rate, but never while it holds fewer than
// kMinQueueCapacity.
constexpr double kMaxQueueSeconds = 1.5;
constexpr double kMinQueueCapacity = 4;

// The Retry-After of a refused change is the time in which the present queue is
// stored at the present rate, within these bounds. A rate that is nearly zero
// for a moment must not make clients wait for long.
constexpr double kMinDrainRate = 0.5;  // changes per second
constexpr double kMinRetrySeconds = 1;
constexpr double kMaxRetrySeconds = 20;
// The Retry-After for the changes of a transaction that failed or whose outcome
// is unknown. Unless the failure persists, a read that shows the outcome takes
// less time.
constexpr Duration kRetryAfterUnknownOutcome = Millis(1000);

// How long submissions are looked up first after one has repeated that of a job
// that ended long ago.
constexpr Duration kExpectRepeatsFor = Millis(10000);

// Each change takes one condition and one write of a transaction.
constexpr size_t kOperationsPerChange = 2;
// The revision that, in a condition, means that the key must not exist.
constexpr uint64_t kKeyAbsent = 0;

}  // namespace

void JobChangeQueue::Submit(RequestId request, const JobSpec& spec) {
  PendingChange change;
  change.kind = Kind::kSubmission;
  change.job = spec.id;
  change.spec = spec;
  change.requests.push_back(request);
  change.since = outbox_.now().steady;
  Enqueue(std::move(change));
}

void JobChangeQueue::Cancel(RequestId request, const std::string& job_id) {
  PendingChange change;
  change.kind = Kind::kCancellation;
  change.job = job_id;
  change.requests.push_back(request);
  change.since = outbox_.now().steady;
  Enqueue(std::move(change));
}

void JobChangeQueue::RunDueWork() {
  RefuseOverdue();
  StoreNextBatch();
}

void JobChangeQueue::Enqueue(PendingChange change) {
  if (MergeIntoQueued(change)) return;
  if (change.kind == Kind::kCancellation) {
    queue_.push_front(std::move(change));
    return;
  }
  // A submission that cannot be stored in time is refused at once, with the
  // time after which the queue will have been stored.
  double waiting = static_cast<double>(queue_.size());
  double capacity =
      std::max(kMinQueueCapacity, state_.writes.rate() * kMaxQueueSeconds);
  if (waiting >= capacity) {
    Refuse(change, RetryAfter());
    return;
  }
  queue_.push_back(std::move(change));
}

// Repeated requests for the same change are stored once and answered together.
bool JobChangeQueue::MergeIntoQueued(const PendingChange& change) {
  for (PendingChange& waiting : queue_) {
    if (waiting.job != change.job || waiting.kind != change.kind) continue;
    waiting.requests.insert(waiting.requests.end(), change.requests.begin(),
                            change.requests.end());
    return true;
  }
  return false;
}

void JobChangeQueue::RefuseOverdue() {
  SteadyTime now = outbox_.now().steady;
  std::erase_if(queue_, [&](const PendingChange& change) {
    if (now - change.since < kMaxQueueTime) return false;
    Refuse(change, RetryAfter());
    return true;
  });
}

void JobChangeQueue::StoreNextBatch() {
  SteadyTime now = outbox_.now().steady;
  if (storing_ || queue_.empty() || now < next_store_) return;
  Batch batch = TakeBatch(now);
  if (batch.changes.empty()) return;
  // The write tokens are already taken, so the transaction is sent even if the
  // request budget is used up.
  state_.requests.TakeOnCredit(now, 1);
  storing_ = true;
  Transaction transaction = batch.transaction;
  auto handler = [this,
                  batch = std::move(batch)](const StateReply& reply) mutable {
    OnReply(std::move(batch), reply);
  };
  outbox_.CallState(std::move(transaction), tuning_.state_timeout,
                    std::move(handler));
}

// Takes changes off the queue until a limit of the state service or the write
// budget is reached. Changes with nothing left to store are dropped and their
// requests answered with the state of the job.
JobChangeQueue::Batch JobChangeQueue::TakeBatch(SteadyTime now) {
  double submission_reserve = SubmissionReserve(now);
  Batch batch;
  size_t bytes = 0;
  while (!queue_.empty() &&
         batch.changes.size() < state_.state_limits.Operations()) {
    PendingChange& change = queue_.front();
    if (Superseded(change)) {
      PendingChange superseded = std::move(change);
      queue_.pop_front();
      AnswerSuperseded(superseded);
      continue;
    }
    bytes += TransactionBytes(change);
    if (!batch.changes.empty() && bytes > kTransactionBytes) break;
    if (!TakeWriteToken(change, submission_reserve, now)) break;
    AddToTransaction(batch.transaction, change);
    batch.changes.push_back(std::move(change));
    queue_.pop_front();
  }
  return batch;
}

bool JobChangeQueue::Superseded(const PendingChange& change) const {
  if (state_.state_cache.FindOutcome(change.job)) return true;
  bool open = state_.state_cache.FindJob(change.job) != nullptr;
  // A job to cancel was in the state cache; it leaves the cache when it ends.
  return open == (change.kind == Kind::kSubmission);
}

void JobChangeQueue::AnswerSuperseded(const PendingChange& change) {
  for (RequestId request : change.requests) {
    QueryHandlers handlers;
    if (change.kind == Kind::kCancellation) {
      handlers.on_open = [this, request, job = change.job] {
        Cancel(request, job);
      };
    }
    queries_.Answer(request, change.job, TaskCounts::kOmit,
                    std::move(handlers));
  }
}

bool JobChangeQueue::ExpectsRepeatedSubmissions() const {
  return outbox_.now().steady < expects_repeats_until_;
}

size_t JobChangeQueue::TransactionBytes(const PendingChange& change) const {
  const JobSpec& spec = change.kind == Kind::kCancellation
                            ? state_.state_cache.FindJob(change.job)->spec()
                            : change.spec;
  return MaxRecordBytes(spec) + kOperationsPerChange * kOperationBytes;
}

bool JobChangeQueue::TakeWriteToken(const PendingChange& change,
                                    double submission_reserve, SteadyTime now) {
  double reserve = change.kind == Kind::kCancellation ? -kMaxCancellationDebt
                                                      : submission_reserve;
  return state_.writes.Take(now, 1, reserve);
}

// Returns the number of write tokens that submissions must leave. It is
// negative, so that they may take tokens in advance, once the last change in
// the queue has waited for kSubmissionCreditDelay. The last change is the
// newest submission, unless only a retried batch or cancellations are queued.
double JobChangeQueue::SubmissionReserve(SteadyTime now) const {
  bool can_wait = now - queue_.back().since < kSubmissionCreditDelay;
  return can_wait ? 0 : -kMaxSubmissionDebt;
}

void JobChangeQueue::AddToTransaction(Transaction& transaction,
                                      const PendingChange& change) {
  std::string key = keys::Job(change.job);
  if (change.kind == Kind::kSubmission) {
    transaction.conditions.push_back({key, kKeyAbsent});
    transaction.writes.push_back({key, admission_.CreateRecord(change.spec)});
    return;
  }
  const Job* job = state_.state_cache.FindJob(change.job);
  transaction.conditions.push_back({key, job->mod_revision});
  transaction.writes.push_back(
      {key, FinalRecord(job->record, JobState::kCancelled,
                        state_.state_limits.ValueBytes())});
}

void JobChangeQueue::OnReply(Batch batch, const StateReply& reply) {
  storing_ = false;
  SteadyTime now = outbox_.now().steady;
  next_store_ = now + kStoreInterval;
  switch (reply.status) {
    case http_status::kOk:
      OnStored(batch, reply.revision);
      return;
    case http_status::kTooManyRequests:
      state_.writes.Drain(now);
      next_store_ = now + kRateLimitedDelay;
      Requeue(std::move(batch.changes));
      return;
    case http_status::kConflict:
      // Another controller has changed one of the jobs. The batch is retried
      // after the next read, whether that read succeeds or not.
      state_.state_watcher.AfterNextRead(
          [this, changes = std::move(batch.changes),
           failed_keys = reply.failed_keys](bool read_succeeded) {
            if (read_succeeded) {
              RetryAfterConflict(changes, failed_keys);
            } else {
              Requeue(changes);
            }
          });
      return;
    default:
      break;
  }
  // The transaction failed, or there was no reply. Without a reply the outcome
  // is unknown, and the transaction may still be executed later. A job's key is
  // created only once, so the client learns the outcome when it retries.
  state_.state_watcher.RequestRead();
  next_store_ = now + kFailureDelay;
  for (const PendingChange& change : batch.changes) {
    Refuse(change, kRetryAfterUnknownOutcome);
  }
}

void JobChangeQueue::RetryAfterConflict(
    std::vector<PendingChange> changes,
    const std::vector<std::string>& failed_keys) {
  std::erase_if(changes, [&](const PendingChange& change) {
    if (!RepeatsEndedJob(change, failed_keys)) return false;
    AnswerRepeated(change);
    return true;
  });
  Requeue(std::move(changes));
}

bool JobChangeQueue::RepeatsEndedJob(
    const PendingChange& change,
    const std::vector<std::string>& failed_keys) const {
  if (change.kind != Kind::kSubmission || Superseded(change)) return false;
  return std::ranges::find(failed_keys, keys::Job(change.job)) !=
         failed_keys.end();
}

// The conflict has shown that the job is stored, so if it is not found the
// client has to ask again.
void JobChangeQueue::AnswerRepeated(const PendingChange& change) {
  expects_repeats_until_ = outbox_.now().steady + kExpectRepeatsFor;
  for (RequestId request : change.requests) {
    QueryHandlers handlers;
    handlers.on_absent = [this, request] {
      outbox_.Refuse(request, kRetryAfterUnknownOutcome);
    };
    queries_.AnswerAsOf(request, change.job, TaskCounts::kOmit, change.since,
                        std::move(handlers));
  }
}

void JobChangeQueue::OnStored(const Batch& batch, uint64_t revision) {
  for (const Write& write : batch.transaction.writes) {
    state_.state_cache.Apply({write.key, write.value, revision});
  }
  for (const PendingChange& change : batch.changes) Acknowledge(change);
}

void JobChangeQueue::Acknowledge(const PendingChange& change) {
  if (change.kind == Kind::kCancellation) {
    for (RequestId request : change.requests) {
      queries_.AnswerAsOf(request, change.job, TaskCounts::kOmit, change.since);
    }
    return;
  }
  JobAnswer answer;
  answer.id = change.job;
  answer.status = JobAnswer::Status::kQueued;
  for (RequestId request : change.requests) {
    outbox_.Answer(request, http_status::kCreated, answer);
  }
}

// Puts the changes back at the front of the queue, in reverse order. They keep
// the time at which they were first queued.
void JobChangeQueue::Requeue(std::vector<PendingChange> changes) {
  for (PendingChange& change : changes) queue_.push_front(std::move(change));
}

void JobChangeQueue::Refuse(const PendingChange& change, Duration retry_after) {
  for (RequestId request : change.requests) {
    outbox_.Refuse(request, retry_after);
  }
}

Duration JobChangeQueue::RetryAfter() const {
  double rate = std::max(kMinDrainRate, state_.writes.rate());
  double seconds = std::ceil(static_cast<double>(queue_.size()) / rate);
  return Seconds(std::clamp(seconds, kMinRetrySeconds, kMaxRetrySeconds));
}

}  // namespace pitchfall
