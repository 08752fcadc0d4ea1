#include "core/state/cancellation_acknowledgements.h"

#include <algorithm>

#include "core/state/state_watcher.h"

namespace pitchfall {
namespace {

// From the reading of the clock at the start of an owner's batch to the
// departure of the answers that are decided in it.
constexpr Duration kAnswerDepartureMargin = Millis(250);

}  // namespace

CancellationAcknowledgements::CancellationAcknowledgements(
    const Deployment& deployment, const StateCache& state_cache)
    : own_label_(deployment.label),
      state_cache_(state_cache),
      revision_ages_(WithDrift(StateWatcher::kMaxFreshAge) +
                     kAnswerDepartureMargin) {
  for (const auto& peer : deployment.peers) peers_[peer.label];
}

void CancellationAcknowledgements::OnPeerHeartbeat(
    const PeerHeartbeat& heartbeat) {
  auto peer = peers_.find(heartbeat.label);
  if (peer == peers_.end()) return;
  peer->second.revision = heartbeat.revision;
  peer->second.cancelled = {heartbeat.cancelled.begin(),
                            heartbeat.cancelled.end()};
}

bool CancellationAcknowledgements::MayConfirm(const JobOutcome& cancellation,
                                              SteadyTime now) const {
  return AllPeersKnow(cancellation) ||
         revision_ages_.IsOld(cancellation.mod_revision, now) ||
         OwnersKnow(cancellation, now);
}

bool CancellationAcknowledgements::AllPeersKnow(
    const JobOutcome& cancellation) const {
  return std::ranges::all_of(peers_, [&cancellation](const auto& peer) {
    return peer.second.Includes(cancellation);
  });
}

bool CancellationAcknowledgements::OwnersKnow(const JobOutcome& cancellation,
                                              SteadyTime now) const {
  // Every binding was stored before the cancellation. Only a cache that is
  // complete up to there shows all of them, and their partitions' owners.
  if (state_cache_.revision() < cancellation.mod_revision) return false;
  const Job* job = state_cache_.FindJob(cancellation.id);
  // The job has left the cache, which shows that none of its tasks is bound.
  if (job == nullptr) return true;
  return std::ranges::all_of(job->chunks, [&](const auto& entry) {
    const Job::Chunk& chunk = entry.second;
    return chunk.record.assigned.empty() ||
           OwnerKnows(chunk.partition, cancellation, now);
  });
}

bool CancellationAcknowledgements::OwnerKnows(uint32_t partition,
                                              const JobOutcome& cancellation,
                                              SteadyTime now) const {
  const auto* owner = state_cache_.FindPartition(partition);
  if (owner == nullptr) return false;
  // An earlier owner may still act until its last read is no longer recent.
  if (!revision_ages_.IsOld(owner->mod_revision, now)) return false;
  if (owner->value.label == own_label_) return true;
  auto peer = peers_.find(owner->value.label);
  return peer != peers_.end() && peer->second.Includes(cancellation);
}

}  // namespace pitchfall
