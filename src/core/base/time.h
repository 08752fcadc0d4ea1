// Times and durations in whole microseconds. Times of the steady clock and of
// the wall clock have different types, so that they cannot be mixed.
#ifndef PITCHFALL_CORE_BASE_TIME_H_
#define PITCHFALL_CORE_BASE_TIME_H_

#include <chrono>
#include <cmath>
#include <cstdint>

namespace pitchfall {

using Duration = std::chrono::duration<int64_t, std::micro>;

// Tags for the time points below. Neither has a `now`: src/io reads the clocks
// and passes their times to the core.
struct SteadyClock {
  using rep = int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<SteadyClock>;
  static constexpr bool is_steady = true;
};

struct WallClock {
  using rep = int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<WallClock>;
  static constexpr bool is_steady = false;
};

using SteadyTime = SteadyClock::time_point;
using WallTime = WallClock::time_point;

// The readings of both clocks at the start of a batch of commands.
struct Now {
  SteadyTime steady;
  WallTime wall;
};

// Rounds to the nearest microsecond.
inline Duration Seconds(double s) {
  return Duration(static_cast<int64_t>(std::llround(s * 1e6)));
}
inline constexpr Duration Millis(int64_t ms) { return Duration(ms * 1000); }
// Returns the longest time on this machine's steady clock during which another
// machine's steady clock may advance by `d`. The rate of each clock may be off
// by 0.05%, so that two clocks may differ by 0.1%.
inline constexpr Duration WithDrift(Duration d) { return d + d / 1000; }
inline double ToSeconds(Duration d) {
  return static_cast<double>(d.count()) / 1e6;
}

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_TIME_H_
