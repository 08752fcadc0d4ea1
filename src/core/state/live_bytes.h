// Estimates how much of a partition's ring of segments is occupied by live
// records.
#ifndef PITCHFALL_CORE_STATE_LIVE_BYTES_H_
#define PITCHFALL_CORE_STATE_LIVE_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "core/model/job.h"

namespace pitchfall {

// Estimates how many bytes the newest versions of each partition's chunk
// records take; older versions do not count. The size of the ring depends on
// the result.
class LiveBytes {
 public:
  void Add(const Job::Chunk& chunk) {
    bytes_[chunk.partition] += EstimateBytes(chunk);
  }
  // Precondition: the chunk has been added and has not changed since.
  void Remove(const Job::Chunk& chunk) {
    bytes_[chunk.partition] -= EstimateBytes(chunk);
  }
  // The estimate for one partition; 0 if no chunk of it was ever added.
  size_t In(uint32_t partition) const {
    auto found = bytes_.find(partition);
    return found == bytes_.end() ? 0 : static_cast<size_t>(found->second);
  }

 private:
  static int64_t EstimateBytes(const Job::Chunk& chunk) {
    // Typical sizes of a record without assignments and of one assignment.
    constexpr int64_t kChunkBytes = 40;
    constexpr int64_t kAssignmentBytes = 20;
    auto assigned = static_cast<int64_t>(chunk.record.assigned.size());
    return kChunkBytes + kAssignmentBytes * assigned;
  }

  std::map<uint32_t, int64_t> bytes_;  // by partition
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_LIVE_BYTES_H_
