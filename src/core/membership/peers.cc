#include "core/membership/peers.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace pitchfall {
namespace {

constexpr Duration kHeartbeatInterval = Millis(500);
// The interval after this controller has learned of a cancellation; those
// learned within it share a heartbeat.
constexpr Duration kUrgentHeartbeatInterval = Millis(50);
// A peer counts as live for this long after its last heartbeat: five intervals.
constexpr Duration kPeerTimeout = Millis(2500);
// Keeps a heartbeat, which is sent twice a second, small.
constexpr size_t kMaxCancellationsPerHeartbeat = 500;
// Reads happen several times a second. A single late one means little; a second
// without any means that this controller or the state service has failed.
constexpr Duration kMaxHealthyStateAge = Millis(1200);
// The state age that a controller reports before its first complete read; it
// exceeds every limit.
constexpr Duration kStateNeverRead = Millis(3'600'000);

}  // namespace

bool Peers::OnHeartbeat(const PeerHeartbeat& heartbeat) {
  // A network partition can delay messages for minutes. If such messages were
  // accepted, a peer that has ended would look live and seem to have free
  // capacity.
  Duration age = context_.outbox.now().wall - heartbeat.sent;
  if (age > kPeerTimeout + 2 * context_.deployment.max_clock_error)
    return false;
  SteadyTime now = context_.now();
  peers_[heartbeat.label] = {heartbeat, now};
  for (const auto& [partition, free] : heartbeat.free) {
    context_.capacity_table.Update(partition, free, now);
  }
  for (const std::string& id : heartbeat.cancelled) AddCancellation(id);
  context_.cancellation_watermark.OnPeerHeartbeat(
      heartbeat, now, context_.state_watcher.current_as_of());
  context_.cancellation_acknowledgements.OnPeerHeartbeat(heartbeat);
  return true;
}

void Peers::AddCancellation(const std::string& id) {
  if (IsStoredAsCancelled(id)) return;
  context_.cancelled_by_peers.insert(id);
  cancellation_heard_[id] = context_.now();
}

bool Peers::IsStoredAsCancelled(const std::string& id) const {
  return context_.state_cache.IsRecentlyCancelled(id) ||
         context_.state_cache.FindOutcome(id).has_value();
}

void Peers::ForgetStoredCancellations() {
  std::erase_if(context_.cancelled_by_peers, [this](const std::string& id) {
    if (!IsStoredAsCancelled(id) && !IsReadAndEnded(id)) return false;
    cancellation_heard_.erase(id);
    return true;
  });
}

// A cancellation is announced after it has been stored, so a read that began
// after the announcement shows it. A job that the cache lacks after that has
// ended, however long ago.
bool Peers::IsReadAndEnded(const std::string& id) const {
  if (context_.state_cache.FindJob(id) != nullptr) return false;
  auto heard = cancellation_heard_.find(id);
  return heard != cancellation_heard_.end() &&
         context_.state_watcher.current_as_of() > heard->second;
}

bool Peers::HeartbeatDue() const {
  SteadyTime now = context_.now();
  if (now >= next_due_) return true;
  return KnownCancellations() != announced_cancellations_ &&
         now - last_sent_ >= kUrgentHeartbeatInterval;
}

void Peers::SendHeartbeat(const LocalStatus& status) {
  SteadyTime now = context_.now();
  // The first heartbeat is sent as soon as the process starts its work.
  if (!first_sent_) first_sent_ = now;
  announced_cancellations_ = KnownCancellations();
  last_sent_ = now;
  next_due_ = now + kHeartbeatInterval;
  for (const LocalStatus::OwnedPartition& partition : status.partitions) {
    context_.capacity_table.Update(partition.number, partition.free, now);
  }
  context_.outbox.Send(BuildHeartbeat(status));
}

