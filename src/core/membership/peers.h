// The other controllers of the deployment (peers) as their heartbeats show
// them, and the heartbeats that this controller sends to them.
#ifndef PITCHFALL_CORE_MEMBERSHIP_PEERS_H_
#define PITCHFALL_CORE_MEMBERSHIP_PEERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/membership/shared_rate_limits.h"
#include "core/model/free_capacity.h"
#include "core/model/messages.h"
#include "core/state/context.h"

namespace pitchfall {

// What this controller reports in its heartbeats beyond what the context holds.
struct LocalStatus {
  struct OwnedPartition {
    uint32_t number = 0;
    uint64_t fencing_token = 0;
    FreeCapacity free;
  };
  RateUsage usage;
  // How many workers sent their heartbeat here because they could not reach
  // their owner, indexed by partition.
  std::vector<uint32_t> misrouted_workers;
  std::vector<OwnedPartition> partitions;  // that this process owns
};

// Keeps the newest heartbeat of each peer. No other class writes
// `cancelled_by_peers`, the free capacity in the capacity table that owners
// report, or the cancellation watermark of the context.
class Peers {
 public:
  explicit Peers(Context& context) : context_(context) {}

  // Stores a heartbeat and applies the free capacity and the cancellations that
  // it lists. Returns false, without any effect, if the heartbeat is so old
  // that a network partition must have delayed it.
  bool OnHeartbeat(const PeerHeartbeat& heartbeat);

  // Drops the cancellations learned from peers that the state cache shows as
  // well, or whose jobs have left it.
  void ForgetStoredCancellations();

  // Whether a heartbeat is due: after the regular interval, or soon after this
  // controller has learned of a cancellation. A controller that has stored one
  // waits for such heartbeats of the others before it tells the user
  // (CancellationAcknowledgements).
  bool HeartbeatDue() const;

  // Sends a heartbeat to all peers and records the free capacity of this
  // controller's own partitions.
  void SendHeartbeat(const LocalStatus& status);

  // Whether this controller should serve users. It should while its state is
  // recent. While no controller can reach the state service, it still should,
  // because an answer that says when to retry is better than no controller at
  // all. If a live peer has recent state, users should go to that peer. A
  // controller that hears from no peer cannot tell these cases apart and is
  // more likely cut off itself than all peers are down, so it should not.
  bool Healthy() const;

  // The usage of every peer that has ever sent a heartbeat; empty entries are
  // peers that have not sent one recently.
  std::vector<std::optional<RateUsage>> RateUsages() const;

  // Returns the first live peer, by label, that reports workers of the
  // partition that cannot reach its owner.
  std::optional<std::string> FindMisroutedWorkers(uint32_t partition) const;

 private:
  struct Peer {
    PeerHeartbeat heartbeat;
    SteadyTime heard{};  // when the heartbeat arrived
  };

  Duration SinceHeard(const Peer& peer) const {
    return context_.now() - peer.heard;
  }
  bool IsLive(const Peer& peer) const;
  PeerHeartbeat BuildHeartbeat(const LocalStatus& status) const;
  // How many cancellations this process has learned of. One that moves from
  // `cancelled_by_peers` to the state cache counts once.
  uint64_t KnownCancellations() const {
    return context_.state_cache.cancellations_shown() +
           context_.cancelled_by_peers.size();
  }
  // Adds a cancellation that a peer has announced, unless the state cache shows
  // it already.
  void AddCancellation(const std::string& id);
  // Whether the state cache shows that the job is cancelled.
  bool IsStoredAsCancelled(const std::string& id) const;
  // Whether the state cache lacks the job although everything that was stored
  // before the announcement has been read.
  bool IsReadAndEnded(const std::string& id) const;
  // Adds the echoes of the peers' sender times, and the cancellations that make
  // the echoes valid (see core/state/cancellation_watermark.h).
  void AddCancellationEchoes(PeerHeartbeat& heartbeat) const;
  // Adds the cancellations that this process knows beyond its revision, as many
  // as fit.
  void AddUnreadCancellations(PeerHeartbeat& heartbeat) const;
  // Returns the live peers, those whose state has the highest revision first.
  std::vector<const Peer*> LivePeersByRevision() const;

  Context& context_;
  std::map<std::string, Peer> peers_;  // by label
  // When each job in the context's `cancelled_by_peers` was last announced.
  std::map<std::string, SteadyTime> cancellation_heard_;
  std::optional<SteadyTime> first_sent_;  // empty: no heartbeat sent yet
  SteadyTime last_sent_{};
  SteadyTime next_due_{};
  // KnownCancellations() at the last heartbeat.
  uint64_t announced_cancellations_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_PEERS_H_
