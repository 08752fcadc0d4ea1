#include "core/jobs.h"

#include <algorithm>

#include "core/limits.h"

namespace pitchfall {
namespace {

// Names of fields, numbers, and the owners of up to kMostChunks chunks.
constexpr size_t kRecordNumbers = 2048;

// Escaped, in the longest form that the text can take.
size_t JsonBytes(const std::string& text) {
  size_t bytes = 2;
  for (unsigned char c : text) {
    bytes += c < 0x20 || c >= 0x7f ? 6 : c == '"' || c == '\\' ? 2 : 1;
  }
  return bytes;
}

}  // namespace

size_t RecordBytes(const JobSpec& spec) {
  size_t words = JsonBytes(spec.id) + JsonBytes(spec.job_class) +
                 JsonBytes(spec.team) + JsonBytes(spec.image) +
                 JsonBytes(spec.zone);
  if (spec.types) {
    for (const std::string& type : *spec.types) words += JsonBytes(type) + 1;
  }
  return words + kRecordNumbers;
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
                          const TypesRecord& types) {
  auto team = deployment.teams.find(spec.team);
  if (team == deployment.teams.end()) return "unknown team " + spec.team;
  if (static_cast<double>(RecordBytes(spec)) > deployment.value_kb * 1024 ||
      RecordBytes(spec) > kTransactionBytes / 2) {
    return "its description is longer than the state service can keep";
  }
  const Team& limits = team->second;
  // Tasks of an array can run one after another, others only together.
  int64_t at_once = spec.shape == Shape::kArray ? 1 : spec.tasks;
  Resources need = spec.need * at_once;
  if (limits.cpus_limit > 0 && need.cpus > limits.cpus_limit) {
    return "needs more processors at once than team " + spec.team + " may use";
  }
  if (limits.gpus_limit > 0 && need.gpus > limits.gpus_limit) {
    return "needs more accelerators at once than team " + spec.team +
           " may use";
  }
  for (const MachineType& type : types.types) {
    if (!spec.AllowsType(type.name)) continue;
    if (!spec.zone.empty() && std::find(type.zones.begin(), type.zones.end(),
                                        spec.zone) == type.zones.end()) {
      continue;
    }
    if (spec.need.FitsIn(type.capacity)) return "";
  }
  return "a task fits no machine type that the job allows";
}

}  // namespace pitchfall
