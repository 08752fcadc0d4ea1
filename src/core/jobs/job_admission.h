// Decides whether a submitted job is taken, and writes its first record.
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

// The submission may be stored.
struct Admitted {};
// It cannot be judged or run yet; the client should come back after this time.
struct RetryLater {
  Duration retry_after{0};
};
using AdmissionDecision = std::variant<Admitted, Rejection, RetryLater>;

// Validates submissions and chooses the partition that runs them.
class JobAdmission {
 public:
  // `now` of the outbox is the time of every decision.
  JobAdmission(const Deployment& deployment, const Tuning& tuning,
               const Outbox& out, const StateCache& state_cache,
               const StateWatcher& state_watcher,
               const StateLimits& state_limits, CapacityTable& capacity_table,
               uint32_t partition_count)
      : deployment_(deployment),
        tuning_(tuning),
        out_(out),
        state_cache_(state_cache),
        state_watcher_(state_watcher),
        state_limits_(state_limits),
        capacity_table_(capacity_table),
        partition_count_(partition_count) {}

  // Judges a job that is not stored yet. Changes nothing.
  AdmissionDecision Check(const JobSpec& spec) const;

  // The record under which an admitted job is first stored. If one partition
  // takes the whole job, its capacity is reserved in the capacity table, so
  // that jobs stored before its next heartbeat go elsewhere.
  JobRecord FirstRecord(const JobSpec& spec);

 private:
  // Tasks in one chunk.
  uint32_t ChunkSize(const JobSpec& spec) const;
  uint32_t HomeOfService(const JobSpec& spec, uint32_t otherwise) const;

  const Deployment& deployment_;
  const Tuning& tuning_;
  const Outbox& out_;
  const StateCache& state_cache_;
  const StateWatcher& state_watcher_;
  const StateLimits& state_limits_;
  CapacityTable& capacity_table_;
  const uint32_t partition_count_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_JOB_ADMISSION_H_
