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

// A job's record may take up to half of a transaction, which holds more than
// the record itself.
constexpr size_t kMaxTransactionShare = kTransactionBytes / 2;

// JSON writes control characters, and may write all beyond ASCII, as an escape
// of six characters.
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;
constexpr size_t kUnicodeEscapeBytes = 6;
constexpr size_t kShortEscapeBytes = 2;  // a backslash and the character
constexpr size_t kQuotesBytes = 2;

size_t EscapedBytes(unsigned char c) {
  if (c < kFirstPrintable || c >= kDelete) return kUnicodeEscapeBytes;
  if (c == '"' || c == '\\') return kShortEscapeBytes;
  return 1;
}

// Escaped, in the longest form that the text can take.
size_t JsonBytes(const std::string& text) {
  size_t bytes = kQuotesBytes;
  for (unsigned char c : text) bytes += EscapedBytes(c);
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

// Whether the team's limits leave room for as much as must run at once.
std::optional<Rejection> CheckTeamLimits(const JobSpec& spec,
                                         const Team& team) {
  // Tasks of an array can run one after another, others only together.
  int64_t at_once = spec.shape == Shape::kArray ? 1 : spec.tasks;
  Resources resources = spec.resources * at_once;
  if (team.cpus_limit > 0 && resources.cpus > team.cpus_limit) {
    return Rejection{
        RejectionReason::kExceedsCpuLimit,
        "needs more processors at once than team " + spec.team + " may use"};
  }
  if (team.gpus_limit > 0 && resources.gpus > team.gpus_limit) {
    return Rejection{
        RejectionReason::kExceedsGpuLimit,
        "needs more accelerators at once than team " + spec.team + " may use"};
  }
  return std::nullopt;
}

// Whether a task fits an empty machine of the type, and the job allows the type
// and one of the zones in which there is any.
bool TaskFitsType(const JobSpec& spec, const MachineType& type) {
  if (!spec.AllowsType(type.name)) return false;
  bool zone_allowed =
      spec.zone.empty() || std::find(type.zones.begin(), type.zones.end(),
                                     spec.zone) != type.zones.end();
  return zone_allowed && spec.resources.FitsIn(type.capacity);
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

std::optional<Rejection> WhyImpossible(const JobSpec& spec,
                                       const Deployment& deployment,
                                       const TypesRecord& types,
                                       size_t value_bytes) {
  auto team = deployment.teams.find(spec.team);
  if (team == deployment.teams.end()) {
    return Rejection{RejectionReason::kUnknownTeam,
                     "unknown team " + spec.team};
  }
  size_t record_bytes = MaxRecordBytes(spec);
  if (record_bytes > value_bytes || record_bytes > kMaxTransactionShare) {
    return Rejection{
        RejectionReason::kDescriptionTooLong,
        "its description is longer than the state service can keep"};
  }
  if (auto rejection = CheckTeamLimits(spec, team->second)) return rejection;
  bool fits = std::any_of(
      types.types.begin(), types.types.end(),
      [&](const MachineType& type) { return TaskFitsType(spec, type); });
  if (!fits) {
    return Rejection{RejectionReason::kFitsNoMachineType,
                     "a task fits no machine type that the job allows"};
  }
  return std::nullopt;
}

}  // namespace pitchfall
