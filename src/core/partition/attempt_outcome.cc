#include "core/partition/attempt_outcome.h"

namespace pitchfall {
namespace {

AttemptOutcome OutcomeOfExit(ExitCause cause) {
  switch (cause) {
    case ExitCause::kDone:
      return AttemptOutcome::kDone;
    case ExitCause::kError:
      return AttemptOutcome::kFailed;
    case ExitCause::kNoCapacity:
    case ExitCause::kBusy:
    case ExitCause::kUnknownTask:
      return AttemptOutcome::kRefused;
    case ExitCause::kStopped:
    case ExitCause::kNone:
      break;
  }
  return AttemptOutcome::kGone;
}

}  // namespace

const ReportedTask* FindReported(const WorkerHeartbeat& heartbeat,
                                 const TaskKey& key, uint32_t attempt) {
  for (const ReportedTask& task : heartbeat.tasks) {
    if (task.task == key.second && task.attempt == attempt &&
        task.job == key.first) {
      return &task;
    }
  }
  return nullptr;
}

AttemptOutcome ClassifyAttempt(const Machine& machine, const TaskKey& key,
                               const BoundAttempt& attempt,
                               uint64_t fencing_token, bool wanted) {
  if (machine.gone) return AttemptOutcome::kGone;
  // Until the worker has seen this owner's fencing token, a delayed answer of
  // an earlier owner may still start the attempt.
  if (!machine.heartbeat || machine.heartbeat->fencing_token < fencing_token) {
    return AttemptOutcome::kBound;
  }
  const WorkerHeartbeat& heartbeat = *machine.heartbeat;
  const ReportedTask* task = FindReported(heartbeat, key, attempt.attempt);
  if (task != nullptr) {
    return task->state == TaskState::kExited ? OutcomeOfExit(task->cause)
                                             : AttemptOutcome::kBound;
  }
  // The attempt may have run already: started by an earlier owner, perhaps in
  // an earlier agent epoch, or listed in a heartbeat to this owner. The same
  // attempt is never started twice.
  if (attempt.bound_by_previous_owner || attempt.reported) {
    return AttemptOutcome::kGone;
  }
  AttemptOutcome not_started =
      wanted ? AttemptOutcome::kBound : AttemptOutcome::kGone;
  if (!attempt.start_sent) return not_started;
  if (attempt.start_sent->agent_epoch != heartbeat.agent_epoch) {
    return AttemptOutcome::kGone;
  }
  // The start was sent in the answer to this heartbeat (or to a newer one), so
  // that the heartbeat cannot show its effect.
  if (*attempt.start_sent >= heartbeat.id()) return AttemptOutcome::kBound;
  return not_started;
}

}  // namespace pitchfall
