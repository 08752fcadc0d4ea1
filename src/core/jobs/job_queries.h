// Answers clients' queries for the state of a job, after a linearizable read
// unless that state is final. Every answer that shows a job as cancelled goes
// through here.
#ifndef PITCHFALL_CORE_JOBS_JOB_QUERIES_H_
#define PITCHFALL_CORE_JOBS_JOB_QUERIES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/jobs/job_lookup.h"
#include "core/model/job.h"
#include "core/model/messages.h"
#include "core/model/outbox.h"
#include "core/state/cancellation_acknowledgements.h"
#include "core/state/state_cache.h"
#include "core/state/state_watcher.h"

namespace pitchfall {

// Whether an answer includes the numbers of tasks that are done and running.
// Answers to polls include them; answers to submissions and cancellations omit
// them.
enum class TaskCounts : uint8_t { kOmit, kInclude };

// What to do, instead of the usual answer, if the job turns out to be absent or
// open. Whatever is set answers the request.
struct QueryHandlers {
  std::function<void()> on_absent;  // unset: 404
  std::function<void()> on_open;    // unset: 200 and the job's present state
};

// Answers queries for the state of jobs. A final state never changes, so it is
// answered as soon as it is known, from the state cache or from the job's
// stored record: at once if the job is done, and as soon as it may be confirmed
// if the job is cancelled. Any other state is answered after a read of the
// state service that starts after the query arrived, because another controller
// may have changed the job meanwhile. All waiting queries share one read. A job
// that the state cache lacks is looked up.
class JobQueries {
 public:
  // All references must outlive this object.
  JobQueries(Outbox& outbox, StateCache& state_cache,
             StateWatcher& state_watcher,
             const CancellationAcknowledgements& acknowledgements,
             JobLookup& lookup)
      : outbox_(outbox),
        state_cache_(state_cache),
        state_watcher_(state_watcher),
        acknowledgements_(acknowledgements),
        lookup_(lookup) {}

  // Answers `request`, now or later: with 200 and the job's state, with 404 if
  // no such job is stored, or with 503 and Retry-After if the state service
  // cannot be read in time, a cancellation cannot be confirmed in time, or too
  // many queries are waiting already.
  void Answer(RequestId request, const std::string& job_id, TaskCounts counts,
              QueryHandlers handlers = {});
  // The same for a request that arrived at `since`, perhaps earlier.
  void AnswerAsOf(RequestId request, const std::string& job_id,
                  TaskCounts counts, SteadyTime since,
                  QueryHandlers handlers = {});

  // Answers the queries whose job's cancellation may be confirmed now. Refuses
  // those that have waited too long or, while the state cache is out of date,
  // all that wait for a read, and requests a read for the others if none is
  // pending. While the first listing is in progress, jobs are looked up
  // instead. To be called once per batch of commands, before
  // JobLookup::RunDueWork.
  void RunDueWork();

 private:
  struct WaitingQuery {
    RequestId request = 0;
    std::string job;  // the job's identifier
    TaskCounts counts = TaskCounts::kOmit;
    SteadyTime since;  // when the query arrived
    QueryHandlers handlers;
    // A lookup has shown that the job is open.
    bool stored_as_open = false;
  };
  // A query for a job that is cancelled, which may not be confirmed yet.
  struct UnconfirmedQuery {
    WaitingQuery query;
    JobOutcome cancellation;
    SteadyTime found;  // when the cancellation was found
  };

  // Looks up the jobs in `waiting_` that the state cache lacks. A lookup is a
  // linearizable read itself.
  void LookUpUnknown();
  // Answers the query from the state cache, looks the job up if it is not
  // there, or refuses the query if the read failed.
  void AnswerFromCache(const WaitingQuery& query, bool read_succeeded);
  void LookUp(const WaitingQuery& query);
  void AnswerFromLookup(const WaitingQuery& query, const LookupResult& result);
  void AnswerAfterItIsRead(const WaitingQuery& query);
  // Answers with the outcome, later if it is a cancellation that may not be
  // confirmed yet.
  void AnswerWithOutcome(const WaitingQuery& query, const JobOutcome& outcome);
  void AnswerOpen(const WaitingQuery& query, const Job& job);
  void AnswerAbsent(const WaitingQuery& query);
  void SendOutcome(const WaitingQuery& query, const JobOutcome& outcome);
  // How long the query may wait in all.
  static Duration MaxWait(const WaitingQuery& query);
  bool TooManyWaiting() const;
  // Answers or refuses the queries in `unconfirmed_` that need not wait longer.
  void AnswerUnconfirmed();
  void LogLateConfirmation(const UnconfirmedQuery& waiting, bool confirmed);
  // Refuses and drops all queries in `waiting_`.
  void RefuseAll();
  // Refuses and drops the queries in `waiting_` that have waited too long.
  void RefuseOverdue();
  // Requests a read and answers all queries in `waiting_` after it.
  void AnswerAfterNextRead();

  Outbox& outbox_;
  StateCache& state_cache_;
  StateWatcher& state_watcher_;
  const CancellationAcknowledgements& acknowledgements_;
  JobLookup& lookup_;
  std::vector<UnconfirmedQuery> unconfirmed_;
  // Queries for which no read has been requested yet.
  std::vector<WaitingQuery> waiting_;
  // Whether a read is pending, for queries that are no longer in `waiting_`.
  bool read_pending_ = false;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_JOB_QUERIES_H_
