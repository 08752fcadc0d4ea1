// Sizes that several parts of the core must agree on.
#ifndef PITCHFALL_CORE_LIMITS_H_
#define PITCHFALL_CORE_LIMITS_H_

#include <cstdint>

namespace pitchfall {

// With each task on a machine of its own a chunk's record stays below 8 KiB.
inline constexpr uint32_t kLargestChunk = 128;

// A constrained job's starts depend on all of its chunks; a transaction takes
// four conditions for each of its writes.
inline constexpr uint32_t kConstrainedChunks = 6;

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_LIMITS_H_
