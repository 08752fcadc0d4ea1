// Handles the requests of clients: submissions, polls and cancellations. Every
// controller serves every client. No change is acknowledged before it is
// stored.
#ifndef PITCHFALL_CORE_JOBS_JOB_REQUESTS_H_
#define PITCHFALL_CORE_JOBS_JOB_REQUESTS_H_

#include <cstdint>
#include <string>

#include "core/jobs/job_admission.h"
#include "core/jobs/job_change_queue.h"
#include "core/jobs/job_lookup.h"
#include "core/jobs/job_queries.h"
#include "core/model/messages.h"
#include "core/model/outbox.h"
#include "core/model/records.h"
#include "core/state/context.h"
#include "core/state/state_cache.h"
#include "core/state/state_watcher.h"

namespace pitchfall {

// Passes each request to admission, the change queue or the queries. Every
// request is answered exactly once.
class JobRequests {
 public:
  // `context` must outlive the object.
  explicit JobRequests(Context& context);
  JobRequests(const JobRequests&) = delete;
  JobRequests& operator=(const JobRequests&) = delete;

  // Answers with 201 once the job is stored, 200 if it was stored already, 422
  // if it can never run, or 503 with Retry-After.
  void Submit(RequestId request, const JobSpec& spec);
  // Answers with 200 and the job's state, 404 if there is no such job, or 503
  // with Retry-After.
  void Poll(RequestId request, const std::string& job_id);
  // Answers with 200 once the cancellation is stored and may be confirmed
  // (CancellationAcknowledgements) or if the job is done, 404 if there is no
  // such job, or 503 with Retry-After.
  void Cancel(RequestId request, const std::string& job_id);

  // Advances the waiting queries and changes. To be called once per batch of
  // commands, after all commands have been handled.
  void RunDueWork();

 private:
  // Answers with the decision, unless the job turns out to be stored: then its
  // state is the answer, whatever the decision about a new job would be.
  void AnswerUnlessStored(RequestId request, const JobSpec& spec,
                          const AdmissionDecision& decision);
  // Carries out the decision about a job that is not stored.
  void AnswerDecision(RequestId request, const JobSpec& spec,
                      const AdmissionDecision& decision);

  Outbox& outbox_;
  const StateCache& state_cache_;
  StateWatcher& state_watcher_;
  JobLookup lookup_;
  JobQueries queries_;
  JobAdmission admission_;
  JobChangeQueue changes_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_JOB_REQUESTS_H_
