#include "core/model/job.h"

#include <algorithm>

#include "core/model/limits.h"

namespace pitchfall {
namespace {

// Names of fields, punctuation and numbers of a record.
constexpr size_t kRecordNumbers = 520;
// Three numbers for each run of chunks with one owner, of up to 2, 3 and 5
// digits, each with its comma.
constexpr size_t kOwnerRunBytes = 13;

// Escaped, in the longest form that the text can take.
size_t JsonBytes(const std::string& text) {
  size_t bytes = 2;
  for (unsigned char c : text) {
    bytes += c < 0x20 || c >= 0x7f ? 6 : c == '"' || c == '\\' ? 2 : 1;
  }
  return bytes;
}

size_t WordBytes(const JobSpec& spec) {
  size_t words = JsonBytes(spec.id) + JsonBytes(spec.job_class) +
                 JsonBytes(spec.team) + JsonBytes(spec.image) +
                 JsonBytes(spec.zone);
  if (spec.types) {
    for (const std::string& type : *spec.types) words += JsonBytes(type) + 1;
  }
  return words;
}

size_t OwnerRuns(const std::vector<ChunkOwner>& owners) {
  size_t runs = owners.empty() ? 0 : 1;
  for (size_t i = 1; i < owners.size(); ++i) {
    if (owners[i] != owners[i - 1]) ++runs;
  }
  return runs;
}

}  // namespace

size_t RecordBytes(const JobRecord& record) {
  return WordBytes(record.spec) + kRecordNumbers +
         OwnerRuns(record.owners) * kOwnerRunBytes;
}

size_t MaxRecordBytes(const JobSpec& spec) {
  size_t chunks = std::min<size_t>(spec.tasks, kMaxChunks);
  return WordBytes(spec) + kRecordNumbers + chunks * kOwnerRunBytes;
}

JobRecord FinalRecord(JobRecord record, JobState state, size_t value_bytes) {
  record.state = state;
  // A cancelled job's tasks may still be on machines; the epochs of its chunks
  // are needed to store their ends.
  if (state == JobState::kDone) record.owners.clear();
  if (RecordBytes(record) <= value_bytes) return record;
  record.spec.types.reset();
  record.spec.zone.clear();
  record.spec.job_class.clear();
  return record;
}

JobAnswer Describe(const Job& job, bool counts) {
  JobAnswer answer;
  answer.id = job.spec().id;
  answer.counts = counts;
  answer.done = std::min(job.done, job.spec().tasks);
  switch (job.record.state) {
    case JobState::kDone:
      answer.status = JobAnswer::Status::kDone;
      answer.done = job.spec().tasks;
      return answer;
    case JobState::kCancelled:
      answer.status = JobAnswer::Status::kCancelled;
      return answer;
    case JobState::kAccepted:
      break;
  }
  answer.running = job.assigned;
  answer.status = job.assigned > 0 ? JobAnswer::Status::kRunning
                                   : JobAnswer::Status::kQueued;
  return answer;
}

std::string WhyImpossible(const JobSpec& spec, const Deployment& deployment,
                          const TypesRecord& types, size_t value_bytes) {
  auto team = deployment.teams.find(spec.team);
  if (team == deployment.teams.end()) return "unknown team " + spec.team;
  if (MaxRecordBytes(spec) > value_bytes ||
      MaxRecordBytes(spec) > kTransactionBytes / 2) {
    return "its description is longer than the state service can keep";
  }
  const Team& limits = team->second;
  // Tasks of an array can run one after another, others only together.
  int64_t at_once = spec.shape == Shape::kArray ? 1 : spec.tasks;
  Resources resources = spec.resources * at_once;
  if (limits.cpus_limit > 0 && resources.cpus > limits.cpus_limit) {
    return "needs more processors at once than team " + spec.team + " may use";
  }
  if (limits.gpus_limit > 0 && resources.gpus > limits.gpus_limit) {
    return "needs more accelerators at once than team " + spec.team +
           " may use";
  }
  for (const MachineType& type : types.types) {
    if (!spec.AllowsType(type.name)) continue;
    if (!spec.zone.empty() && std::find(type.zones.begin(), type.zones.end(),
                                        spec.zone) == type.zones.end()) {
      continue;
    }
    if (spec.resources.FitsIn(type.capacity)) return "";
  }
  return "a task fits no machine type that the job allows";
}

}  // namespace pitchfall
