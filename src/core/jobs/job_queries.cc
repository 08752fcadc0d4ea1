#include "core/jobs/job_queries.h"

#include <utility>

#include "core/jobs/client_answers.h"
#include "core/model/http_status.h"

namespace pitchfall {
namespace {

// How long a query may wait before its read is requested. Clients wait two
// seconds for the answer to a poll; the rest of that time is left for sending
// the answer.
constexpr Duration kMaxQueryWait = Millis(1500);
// Limits the memory that waiting queries use, and the burst of answers after a
// slow read.
constexpr size_t kMaxWaitingQueries = 2000;

}  // namespace

void JobQueries::Answer(RequestId request, const std::string& job_id,
                        TaskCounts counts) {
  const Job* job = state_cache_.FindJob(job_id);
  if (job != nullptr && job->record.final()) {
    AnswerWith(request, *job, counts);
    return;
  }
  if (waiting_.size() >= kMaxWaitingQueries) {
    outbox_.Refuse(request, kRetryAfterStateUnreadable);
    return;
  }
  waiting_.push_back({request, job_id, counts, outbox_.now().steady});
}

void JobQueries::RunDueWork() {
  if (waiting_.empty()) return;
  // Clients must not be kept waiting while the state service does not answer.
  if (!state_watcher_.IsFresh()) {
    RefuseAll();
    return;
  }
  RefuseOverdue();
  if (read_pending_ || waiting_.empty()) return;
  AnswerAfterNextRead();
}

void JobQueries::RefuseAll() {
  for (const WaitingQuery& query : std::exchange(waiting_, {})) {
    outbox_.Refuse(query.request, kRetryAfterStateUnreadable);
  }
}

void JobQueries::RefuseOverdue() {
  SteadyTime now = outbox_.now().steady;
  std::erase_if(waiting_, [&](const WaitingQuery& query) {
    if (now - query.since < kMaxQueryWait) return false;
    outbox_.Refuse(query.request, kRetryAfterStateUnreadable);
    return true;
  });
}

void JobQueries::AnswerAfterNextRead() {
  read_pending_ = true;
  state_watcher_.AfterNextRead(
      [this, queries = std::exchange(waiting_, {})](bool read_succeeded) {
        read_pending_ = false;
        for (const WaitingQuery& query : queries) {
          AnswerFromCache(query, read_succeeded);
        }
      });
}

void JobQueries::AnswerFromCache(const WaitingQuery& query,
                                 bool read_succeeded) {
  if (!read_succeeded) {
    outbox_.Refuse(query.request, kRetryAfterStateUnreadable);
    return;
  }
  const Job* job = state_cache_.FindJob(query.job);
  if (job == nullptr) {
    outbox_.Answer(query.request, http_status::kNotFound, Problem{kNoSuchJob});
    return;
  }
  AnswerWith(query.request, *job, query.counts);
}

void JobQueries::AnswerWith(RequestId request, const Job& job,
                            TaskCounts counts) {
  outbox_.Answer(request, http_status::kOk,
                 MakeJobAnswer(job, counts == TaskCounts::kInclude));
}

}  // namespace pitchfall
