#include "core/partition/record_sizes.h"

#include "core/model/job.h"
#include "core/state/segments.h"

namespace pitchfall {
namespace {

// An upper bound in bytes for one more assigned task in a chunk's record, on a
// machine that the record does not name yet.
constexpr size_t kMaxAssignmentBytes = 100;
// The number of ranges of completed tasks that certainly fit into
// kSmallRecordBytes.
constexpr size_t kMaxRangesInSmallRecord = 16;

}  // namespace

bool RecordSizes::FitsValue(const JobRecord& record) const {
  return RecordBytes(record) <= limits_.ValueBytes();
}

bool RecordSizes::FitsSegment(const std::string& job, uint32_t chunk,
                              const ChunkRecord& record) const {
  return SegmentFiller(limits_.UsableValueBytes()).Add({job, chunk, record});
}

bool RecordSizes::FitsSegmentWithOneMore(const std::string& job, uint32_t chunk,
                                         const ChunkRecord& record) const {
  size_t max_bytes = limits_.UsableValueBytes();
  // The exact bound is expensive to compute, and most records are far below the
  // limit.
  size_t estimate =
      record.assigned.size() * kMaxAssignmentBytes + kSmallRecordBytes;
  bool few_ranges = record.done.iterative_size() <= kMaxRangesInSmallRecord;
  if (few_ranges && estimate < max_bytes) return true;
  return MaxEntryBytes({job, chunk, record}) + kMaxAssignmentBytes <= max_bytes;
}

}  // namespace pitchfall
