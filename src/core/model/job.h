// A job and what has become of its tasks.
#ifndef PITCHFALL_CORE_MODEL_JOB_H_
#define PITCHFALL_CORE_MODEL_JOB_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/model/messages.h"
#include "core/model/records.h"
#include "core/model/settings.h"

namespace pitchfall {

// A job as the state cache holds it: its record, the newest version of each of
// its chunks, and counts derived from them. Only the state cache changes it.
struct Job {
  // The newest version of a chunk's record.
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
  // Whether the job still concerns the scheduler: it is not final, or some of
  // its tasks are still bound to machines.
  bool open() const { return !record.final() || assigned > 0; }
  // Tasks that are neither done nor bound to a machine.
  uint32_t waiting() const {
    if (record.final()) return 0;
    return spec().tasks - std::min(spec().tasks, done + assigned);
  }
  // The chunk of a task, and the tasks [chunk_begin, chunk_end) of a chunk.
  uint32_t chunk_of(uint32_t task) const { return task / record.chunk_size; }
  uint32_t chunk_begin(uint32_t chunk) const {
    return chunk * record.chunk_size;
  }
  uint32_t chunk_end(uint32_t chunk) const {
    return std::min(spec().tasks, (chunk + 1) * record.chunk_size);
  }
  // The partition that runs the chunk, and how often the chunk has been
  // transferred. Until the first transfer it follows from the home partition.
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
  // Null if none of the chunk's tasks was ever assigned.
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

// The state of a job as its user sees it; `counts` adds the numbers of tasks
// that are done and running.
JobAnswer Describe(const Job& job, bool counts);

// How many bytes the record takes as JSON, at the most.
size_t RecordBytes(const JobRecord& record);
// The same for the job's record whatever becomes of it.
size_t MaxRecordBytes(const JobSpec& spec);

// The record with the job's last state. An earlier version of pitchfall may
// have stored more than `value_bytes`: then what is not needed to account for
// tasks still on machines is left out.
JobRecord FinalRecord(JobRecord record, JobState state, size_t value_bytes);

// Why a job can never run in this deployment.
enum class RejectionReason : uint8_t {
  kUnknownTeam,
  kDescriptionTooLong,  // its record would exceed what the state service takes
  kExceedsCpuLimit,     // of its team
  kExceedsGpuLimit,     // of its team
  kFitsNoMachineType,   // among the types and zones that the job allows
};

// Why a submission is rejected for good. Sent to the user with status 422.
struct Rejection {
  RejectionReason reason = RejectionReason::kUnknownTeam;
  std::string message;  // as the user reads it
};

// Checks a submission against the deployment's teams, the machine types of the
// cloud and `value_bytes`, the largest value that the state service takes.
// Returns the first reason for which the job can never run, or nothing if it
// can. Does not look at what is free at the moment.
std::optional<Rejection> WhyImpossible(const JobSpec& spec,
                                       const Deployment& deployment,
                                       const TypesRecord& types,
                                       size_t value_bytes);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_JOB_H_
