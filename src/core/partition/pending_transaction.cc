#include "core/partition/pending_transaction.h"

namespace pitchfall {

PendingTransaction::ChunkChange& PendingTransaction::GetOrAddChange(
    const Job& job, uint32_t chunk, uint32_t partition_count) {
  auto [change, is_new] = chunks.try_emplace({job.spec().id, chunk});
  if (is_new) {
    change->second.job = &job;
    if (const Job::Chunk* stored = job.FindChunk(chunk)) {
      change->second.record = stored->record;
    }
    change->second.record.epoch = job.owner_of(chunk, partition_count).epoch;
  }
  return change->second;
}

}  // namespace pitchfall
