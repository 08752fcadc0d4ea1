#include "core/state/cancellation_watermark.h"

#include <algorithm>

namespace pitchfall {
namespace {

// The rates of two machines' steady clocks differ by up to 0.05%. The divisor
// allows for twice that (1/1000 = 0.1%).
constexpr int64_t kClockDriftDivisor = 1000;

// Returns the shortest time that can have passed on this process's clock while
// `elapsed` passed on another machine's clock.
Duration MinLocalElapsed(Duration elapsed) {
  return elapsed - elapsed / kClockDriftDivisor;
}

}  // namespace

void CancellationWatermark::OnPeerHeartbeat(const PeerHeartbeat& heartbeat,
                                            SteadyTime now,
                                            SteadyTime current_as_of) {
  auto echoed = newest_echoes_.find(heartbeat.label);
  if (echoed == newest_echoes_.end()) return;
  // If the peer started after the last read here began, its earlier
  // incarnations may have confirmed cancellations that neither the peer nor
  // this process knows.
  if (MinLocalElapsed(heartbeat.uptime) < now - current_as_of) return;
  for (const PeerHeartbeat::Echo& echo : heartbeat.echoes) {
    // Times sent by an earlier incarnation of this process are readings of a
    // different steady clock.
    if (!EchoesThisProcess(echo) || echo.sender_time > now) continue;
    echoed->second = std::max(echoed->second, echo.sender_time);
  }
}

bool CancellationWatermark::EchoesThisProcess(
    const PeerHeartbeat::Echo& echo) const {
  return echo.label == label_ && echo.incarnation == incarnation_;
}

SteadyTime CancellationWatermark::CancellationsKnownUntil(
    SteadyTime current_as_of, SteadyTime now) const {
  // Without peers, only this process confirms cancellations, so it knows all
  // of them.
  SteadyTime echoed_by_all = now;
  for (const auto& [label, echoed] : newest_echoes_) {
    echoed_by_all = std::min(echoed_by_all, echoed);
  }
  return std::max(current_as_of, echoed_by_all);
}

}  // namespace pitchfall
