#include "core/controller.h"

#include <algorithm>
#include <utility>

#include "core/base/rendezvous_hash.h"
#include "core/model/http_status.h"

namespace pitchfall {
namespace {

// The owner of this partition is the leader, which runs the autoscaler.
constexpr uint32_t kLeaderPartition = 0;
// The Retry-After of health checks while this controller is unhealthy.
constexpr Duration kUnhealthyRetryAfter = Millis(2000);

// Returns the configured number of partitions; if that is 0, there is one for
// each controller.
uint32_t PartitionCount(const Deployment& deployment, const Tuning& tuning) {
  if (tuning.partition_count > 0) return tuning.partition_count;
  return static_cast<uint32_t>(deployment.peers.size() + 1);
}

// Marks the connections of all refused requests to be closed. Clients keep
// their connections open, so a refused client would go on sending requests here
// long after the load balancer has stopped choosing this controller.
void CloseRefusedConnections(std::vector<Effect>& effects) {
  for (Effect& effect : effects) {
    auto* reply = std::get_if<Reply>(&effect);
    if (reply != nullptr && reply->status == http_status::kServiceUnavailable)
      reply->close = true;
  }
}

}  // namespace

Controller::Controller(Deployment deployment, Tuning tuning,
                       const std::string& incarnation)
    : deployment_(std::move(deployment)),
      tuning_(tuning),
      rate_limits_(deployment_),
      state_watcher_(tuning_, outbox_, state_cache_, rate_limits_.requests()),
      context_(MakeContext(incarnation)),
      ownership_(context_),
      peers_(context_),
      misrouted_workers_(context_, ownership_, peers_),
      job_requests_(context_) {}

Context Controller::MakeContext(const std::string& incarnation) {
  uint32_t partition_count = PartitionCount(deployment_, tuning_);
  return {.deployment = deployment_,
          .tuning = tuning_,
          .outbox = outbox_,
          .state_cache = state_cache_,
          .state_watcher = state_watcher_,
          .state_request_bucket = rate_limits_.requests(),
          .state_write_bucket = rate_limits_.writes(),
          .cloud_call_bucket = rate_limits_.cloud(),
          .incarnation = incarnation,
          .partition_count = partition_count,
          .capacity_table = CapacityTable(partition_count),
          .cancellation_watermark = CancellationWatermark(
              deployment_, deployment_.label, incarnation),
          .state_limits = StateLimits(deployment_)};
}

std::vector<Effect> Controller::Handle(Now now,
                                       std::span<const Command> commands) {
  outbox_.set_now(now);
  for (const Command& command : commands) {
    std::visit([this](const auto& c) { HandleCommand(c); }, command);
  }
  peers_.ForgetStoredCancellations();
  UpdateRateShares();
  ownership_.RunDueWork();
  UpdateOwnedPartitions();
  RunPartitions();
  if (autoscaler_) autoscaler_->RunDueWork();
  if (snapshot_writer_) snapshot_writer_->RunDueWork();
  if (fence_remover_) fence_remover_->RunDueWork();
  job_requests_.RunDueWork();
  SendHeartbeatIfDue();
  HandOverUnreachablePartitions();
  state_watcher_.RunDueWork();
  std::vector<Effect> effects = outbox_.TakeEffects();
  if (!peers_.Healthy()) CloseRefusedConnections(effects);
  return effects;
}

void Controller::HandleCommand(const HealthCheck& command) {
  if (peers_.Healthy()) {
    outbox_.Answer(command.request, http_status::kOk);
  } else {
    outbox_.Refuse(command.request, kUnhealthyRetryAfter);
  }
}

void Controller::HandleCommand(const ReceiveWorkerHeartbeat& command) {
  const WorkerHeartbeat& heartbeat = command.heartbeat;
  uint32_t number = PartitionOf(heartbeat.machine, context_.partition_count);
  auto partition = partitions_.find(number);
  if (partition == partitions_.end()) {
    misrouted_workers_.AnswerHeartbeat(command.request, heartbeat, number);
    return;
  }
  misrouted_workers_.Forget(heartbeat.machine);
  partition->second->OnWorkerHeartbeat(command.request, heartbeat);
}

void Controller::HandleCommand(const StateReply& reply) {
  if (reply.revision > 0) {
    context_.cancellation_acknowledgements.OnStoredRevision(reply.revision,
                                                            context_.now());
  }
  outbox_.Handle(reply);
}

void Controller::HandleCommand(const PeerHeartbeat& heartbeat) {
  if (!peers_.OnHeartbeat(heartbeat)) return;
  for (const auto& [number, fencing_token] : heartbeat.tokens) {
    auto partition = partitions_.find(number);
    if (partition == partitions_.end()) continue;
    partition->second->OnPeerClaim(heartbeat.label, fencing_token);
  }
}

void Controller::UpdateRateShares() {
  rate_limits_.UpdateShares(peers_.RateUsages(), state_cache_.nodes().size(),
                            autoscaler_.has_value());
}

void Controller::UpdateOwnedPartitions() {
  if (!state_watcher_.loaded()) return;
  CheckStoredPartitionCount();
  for (uint32_t number = 0; number < context_.partition_count; ++number) {
    UpdatePartition(number, ownership_.FencingTokenOf(number));
  }
}

void Controller::UpdatePartition(uint32_t number,
                                 std::optional<uint64_t> fencing_token) {
  std::optional<uint64_t> current_token;
  auto partition = partitions_.find(number);
  if (partition != partitions_.end()) {
    current_token = partition->second->fencing_token();
  }
  if (fencing_token == current_token) return;
  partitions_.erase(number);
  if (number == kLeaderPartition) {
    autoscaler_.reset();
    snapshot_writer_.reset();
    fence_remover_.reset();
  }
  if (!fencing_token) return;
  partitions_.emplace(
      number, std::make_unique<Partition>(context_, number, *fencing_token));
  if (number != kLeaderPartition) return;
  autoscaler_.emplace(context_, *fencing_token);
  snapshot_writer_.emplace(context_, *fencing_token);
  fence_remover_.emplace(context_, *fencing_token);
}

// Machines and chunks of the partitions beyond the count would never be
// scheduled, because no controller owns those partitions.
void Controller::CheckStoredPartitionCount() {
  if (std::exchange(partition_count_checked_, true)) return;
  uint32_t stored = state_cache_.PartitionCount();
  if (stored <= context_.partition_count) return;
  outbox_.Log(LogLevel::kError,
              "event=partition_count_mismatch stored={} now={} remedy=\"set "
              "(parts {}) on all controllers until no job is open\"",
              stored, context_.partition_count, stored);
}

// All partitions of this controller share its write budget. A partition that
// always ran first would take every token as it becomes available and leave
// none to the others. Therefore the partition whose last write is the oldest
// runs first.
void Controller::RunPartitions() {
  std::vector<Partition*> by_last_write;
  for (auto& [number, partition] : partitions_) {
    by_last_write.push_back(partition.get());
  }
  std::ranges::stable_sort(by_last_write, {}, &Partition::last_write);
  for (Partition* partition : by_last_write) partition->RunDueWork();
}

void Controller::SendHeartbeatIfDue() {
  if (!peers_.HeartbeatDue()) return;
  LocalStatus status;
  status.usage = rate_limits_.MeasureUsage(context_.now());
  status.misrouted_workers = misrouted_workers_.CountByPartition();
  for (const auto& [number, partition] : partitions_) {
    status.partitions.push_back(
        {number, partition->fencing_token(), partition->Free()});
  }
  peers_.SendHeartbeat(status);
}

// Workers that cannot reach the owner of their partition try the other
// controllers in turn, which count them. An owner that hears none of its
// workers hands the partition to a controller that does.
void Controller::HandOverUnreachablePartitions() {
  for (const auto& [number, partition] : partitions_) {
    misrouted_workers_.HandOverIfUnreachable(number, partition->last_heard());
  }
}

}  // namespace pitchfall
