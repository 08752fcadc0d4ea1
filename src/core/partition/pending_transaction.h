// Changes that a partition is about to store together.
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

// How much one transaction may change.
struct TransactionBudget {
  static constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();

  // Puts beside one segment.
  size_t max_puts = 0;
  // Jobs whose tasks it may start.
  size_t max_starting_jobs = 0;
  // Chunks that it may change. Thousands of tasks may end at one moment, more
  // than a transaction takes: the rest is left to the next.
  size_t max_chunks = kUnlimited;
};

// What an attempt's end says about its job and machine, once it is stored.
struct AttemptReport {
  // In the order in which they are taken into account.
  enum class Kind : uint8_t {
    kSuccess,
    kFailure,
    kProvenReplicaEnded,  // nobody's fault: it had run for a while
    kRefusal,             // the worker did not take the start
  };
  Kind kind = Kind::kSuccess;
  std::string machine;
  std::string job;
};

struct PendingTransaction {
  using ChunkKey = StateCache::ChunkKey;
  struct ChunkChange {
    const Job* job = nullptr;
    ChunkRecord record;
  };

  explicit PendingTransaction(const TransactionBudget& limits)
      : budget(limits) {}

  TransactionBudget budget;
  std::map<ChunkKey, ChunkChange> chunks;
  // Jobs whose tasks start. That depends on their records' revisions, so that
  // no start follows a cancellation or a transfer.
  std::set<const Job*, OrderById> starting;
  // Those of them whose tasks' places depend on what other partitions start:
  // the job's record is written anew, so that of two such starts that do not
  // know of each other the second fails.
  std::set<const Job*, OrderById> ordered_starts;
  // New owners of these jobs' chunks.
  std::map<std::string, std::vector<ChunkOwner>> transfers;
  std::map<std::string, TeamRecord> teams;
  std::set<std::string> done_jobs;
  std::optional<LoadRecord> load;
  uint32_t starts = 0;
  Duration waited{0};  // of the tasks that start
  std::vector<AttemptReport> reports;

  // Puts beside those of the segments.
  size_t other_puts() const {
    return teams.size() + done_jobs.size() + transfers.size() +
           ordered_starts.size() + (load ? 1 : 0);
  }
  bool empty() const { return chunks.empty() && other_puts() == 0; }

  bool MayAddPut() const { return other_puts() < budget.max_puts; }
  size_t PutsLeft() const {
    return MayAddPut() ? budget.max_puts - other_puts() : 0;
  }
  bool MayStart(const Job& job) const {
    return starting.contains(&job) ||
           starting.size() < budget.max_starting_jobs;
  }
  bool MayChange(const Job& job, uint32_t chunk) const {
    return chunks.size() < budget.max_chunks ||
           chunks.contains({job.spec().id, chunk});
  }
  // Whether any of the job's chunks is changed.
  bool ChangesJob(const std::string& job) const {
    auto first = chunks.lower_bound({job, 0});
    return first != chunks.end() && first->first.first == job;
  }
  // The change of the chunk, which begins as what is stored.
  ChunkChange& ChangeOf(const Job& job, uint32_t chunk,
                        uint32_t partition_count);
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_PENDING_TRANSACTION_H_
