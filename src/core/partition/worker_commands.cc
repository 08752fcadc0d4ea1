#include "core/partition/worker_commands.h"

#include "core/partition/attempt_outcome.h"

namespace pitchfall {
namespace {

// Added to the time that a task needs to save a checkpoint.
constexpr Duration kSaveMargin = Millis(1000);

// Whether the attempt should save a checkpoint before it stops. Not if its job
// is over, nor if less work has been done since the last checkpoint than saving
// takes.
bool WorthSaving(const BoundAttempt& attempt, const CommandPolicy& policy) {
  const JobSpec& spec = attempt.job->spec();
  bool saves = spec.checkpoint.count() > 0 && !attempt.stop_without_saving;
  if (!saves || !policy.job_active(attempt)) return false;
  if (!attempt.running_since) return true;
  Duration since_checkpoint =
      (policy.now - *attempt.running_since) % spec.checkpoint;
  return since_checkpoint > spec.save;
}

WorkerCommand MakeStopCommand(const TaskKey& key, const BoundAttempt& attempt,
                              const CommandPolicy& policy) {
  Duration grace = WorthSaving(attempt, policy)
                       ? attempt.job->spec().save + kSaveMargin
                       : Duration(0);
  return {WorkerCommand::Op::kStop, key.first, key.second, attempt.attempt,
          grace};
}

// The stops of reported tasks that should not run, and the acknowledgements of
// ends that have been stored.
struct ReactionsToReported {
  std::vector<WorkerCommand> stops;
  std::vector<WorkerCommand> acknowledgements;
};

ReactionsToReported ReactToReported(const Machine& machine,
                                    const CommandPolicy& policy) {
  using Op = WorkerCommand::Op;
  ReactionsToReported reactions;
  for (const ReportedTask& task : machine.heartbeat->tasks) {
    auto bound = machine.bound.find({task.job, task.task});
    bool is_bound =
        bound != machine.bound.end() && bound->second.attempt == task.attempt;
    if (task.state == TaskState::kExited) {
      // The worker keeps the exited task until its end is acknowledged, which
      // must not happen before the end is stored.
      if (is_bound) continue;
      reactions.acknowledgements.push_back(
          {Op::kAcknowledge, task.job, task.task, task.attempt, {}});
    } else if (!is_bound) {
      reactions.stops.push_back(
          {Op::kStop, task.job, task.task, task.attempt, {}});
    } else if (!policy.job_active(bound->second) ||
               bound->second.StopRequested()) {
      reactions.stops.push_back(
          MakeStopCommand(bound->first, bound->second, policy));
    }
  }
  return reactions;
}

// Whether the start of the attempt may be sent in the answer to this heartbeat.
bool MayStart(const TaskKey& key, const BoundAttempt& attempt,
              const WorkerHeartbeat& heartbeat, const CommandPolicy& policy) {
  // The attempt may have run already, or the task may start elsewhere at any
  // moment.
  if (attempt.bound_by_previous_owner || attempt.reported ||
      attempt.end_pending) {
    return false;
  }
  if (attempt.StopRequested() || !policy.job_active(attempt)) return false;
  if (FindReported(heartbeat, key, attempt.attempt) != nullptr) return false;
  // A start that was sent in an earlier agent epoch may have been carried out
  // in that epoch.
  return !attempt.start_sent ||
         attempt.start_sent->agent_epoch == heartbeat.agent_epoch;
}

}  // namespace

std::vector<WorkerCommand> BuildDirectStops(Machine& machine,
                                            const CommandPolicy& policy) {
  std::vector<WorkerCommand> stops;
  for (auto& [key, attempt] : machine.bound) {
    bool should_run = policy.job_active(attempt) && !attempt.StopRequested();
    if (attempt.stop_sent || should_run) continue;
    // A start that was sent may have been carried out although no heartbeat
    // shows the task yet. If the start arrives after this stop, the stop has no
    // effect, and the answer to the heartbeat that shows the task repeats it.
    bool may_be_on_worker = attempt.state ? *attempt.state != TaskState::kExited
                                          : attempt.start_sent.has_value();
    if (!may_be_on_worker) continue;
    attempt.stop_sent = true;
    stops.push_back(MakeStopCommand(key, attempt, policy));
  }
  return stops;
}

std::vector<WorkerCommand> BuildCommands(Machine& machine,
                                         const CommandPolicy& policy) {
  if (!machine.heartbeat) return {};
  const WorkerHeartbeat& heartbeat = *machine.heartbeat;
  auto [commands, acknowledgements] = ReactToReported(machine, policy);
  commands.insert(commands.end(), acknowledgements.begin(),
                  acknowledgements.end());
  if (!policy.may_start) return commands;
  for (auto& [key, attempt] : machine.bound) {
    if (!MayStart(key, attempt, heartbeat, policy)) continue;
    attempt.start_sent = heartbeat.id();
    commands.push_back({WorkerCommand::Op::kStart,
                        key.first,
                        key.second,
                        attempt.attempt,
                        {}});
  }
  return commands;
}

}  // namespace pitchfall
