// The layout of a partition's chunk records in the state service.
//
// The service limits the rate of writes by their number, not by their size.
// With one record per chunk, only a few tasks a second could be stored. Each
// partition therefore has a ring of segments. A segment is one value with many
// chunk records. Segments are overwritten in turn, as in a log-structured file
// system (Rosenblum and Ousterhout, 1991): a write contains all chunks that
// have changed, and copies forward the live entries of the segment that it
// overwrites, that is, the chunks whose newest version is in that segment. The
// chunk's epoch and the segment's modification revision alone determine which
// version is the newest.
//
// A version without bound tasks need not be copied forward once its job is
// final: all older versions in the ring are overwritten before it is.
//
// A segment may have been stored when the service accepted larger values than
// it does now. If its live entries do not fit into the values of one
// transaction, it is emptied in steps: new slots are added to the ring for the
// changes and for as many of its live entries as fit. It is overwritten once
// the remaining ones fit.
#ifndef PITCHFALL_CORE_STATE_SEGMENTS_H_
#define PITCHFALL_CORE_STATE_SEGMENTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/model/records.h"
#include "core/state/segment_filler.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// The smallest and the largest number of slots of a ring. The ring grows with
// its live entries, so that the slot that is overwritten next contains few of
// them: a ring that is full of live entries cannot store any change, not even
// the end of a task.
inline constexpr uint32_t kMinSlots = 32;
inline constexpr uint32_t kMaxSlots = 4096;

// The limits for the segments written in one transaction.
struct SegmentLimits {
  size_t value_bytes = 0;  // largest size of one segment
  size_t total_bytes = 0;  // largest total size of all segments
  size_t writes = 0;       // largest number of segments
};

// A segment to write to a slot of the ring.
struct SegmentWrite {
  uint32_t slot = 0;
  uint64_t mod_revision = 0;  // of the overwritten segment; 0: a new slot
  SegmentRecord segment;
};

// Returns the segments to write in one transaction so that `changed` is stored
// and no live entry is lost. Returns nullopt if the limits do not allow it.
std::optional<std::vector<SegmentWrite>> PlanSegments(
    const StateCache& state_cache, uint32_t partition,
    const std::vector<SegmentRecord::Entry>& changed,
    const SegmentLimits& limits);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_SEGMENTS_H_
