// The time up to which this controller knows every cancellation that any
// controller has confirmed to a user, with or without the state service.
//
// A read of the state service shows all that was stored before the read began.
// While reads fail, the heartbeats of the other controllers take their place:
//
// - Every heartbeat carries the sender's steady time (`sender_time`). Each peer
//   echoes the newest one that it has received from this process, and lists in
//   the same heartbeat all cancellations that it knows beyond the revision
//   known here.
// - A controller confirms only cancellations that it knows. So whatever a peer
//   confirmed before it sent the echo, and hence whatever it confirmed before
//   the echoed time, is known here once the echo has arrived.
// - An earlier incarnation of the peer may have confirmed others. An echo
// counts
//   only if the peer's incarnation began before the last read here, because
//   that read shows what earlier incarnations had stored.
//
// The watermark is the oldest of the times echoed by all peers: one that is
// silent holds it back.
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
// All times are of this process's steady clock.
class CancellationWatermark {
 public:
  // `label` and `incarnation` name this process.
  CancellationWatermark(const Deployment& deployment, std::string label,
                        std::string incarnation)
      : label_(std::move(label)), incarnation_(std::move(incarnation)) {
    for (const auto& peer : deployment.peers) echoed_[peer.label];
  }

  // Takes in the echoes of a heartbeat whose cancellations have been taken in.
  // `current_as_of` is when the last successful read of the state began.
  // Heartbeats of controllers outside the deployment have no effect.
  void OnPeerHeartbeat(const PeerHeartbeat& heartbeat, SteadyTime now,
                       SteadyTime current_as_of);

  // Every cancellation that any controller confirmed to a user before this time
  // is known here.
  SteadyTime CancellationsKnownUntil(SteadyTime current_as_of,
                                     SteadyTime now) const;

 private:
  bool EchoesThisProcess(const PeerHeartbeat::Echo& echo) const;

  const std::string label_;
  const std::string incarnation_;
  std::map<std::string, SteadyTime> echoed_;  // by the peer's label
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_CANCELLATION_WATERMARK_H_
