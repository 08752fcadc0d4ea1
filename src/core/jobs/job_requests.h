// The requests of clients: submissions, polls and cancellations. Any controller
// serves any client; nothing is acknowledged before it is stored.
#ifndef PITCHFALL_CORE_JOBS_JOB_REQUESTS_H_
#define PITCHFALL_CORE_JOBS_JOB_REQUESTS_H_

#include <cstdint>
#include <string>

#include "core/jobs/job_admission.h"
#include "core/jobs/job_change_queue.h"
#include "core/jobs/job_queries.h"
#include "core/model/messages.h"
#include "core/model/outbox.h"
#include "core/model/records.h"
#include "core/state/context.h"
#include "core/state/state_cache.h"
#include "core/state/state_watcher.h"

namespace pitchfall {

// Leads each request through admission, the queue of changes or the queries.
// Every request gets one answer.
class JobRequests {
 public:
  explicit JobRequests(Context& context);
  JobRequests(const JobRequests&) = delete;
  JobRequests& operator=(const JobRequests&) = delete;

  // 201 once the job is stored, 200 if it was already, 422 if it can never run,
  // or 503 with Retry-After.
  void Submit(RequestId request, const JobSpec& spec);
  // 200 with the job's state, 404, or 503 with Retry-After.
  void Poll(RequestId request, const std::string& job);
  // 200 once the cancellation is stored or the job is over, 404, or 503 with
  // Retry-After.
  void Cancel(RequestId request, const std::string& job);

  // To be called once per batch of commands, after all of them.
  void Step();

  // How many cancellations this process has stored.
  uint64_t cancellations_stored() const {
    return changes_.cancellations_stored();
  }

 private:
  void CancelAfterNextRead(RequestId request, const std::string& job);

  Outbox& out_;
  const StateCache& state_cache_;
  StateWatcher& state_watcher_;
  JobQueries queries_;
  JobAdmission admission_;
  JobChangeQueue changes_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_JOB_REQUESTS_H_
