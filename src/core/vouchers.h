// Until when every cancellation that any controller has told a user of is known
// here, with or without the state service.
//
// A read shows all that was stored before it began. While none succeeds, the
// other controllers can vouch: each echoes the newest mark (a reading of this
// process's own steady clock) that it has heard from here, and names in the
// same message all cancellations it knows beyond the revision known here. A
// controller tells users only of cancellations that it knows, so whatever it
// told before it sent the echo, hence whatever it told before the mark, is
// known here then. An earlier incarnation of it may have told others: the echo
// counts only if its incarnation began before the last read here, which shows
// what earlier incarnations had stored. One controller that is silent keeps all
// at its last word.
#ifndef PITCHFALL_CORE_VOUCHERS_H_
#define PITCHFALL_CORE_VOUCHERS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/messages.h"
#include "core/settings.h"
#include "core/time.h"

namespace pitchfall {

class Vouchers {
 public:
  Vouchers(const Deployment& deployment, std::string label,
           std::string incarnation)
      : label_(std::move(label)), incarnation_(std::move(incarnation)) {
    for (const auto& peer : deployment.peers) vouched_[peer.label];
  }

  // `known_at`: when the last successful read of the state began.
  void Hear(const PeerHello& hello, SteadyTime now, SteadyTime known_at);

  // All that any controller told a user before this moment is known here.
  SteadyTime KnownUntil(SteadyTime known_at, SteadyTime now) const;

 private:
  const std::string label_;
  const std::string incarnation_;
  std::map<std::string, SteadyTime> vouched_;  // by the other controllers
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_VOUCHERS_H_
