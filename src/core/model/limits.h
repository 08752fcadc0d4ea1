// Size limits that several modules of the core share.
#ifndef PITCHFALL_CORE_MODEL_LIMITS_H_
#define PITCHFALL_CORE_MODEL_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace pitchfall {

// The largest number of chunks that a job is divided into.
inline constexpr uint32_t kMaxChunks = 64;

// The largest number of tasks of one chunk that may be bound to machines at the
// same time. The size of a stored value limits the number further (see
// SegmentFiller). Controllers before version 2 cannot read chunk records that
// bind more than kMaxBoundPerChunkVersion1 tasks.
inline constexpr uint32_t kMaxBoundPerChunkVersion1 = 96;
inline constexpr uint32_t kMaxBoundPerChunk = 2048;

// The size in bytes up to which transactions are built. The state service
// accepts transactions of 64 KiB, counted as JSON. A tenth of that is kept in
// reserve, because sizes that are computed in advance may be too small.
inline constexpr size_t kTransactionBytes = 64 * 1024 * 9 / 10;
// The bytes counted for the key and the field names of a condition or a write;
// the value of a write is counted in addition.
inline constexpr size_t kOperationBytes = 100;

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_LIMITS_H_
