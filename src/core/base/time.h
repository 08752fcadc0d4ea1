// Times and durations. Everything is counted in whole microseconds; the steady
// clock and the time of day are different types, so that they cannot be mixed.
#ifndef PITCHFALL_CORE_BASE_TIME_H_
#define PITCHFALL_CORE_BASE_TIME_H_

#include <chrono>
#include <cmath>
#include <cstdint>

namespace pitchfall {

using Duration = std::chrono::duration<int64_t, std::micro>;

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

// Both clocks read at the start of a batch of commands.
struct Now {
  SteadyTime steady;
  WallTime wall;
};

inline Duration Seconds(double s) {
  return Duration(static_cast<int64_t>(std::llround(s * 1e6)));
}
inline constexpr Duration Millis(int64_t ms) { return Duration(ms * 1000); }
// The longest time that another process's steady clock may measure as `d`:
// steady clocks of two machines differ by as much as 0.05% each way.
inline constexpr Duration WithDrift(Duration d) { return d + d / 1000; }
inline double ToSeconds(Duration d) {
  return static_cast<double>(d.count()) / 1e6;
}

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_TIME_H_
