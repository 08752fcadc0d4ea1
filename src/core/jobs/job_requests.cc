#include "core/jobs/job_requests.h"

#include <variant>

#include "core/jobs/client_answers.h"
#include "core/model/http_status.h"
#include "core/model/job.h"

namespace pitchfall {

JobRequests::JobRequests(Context& context)
    : outbox_(context.outbox),
      state_cache_(context.state_cache),
      state_watcher_(context.state_watcher),
      queries_(context.outbox, context.state_cache, context.state_watcher,
               context.cancellation_acknowledgements),
      admission_(context.deployment, context.tuning, context.outbox,
                 context.state_cache, context.state_watcher,
                 context.state_limits, context.capacity_table,
                 context.partition_count),
      changes_(context.tuning, context.outbox,
               StateAccess{context.state_cache, context.state_watcher,
                           context.state_request_bucket,
                           context.state_write_bucket, context.state_limits},
               admission_, queries_) {}

void JobRequests::Submit(RequestId request, const JobSpec& spec) {
  if (state_cache_.FindJob(spec.id) != nullptr) {
    queries_.Answer(request, spec.id, TaskCounts::kOmit);
    return;
  }
  AdmissionDecision decision = admission_.Check(spec);
  if (const auto* rejection = std::get_if<Rejection>(&decision)) {
    outbox_.Answer(request, http_status::kUnprocessableContent,
                   Problem{rejection->message});
    return;
  }
  if (const auto* later = std::get_if<RetryLater>(&decision)) {
    outbox_.Refuse(request, later->retry_after);
    return;
  }
  changes_.Submit(request, spec);
}

void JobRequests::Poll(RequestId request, const std::string& job_id) {
  queries_.Answer(request, job_id, TaskCounts::kInclude);
}

void JobRequests::Cancel(RequestId request, const std::string& job_id) {
  const Job* job = state_cache_.FindJob(job_id);
  if (job != nullptr && job->record.final()) {
    queries_.Answer(request, job_id, TaskCounts::kOmit);
    return;
  }
  if (!state_watcher_.IsFresh()) {
    outbox_.Refuse(request, kRetryAfterStateUnreadable);
    return;
  }
  if (job == nullptr) {
    CancelAfterNextRead(request, job_id);
    return;
  }
  changes_.Cancel(request, job_id);
}

// Another controller may have stored the job so recently that only the next
// read shows it.
void JobRequests::CancelAfterNextRead(RequestId request,
                                      const std::string& job_id) {
  state_watcher_.AfterNextRead([this, request, job_id](bool read_succeeded) {
    if (!read_succeeded) {
      outbox_.Refuse(request, kRetryAfterStateUnreadable);
      return;
    }
    if (state_cache_.FindJob(job_id) == nullptr) {
      outbox_.Answer(request, http_status::kNotFound, Problem{kNoSuchJob});
      return;
    }
    changes_.Cancel(request, job_id);
  });
}

void JobRequests::RunDueWork() {
  queries_.RunDueWork();
  changes_.RunDueWork();
}

}  // namespace pitchfall
