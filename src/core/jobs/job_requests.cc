#include "core/jobs/job_requests.h"

#include <utility>
#include <variant>

#include "core/jobs/client_answers.h"
#include "core/model/http_status.h"
#include "core/model/job.h"

namespace pitchfall {

JobRequests::JobRequests(Context& context)
    : outbox_(context.outbox),
      state_cache_(context.state_cache),
      state_watcher_(context.state_watcher),
      lookup_(context.tuning, context.outbox, context.state_request_bucket),
      queries_(context.outbox, context.state_cache, context.state_watcher,
               context.cancellation_acknowledgements, lookup_),
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
  bool known = state_cache_.FindJob(spec.id) != nullptr ||
               state_cache_.FindOutcome(spec.id).has_value();
  if (known) {
    queries_.Answer(request, spec.id, TaskCounts::kOmit);
    return;
  }
  AdmissionDecision decision = admission_.Check(spec);
  bool admitted = std::holds_alternative<Admitted>(decision);
  // An admitted job is stored on condition that it is not stored already, which
  // needs no read beforehand.
  bool look_up_first = !admitted || changes_.ExpectsRepeatedSubmissions();
  if (look_up_first && state_watcher_.IsFresh()) {
    AnswerUnlessStored(request, spec, decision);
  } else {
    AnswerDecision(request, spec, decision);
  }
}

void JobRequests::AnswerUnlessStored(RequestId request, const JobSpec& spec,
                                     const AdmissionDecision& decision) {
  QueryHandlers handlers;
  handlers.on_absent = [this, request, spec, decision] {
    AnswerDecision(request, spec, decision);
  };
  queries_.Answer(request, spec.id, TaskCounts::kOmit, std::move(handlers));
}

void JobRequests::AnswerDecision(RequestId request, const JobSpec& spec,
                                 const AdmissionDecision& decision) {
  if (const auto* rejection = std::get_if<Rejection>(&decision)) {
    outbox_.Answer(request, http_status::kUnprocessableContent,
                   Problem{rejection->message});
  } else if (const auto* later = std::get_if<RetryLater>(&decision)) {
    outbox_.Refuse(request, later->retry_after);
  } else {
    changes_.Submit(request, spec);
  }
}

void JobRequests::Poll(RequestId request, const std::string& job_id) {
  queries_.Answer(request, job_id, TaskCounts::kInclude);
}

void JobRequests::Cancel(RequestId request, const std::string& job_id) {
  if (state_cache_.FindOutcome(job_id)) {
    queries_.Answer(request, job_id, TaskCounts::kOmit);
    return;
  }
  if (!state_watcher_.IsFresh()) {
    outbox_.Refuse(request, kRetryAfterStateUnreadable);
    return;
  }
  if (state_cache_.FindJob(job_id) != nullptr) {
    changes_.Cancel(request, job_id);
    return;
  }
  // Another controller may have stored the job so recently that the state cache
  // does not show it yet, or it has ended long ago.
  QueryHandlers handlers;
  handlers.on_open = [this, request, job_id] {
    changes_.Cancel(request, job_id);
  };
  queries_.Answer(request, job_id, TaskCounts::kOmit, std::move(handlers));
}

void JobRequests::RunDueWork() {
  queries_.RunDueWork();
  changes_.RunDueWork();
  lookup_.RunDueWork();
}

}  // namespace pitchfall
