#include "core/model/job.h"

#include <algorithm>

#include "core/model/limits.h"

namespace pitchfall {
namespace {

// Upper bound for the field names, punctuation and numbers of a job record.
constexpr size_t kFixedRecordBytes = 520;
// Each run of consecutive chunks with the same owner is written as three
// numbers of up to 2, 3 and 5 digits, each followed by a comma.
constexpr size_t kOwnerRunBytes = 13;

// A job record may take up to half of a transaction, because the transaction
// contains more than the record.
constexpr size_t kMaxJobRecordBytes = kTransactionBytes / 2;

// JSON writes control characters, and may write every character outside ASCII,
// as an escape sequence of six characters.
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

// Returns the length of the longest JSON string that may represent the text,
// with its quotes.
size_t JsonBytes(const std::string& text) {
  size_t bytes = kQuotesBytes;
  for (unsigned char c : text) bytes += EscapedBytes(c);
  return bytes;
}

// Returns an upper bound for the text fields of a job record.
size_t TextFieldBytes(const JobSpec& spec) {
  size_t bytes = JsonBytes(spec.id) + JsonBytes(spec.job_class) +
                 JsonBytes(spec.team) + JsonBytes(spec.image) +
                 JsonBytes(spec.zone);
  if (spec.types) {
    for (const std::string& type : *spec.types) bytes += JsonBytes(type) + 1;
  }
  return bytes;
}

// Returns the number of runs of consecutive chunks with the same owner and
// epoch.
size_t CountOwnerRuns(const std::vector<ChunkOwner>& owners) {
  size_t runs = owners.empty() ? 0 : 1;
  for (size_t i = 1; i < owners.size(); ++i) {
    if (owners[i] != owners[i - 1]) ++runs;
  }
  return runs;
}

// Checks that the tasks of the job that must run at the same time stay within
// the team's limits.
std::optional<Rejection> CheckTeamLimits(const JobSpec& spec,
                                         const Team& team) {
  // The tasks of an array job can run one after another; those of a gang or a
  // service run at the same time.
  int64_t concurrent_tasks = spec.shape == Shape::kArray ? 1 : spec.tasks;
  Resources resources = spec.resources * concurrent_tasks;
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

// Whether the job allows the machine type and one of the zones that offer it,
// and a task fits into an empty machine of the type.
bool TaskFitsType(const JobSpec& spec, const MachineType& type) {
  if (!spec.AllowsType(type.name)) return false;
  bool zone_allowed =
      spec.zone.empty() || std::find(type.zones.begin(), type.zones.end(),
                                     spec.zone) != type.zones.end();
  return zone_allowed && spec.resources.FitsIn(type.capacity);
}

}  // namespace

size_t RecordBytes(const JobRecord& record) {
  return TextFieldBytes(record.spec) + kFixedRecordBytes +
         CountOwnerRuns(record.owners) * kOwnerRunBytes;
}

size_t MaxRecordBytes(const JobSpec& spec) {
  size_t chunks = std::min<size_t>(spec.tasks, kMaxChunks);
  return TextFieldBytes(spec) + kFixedRecordBytes + chunks * kOwnerRunBytes;
}

JobRecord FinalRecord(JobRecord record, JobState state, size_t value_bytes) {
  record.state = state;
  // Tasks of a cancelled job may still be on machines, and the epochs of its
  // chunks are needed to store that these tasks have ended.
  if (state == JobState::kDone) record.owners.clear();
  if (RecordBytes(record) <= value_bytes) return record;
  record.spec.types.reset();
  record.spec.zone.clear();
  record.spec.job_class.clear();
  return record;
}

JobOutcome OutcomeOf(const JobRecord& record, uint64_t mod_revision) {
  JobOutcome outcome;
  outcome.id = record.spec.id;
  outcome.state = record.state;
  outcome.tasks = record.spec.tasks;
  outcome.done = record.state == JobState::kDone ? record.spec.tasks : 0;
  outcome.mod_revision = mod_revision;
  return outcome;
}

JobOutcome OutcomeOf(const Job& job) {
  JobOutcome outcome = OutcomeOf(job.record, job.mod_revision);
  if (outcome.state == JobState::kCancelled) {
    outcome.done = std::min(job.done, outcome.tasks);
  }
  return outcome;
}

JobAnswer MakeJobAnswer(const JobOutcome& outcome, bool counts) {
  JobAnswer answer;
  answer.id = outcome.id;
  answer.counts = counts;
  answer.done = outcome.done;
  answer.status = outcome.state == JobState::kDone
                      ? JobAnswer::Status::kDone
                      : JobAnswer::Status::kCancelled;
  return answer;
}

JobAnswer MakeJobAnswer(const Job& job, bool counts) {
  if (job.record.final()) return MakeJobAnswer(OutcomeOf(job), counts);
  JobAnswer answer;
  answer.id = job.spec().id;
  answer.counts = counts;
  answer.done = std::min(job.done, job.spec().tasks);
  answer.running = job.assigned;
  answer.status = job.assigned > 0 ? JobAnswer::Status::kRunning
                                   : JobAnswer::Status::kQueued;
  return answer;
}

std::optional<Rejection> FindRejection(const JobSpec& spec,
                                       const Deployment& deployment,
                                       const TypesRecord& types,
                                       size_t value_bytes) {
  auto team = deployment.teams.find(spec.team);
  if (team == deployment.teams.end()) {
    return Rejection{RejectionReason::kUnknownTeam,
                     "unknown team " + spec.team};
  }
  size_t record_bytes = MaxRecordBytes(spec);
  if (record_bytes > value_bytes || record_bytes > kMaxJobRecordBytes) {
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
