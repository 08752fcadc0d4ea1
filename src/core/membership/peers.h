// The other controllers as their heartbeats show them, and the heartbeats that
// this controller sends to them.
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

// What this controller tells the others of itself, beyond what the context
// holds.
struct LocalStatus {
  struct OwnedPartition {
    uint32_t number = 0;
    uint64_t fencing_token = 0;
    FreeCapacity free;
  };
  RateUsage usage;
  // Workers that came here because they could not reach their owner, by
  // partition.
  std::vector<uint32_t> misrouted_workers;
  std::vector<OwnedPartition> partitions;
  // How many cancellations this process has stored so far.
  uint64_t stored_cancellations = 0;
};

// Keeps the newest heartbeat of each other controller. Alone writes
// `cancelled_by_peers`, the capacity table's news of owners and the
// cancellation watermark of the context.
class Peers {
 public:
  explicit Peers(Context& context) : context_(context) {}

  // Takes a heartbeat in, with the free capacity and the cancellations that it
  // names. Returns false, without any effect, if it is so old that a network
  // partition must have held it back.
  bool OnHeartbeat(const PeerHeartbeat& heartbeat);

  // Drops the cancellations learned from peers that the state cache shows too.
  void ForgetStoredCancellations();

  // Whether a heartbeat is due: after the regular interval, or soon after a
  // cancellation has been stored, so that the others stop its tasks.
  bool HeartbeatDue(uint64_t stored_cancellations) const;

  // Sends a heartbeat to all other controllers and notes the free capacity of
  // the own partitions.
  void SendHeartbeat(const LocalStatus& status);

  // Whether users are well served here. While nobody can reach the state
  // service, they are better off with an answer that says when to come back
  // than with no controller at all. If only this one cannot, they are better
  // off with another. One that hears none of the others either cannot tell, and
  // is more likely cut off than all of them gone.
  bool Healthy() const;

  // The usage of each controller ever heard; none for those not heard lately.
  std::vector<std::optional<RateUsage>> RateUsages() const;

  // The first controller, by label, that has lately told of workers that cannot
  // reach the partition's owner; none if there is none.
  std::optional<std::string> FindMisroutedWorkers(uint32_t partition) const;

 private:
  struct Peer {
    PeerHeartbeat heartbeat;
    SteadyTime heard{};
  };

  Duration SinceHeard(const Peer& peer) const {
    return context_.now() - peer.heard;
  }
  bool IsLive(const Peer& peer) const;
  PeerHeartbeat BuildHeartbeat(const LocalStatus& status) const;
  // Echoes what was heard from the others, with the cancellations that make the
  // echoes count (see core/state/cancellation_watermark.h).
  void AddCancellationEchoes(PeerHeartbeat& heartbeat) const;
  // The live peers, those that know the most of the state first.
  std::vector<const Peer*> LivePeersByRevision() const;

  Context& context_;
  std::map<std::string, Peer> peers_;  // by label
  std::optional<SteadyTime> first_sent_;
  SteadyTime last_sent_{};
  SteadyTime next_due_{};
  uint64_t announced_cancellations_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_PEERS_H_
