// Sizes that several parts of the core must agree on.
#ifndef PITCHFALL_CORE_MODEL_LIMITS_H_
#define PITCHFALL_CORE_MODEL_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace pitchfall {

// The largest number of chunks that a job is divided into.
inline constexpr uint32_t kMaxChunks = 64;

// How many tasks of a chunk may be on machines at once, beside the bound that
// the size of a value sets (SegmentFiller). Versions before 2 refuse to read
// records that bind more than kMaxInChunkVersion1.
inline constexpr uint32_t kMaxInChunkVersion1 = 96;
inline constexpr uint32_t kMaxInChunk = 2048;

// The state service takes transactions of 64 KiB, counted as JSON. A tenth of
// that is kept in reserve for what counting in advance may miss.
inline constexpr size_t kTransactionBytes = 64 * 1024 * 9 / 10;
// What is counted for a condition or a write besides its value: its key and the
// names of its fields.
inline constexpr size_t kOperationBytes = 100;

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_LIMITS_H_
