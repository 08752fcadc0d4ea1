// Until when every cancellation that any controller has told a user of is known
// here, with or without the state service.
//
// A read shows all that was stored before it began. While none succeeds, the
// other controllers can answer for it: each echoes the newest mark (a reading
// of this process's own steady clock) that it has heard from here, and names in
// the same message all cancellations it knows beyond the revision known here. A
// controller tells users only of cancellations that it knows, so whatever it
// told before it sent the echo, hence whatever it told before the mark, is
// known here then. An earlier incarnation of it may have told others: the echo
// counts only if its incarnation began before the last read here, which shows
// what earlier incarnations had stored. One controller that is silent keeps all
// at its last word.
#ifndef PITCHFALL_CORE_STATE_CANCELLATION_WATERMARK_H_
#define PITCHFALL_CORE_STATE_CANCELLATION_WATERMARK_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/model/messages.h"
#include "core/model/settings.h"

namespace pitchfall {

class CancellationWatermark {
 public:
  CancellationWatermark(const Deployment& deployment, std::string label,
                        std::string incarnation)
      : label_(std::move(label)), incarnation_(std::move(incarnation)) {
    for (const auto& peer : deployment.peers) echoed_[peer.label];
  }

  // `current_as_of`: when the last successful read of the state began.
  void OnPeerHeartbeat(const PeerHeartbeat& heartbeat, SteadyTime now,
                       SteadyTime current_as_of);

  // All that any controller told a user before this moment is known here.
  SteadyTime CancellationsKnownUntil(SteadyTime current_as_of,
                                     SteadyTime now) const;

 private:
  const std::string label_;
  const std::string incarnation_;
  std::map<std::string, SteadyTime> echoed_;  // by the other controllers
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_CANCELLATION_WATERMARK_H_
