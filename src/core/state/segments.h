// How a partition's chunk records lie in the state service.
//
// The service limits writes by their number, not by their size, so that a
// record of its own for every chunk lets a few tasks a second through. Each
// partition therefore has a ring of segments, each one value, written in turn
// as in a log-structured file system (Rosenblum and Ousterhout, 1991): a write
// holds all chunks that have changed and, copied forward, those whose newest
// version lies in the segment that it overwrites. What is newest follows from
// the chunk's epoch and the segment's modification revision alone.
//
// A version that says that nothing is bound any more need not be copied
// forward once its job is over: everything older in the ring is overwritten
// before it is.
//
// A segment may have been stored when the service took larger values than it
// does now. Where what it still holds does not fit into the values of one
// transaction, it is emptied in steps: new slots are added to the ring, which
// take the changes and as much of its content as fits, and it is overwritten
// once little is left in it.
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

// The bounds of a ring's number of slots. It grows with the live entries, so
// that few of them lie in the slot that is overwritten next: a ring that is
// full of live entries takes nothing more, not even the end of a task.
inline constexpr uint32_t kMinSlots = 32;
inline constexpr uint32_t kMaxSlots = 4096;

// What one transaction may write.
struct SegmentLimits {
  size_t value_bytes = 0;  // of each
  size_t total_bytes = 0;  // of all together
  size_t writes = 0;       // how many
};

// A value to write to a slot of the ring.
struct SegmentWrite {
  uint32_t slot = 0;
  uint64_t mod_revision = 0;  // of what is overwritten; 0: a new slot
  SegmentRecord segment;
};

// The segments to write in one transaction so that `changed` is stored and no
// live entry is lost. None if that takes more than the limits allow.
std::optional<std::vector<SegmentWrite>> PlanSegments(
    const StateCache& state_cache, uint32_t partition,
    const std::vector<SegmentRecord::Entry>& changed,
    const SegmentLimits& limits);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_SEGMENTS_H_
