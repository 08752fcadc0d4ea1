#include "core/jobs/job_queries.h"

#include <utility>

#include "core/jobs/client_answers.h"
#include "core/model/http_status.h"

namespace pitchfall {
namespace {

// How long a query may wait before its read is requested, and a poll for a
// lookup or the confirmation of a cancellation. Clients wait two seconds for
// the answer to a poll; the rest of that time is left for sending the answer.
constexpr Duration kMaxQueryWait = Millis(1500);
// How long a submission or cancellation may wait for a lookup or a
// confirmation: clients wait five seconds for the answer.
constexpr Duration kMaxConfirmationWait = Millis(4000);
// The Retry-After if a cancellation could not be confirmed in time.
constexpr Duration kRetryAfterUnconfirmed = Millis(1000);
// Confirmations that take longer are logged.
constexpr Duration kLateConfirmation = Millis(500);
// Limits the memory that waiting queries use, and the burst of answers after a
// slow read.
constexpr size_t kMaxWaitingQueries = 2000;

}  // namespace

void JobQueries::Answer(RequestId request, const std::string& job_id,
                        TaskCounts counts, QueryHandlers handlers) {
  AnswerAsOf(request, job_id, counts, outbox_.now().steady,
             std::move(handlers));
}

void JobQueries::AnswerAsOf(RequestId request, const std::string& job_id,
                            TaskCounts counts, SteadyTime since,
                            QueryHandlers handlers) {
  WaitingQuery query{request,
                     job_id,
                     counts,
                     since,
                     std::move(handlers),
                     /*stored_as_open=*/false};
  if (auto outcome = state_cache_.FindOutcome(job_id)) {
    AnswerWithOutcome(query, *outcome);
    return;
  }
  if (TooManyWaiting()) {
    outbox_.Refuse(request, kRetryAfterStateUnreadable);
    return;
  }
  waiting_.push_back(std::move(query));
}

bool JobQueries::TooManyWaiting() const {
  return waiting_.size() + unconfirmed_.size() + lookup_.waiting() >=
         kMaxWaitingQueries;
}

void JobQueries::RunDueWork() {
  AnswerUnconfirmed();
  if (waiting_.empty()) return;
  // Reading all open jobs may take a while; jobs that have ended are found
  // without them.
  if (!state_watcher_.loaded()) {
    for (const WaitingQuery& query : std::exchange(waiting_, {})) LookUp(query);
    return;
  }
  // Clients must not be kept waiting while the state service does not answer.
  if (!state_watcher_.IsFresh()) {
    RefuseAll();
    return;
  }
  RefuseOverdue();
  LookUpUnknown();
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

void JobQueries::LookUpUnknown() {
  std::erase_if(waiting_, [this](const WaitingQuery& query) {
    bool unknown =
        !query.stored_as_open && state_cache_.FindJob(query.job) == nullptr;
    if (unknown) LookUp(query);
    return unknown;
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
  if (auto outcome = state_cache_.FindOutcome(query.job)) {
    AnswerWithOutcome(query, *outcome);
    return;
  }
  const Job* job = state_cache_.FindJob(query.job);
  if (job == nullptr) {
    LookUp(query);
  } else {
    AnswerOpen(query, *job);
  }
}

void JobQueries::LookUp(const WaitingQuery& query) {
  lookup_.Find(query.job, query.since + MaxWait(query),
               [this, query](const LookupResult& result) {
                 AnswerFromLookup(query, result);
               });
}

void JobQueries::AnswerFromLookup(const WaitingQuery& query,
                                  const LookupResult& result) {
  if (std::holds_alternative<JobAbsent>(result)) {
    AnswerAbsent(query);
    return;
  }
  const auto* stored = std::get_if<StoredJob>(&result);
  if (stored == nullptr) {
    outbox_.Refuse(query.request, kRetryAfterStateUnreadable);
    return;
  }
  if (!stored->record.final()) {
    AnswerAfterItIsRead(query);
    return;
  }
  JobOutcome outcome = OutcomeOf(stored->record, stored->mod_revision);
  outcome.id = query.job;
  state_cache_.AddOutcome(outcome);
  AnswerWithOutcome(query, outcome);
}

// The state cache has not been read up to the job's submission yet. Its tasks
// are known only from there.
void JobQueries::AnswerAfterItIsRead(const WaitingQuery& query) {
  if (state_watcher_.loaded()) {
    waiting_.push_back(query);
    waiting_.back().stored_as_open = true;
  } else {
    outbox_.Refuse(query.request, kRetryAfterStateUnreadable);
  }
}

void JobQueries::AnswerWithOutcome(const WaitingQuery& query,
                                   const JobOutcome& outcome) {
  bool cancelled = outcome.state == JobState::kCancelled;
  SteadyTime now = outbox_.now().steady;
  if (!cancelled || acknowledgements_.MayConfirm(outcome, now)) {
    SendOutcome(query, outcome);
    return;
  }
  if (TooManyWaiting()) {
    outbox_.Refuse(query.request, kRetryAfterUnconfirmed);
    return;
  }
  // An owner that does not acknowledge the cancellation may turn out to have
  // none of the job's tasks.
  state_watcher_.RequestRead();
  unconfirmed_.push_back({query, outcome, now});
}

void JobQueries::AnswerUnconfirmed() {
  SteadyTime now = outbox_.now().steady;
  std::erase_if(unconfirmed_, [&](const UnconfirmedQuery& waiting) {
    if (acknowledgements_.MayConfirm(waiting.cancellation, now)) {
      LogLateConfirmation(waiting, /*confirmed=*/true);
      SendOutcome(waiting.query, waiting.cancellation);
      return true;
    }
    if (now - waiting.query.since < MaxWait(waiting.query)) return false;
    LogLateConfirmation(waiting, /*confirmed=*/false);
    outbox_.Refuse(waiting.query.request, kRetryAfterUnconfirmed);
    return true;
  });
}

Duration JobQueries::MaxWait(const WaitingQuery& query) {
  bool poll = query.counts == TaskCounts::kInclude;
  return poll ? kMaxQueryWait : kMaxConfirmationWait;
}

void JobQueries::LogLateConfirmation(const UnconfirmedQuery& waiting,
                                     bool confirmed) {
  Duration waited = outbox_.now().steady - waiting.found;
  if (waited < kLateConfirmation) return;
  outbox_.Log(LogLevel::kInfo,
              "event=late_confirmation job={} waited={:.2f} confirmed={}",
              waiting.query.job, ToSeconds(waited), confirmed);
}

void JobQueries::AnswerOpen(const WaitingQuery& query, const Job& job) {
  if (query.handlers.on_open) {
    query.handlers.on_open();
    return;
  }
  bool counts = query.counts == TaskCounts::kInclude;
  outbox_.Answer(query.request, http_status::kOk, MakeJobAnswer(job, counts));
}

void JobQueries::AnswerAbsent(const WaitingQuery& query) {
  if (query.handlers.on_absent) {
    query.handlers.on_absent();
    return;
  }
  outbox_.Answer(query.request, http_status::kNotFound, Problem{kNoSuchJob});
}

void JobQueries::SendOutcome(const WaitingQuery& query,
                             const JobOutcome& outcome) {
  bool counts = query.counts == TaskCounts::kInclude;
  outbox_.Answer(query.request, http_status::kOk,
                 MakeJobAnswer(outcome, counts));
}

}  // namespace pitchfall
