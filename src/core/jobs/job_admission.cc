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

// Services wait until the last controller has been upgraded.
constexpr Duration kUpgradeRetry = Millis(2000);
// Of the hashes that choose a partition. All controllers must choose alike.
constexpr uint64_t kPartitionHashSeed = 0;

}  // namespace

AdmissionDecision JobAdmission::Check(const JobSpec& spec) const {
  if (!state_watcher_.Fresh() || !state_cache_.types()) {
    return RetryLater{kRetryAfterStateUnreadable};
  }
  std::optional<Rejection> rejection =
      WhyImpossible(spec, deployment_, state_cache_.types()->value,
                    state_limits_.ValueBytes());
  if (rejection) return *std::move(rejection);
  if (spec.shape == Shape::kService &&
      !state_cache_.AllNodesSupport(kStandingJobsVersion)) {
    return RetryLater{kUpgradeRetry};
  }
  return Admitted{};
}

JobRecord JobAdmission::FirstRecord(const JobSpec& spec) {
  JobRecord record;
  record.spec = spec;
  record.submitted = out_.now().wall;
  record.chunk_size = ChunkSize(spec);
  // The partition with the most free capacity takes the job; if it has not
  // capacity for all of it, the partitions take its chunks in turn, unless
  // these depend on each other.
  auto otherwise = static_cast<uint32_t>(
      StableHash(spec.id, kPartitionHashSeed) % partition_count_);
  auto [home, capacity] = capacity_table_.MostFreeCapacity(
      spec, otherwise, std::nullopt, out_.now().steady);
  if (spec.shape == Shape::kService) home = HomeOfService(spec, home);
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
    // Its tasks start together: one partition has to find capacity for all.
    case Shape::kGang:
      return spec.tasks;
    // Each replica by itself, so that one that is lost can go to whichever
    // partition has capacity while the others run.
    case Shape::kService:
      return min_chunk_size;
    case Shape::kArray:
      break;
  }
  return std::max(min_chunk_size, tuning_.chunk_tasks);
}

// Services with the same image share a partition as far as it has capacity:
// most of its machines soon have the image, and a replica that need not fetch
// it starts several seconds sooner.
uint32_t JobAdmission::HomeOfService(const JobSpec& spec,
                                     uint32_t otherwise) const {
  auto first =
      static_cast<uint32_t>(StableHash(spec.image, kPartitionHashSeed));
  for (uint32_t n = 0; n < partition_count_; ++n) {
    uint32_t partition = (first + n) % partition_count_;
    int64_t capacity =
        capacity_table_.Tasks(partition, spec, out_.now().steady);
    if (capacity >= spec.tasks) return partition;
  }
  return otherwise;
}

}  // namespace pitchfall
