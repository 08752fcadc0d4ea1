// Decides whether a submitted job is accepted, and builds the record under
// which it is first stored.
#ifndef PITCHFALL_CORE_JOBS_JOB_ADMISSION_H_
#define PITCHFALL_CORE_JOBS_JOB_ADMISSION_H_

#include <cstdint>
#include <variant>

#include "core/base/time.h"
#include "core/model/free_capacity.h"
#include "core/model/job.h"
#include "core/model/outbox.h"
#include "core/model/records.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"
#include "core/state/state_limits.h"
#include "core/state/state_watcher.h"

namespace pitchfall {

// The job can run and may be stored.
struct Admitted {};
// The job cannot be checked or run yet. The client should submit it again
// after `retry_after`.
struct RetryLater {
  Duration retry_after{0};
};
// The outcome of a check. A Rejection is permanent: the job can never run here.
using AdmissionDecision = std::variant<Admitted, Rejection, RetryLater>;

// Validates submissions, divides jobs into chunks and chooses the partitions
// that run them. The constructor's references must outlive the object.
class JobAdmission {
 public:
  // Every decision uses the outbox's `now` as the current time.
  JobAdmission(const Deployment& deployment, const Tuning& tuning,
               const Outbox& outbox, const StateCache& state_cache,
               const StateWatcher& state_watcher,
               const StateLimits& state_limits, CapacityTable& capacity_table,
               uint32_t partition_count)
      : deployment_(deployment),
        tuning_(tuning),
        outbox_(outbox),
        state_cache_(state_cache),
        state_watcher_(state_watcher),
        state_limits_(state_limits),
        capacity_table_(capacity_table),
        partition_count_(partition_count) {}

  // Checks a job that is not stored yet. Has no side effects. Returns
  // RetryLater if the state cache is out of date or the machine types are
  // unknown, and for a service while a live controller is too old to run it.
  AdmissionDecision Check(const JobSpec& spec) const;

  // Returns the record under which an admitted job is first stored. If one
  // partition takes the whole job, reserves capacity for the job in the
  // capacity table, so that jobs that are stored before the partition's owner
  // next announces its free capacity go to other partitions.
  JobRecord CreateRecord(const JobSpec& spec);

 private:
  // Returns the number of tasks in one chunk of the job.
  uint32_t ChunkSize(const JobSpec& spec) const;
  // Returns the home partition of a service, or `fallback` if no partition
  // has capacity for all its replicas.
  uint32_t ChooseServiceHome(const JobSpec& spec, uint32_t fallback) const;

  const Deployment& deployment_;
  const Tuning& tuning_;
  const Outbox& outbox_;
  const StateCache& state_cache_;
  const StateWatcher& state_watcher_;
  const StateLimits& state_limits_;
  CapacityTable& capacity_table_;
  const uint32_t partition_count_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_JOB_ADMISSION_H_
