// Stores submissions and cancellations in the state service.
#ifndef PITCHFALL_CORE_JOBS_JOB_CHANGE_QUEUE_H_
#define PITCHFALL_CORE_JOBS_JOB_CHANGE_QUEUE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "core/jobs/job_admission.h"
#include "core/jobs/job_queries.h"
#include "core/model/messages.h"
#include "core/model/outbox.h"
#include "core/model/records.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"
#include "core/state/state_limits.h"
#include "core/state/state_watcher.h"

namespace pitchfall {

// The state service as the queue uses it: the copy that it keeps, the reads,
// and the budgets and limits of writes.
struct StateAccess {
  StateCache& state_cache;
  StateWatcher& state_watcher;
  TokenBucket& requests;
  TokenBucket& writes;
  const StateLimits& state_limits;
};

// A queue of changes to job records, batched into one compare-and-swap
// transaction at a time. A request is acknowledged only once its change is
// stored. Changes that are waiting too long, or are too many, are refused with
// a Retry-After; after a conflict or a used-up rate the batch is tried again.
class JobChangeQueue {
 public:
  JobChangeQueue(const Tuning& tuning, Outbox& out, StateAccess state,
                 JobAdmission& admission, JobQueries& queries)
      : tuning_(tuning),
        out_(out),
        state_(state),
        admission_(admission),
        queries_(queries) {}

  // Queues an admitted submission. Refuses it at once if more are waiting than
  // can be stored in time. A repeated submission joins the one that waits.
  void Submit(RequestId request, const JobSpec& spec);

  // Queues the cancellation of a job that is in the state cache, ahead of all
  // submissions.
  void Cancel(RequestId request, const std::string& job);

  // Refuses what has waited too long and stores the next batch, if none is
  // under way. To be called once per batch of commands.
  void Step();

  // How many cancellations this process has stored.
  uint64_t cancellations_stored() const { return cancellations_stored_; }

 private:
  enum class Kind : uint8_t { kSubmission, kCancellation };
  struct PendingChange {
    Kind kind = Kind::kSubmission;
    std::string job;
    JobSpec spec;  // of a submission
    std::vector<RequestId> requests;
    SteadyTime since;
  };
  struct Batch {
    std::vector<PendingChange> changes;
    Transaction transaction;
  };

  void Enqueue(PendingChange change);
  bool JoinWaiting(const PendingChange& change);
  void RefuseOverdue();
  void StoreNextBatch();
  Batch TakeBatch(SteadyTime now);
  // Whether the state cache shows that there is nothing left to store.
  bool Superseded(const PendingChange& change) const;
  size_t TransactionBytes(const PendingChange& change) const;
  // Takes the change's share of the write budget.
  bool TakeWrite(const PendingChange& change, double submission_reserve,
                 SteadyTime now);
  double SubmissionReserve(SteadyTime now) const;
  void AddTo(Transaction& transaction, const PendingChange& change);
  void OnReply(Batch batch, const StateReply& reply);
  void OnStored(const Batch& batch, uint64_t revision);
  void Acknowledge(const PendingChange& change);
  void Requeue(std::vector<PendingChange> changes);
  void Refuse(const PendingChange& change, Duration retry_after);
  Duration RetryAfter() const;

  const Tuning& tuning_;
  Outbox& out_;
  StateAccess state_;
  JobAdmission& admission_;
  JobQueries& queries_;
  // Cancellations first, except that a batch to be tried again comes before all
  // others and in reverse order.
  std::deque<PendingChange> queue_;
  bool storing_ = false;  // a transaction is under way
  SteadyTime next_store_{};
  uint64_t cancellations_stored_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_JOB_CHANGE_QUEUE_H_
