// Counts in advance how large a segment will be when it is stored.
#ifndef PITCHFALL_CORE_STATE_SEGMENT_FILLER_H_
#define PITCHFALL_CORE_STATE_SEGMENT_FILLER_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "core/model/records.h"

namespace pitchfall {

// Fills one segment up to a size in bytes, counted as the state service counts
// it: as JSON. The count is an upper bound of what is stored.
class SegmentFiller {
 public:
  explicit SegmentFiller(size_t limit) : limit_(limit) {}

  // False, and nothing added, if the segment would exceed its limit or
  // `max_bytes`.
  bool Add(const SegmentRecord::Entry& entry, size_t max_bytes = SIZE_MAX);

  size_t size() const { return size_; }
  const SegmentRecord& segment() const { return segment_; }

 private:
  // A segment names each machine once, in a table.
  using Place = std::pair<std::string, std::string>;  // machine, zone

  // What the entry adds; `new_places` receives its machines that the segment
  // does not name yet.
  size_t CostOf(const SegmentRecord::Entry& entry,
                std::set<Place>& new_places) const;

  size_t limit_;
  size_t size_ = 32;  // field names and brackets
  std::set<Place> places_;
  SegmentRecord segment_;
};

// The most bytes that the chunk's record can take in a segment while its tasks
// end one by one, in the most unfavourable order, and none are started.
size_t MaxEntryBytes(const SegmentRecord::Entry& entry);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_SEGMENT_FILLER_H_
