// The stored progress of a job's tasks. It is kept by chunk: a chunk is a block
// of consecutive tasks that one partition runs.
#ifndef PITCHFALL_CORE_MODEL_CHUNK_RECORD_H_
#define PITCHFALL_CORE_MODEL_CHUNK_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/model/task_set.h"

namespace pitchfall {

// An attempt to run a task that is bound to a machine. The record is stored
// before the start command is sent, and removed only once the attempt is known
// not to run any more.
struct Assignment {
  uint32_t task = 0;
  uint32_t attempt = 0;  // see ChunkRecord::next_attempt
  std::string machine;
  std::string zone;  // of the machine
  friend bool operator==(const Assignment&, const Assignment&) = default;
};

// The progress of the tasks [n * chunk_size, (n + 1) * chunk_size) of a job,
// where n is the chunk's number. A chunk has no record until the first of its
// tasks is assigned.
struct ChunkRecord {
  // How often the chunk had been transferred to another partition when this
  // record was written. A record of a later epoch is newer.
  uint32_t epoch = 0;
  TaskSet done;
  std::vector<Assignment> assigned;
  // The number that the next attempt of any task of the chunk gets.
  uint32_t next_attempt = 1;
  friend bool operator==(const ChunkRecord&, const ChunkRecord&) = default;
};

// Chunk records that are stored together in one value, as described in
// core/state/segments.h.
struct SegmentRecord {
  // A chunk record with the job and the number of the chunk.
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
