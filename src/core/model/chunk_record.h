// What becomes of a job's tasks, stored by chunks: a chunk is a block of
// consecutive tasks that one partition runs.
#ifndef PITCHFALL_CORE_MODEL_CHUNK_RECORD_H_
#define PITCHFALL_CORE_MODEL_CHUNK_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/model/task_set.h"

namespace pitchfall {

// An attempt of a task bound to a machine, from before its start is sent until
// it is proven to be gone.
struct Assignment {
  uint32_t task = 0;
  uint32_t attempt = 0;
  std::string machine;
  std::string zone;  // of the machine
  friend bool operator==(const Assignment&, const Assignment&) = default;
};

// The tasks [n * chunk_size, (n + 1) * chunk_size) of a job. A chunk has no
// record until the first of its tasks is assigned.
struct ChunkRecord {
  // How often the chunk had been transferred when this was written.
  uint32_t epoch = 0;
  TaskSet done;
  std::vector<Assignment> assigned;
  uint32_t next_attempt = 1;
  friend bool operator==(const ChunkRecord&, const ChunkRecord&) = default;
};

// Chunk records that were stored together in one value; see
// core/state/segments.h.
struct SegmentRecord {
  // A chunk's record with the chunk's key.
  struct Entry {
    std::string job;
    uint32_t chunk = 0;
    ChunkRecord record;
    friend bool operator==(const Entry&, const Entry&) = default;
  };
  std::vector<Entry> entries;
  friend bool operator==(const SegmentRecord&, const SegmentRecord&) = default;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_CHUNK_RECORD_H_
