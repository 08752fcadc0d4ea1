// Gives chunks that wait here for machines to partitions with free capacity.
#ifndef PITCHFALL_CORE_PARTITION_CHUNK_TRANSFER_H_
#define PITCHFALL_CORE_PARTITION_CHUNK_TRANSFER_H_

#include <cstdint>
#include <optional>

#include "core/model/job.h"
#include "core/partition/ownership_term.h"
#include "core/partition/pending_transaction.h"
#include "core/partition/record_sizes.h"
#include "core/state/context.h"

namespace pitchfall {

// Only the owner of a chunk transfers it, and only while nothing of it is bound
// to a machine. Each transfer raises the chunk's epoch.
class ChunkTransfer {
 public:
  ChunkTransfer(Context& context, const OwnershipTerm& term)
      : context_(context), term_(term), sizes_(context.state_limits) {}

  // Adds new owners for those of the job's chunks that have waited long enough
  // and for which another partition has capacity. A chunk that has been
  // transferred before waits longer, as free processors elsewhere may not be
  // what it needs. `waiting_since`: when the job began to wait here.
  void AddTransfers(PendingTransaction& pending, const Job& job,
                    SteadyTime waiting_since);
  // Whether another partition has capacity, so that the job's waiting chunks
  // are likely to be transferred next.
  bool MayTransferSoon(const Job& job, SteadyTime waiting_since) const;

 private:
  struct Destination {
    uint32_t partition = 0;
    int64_t tasks = 0;  // that fit there
  };
  // How many tasks of the chunk wait here; none if it may not be transferred.
  std::optional<uint32_t> WaitingTasks(const PendingTransaction& pending,
                                       const Job& job, uint32_t chunk) const;
  Duration DelayOf(const ChunkOwner& owner) const;
  Destination FindDestination(const JobSpec& spec,
                              const ChunkOwner& owner) const;

  Context& context_;
  const OwnershipTerm& term_;
  RecordSizes sizes_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_CHUNK_TRANSFER_H_
