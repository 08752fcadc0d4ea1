#include "io/clock.h"

#include <ctime>

namespace pitchfall::io {
namespace {

// In whole microseconds; the rest is cut off.
Duration Read(clockid_t id) {
  timespec ts{};
  clock_gettime(id, &ts);
  return Duration(static_cast<int64_t>(ts.tv_sec) * 1000000 +
                  ts.tv_nsec / 1000);
}

}  // namespace

Now ReadClocks() {
  return {SteadyTime(Read(CLOCK_MONOTONIC)), WallTime(Read(CLOCK_REALTIME))};
}

}  // namespace pitchfall::io
