// A job and what has become of its tasks.
#ifndef PITCHFALL_CORE_MODEL_JOB_H_
#define PITCHFALL_CORE_MODEL_JOB_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "core/model/messages.h"
#include "core/model/records.h"
#include "core/model/settings.h"

namespace pitchfall {

struct Job {
  struct Chunk {
    ChunkRecord record;
    // Of the segment that holds this version, and where that lies.
    uint64_t mod_revision = 0;
    uint32_t partition = 0;
    uint32_t slot = 0;
  };

  JobRecord record;
  uint64_t mod_revision = 0;
  std::map<uint32_t, Chunk> chunks;

  // Derived from the chunks.
  uint32_t done = 0;
  uint32_t assigned = 0;

  const JobSpec& spec() const { return record.spec; }
  bool open() const { return !record.final() || assigned > 0; }
  // Tasks that are neither done nor bound to a machine.
  uint32_t waiting() const {
    if (record.final()) return 0;
    return spec().tasks - std::min(spec().tasks, done + assigned);
  }
  uint32_t chunk_of(uint32_t task) const { return task / record.chunk_size; }
  uint32_t chunk_begin(uint32_t chunk) const {
    return chunk * record.chunk_size;
  }
  uint32_t chunk_end(uint32_t chunk) const {
    return std::min(spec().tasks, (chunk + 1) * record.chunk_size);
  }
  ChunkOwner owner_of(uint32_t chunk, uint32_t partition_count) const {
    if (chunk < record.owners.size()) return record.owners[chunk];
    uint32_t turn = chunk % std::max(1u, record.spread_over);
    return {(record.home + turn) % partition_count, 0};
  }
  // Jobs whose tasks' places depend on each other.
  bool constrained() const { return spec().one_zone || spec().spread; }
  // Whether chunks of it belong to several partitions.
  bool shared(uint32_t partition_count) const {
    for (uint32_t chunk = 1; chunk < record.chunk_count(); ++chunk) {
      if (owner_of(chunk, partition_count).partition !=
          owner_of(0, partition_count).partition)
        return true;
    }
    return false;
  }
  const Chunk* FindChunk(uint32_t chunk) const {
    auto it = chunks.find(chunk);
    return it == chunks.end() ? nullptr : &it->second;
  }
};

// Orders jobs by identifier. Sets of jobs that are iterated use it: an order by
// address would differ from run to run, and so would what is stored.
struct OrderById {
  bool operator()(const Job* left, const Job* right) const {
    return left->spec().id < right->spec().id;
  }
};

// The state of a job as its user sees it.
JobAnswer Describe(const Job& job, bool counts);

// How many bytes the record takes as JSON, at the most.
size_t RecordBytes(const JobRecord& record);
// The same for the job's record whatever becomes of it.
size_t MaxRecordBytes(const JobSpec& spec);

// The record with the job's last state. An earlier version of pitchfall may
// have stored more than `value_bytes`: then what is not needed to account for
// tasks still on machines is left out.
JobRecord FinalRecord(JobRecord record, JobState state, size_t value_bytes);

// Whether a job can ever run here; empty, or what stands in its way.
std::string WhyImpossible(const JobSpec& spec, const Deployment& deployment,
                          const TypesRecord& types, size_t value_bytes);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_JOB_H_
