#include "core/partition/chunk_transfer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pitchfall {
namespace {

// After this time a waiting replica no longer relies on a transfer to another
// partition, and may displace other tasks.
constexpr Duration kMaxTransferWait = Millis(1000);
// The delay doubles with each transfer of the chunk, at most this many times.
constexpr uint32_t kMaxDelayDoublings = 6;
// After this many transfers to the partition with the most free processors, the
// chunk is assumed to wait for something else.
constexpr uint32_t kMaxTransfersByCapacity = 2;

}  // namespace

Duration ChunkTransfer::TransferDelay(const ChunkOwner& owner) const {
  uint32_t doublings = std::min(owner.epoch, kMaxDelayDoublings);
  return context_.tuning.transfer_delay * (1 << doublings);
}

ChunkTransfer::Destination ChunkTransfer::FindDestination(
    const JobSpec& spec, const ChunkOwner& owner) const {
  SteadyTime now = context_.now();
  uint32_t here = term_.partition;
  // A chunk that several partitions with free processors could not start may
  // need something that the capacity table does not show, such as a zone. Then
  // the partitions with capacity are tried in the order of their numbers.
  auto [partition, tasks] =
      owner.epoch < kMaxTransfersByCapacity
          ? context_.capacity_table.MostFreeCapacity(spec, here, here, now)
          : context_.capacity_table.NextWithCapacity(spec, here, now);
  return {partition, tasks};
}

std::optional<uint32_t> ChunkTransfer::WaitingTasks(
    const PendingTransaction& pending, const Job& job, uint32_t chunk) const {
  uint32_t done = 0;
  if (const Job::Chunk* stored = job.FindChunk(chunk)) {
    if (!stored->record.assigned.empty()) return std::nullopt;
    done = CountTasks(stored->record.done);
  }
  uint32_t tasks = job.chunk_end(chunk) - job.chunk_begin(chunk);
  bool changes = pending.chunks.contains({job.spec().id, chunk});
  if (done >= tasks || changes) return std::nullopt;
  return tasks - done;
}

void ChunkTransfer::AddTransfers(PendingTransaction& pending, const Job& job,
                                 SteadyTime waiting_since) {
  if (context_.partition_count == 1 || !pending.MayAddPut()) return;
  const JobSpec& spec = job.spec();
  // The chunks of a gang are transferred together, and only while none of its
  // tasks is bound to a machine.
  bool gang = spec.shape == Shape::kGang;
  if (gang && job.assigned > 0) return;
  std::vector<ChunkOwner> owners;
  uint32_t chunk_count = job.record.chunk_count();
  for (uint32_t chunk = 0; chunk < chunk_count; ++chunk) {
    owners.push_back(job.owner_of(chunk, context_.partition_count));
  }
  const std::vector<ChunkOwner> before = owners;
  for (uint32_t chunk = 0; chunk < chunk_count; ++chunk) {
    if (owners[chunk].partition != term_.partition) continue;
    std::optional<uint32_t> waiting = WaitingTasks(pending, job, chunk);
    if (!waiting) continue;
    if (context_.now() - waiting_since < TransferDelay(owners[chunk])) continue;
    Destination destination = FindDestination(spec, owners[chunk]);
    uint32_t moved = gang ? spec.tasks : *waiting;
    if (destination.tasks < (gang ? moved : 1)) break;
    context_.capacity_table.Reserve(destination.partition, spec, moved);
    uint32_t first = gang ? 0 : chunk;
    uint32_t last = gang ? chunk_count : chunk + 1;
    for (uint32_t n = first; n < last; ++n) {
      owners[n] = {destination.partition, owners[n].epoch + 1};
    }
    if (gang) break;
  }
  if (owners == before) return;
  JobRecord transferred = job.record;
  transferred.owners = owners;
  if (sizes_.FitsValue(transferred)) {
    pending.transfers[spec.id] = std::move(owners);
  }
}

bool ChunkTransfer::MayTransferSoon(const Job& job,
                                    SteadyTime waiting_since) const {
  SteadyTime now = context_.now();
  if (now - waiting_since > kMaxTransferWait) return false;
  auto [partition, tasks] = context_.capacity_table.MostFreeCapacity(
      job.spec(), term_.partition, term_.partition, now);
  return tasks > 0;
}

}  // namespace pitchfall
