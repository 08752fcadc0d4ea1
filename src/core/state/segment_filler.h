// Builds segments of limited size. The size of the stored segment is computed
// before it is encoded.
#ifndef PITCHFALL_CORE_STATE_SEGMENT_FILLER_H_
#define PITCHFALL_CORE_STATE_SEGMENT_FILLER_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "core/model/records.h"

namespace pitchfall {

// Adds entries to one segment up to a limit in bytes. Sizes are computed as the
// state service computes them, in bytes of JSON. The computed size is an upper
// bound of the stored size.
class SegmentFiller {
 public:
  // `limit` is the largest size of the segment, in bytes.
  explicit SegmentFiller(size_t limit) : limit_(limit) {}

  // Adds the entry. Returns false, and adds nothing, if the segment would
  // exceed its limit or `max_bytes`.
  bool Add(const SegmentRecord::Entry& entry, size_t max_bytes = SIZE_MAX);

  // The size of the segment, in bytes.
  size_t size() const { return size_; }
  const SegmentRecord& segment() const { return segment_; }

 private:
  // A stored segment lists each machine once, in a table; entries refer to it
  // by index.
  using MachineKey = std::pair<std::string, std::string>;  // machine, zone

  // Returns by how many bytes the entry would enlarge the segment. Adds to
  // `new_machines` its machines that are not in the segment's table yet.
  size_t EntryBytes(const SegmentRecord::Entry& entry,
                    std::set<MachineKey>& new_machines) const;

  size_t limit_;
  size_t size_ = 32;  // of an empty segment: field names and brackets
  std::set<MachineKey> machines_;
  SegmentRecord segment_;
};

// Returns the largest size, in bytes, that a segment with only this chunk's
// record can reach while its tasks end one by one in the worst possible order
// and none are started.
size_t MaxEntryBytes(const SegmentRecord::Entry& entry);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_SEGMENT_FILLER_H_
