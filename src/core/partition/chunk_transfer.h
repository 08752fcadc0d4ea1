// Transfers chunks whose tasks wait for machines to other partitions that have
// free capacity.
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

// Only the partition that owns a chunk transfers it, and only while none of its
// tasks is bound to a machine. Each transfer increments the chunk's epoch.
class ChunkTransfer {
 public:
  ChunkTransfer(Context& context, const OwnershipTerm& term)
      : context_(context), term_(term), sizes_(context.state_limits) {}

  // Adds new owners for those of the job's chunks that have waited long enough
  // and for which another partition has capacity. A chunk that has been
  // transferred before waits longer, since it may lack something other than
  // free processors. `waiting_since` is when the job began to wait in this
  // partition. Adds nothing if there is no other partition, if the transaction
  // has no put left, or if the job's record would become too large.
  void AddTransfers(PendingTransaction& pending, const Job& job,
                    SteadyTime waiting_since);
  // Returns whether the job's waiting chunks are likely to be transferred soon:
  // another partition has capacity, and the job has not waited here for longer
  // than a transfer should take.
  bool MayTransferSoon(const Job& job, SteadyTime waiting_since) const;

 private:
  struct Destination {
    uint32_t partition = 0;
    int64_t tasks = 0;  // how many fit there; 0: no partition has capacity
  };
  // Returns how many tasks of the chunk wait for a machine; nullopt if it may
  // not be transferred, because it has tasks on machines, has no open task, or
  // is changed by `pending`.
  std::optional<uint32_t> WaitingTasks(const PendingTransaction& pending,
                                       const Job& job, uint32_t chunk) const;
  // Returns how long a chunk with this owner waits before it is transferred.
  Duration TransferDelay(const ChunkOwner& owner) const;
  // Returns the partition to transfer a chunk with this owner to.
  Destination FindDestination(const JobSpec& spec,
                              const ChunkOwner& owner) const;

  Context& context_;
  const OwnershipTerm& term_;
  RecordSizes sizes_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_CHUNK_TRANSFER_H_
