// The changes that a partition is about to store in one transaction.
#ifndef PITCHFALL_CORE_PARTITION_PENDING_TRANSACTION_H_
#define PITCHFALL_CORE_PARTITION_PENDING_TRANSACTION_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/records.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// The limits on what one transaction may change.
struct TransactionBudget {
  static constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();

  // Puts besides that of one segment.
  size_t max_puts = 0;
  // Jobs whose tasks it may start.
  size_t max_starting_jobs = 0;
  // Chunks that it may change. Thousands of tasks may end at the same time,
  // more than one transaction can hold; the rest is left to the next one.
  size_t max_chunks = kUnlimited;
};

// What the end of an attempt shows about its job and machine. It is taken into
// account once the end is stored.
struct AttemptReport {
  // Reports are taken into account in the order of these values.
  enum class Kind : uint8_t {
    kSuccess,
    kFailure,
    kProvenReplicaEnded,  // no fault: it had run for a while
    kRefusal,             // the worker refused the start
  };
  Kind kind = Kind::kSuccess;
  std::string machine;
  std::string job;
};

// The changes as they are decided, before TransactionBuilder turns them into
// records and conditions.
struct PendingTransaction {
  using ChunkKey = StateCache::ChunkKey;
  struct ChunkChange {
    const Job* job = nullptr;
    ChunkRecord record;
  };

  explicit PendingTransaction(const TransactionBudget& limits)
      : budget(limits) {}

  TransactionBudget budget;
  // The chunks that change, as they will be stored.
  std::map<ChunkKey, ChunkChange> chunks;
  // Jobs whose tasks start. The modification revisions of their records become
  // conditions, so that no start is stored after a cancellation or a transfer.
  std::set<const Job*, OrderById> starting_jobs;
  // Those of the starting jobs whose placement depends on what other partitions
  // start. The job's record is written again unchanged, so that of two
  // concurrent starts in different partitions the second one fails.
  std::set<const Job*, OrderById> ordered_start_jobs;
  // The new owners of all chunks of a job, by job.
  std::map<std::string, std::vector<ChunkOwner>> transfers;
  std::map<std::string, TeamRecord> teams;  // changed records, by team
  std::set<std::string> done_jobs;          // jobs that are then completed
  std::optional<LoadRecord> load;           // none if no load record is due
  uint32_t start_count = 0;                 // the number of tasks that start
  // The sum of the times that the starting tasks have waited.
  Duration total_wait_time{0};
  std::vector<AttemptReport> reports;

  // The number of puts besides those of the segments.
  size_t other_puts() const {
    return teams.size() + done_jobs.size() + transfers.size() +
           ordered_start_jobs.size() + (load ? 1 : 0);
  }
  bool empty() const { return chunks.empty() && other_puts() == 0; }

  // The following tell whether the budget leaves room for one more put, for
  // starts of the job, and for changes of the chunk.
  bool MayAddPut() const { return other_puts() < budget.max_puts; }
  size_t PutsLeft() const {
    return MayAddPut() ? budget.max_puts - other_puts() : 0;
  }
  bool MayStart(const Job& job) const {
    return starting_jobs.contains(&job) ||
           starting_jobs.size() < budget.max_starting_jobs;
  }
  bool MayChange(const Job& job, uint32_t chunk) const {
    return chunks.size() < budget.max_chunks ||
           chunks.contains({job.spec().id, chunk});
  }
  // Whether any chunk of the job changes.
  bool ChangesJob(const std::string& job) const {
    auto first = chunks.lower_bound({job, 0});
    return first != chunks.end() && first->first.first == job;
  }
  // Returns the change of the chunk. It is added if there is none yet, with the
  // stored record and the epoch of the chunk's present owner.
  ChunkChange& GetOrAddChange(const Job& job, uint32_t chunk,
                              uint32_t partition_count);
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_PENDING_TRANSACTION_H_
