// The queue through which submissions and cancellations are stored in the state
// service.
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

// What the queue uses to access the state service. All references must outlive
// the queue.
struct StateAccess {
  StateCache& state_cache;          // this process's copy of the state
  StateWatcher& state_watcher;      // reads the state service
  TokenBucket& requests;            // budget of requests to the service
  TokenBucket& writes;              // budget of puts and deletes
  const StateLimits& state_limits;  // size limits of writes
};

// Queues changes to job records and stores them in batches, with at most one
// compare-and-swap transaction in flight. A request is acknowledged only once
// its change is stored. A change that waits too long, or that finds the queue
// full, is refused with a Retry-After. After a conflict, or when the state
// service's rate limit is exceeded, the batch is retried.
class JobChangeQueue {
 public:
  JobChangeQueue(const Tuning& tuning, Outbox& outbox, StateAccess state,
                 JobAdmission& admission, JobQueries& queries)
      : tuning_(tuning),
        outbox_(outbox),
        state_(state),
        admission_(admission),
        queries_(queries) {}

  // Queues an admitted submission, or refuses it at once if more changes are
  // waiting than can be stored in time. A repeated submission of a waiting job
  // is answered together with the first.
  void Submit(RequestId request, const JobSpec& spec);

  // Queues the cancellation of a job ahead of all submissions. The job must be
  // in the state cache.
  void Cancel(RequestId request, const std::string& job_id);

  // Whether submissions have lately turned out to be repetitions for jobs that
  // the state cache does not hold. Such a submission costs a write that fails,
  // so each should be looked up before it is queued.
  bool ExpectsRepeatedSubmissions() const;

  // Refuses changes that have waited too long, and starts to store the next
  // batch if no transaction is in flight. To be called once per batch of
  // commands.
  void RunDueWork();

 private:
  enum class Kind : uint8_t { kSubmission, kCancellation };
  // A change that is not stored yet.
  struct PendingChange {
    Kind kind = Kind::kSubmission;
    std::string job;                  // the job's identifier
    JobSpec spec;                     // empty for a cancellation
    std::vector<RequestId> requests;  // all get the same answer
    SteadyTime since;                 // when the first request arrived
  };
  // Changes with the transaction that stores them, in the same order.
  struct Batch {
    std::vector<PendingChange> changes;
    Transaction transaction;
  };

  void Enqueue(PendingChange change);
  // Adds the change's requests to an equal change in the queue. Returns false
  // if there is none.
  bool MergeIntoQueued(const PendingChange& change);
  // Refuses and drops all changes that have waited too long.
  void RefuseOverdue();
  void StoreNextBatch();
  // Takes the next batch off the queue; it is empty if the write budget is used
  // up or nothing is left to store.
  Batch TakeBatch(SteadyTime now);
  // Returns whether the state cache shows that nothing is left to store: the
  // job of a submission is stored already, or the job to cancel is final.
  bool Superseded(const PendingChange& change) const;
  // Answers the change's requests with the state of the job.
  void AnswerSuperseded(const PendingChange& change);
  // Answers the submissions of jobs that the transaction has shown to be
  // stored, and that have left the state cache, and queues the other changes
  // again.
  void RetryAfterConflict(std::vector<PendingChange> changes,
                          const std::vector<std::string>& failed_keys);
  // Whether the change is the submission of such a job.
  bool RepeatsEndedJob(const PendingChange& change,
                       const std::vector<std::string>& failed_keys) const;
  void AnswerRepeated(const PendingChange& change);
  // Returns the largest number of bytes that the change can add to a
  // transaction.
  size_t TransactionBytes(const PendingChange& change) const;
  // Takes one write token for the change. Returns false, without taking it, if
  // fewer than `submission_reserve` would be left. For a cancellation the
  // reserve is -kMaxCancellationDebt instead.
  bool TakeWriteToken(const PendingChange& change, double submission_reserve,
                      SteadyTime now);
  double SubmissionReserve(SteadyTime now) const;
  void AddToTransaction(Transaction& transaction, const PendingChange& change);
  // Acknowledges, requeues or refuses the batch, depending on the reply.
  void OnReply(Batch batch, const StateReply& reply);
  // Applies a batch that was stored at `revision` to the state cache and
  // acknowledges its changes.
  void OnStored(const Batch& batch, uint64_t revision);
  // Answers the change's requests: 201 for a submission, and for a cancellation
  // 200 as soon as it may be confirmed.
  void Acknowledge(const PendingChange& change);
  void Requeue(std::vector<PendingChange> changes);
  // Answers the change's requests with 503 and Retry-After.
  void Refuse(const PendingChange& change, Duration retry_after);
  // Returns the Retry-After of a refusal: the estimated time until the present
  // queue has been stored.
  Duration RetryAfter() const;

  const Tuning& tuning_;
  Outbox& outbox_;
  StateAccess state_;
  JobAdmission& admission_;
  JobQueries& queries_;
  // Cancellations come first, the newest before the others, then submissions
  // in the order of their arrival. A batch that is retried is put before
  // everything that is queued at that time, in reverse order.
  std::deque<PendingChange> queue_;
  bool storing_ = false;     // whether a transaction is in flight
  SteadyTime next_store_{};  // no batch is stored before this time
  // Until when ExpectsRepeatedSubmissions() holds.
  SteadyTime expects_repeats_until_{};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_JOB_CHANGE_QUEUE_H_
