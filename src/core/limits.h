// Sizes that several parts of the core must agree on.
#ifndef PITCHFALL_CORE_LIMITS_H_
#define PITCHFALL_CORE_LIMITS_H_

#include <cstdint>

namespace pitchfall {

// Into how many chunks a job is cut at the most.
inline constexpr uint32_t kMostChunks = 64;

// How many tasks of a chunk may be on machines at once: with each on a machine
// of its own the chunk's record still fits into a segment.
inline constexpr uint32_t kMostInChunk = 96;

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_LIMITS_H_