PeerHeartbeat Peers::BuildHeartbeat(const LocalStatus& status) const {
  SteadyTime now = context_.now();
  PeerHeartbeat heartbeat;
  heartbeat.label = context_.deployment.label;
  heartbeat.incarnation = context_.incarnation;
  heartbeat.sent = context_.outbox.now().wall;
  heartbeat.state_age = context_.state_watcher.loaded()
                            ? context_.state_watcher.Age()
                            : kStateNeverRead;
  heartbeat.requests = status.usage.requests;
  heartbeat.writes = status.usage.writes;
  heartbeat.misrouted_workers = status.misrouted_workers;
  for (const LocalStatus::OwnedPartition& partition : status.partitions) {
    heartbeat.free[partition.number] = partition.free;
    heartbeat.tokens[partition.number] = partition.fencing_token;
  }
  heartbeat.uptime = now - *first_sent_;
  heartbeat.revision = context_.state_cache.revision();
  heartbeat.sender_time = now;
  AddCancellationEchoes(heartbeat);
  AddUnreadCancellations(heartbeat);
  return heartbeat;
}

void Peers::AddCancellationEchoes(PeerHeartbeat& heartbeat) const {
  // One list of cancellations serves all peers: it has those that are new to
  // the peer with the lowest revision among the peers that get an echo. Peers
  // for which the list would be too long, and all with lower revisions, get no
  // echo: an echo without the complete list would let them go on with tasks of
  // a cancelled job.
  for (const Peer* peer : LivePeersByRevision()) {
    auto cancelled = context_.state_cache.CancelledSince(
        peer->heartbeat.revision, kMaxCancellationsPerHeartbeat);
    if (!cancelled) break;
    heartbeat.cancelled = std::move(*cancelled);
    heartbeat.echoes.push_back({peer->heartbeat.label,
                                peer->heartbeat.incarnation,
                                peer->heartbeat.sender_time});
  }
}

// With these the heartbeat shows all that this process knows: everything up to
// its revision, and what it has stored itself or heard of since.
void Peers::AddUnreadCancellations(PeerHeartbeat& heartbeat) const {
  std::set<std::string> listed(heartbeat.cancelled.begin(),
                               heartbeat.cancelled.end());
  auto add = [&](const std::string& id) {
    if (heartbeat.cancelled.size() >= kMaxCancellationsPerHeartbeat) return;
    if (listed.insert(id).second) heartbeat.cancelled.push_back(id);
  };
  auto stored = context_.state_cache.CancelledSince(
      heartbeat.revision, kMaxCancellationsPerHeartbeat);
  if (stored) std::ranges::for_each(*stored, add);
  std::ranges::for_each(context_.cancelled_by_peers, add);
}

std::vector<const Peers::Peer*> Peers::LivePeersByRevision() const {
  std::vector<const Peer*> live;
  for (const auto& [label, peer] : peers_) {
    if (IsLive(peer)) live.push_back(&peer);
  }
  // Peers of equal revision stay in the order of their labels.
  std::ranges::stable_sort(live, std::ranges::greater{}, [](const Peer* peer) {
    return peer->heartbeat.revision;
  });
  return live;
}

bool Peers::IsLive(const Peer& peer) const {
  return SinceHeard(peer) < kPeerTimeout;
}

bool Peers::Healthy() const {
  if (!context_.state_watcher.loaded()) return false;
  if (context_.state_watcher.Age() < kMaxHealthyStateAge) return true;
  bool hears_any = context_.deployment.peers.empty();
  for (const auto& [label, peer] : peers_) {
    if (!IsLive(peer)) continue;
    if (peer.heartbeat.state_age < kMaxHealthyStateAge) return false;
    hears_any = true;
  }
  return hears_any;
}

std::vector<std::optional<RateUsage>> Peers::RateUsages() const {
  std::vector<std::optional<RateUsage>> usages;
  for (const auto& [label, peer] : peers_) {
    std::optional<RateUsage>& usage = usages.emplace_back();
    if (!IsLive(peer)) continue;
    usage = RateUsage{peer.heartbeat.requests, peer.heartbeat.writes};
  }
  return usages;
}

std::optional<std::string> Peers::FindMisroutedWorkers(
    uint32_t partition) const {
  for (const auto& [label, peer] : peers_) {
    if (SinceHeard(peer) > kPeerTimeout) continue;
    const std::vector<uint32_t>& misrouted = peer.heartbeat.misrouted_workers;
    if (partition < misrouted.size() && misrouted[partition] > 0) return label;
  }
  return {};
}

}  // namespace pitchfall
