#include "core/jobs/job_admission.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/base/rendezvous_hash.h"
#include "core/base/version.h"
#include "core/jobs/client_answers.h"
#include "core/model/limits.h"

namespace pitchfall {
namespace {

// The Retry-After of a service's submission until all live controllers have
// been upgraded to a version that runs services.
constexpr Duration kUpgradeRetry = Millis(2000);
// The seed of the hashes that choose a partition. All controllers must use the
// same value, so that they choose the same partition.
constexpr uint64_t kPartitionHashSeed = 0;

}  // namespace

AdmissionDecision JobAdmission::Check(const JobSpec& spec) const {
  if (!state_watcher_.IsFresh() || !state_cache_.types()) {
    return RetryLater{kRetryAfterStateUnreadable};
  }
  std::optional<Rejection> rejection =
      FindRejection(spec, deployment_, state_cache_.types()->value,
                    state_limits_.ValueBytes());
  if (rejection) return *std::move(rejection);
  if (spec.shape == Shape::kService &&
      !state_cache_.AllNodesSupport(kServiceJobsVersion)) {
    return RetryLater{kUpgradeRetry};
  }
  return Admitted{};
}

JobRecord JobAdmission::CreateRecord(const JobSpec& spec) {
  JobRecord record;
  record.spec = spec;
  record.submitted = outbox_.now().wall;
  record.chunk_size = ChunkSize(spec);
  // The partition with the most free capacity takes the job. If it does not
  // have capacity for all tasks, the chunks are assigned to all partitions
  // round robin, unless the job constrains the tasks' places relative to each
  // other.
  auto fallback = static_cast<uint32_t>(
      StableHash(spec.id, kPartitionHashSeed) % partition_count_);
  auto [home, capacity] = capacity_table_.MostFreeCapacity(
      spec, fallback, std::nullopt, outbox_.now().steady);
  if (spec.shape == Shape::kService) home = ChooseServiceHome(spec, home);
  bool constrained = spec.one_zone || spec.spread;
  bool one_partition = spec.tasks <= capacity || constrained;
  record.home = home;
  record.spread_over = one_partition ? 1 : partition_count_;
  if (record.spread_over == 1) capacity_table_.Reserve(home, spec, spec.tasks);
  return record;
}

uint32_t JobAdmission::ChunkSize(const JobSpec& spec) const {
  uint32_t min_chunk_size = (spec.tasks + kMaxChunks - 1) / kMaxChunks;
  switch (spec.shape) {
    // The tasks of a gang start together, so that one partition has to find
    // capacity for all of them.
    case Shape::kGang:
      return spec.tasks;
    // Each replica is a chunk of its own as far as kMaxChunks allows, so that
    // a lost replica can move to any partition with capacity while the others
    // keep running.
    case Shape::kService:
      return min_chunk_size;
    case Shape::kArray:
      break;
  }
  return std::max(min_chunk_size, tuning_.chunk_tasks);
}

// Services with the same image share a partition as far as it has capacity:
// most of that partition's machines soon have the image in their cache, and a
// replica that does not have to fetch it starts several seconds sooner.
uint32_t JobAdmission::ChooseServiceHome(const JobSpec& spec,
                                         uint32_t fallback) const {
  auto first =
      static_cast<uint32_t>(StableHash(spec.image, kPartitionHashSeed));
  for (uint32_t n = 0; n < partition_count_; ++n) {
    uint32_t partition = (first + n) % partition_count_;
    int64_t capacity =
        capacity_table_.TaskCapacity(partition, spec, outbox_.now().steady);
    if (capacity >= spec.tasks) return partition;
  }
  return fallback;
}

}  // namespace pitchfall
