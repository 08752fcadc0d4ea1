#include "core/membership/misrouted_workers.h"

#include <algorithm>
#include <optional>

#include "core/model/http_status.h"

namespace pitchfall {
namespace {

// The longest time between two heartbeats here of a worker that has lost its
// owner: it waits four seconds for the owner's answer, tries the next
// controller a second later, and is sent back within half a second.
constexpr Duration kSearchRound = Millis(5500);
// When this many workers of one partition cannot reach the owner, the fault is
// taken to be the owner's and not that of single workers.
constexpr uint32_t kManyWorkers = 3;
// Allowance for answers and the network, on top of the one and a half heartbeat
// intervals without any worker of a partition.
constexpr Duration kUnreachableGrace = Millis(500);

}  // namespace

void MisroutedWorkers::AnswerHeartbeat(RequestId request,
                                       const WorkerHeartbeat& heartbeat,
                                       uint32_t partition) {
  const Worker& worker = Record(heartbeat, partition);
  std::string owner = context_.state_watcher.IsFresh()
                          ? ownership_.OwnerOf(partition)
                          : std::string();
  if (worker.lost_owner && Count(partition) >= kManyWorkers) {
    // Sending so many workers back would cost each of them another wait and its
    // lease. Redirected to any controller, they find the one that the partition
    // is handed over to.
    context_.outbox.Answer(request, http_status::kMisdirectedRequest,
                           Redirect{});
  } else if (owner.empty()) {
    context_.outbox.Answer(request, http_status::kServiceUnavailable,
                           Problem{"no owner known"});
  } else {
    context_.outbox.Answer(request, http_status::kMisdirectedRequest,
                           Redirect{owner});
  }
}

const MisroutedWorkers::Worker& MisroutedWorkers::Record(
    const WorkerHeartbeat& heartbeat, uint32_t partition) {
  SteadyTime now = context_.now();
  Worker& worker =
      workers_.try_emplace(heartbeat.machine, Worker{partition, now, now})
          .first->second;
  worker.partition = partition;
  worker.last_seen = now;
  const auto* stored = context_.state_cache.FindPartition(partition);
  worker.lost_owner =
      stored != nullptr && heartbeat.fencing_token == stored->mod_revision;
  return worker;
}

// A worker that has sent a single heartbeat here may only be looking for its
// owner.
bool MisroutedWorkers::CannotReachOwner(const Worker& worker) const {
  return worker.lost_owner || worker.last_seen - worker.first_seen >
                                  context_.deployment.heartbeat_interval;
}

uint32_t MisroutedWorkers::Count(uint32_t partition) const {
  return static_cast<uint32_t>(
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
        const Worker& worker = entry.second;
        return worker.partition == partition && CannotReachOwner(worker);
      }));
}

std::vector<uint32_t> MisroutedWorkers::CountByPartition() {
  Duration recent =
      std::max(3 * context_.deployment.heartbeat_interval, 2 * kSearchRound);
  std::erase_if(workers_, [&](const auto& entry) {
    return context_.now() - entry.second.last_seen > recent;
  });
  std::vector<uint32_t> counts;
  for (uint32_t partition = 0; partition < context_.partition_count;
       ++partition) {
    counts.push_back(Count(partition));
  }
  return counts;
}

void MisroutedWorkers::HandOverIfUnreachable(uint32_t partition,
                                             SteadyTime last_heard) {
  Duration delay =
      context_.deployment.heartbeat_interval * 3 / 2 + kUnreachableGrace;
  if (context_.now() - last_heard < delay) return;
  std::optional<std::string> peer = peers_.FindMisroutedWorkers(partition);
  if (!peer) return;
  ownership_.HandOver(partition, *peer, HandoverReason::kUnreachable);
}

}  // namespace pitchfall
