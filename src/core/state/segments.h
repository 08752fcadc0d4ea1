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
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/model/records.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// A ring begins with so many slots. It grows with what it holds, so that little
// of what is in use lies in the slot overwritten next: a ring that is full of
// it takes nothing more, not even the end of a task.
inline constexpr uint32_t kMinSlots = 32;
inline constexpr uint32_t kMaxSlots = 4096;

// Fills one segment up to a size, counted as the service counts it.
class SegmentFiller {
 public:
  explicit SegmentFiller(size_t limit) : limit_(limit) {}

  // False, and nothing added, if the segment would exceed its limit or
  // `max_bytes`.
  bool Add(const SegmentRecord::Entry& entry, size_t max_bytes = SIZE_MAX);

  size_t size() const { return size_; }
  const SegmentRecord& segment() const { return segment_; }

 private:
  // What the entry adds; remembers its machines in `machines`.
  size_t CostOf(const SegmentRecord::Entry& entry,
                std::set<std::pair<std::string, std::string>>& machines) const;

  size_t limit_;
  size_t size_ = 32;  // field names and brackets
  std::set<std::pair<std::string, std::string>> machines_;
  SegmentRecord segment_;
};

// The most bytes that the chunk's record can take in a segment while its tasks
// end one by one, in the most unfavourable order, and none are started.
size_t MaxEntryBytes(const SegmentRecord::Entry& entry);

// The segments to write so that `changed` is stored and nothing is lost: which
// slots of the partition's ring, and what goes into each. None if that takes
// more than the limits allow.
struct SegmentLimits {
  size_t value_bytes = 0;  // of each
  size_t total_bytes = 0;  // of all together
  size_t writes = 0;       // how many
};
struct SegmentWrite {
  uint32_t slot = 0;
  uint64_t mod_revision = 0;  // of what is overwritten
  SegmentRecord segment;
};
std::optional<std::vector<SegmentWrite>> PlanSegments(
    const StateCache& state_cache, uint32_t partition,
    const std::vector<SegmentRecord::Entry>& changed,
    const SegmentLimits& limits);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_SEGMENTS_H_
