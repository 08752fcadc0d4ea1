// A job, the progress of its tasks, and the checks of new submissions.
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
// its chunk records, and counts derived from these. Only the state cache
// changes it.
struct Job {
  // The newest version of a chunk's record.
  struct Chunk {
    ChunkRecord record;
    // The segment that holds this version: its modification revision, its
    // partition, and its slot in the partition's ring of segments.
    uint64_t mod_revision = 0;
    uint32_t partition = 0;
    uint32_t slot = 0;
  };

  JobRecord record;
  uint64_t mod_revision = 0;         // of the job record
  std::map<uint32_t, Chunk> chunks;  // by number; only those with a record

  // Numbers of tasks, derived from the chunk records.
  uint32_t done = 0;
  uint32_t assigned = 0;  // bound to machines

  const JobSpec& spec() const { return record.spec; }
  // Whether the scheduler still has to handle the job: it is not final, or some
  // of its tasks are still bound to machines.
  bool open() const { return !record.final() || assigned > 0; }
  // The number of tasks that are neither done nor bound to a machine; 0 if the
  // job is final.
  uint32_t waiting() const {
    if (record.final()) return 0;
    return spec().tasks - std::min(spec().tasks, done + assigned);
  }
  // Returns the number of the chunk that contains the task.
  uint32_t chunk_of(uint32_t task) const { return task / record.chunk_size; }
  // A chunk consists of the tasks [chunk_begin, chunk_end).
  uint32_t chunk_begin(uint32_t chunk) const {
    return chunk * record.chunk_size;
  }
  uint32_t chunk_end(uint32_t chunk) const {
    return std::min(spec().tasks, (chunk + 1) * record.chunk_size);
  }
  // Returns the partition that runs the chunk, with the number of transfers of
  // the chunk so far. Until the first transfer of any chunk of the job, the
  // partition is derived from the job's home partition.
  ChunkOwner owner_of(uint32_t chunk, uint32_t partition_count) const {
    if (chunk < record.owners.size()) return record.owners[chunk];
    uint32_t turn = chunk % std::max(1u, record.spread_over);
    return {(record.home + turn) % partition_count, 0};
  }
  // Whether the zone of one task restricts the zones of the others.
  bool has_zone_constraint() const { return spec().one_zone || spec().spread; }
  // Whether the job's chunks belong to more than one partition.
  bool spans_partitions(uint32_t partition_count) const {
    for (uint32_t chunk = 1; chunk < record.chunk_count(); ++chunk) {
      if (owner_of(chunk, partition_count).partition !=
          owner_of(0, partition_count).partition)
        return true;
    }
    return false;
  }
  // Returns null if none of the chunk's tasks has ever been assigned.
  const Chunk* FindChunk(uint32_t chunk) const {
    auto it = chunks.find(chunk);
    return it == chunks.end() ? nullptr : &it->second;
  }
};

// What is kept of a job that has ended: what its user is told about it.
struct JobOutcome {
  std::string id;
  JobState state = JobState::kDone;  // never kAccepted
  uint32_t tasks = 0;
  uint32_t done = 0;          // of a cancelled job, the tasks known to be done
  uint64_t mod_revision = 0;  // of the job record with the final state
};

// Orders jobs by identifier. Sets of jobs that are iterated use it, because the
// order of addresses, and with it the order of what is stored, would differ
// between runs.
struct OrderById {
  bool operator()(const Job* left, const Job* right) const {
    return left->spec().id < right->spec().id;
  }
};

// Returns the state of a job as its user sees it. `counts` says whether the
// answer shows the numbers of tasks that are done and running.
JobAnswer MakeJobAnswer(const Job& job, bool counts);
JobAnswer MakeJobAnswer(const JobOutcome& outcome, bool counts);

// Returns the outcome of a job. Precondition: its record is final.
JobOutcome OutcomeOf(const Job& job);
// The same for a stored record, without the number of tasks that were done
// before a cancellation.
JobOutcome OutcomeOf(const JobRecord& record, uint64_t mod_revision);

// Returns an upper bound for the size of the record as JSON, in bytes.
size_t RecordBytes(const JobRecord& record);
// Returns an upper bound for the size of the job's record in any later state.
size_t MaxRecordBytes(const JobSpec& spec);

// Returns the record with the job's final state. If the result would exceed
// `value_bytes`, because an earlier version of pitchfall stored a larger
// record, the fields that are not needed to account for tasks on machines are
// cleared: the machine types, the zone and the class.
JobRecord FinalRecord(JobRecord record, JobState state, size_t value_bytes);

// Why a job can never run in this deployment.
enum class RejectionReason : uint8_t {
  kUnknownTeam,
  kDescriptionTooLong,  // its record is too large for the state service
  kExceedsCpuLimit,     // of its team
  kExceedsGpuLimit,     // of its team
  kFitsNoMachineType,   // of those that the job allows, in the allowed zones
};

// The permanent rejection of a submission, which is sent to the user with
// status 422.
struct Rejection {
  RejectionReason reason = RejectionReason::kUnknownTeam;
  std::string message;  // sent to the user
};

// Checks a submission against the deployment's teams, the cloud's machine types
// and `value_bytes`, the size of the largest value that the state service
// accepts. Returns the first reason why the job can never run, or nothing if it
// can. Capacity that is in use at the moment is not taken into account.
std::optional<Rejection> FindRejection(const JobSpec& spec,
                                       const Deployment& deployment,
                                       const TypesRecord& types,
                                       size_t value_bytes);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_JOB_H_
