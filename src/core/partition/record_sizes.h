// Whether records fit into what the state service takes as one value.
#ifndef PITCHFALL_CORE_PARTITION_RECORD_SIZES_H_
#define PITCHFALL_CORE_PARTITION_RECORD_SIZES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/model/records.h"
#include "core/state/state_limits.h"

namespace pitchfall {

// Bytes that a small record takes at the most, names of its fields included.
inline constexpr size_t kSmallRecordBytes = 600;

// Sizes are counted as the state service counts them, as JSON, by the limits
// that hold at the moment of the call.
class RecordSizes {
 public:
  explicit RecordSizes(const StateLimits& limits) : limits_(limits) {}

  // An earlier version may have stored a record that is too large to be written
  // again since the state service takes less.
  bool FitsValue(const JobRecord& record) const;
  // Whether the chunk's record fits into a segment as it is.
  bool FitsSegment(const std::string& job, uint32_t chunk,
                   const ChunkRecord& record) const;
  // Whether the chunk's record still fits into a segment, whatever becomes of
  // its tasks, once another of them is on a machine.
  bool FitsSegmentWithOneMore(const std::string& job, uint32_t chunk,
                              const ChunkRecord& record) const;

 private:
  const StateLimits& limits_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_RECORD_SIZES_H_
