#include "core/state/cancellation_watermark.h"

#include <algorithm>

namespace pitchfall {
namespace {

// Steady clocks of two machines differ by as much as 0.05%.
Duration LessDrift(Duration d) { return d - d / 1000; }

}  // namespace

void CancellationWatermark::OnPeerHeartbeat(const PeerHeartbeat& heartbeat,
                                            SteadyTime now,
                                            SteadyTime current_as_of) {
  auto echoed = echoed_.find(heartbeat.label);
  if (echoed == echoed_.end()) return;
  // What its earlier incarnations told after the last read here is not known to
  // it.
  if (LessDrift(heartbeat.uptime) < now - current_as_of) return;
  for (const PeerHeartbeat::Echo& echo : heartbeat.echoes) {
    if (echo.label != label_ || echo.incarnation != incarnation_ ||
        echo.sender_time > now)
      continue;
    echoed->second = std::max(echoed->second, echo.sender_time);
  }
}

SteadyTime CancellationWatermark::CancellationsKnownUntil(
    SteadyTime current_as_of, SteadyTime now) const {
  // Alone, this process knows all that it has told anybody.
  SteadyTime echoed = now;
  for (const auto& [label, until] : echoed_) {
    echoed = std::min(echoed, until);
  }
  return std::max(current_as_of, echoed);
}

}  // namespace pitchfall
