#include "core/controller.h"

#include <algorithm>
#include <utility>

#include "core/base/rendezvous_hash.h"

namespace pitchfall {
namespace {

constexpr Duration kHeartbeatInterval = Millis(500);
// After storing a cancellation; more than one in that time share a message.
constexpr Duration kUrgentHeartbeatInterval = Millis(50);
constexpr Duration kPeerFresh = Millis(2500);
// A worker whose owner does not answer waits four seconds for it, tries the
// next controller a second later, and is sent back within half a second.
constexpr Duration kWorkerRound = Millis(5500);
// So many workers of one partition have not all had a bad moment.
constexpr uint32_t kManyMisroutedWorkers = 3;
// Cancellations in one message.
constexpr size_t kMaxCancelled = 500;
// Reads come several times a second; one that is late means little, a second
// without any that this controller or the state service has fault.
constexpr Duration kHealthyAge = Millis(1200);
// Told as the age of the state by who has not read it yet.
constexpr Duration kNeverRead = Millis(3'600'000);
// Of the shared rates, so that bursts that meet seldom go over.
constexpr double kUsable = 0.95;

}  // namespace

Controller::Controller(Deployment deployment, Tuning tuning,
                       const std::string& incarnation)
    : deployment_(std::move(deployment)),
      tuning_(tuning),
      state_rates_(deployment_.StrictestStateLimits()),
      requests_(state_rates_.rps / 3, state_rates_.rps / 3),
      writes_(state_rates_.write_rps / 3, state_rates_.write_rps / 3),
      cloud_(deployment_.cloud_rps / 2, deployment_.cloud_rps),
      state_watcher_(tuning_, out_, state_cache_, requests_),
      context_{
          deployment_,
          tuning_,
          out_,
          state_cache_,
          state_watcher_,
          requests_,
          writes_,
          cloud_,
          incarnation,
          tuning_.partition_count > 0
              ? tuning_.partition_count
              : static_cast<uint32_t>(deployment_.peers.size() + 1),
          CapacityTable(
              tuning_.partition_count > 0
                  ? tuning_.partition_count
                  : static_cast<uint32_t>(deployment_.peers.size() + 1)),
          CancellationWatermark(deployment_, deployment_.label, incarnation),
          StateLimits(deployment_)},
      ownership_(context_),
      users_(context_) {}

std::vector<Effect> Controller::Handle(Now now,
                                       std::span<const Command> commands) {
  out_.set_now(now);
  if (started_ == SteadyTime{}) started_ = now.steady;
  for (const Command& command : commands) {
    std::visit([this](const auto& c) { On(c); }, command);
  }
  std::erase_if(context_.cancelled_by_peers, [this](const std::string& id) {
    const Job* job = state_cache_.FindJob(id);
    return job != nullptr && job->record.final();
  });
  ShareBudgets();
  ownership_.Step();
  FollowOwnership();
  StepPartitions();
  if (autoscaler_) autoscaler_->Step();
  users_.Step();
  ExchangeHeartbeats();
  HandOverUnreachablePartitions();
  state_watcher_.Step();
  std::vector<Effect> effects = out_.TakeEffects();
  if (!Healthy()) SendElsewhere(effects);
  return effects;
}

// All partitions of this owner share its budget of writes. Whichever stepped
// first would take each token as it comes and leave the others none, so
// the one whose last write lies furthest back goes first.
void Controller::StepPartitions() {
  std::vector<Partition*> in_turn;
  for (auto& [number, partition] : partitions_)
    in_turn.push_back(partition.get());
  std::ranges::stable_sort(in_turn, {}, &Partition::last_write);
  for (Partition* partition : in_turn) partition->Step();
}

// Machines and chunks of partitions that nobody owns would be left alone for
// ever.
void Controller::CompareWithStored() {
  if (std::exchange(compared_, true)) return;
  uint32_t stored = state_cache_.PartitionCount();
  if (stored <= context_.partition_count) return;
  out_.Log(LogLevel::kError,
           "event=partition_count_mismatch stored={} now={} remedy=\"set "
           "(parts {}) on "
           "all controllers until no job is open\"",
           stored, context_.partition_count, stored);
}

void Controller::FollowOwnership() {
  if (!state_watcher_.loaded()) return;
  CompareWithStored();
  for (uint32_t number = 0; number < context_.partition_count; ++number) {
    std::optional<uint64_t> fencing_token = ownership_.FencingTokenOf(number);
    auto partition = partitions_.find(number);
    bool changed = partition == partitions_.end()
                       ? fencing_token.has_value()
                       : partition->second->fencing_token() != fencing_token;
    if (!changed) continue;
    partitions_.erase(number);
    if (number == 0) autoscaler_.reset();
    if (!fencing_token) continue;
    partitions_.emplace(
        number, std::make_unique<Partition>(context_, number, *fencing_token));
    if (number == 0) autoscaler_.emplace(context_, *fencing_token);
  }
}

// The platform's limits hold for all controllers together. Each takes what the
// others have lately left, and no less than an even share of most of it; an
// owner of many partitions needs more than one of none.
void Controller::ShareBudgets() {
  double nodes =
      std::max<double>(1, static_cast<double>(state_cache_.nodes().size()));
  double requests = 0;
  double writes = 0;
  for (const auto& [label, peer] : peers_) {
    bool known = out_.now().steady - peer.heard < kPeerFresh;
    requests += known ? peer.heartbeat.requests : state_rates_.rps / nodes;
    writes += known ? peer.heartbeat.writes : state_rates_.write_rps / nodes;
  }
  auto share = [&](double total, double others) {
    return std::max(kUsable * total - others, 0.8 * total / nodes);
  };
  double write_rate = share(state_rates_.write_rps, writes);
  writes_.SetRate(write_rate, std::max(1.0, 0.7 * write_rate));
  double request_rate = share(state_rates_.rps, requests);
  requests_.SetRate(request_rate, std::max(1.0, 0.7 * request_rate));
  double cloud = deployment_.cloud_rps * (autoscaler_ ? 0.6 : 0.4 / nodes);
  cloud_.SetRate(cloud, std::max(1.0, cloud));
}

void Controller::On(const HealthCheck& command) {
  if (Healthy()) {
    out_.Answer(command.request, 200);
  } else {
    out_.Refuse(command.request, Millis(2000));
  }
}

// While nobody can reach the state service, users are better off with an
// answer that says when to come back than with no controller at all. If only
// this one cannot, they are better off with another. One that hears none of
// the others either cannot tell, and is more likely cut off than all of them
// gone.
bool Controller::Healthy() const {
  if (!state_watcher_.loaded()) return false;
  if (state_watcher_.Age() < kHealthyAge) return true;
  bool heard = deployment_.peers.empty();
  for (const auto& [label, peer] : peers_) {
    if (out_.now().steady - peer.heard >= kPeerFresh) continue;
    if (peer.heartbeat.state_age < kHealthyAge) return false;
    heard = true;
  }
  return heard;
}

// Clients keep their connections, so that one refused here would go on coming
// here long after the load balancer has turned away.
void Controller::SendElsewhere(std::vector<Effect>& effects) {
  for (Effect& effect : effects) {
    auto* reply = std::get_if<Reply>(&effect);
    if (reply != nullptr && reply->status == 503) reply->close = true;
  }
}

void Controller::On(const ReceiveWorkerHeartbeat& command) {
  uint32_t number =
      PartitionOf(command.heartbeat.machine, context_.partition_count);
  auto partition = partitions_.find(number);
  if (partition != partitions_.end()) {
    misrouted_workers_.erase(command.heartbeat.machine);
    partition->second->OnWorkerHeartbeat(command.request, command.heartbeat);
    return;
  }
  SteadyTime now = out_.now().steady;
  MisroutedWorker& misrouted =
      misrouted_workers_
          .try_emplace(command.heartbeat.machine,
                       MisroutedWorker{number, now, now})
          .first->second;
  misrouted.partition = number;
  misrouted.last = now;
  const auto* stored = state_cache_.FindPartition(number);
  misrouted.lost_owner = stored != nullptr && command.heartbeat.fencing_token ==
                                                  stored->mod_revision;
  std::string owner = state_watcher_.Fresh() ? ownership_.OwnerOf(number) : "";
  if (misrouted.lost_owner &&
      MisroutedWorkersOf(number) >= kManyMisroutedWorkers) {
    // To send so many back would cost each another wait, and its lease. Going
    // round they find whoever the partition is handed to.
    out_.Answer(command.request, 421, Redirect{});
  } else if (owner.empty()) {
    out_.Answer(command.request, 503, Problem{"no owner known"});
  } else {
    out_.Answer(command.request, 421, Redirect{owner});
  }
}

void Controller::On(const PeerHeartbeat& heartbeat) {
  // A cut can hold messages back for minutes.
  Duration age = out_.now().wall - heartbeat.sent;
  if (age > kPeerFresh + 2 * deployment_.time_bound) return;
  SteadyTime now = out_.now().steady;
  peers_[heartbeat.label] = {heartbeat, now};
  for (const auto& [partition, free] : heartbeat.free) {
    context_.capacity_table.Update(partition, free, now);
  }
  for (const std::string& id : heartbeat.cancelled) {
    const Job* job = state_cache_.FindJob(id);
    if (job != nullptr && job->record.final()) continue;
    context_.cancelled_by_peers.insert(id);
  }
  context_.cancellation_watermark.OnPeerHeartbeat(
      heartbeat, now, state_watcher_.current_as_of());
  for (const auto& [number, fencing_token] : heartbeat.tokens) {
    auto partition = partitions_.find(number);
    if (partition != partitions_.end())
      partition->second->OnPeerClaim(heartbeat.label, fencing_token);
  }
}

void Controller::ExchangeHeartbeats() {
  SteadyTime now = out_.now().steady;
  bool urgent = users_.cancelled() != announced_cancellations_ &&
                now - last_heartbeat_ >= kUrgentHeartbeatInterval;
  if (now < next_heartbeat_ && !urgent) return;
  announced_cancellations_ = users_.cancelled();
  double passed = std::max(0.1, ToSeconds(now - last_heartbeat_));
  last_heartbeat_ = now;
  next_heartbeat_ = now + kHeartbeatInterval;
  PeerHeartbeat heartbeat;
  heartbeat.label = deployment_.label;
  heartbeat.incarnation = context_.incarnation;
  heartbeat.sent = out_.now().wall;
  heartbeat.state_age =
      state_watcher_.loaded() ? state_watcher_.Age() : kNeverRead;
  // Smoothed over about two seconds.
  auto follow = [passed](double& rate, double& before, double taken) {
    rate += (std::max(0.0, taken - before) / passed - rate) * 0.25;
    before = taken;
    return rate;
  };
  heartbeat.requests = follow(request_use_, requests_taken_, requests_.taken());
  heartbeat.writes = follow(write_use_, writes_taken_, writes_.taken());
  heartbeat.misrouted_workers.assign(context_.partition_count, 0);
  Duration recent =
      std::max(3 * deployment_.heartbeat_interval, 2 * kWorkerRound);
  std::erase_if(misrouted_workers_, [&](const auto& entry) {
    return now - entry.second.last > recent;
  });
  for (uint32_t partition = 0; partition < context_.partition_count;
       ++partition) {
    heartbeat.misrouted_workers[partition] = MisroutedWorkersOf(partition);
  }
  for (const auto& [number, partition] : partitions_) {
    heartbeat.free[number] = partition->Free();
    context_.capacity_table.Update(number, heartbeat.free[number], now);
  }
  AddCancellationEchoes(heartbeat);
  out_.Send(std::move(heartbeat));
}

void Controller::AddCancellationEchoes(PeerHeartbeat& heartbeat) const {
  SteadyTime now = out_.now().steady;
  heartbeat.uptime = now - started_;
  heartbeat.revision = state_cache_.revision();
  heartbeat.sender_time = now;
  for (const auto& [number, partition] : partitions_) {
    heartbeat.tokens[number] = partition->fencing_token();
  }
  // One list serves all: what is new to the one who knows least. Who cannot be
  // served with the others gets no echo.
  std::vector<std::pair<uint64_t, const Peer*>> by_revision;
  for (const auto& [label, peer] : peers_) {
    if (now - peer.heard >= kPeerFresh) continue;
    by_revision.push_back({peer.heartbeat.revision, &peer});
  }
  // Peers of equal revision stay in the order of their labels.
  std::ranges::stable_sort(by_revision, std::ranges::greater{},
                           [](const auto& entry) { return entry.first; });
  for (const auto& [revision, peer] : by_revision) {
    auto cancelled = state_cache_.CancelledSince(revision, kMaxCancelled);
    if (!cancelled) break;
    heartbeat.cancelled = std::move(*cancelled);
    heartbeat.echoes.push_back({peer->heartbeat.label,
                                peer->heartbeat.incarnation,
                                peer->heartbeat.sender_time});
  }
}

// A worker that comes once may only be looking for its owner.
uint32_t Controller::MisroutedWorkersOf(uint32_t partition) const {
  return static_cast<uint32_t>(std::count_if(
      misrouted_workers_.begin(), misrouted_workers_.end(),
      [&](const auto& entry) {
        const MisroutedWorker& misrouted = entry.second;
        return misrouted.partition == partition &&
               (misrouted.lost_owner || misrouted.last - misrouted.first >
                                            deployment_.heartbeat_interval);
      }));
}

// Workers that cannot reach their owner go round the other controllers. If this
// owner has heard none of them for a while and a peer has, the peer takes over.
void Controller::HandOverUnreachablePartitions() {
  SteadyTime now = out_.now().steady;
  // Heartbeats of a whole partition that fail to come for one and a half
  // intervals.
  Duration delay = deployment_.heartbeat_interval * 3 / 2 + Millis(500);
  for (const auto& [number, partition] : partitions_) {
    if (now - partition->last_heard() < delay) continue;
    for (const auto& [label, peer] : peers_) {
      if (now - peer.heard > kPeerFresh ||
          peer.heartbeat.misrouted_workers.size() <= number ||
          peer.heartbeat.misrouted_workers[number] == 0) {
        continue;
      }
      ownership_.HandOver(number, label, HandoverReason::kUnreachable);
      break;
    }
  }
}

}  // namespace pitchfall
