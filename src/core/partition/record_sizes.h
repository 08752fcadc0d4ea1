// Checks whether records fit into one value of the state service.
#ifndef PITCHFALL_CORE_PARTITION_RECORD_SIZES_H_
#define PITCHFALL_CORE_PARTITION_RECORD_SIZES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/model/records.h"
#include "core/state/state_limits.h"

namespace pitchfall {

// An upper bound in bytes for a small record, including its field names.
inline constexpr size_t kSmallRecordBytes = 600;

// Sizes are counted like the state service counts them, as JSON. Each call uses
// the limits that hold at that moment.
class RecordSizes {
 public:
  explicit RecordSizes(const StateLimits& limits) : limits_(limits) {}

  // Whether the record can be written as one value. A stored record may be too
  // large to be written again: an earlier version may have stored it when the
  // state service accepted larger values.
  bool FitsValue(const JobRecord& record) const;
  // Whether the chunk's record fits into a segment in its present size.
  bool FitsSegment(const std::string& job, uint32_t chunk,
                   const ChunkRecord& record) const;
  // Whether the chunk's record still fits into a segment with one more assigned
  // task, whatever happens to its tasks later.
  bool FitsSegmentWithOneMore(const std::string& job, uint32_t chunk,
                              const ChunkRecord& record) const;

 private:
  const StateLimits& limits_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_RECORD_SIZES_H_
