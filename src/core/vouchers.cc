#include "core/vouchers.h"

#include <algorithm>

namespace pitchfall {
namespace {

// Steady clocks of two machines differ by as much as 0.05%.
Duration LessDrift(Duration d) { return d - d / 1000; }

}  // namespace

void Vouchers::Hear(const PeerHello& hello, SteadyTime now,
                    SteadyTime known_at) {
  auto vouched = vouched_.find(hello.label);
  if (vouched == vouched_.end()) return;
  // What its earlier incarnations told after the last read here is not known to
  // it.
  if (LessDrift(hello.uptime) < now - known_at) return;
  for (const PeerHello::Echo& echo : hello.echoes) {
    if (echo.label != label_ || echo.incarnation != incarnation_ ||
        echo.mark > now)
      continue;
    vouched->second = std::max(vouched->second, echo.mark);
  }
}

SteadyTime Vouchers::KnownUntil(SteadyTime known_at, SteadyTime now) const {
  // Alone, this process knows all that it has told anybody.
  SteadyTime vouched = now;
  for (const auto& [label, until] : vouched_) {
    vouched = std::min(vouched, until);
  }
  return std::max(known_at, vouched);
}

}  // namespace pitchfall
