#include "core/state/cancellation_watermark.h"

#include <algorithm>

namespace pitchfall {
namespace {

// Steady clocks of two machines differ by as much as 0.05%; this allows for
// twice that.
constexpr int64_t kMaxDriftDivisor = 1000;

// The least that can have passed here while `elapsed` passed on another clock.
Duration LessDrift(Duration elapsed) {
  return elapsed - elapsed / kMaxDriftDivisor;
}

}  // namespace

void CancellationWatermark::OnPeerHeartbeat(const PeerHeartbeat& heartbeat,
                                            SteadyTime now,
                                            SteadyTime current_as_of) {
  auto echoed = echoed_.find(heartbeat.label);
  if (echoed == echoed_.end()) return;
  // What the peer's earlier incarnations confirmed after the last read here is
  // known neither to the peer nor here.
  if (LessDrift(heartbeat.uptime) < now - current_as_of) return;
  for (const PeerHeartbeat::Echo& echo : heartbeat.echoes) {
    // An earlier incarnation's times are of another clock.
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
  // Without peers, this process knows all that has been confirmed.
  SteadyTime echoed_by_all = now;
  for (const auto& [label, echoed] : echoed_) {
    echoed_by_all = std::min(echoed_by_all, echoed);
  }
  return std::max(current_as_of, echoed_by_all);
}

}  // namespace pitchfall
