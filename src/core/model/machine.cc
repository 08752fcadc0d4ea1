#include "core/model/machine.h"

#include <algorithm>

namespace pitchfall {
namespace {

const ReportedTask* FindAttempt(const WorkerHeartbeat& heartbeat,
                                const TaskKey& key, uint32_t attempt) {
  for (const ReportedTask& task : heartbeat.tasks) {
    if (task.task == key.second && task.attempt == attempt &&
        task.job == key.first) {
      return &task;
    }
  }
  return nullptr;
}

// What nobody wants any more need not be saved, nor less work than saving
// takes.
bool WorthSaving(const BoundAttempt& task, const CommandPolicy& policy) {
  const JobSpec& spec = task.job->spec();
  if (!policy.wanted(task) || task.at_once || spec.checkpoint.count() == 0) {
    return false;
  }
  if (!task.running_since) return true;
  return (policy.now - *task.running_since) % spec.checkpoint > spec.save;
}

WorkerCommand StopCommand(const TaskKey& key, const BoundAttempt& task,
                          const CommandPolicy& policy) {
  return {WorkerCommand::Op::kStop, key.first, key.second, task.attempt,
          WorthSaving(task, policy) ? task.job->spec().save + Millis(1000)
                                    : Duration(0)};
}

}  // namespace

AttemptOutcome ClassifyAttempt(const Machine& machine, const TaskKey& key,
                               const BoundAttempt& task, uint64_t fencing_token,
                               bool wanted) {
  if (machine.gone) return AttemptOutcome::kGone;
  if (!machine.heartbeat || machine.heartbeat->fencing_token < fencing_token)
    return AttemptOutcome::kBound;
  const WorkerHeartbeat& heartbeat = *machine.heartbeat;
  const ReportedTask* found = FindAttempt(heartbeat, key, task.attempt);
  if (found != nullptr) {
    if (found->state != TaskState::kExited) return AttemptOutcome::kBound;
    switch (found->cause) {
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
        return AttemptOutcome::kGone;
    }
  }
  // An earlier owner's start can have run in an earlier agent epoch, and this
  // owner's too: never start the same attempt again then.
  if (task.bound_by_previous_owner || task.reported)
    return AttemptOutcome::kGone;
  if (!task.start_sent)
    return wanted ? AttemptOutcome::kBound : AttemptOutcome::kGone;
  if (task.start_sent->first != heartbeat.agent_epoch)
    return AttemptOutcome::kGone;
  if (*task.start_sent >= std::pair(heartbeat.agent_epoch, heartbeat.seq)) {
    return AttemptOutcome::kBound;
  }
  return wanted ? AttemptOutcome::kBound : AttemptOutcome::kGone;
}

std::vector<WorkerCommand> BuildDirectStops(Machine& machine,
                                            const CommandPolicy& policy) {
  std::vector<WorkerCommand> stops;
  for (auto& [key, task] : machine.bound) {
    bool wanted = policy.wanted(task);
    if (task.stop_sent || (wanted && !task.stop())) continue;
    // A start that no heartbeat shows yet may have been carried out all the
    // same. If it is still on its way the stop does nothing, and the answer to
    // the report that shows the task says it again.
    bool there = task.state ? *task.state != TaskState::kExited
                            : task.start_sent.has_value();
    if (!there) continue;
    task.stop_sent = true;
    stops.push_back(StopCommand(key, task, policy));
  }
  return stops;
}

std::vector<WorkerCommand> BuildCommands(Machine& machine,
                                         const CommandPolicy& policy) {
  std::vector<WorkerCommand> stops;
  std::vector<WorkerCommand> forgets;
  std::vector<WorkerCommand> starts;
  if (!machine.heartbeat) return stops;
  const WorkerHeartbeat& heartbeat = *machine.heartbeat;
  for (const ReportedTask& task : heartbeat.tasks) {
    auto bound = machine.bound.find({task.job, task.task});
    bool known =
        bound != machine.bound.end() && bound->second.attempt == task.attempt;
    if (task.state == TaskState::kExited) {
      // Kept by the worker until its end is stored.
      if (!known) {
        forgets.push_back({WorkerCommand::Op::kAcknowledge,
                           task.job,
                           task.task,
                           task.attempt,
                           {}});
      }
      continue;
    }
    if (!known) {
      stops.push_back(
          {WorkerCommand::Op::kStop, task.job, task.task, task.attempt, {}});
    } else if (!policy.wanted(bound->second) || bound->second.stop()) {
      stops.push_back(StopCommand(bound->first, bound->second, policy));
    }
  }
  if (policy.may_start) {
    for (auto& [key, task] : machine.bound) {
      if (task.bound_by_previous_owner || task.reported || task.ending ||
          task.stop() || !policy.wanted(task) ||
          FindAttempt(heartbeat, key, task.attempt) != nullptr) {
        continue;
      }
      if (task.start_sent && task.start_sent->first != heartbeat.agent_epoch)
        continue;
      task.start_sent = std::pair(heartbeat.agent_epoch, heartbeat.seq);
      starts.push_back(
          {WorkerCommand::Op::kStart, key.first, key.second, task.attempt, {}});
    }
  }
  stops.insert(stops.end(), forgets.begin(), forgets.end());
  stops.insert(stops.end(), starts.begin(), starts.end());
  return stops;
}

}  // namespace pitchfall
