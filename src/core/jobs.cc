#include "core/jobs.h"

#include <algorithm>

namespace pitchfall {
namespace {

constexpr size_t kRecordNumbers = 2048;

}  // namespace

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
  // Beside its words a job's record holds some numbers and, in time, owners.
  size_t words = 2 * spec.id.size() + spec.job_class.size() + spec.team.size() +
                 spec.image.size() + spec.zone.size();
  if (spec.types) {
    for (const std::string& type : *spec.types) words += type.size() + 3;
  }
  if (static_cast<double>(words + kRecordNumbers) >
      deployment.value_kb * 1024) {
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
