// Computes the time up to which this controller knows every cancellation that
// any controller has confirmed to a user. It advances even while the state
// service cannot be read.
//
// A read of the state service shows everything stored before the read began.
// While reads fail, heartbeats of the other controllers provide the same
// guarantee:
//
// - Every heartbeat carries the sender's steady time (`sender_time`). Each peer
//   echoes the newest one that it has received from this process. The same
//   heartbeat lists all cancellations that the peer knows and that are newer
//   than the revision this process has reported.
// - A controller confirms only cancellations that it knows. Whatever a peer
//   confirmed before it sent the echo, and therefore whatever it confirmed
//   before the echoed time, is known here once the echo has arrived.
// - An earlier incarnation of the peer may have confirmed other cancellations.
//   An echo counts only if the peer's present incarnation started before the
//   last successful read here, because that read shows what earlier
//   incarnations had stored.
//
// The watermark is the oldest time echoed by any peer, so a peer that sends no
// heartbeats stops it from advancing.
#ifndef PITCHFALL_CORE_STATE_CANCELLATION_WATERMARK_H_
#define PITCHFALL_CORE_STATE_CANCELLATION_WATERMARK_H_

#include <map>
#include <string>
#include <utility>

#include "core/base/time.h"
#include "core/model/messages.h"
#include "core/model/settings.h"

namespace pitchfall {

// Keeps the newest time echoed by each of the deployment's other controllers.
// All times are readings of this process's steady clock.
class CancellationWatermark {
 public:
  // `label` and `incarnation` identify this process.
  CancellationWatermark(const Deployment& deployment, std::string label,
                        std::string incarnation)
      : label_(std::move(label)), incarnation_(std::move(incarnation)) {
    for (const auto& peer : deployment.peers) newest_echoes_[peer.label];
  }

  // Processes the echoes in a peer's heartbeat. Precondition: the cancellations
  // listed in the heartbeat have been processed. `current_as_of` is when the
  // last successful read of the state service began. Heartbeats of controllers
  // outside the deployment have no effect.
  void OnPeerHeartbeat(const PeerHeartbeat& heartbeat, SteadyTime now,
                       SteadyTime current_as_of);

  // Returns the watermark: every cancellation that any controller confirmed to
  // a user before this time is known here. It is never earlier than
  // `current_as_of`, and equals `now` if the deployment has no other
  // controllers.
  SteadyTime CancellationsKnownUntil(SteadyTime current_as_of,
                                     SteadyTime now) const;

 private:
  bool EchoesThisProcess(const PeerHeartbeat::Echo& echo) const;

  const std::string label_;
  const std::string incarnation_;
  // The newest time echoed by each peer, by the peer's label. The clock's epoch
  // if the peer has echoed none yet.
  std::map<std::string, SteadyTime> newest_echoes_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_CANCELLATION_WATERMARK_H_
