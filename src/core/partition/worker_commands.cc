#include "core/partition/worker_commands.h"

#include "core/partition/attempt_outcome.h"

namespace pitchfall {
namespace {

// Beyond the time that a checkpoint takes to save.
constexpr Duration kSaveMargin = Millis(1000);

// What nobody wants any more need not be saved, nor less work than saving
// takes.
bool WorthSaving(const BoundAttempt& attempt, const CommandPolicy& policy) {
  const JobSpec& spec = attempt.job->spec();
  bool saves = spec.checkpoint.count() > 0 && !attempt.stop_without_saving;
  if (!saves || !policy.wanted(attempt)) return false;
  if (!attempt.running_since) return true;
  Duration since_checkpoint =
      (policy.now - *attempt.running_since) % spec.checkpoint;
  return since_checkpoint > spec.save;
}

WorkerCommand StopOf(const TaskKey& key, const BoundAttempt& attempt,
                     const CommandPolicy& policy) {
  Duration grace = WorthSaving(attempt, policy)
                       ? attempt.job->spec().save + kSaveMargin
                       : Duration(0);
  return {WorkerCommand::Op::kStop, key.first, key.second, attempt.attempt,
          grace};
}

// Stops of reported tasks that should not run, and acknowledgements of ends
// that have been stored.
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
      // Kept by the worker until its end is stored.
      if (is_bound) continue;
      reactions.acknowledgements.push_back(
          {Op::kAcknowledge, task.job, task.task, task.attempt, {}});
    } else if (!is_bound) {
      reactions.stops.push_back(
          {Op::kStop, task.job, task.task, task.attempt, {}});
    } else if (!policy.wanted(bound->second) || bound->second.StopRequested()) {
      reactions.stops.push_back(StopOf(bound->first, bound->second, policy));
    }
  }
  return reactions;
}

// Whether the attempt's start may go into the answer to this heartbeat.
bool MayStart(const TaskKey& key, const BoundAttempt& attempt,
              const WorkerHeartbeat& heartbeat, const CommandPolicy& policy) {
  // It may have run already, or may start elsewhere at any moment.
  if (attempt.bound_by_previous_owner || attempt.reported || attempt.ending) {
    return false;
  }
  if (attempt.StopRequested() || !policy.wanted(attempt)) return false;
  if (FindReported(heartbeat, key, attempt.attempt) != nullptr) return false;
  // A start of an earlier agent epoch may have run in it.
  return !attempt.start_sent ||
         attempt.start_sent->agent_epoch == heartbeat.agent_epoch;
}

}  // namespace

std::vector<WorkerCommand> BuildDirectStops(Machine& machine,
                                            const CommandPolicy& policy) {
  std::vector<WorkerCommand> stops;
  for (auto& [key, attempt] : machine.bound) {
    bool should_run = policy.wanted(attempt) && !attempt.StopRequested();
    if (attempt.stop_sent || should_run) continue;
    // A start that no heartbeat shows yet may have been carried out all the
    // same. If it is still on its way the stop does nothing, and the answer to
    // the heartbeat that shows the task says it again.
    bool there = attempt.state ? *attempt.state != TaskState::kExited
                               : attempt.start_sent.has_value();
    if (!there) continue;
    attempt.stop_sent = true;
    stops.push_back(StopOf(key, attempt, policy));
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
