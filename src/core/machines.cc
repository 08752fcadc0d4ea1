#include "core/machines.h"

#include <algorithm>

namespace pitchfall {
namespace {

const ReportedTask* FindAttempt(const WorkerReport& report, const TaskKey& key,
                                uint32_t attempt) {
  for (const ReportedTask& task : report.tasks) {
    if (task.task == key.second && task.attempt == attempt &&
        task.job == key.first) {
      return &task;
    }
  }
  return nullptr;
}

// What nobody wants any more need not be saved, nor less work than saving
// takes.
bool WorthSaving(const HeldTask& task, const OrderPolicy& policy) {
  const JobSpec& spec = task.job->spec();
  if (!policy.wanted(task) || task.at_once || spec.checkpoint.count() == 0) {
    return false;
  }
  if (!task.running_since) return true;
  return (policy.now - *task.running_since) % spec.checkpoint > spec.save;
}

Order StopOrder(const TaskKey& key, const HeldTask& task,
                const OrderPolicy& policy) {
  return {Order::Op::kStop, key.first, key.second, task.attempt,
          WorthSaving(task, policy) ? task.job->spec().save + Millis(1000)
                                    : Duration(0)};
}

}  // namespace

Verdict Judge(const Machine& machine, const TaskKey& key, const HeldTask& task,
              uint64_t fencing_token, bool wanted) {
  if (machine.gone) return Verdict::kGone;
  if (!machine.report || machine.report->fencing_token < fencing_token)
    return Verdict::kHeld;
  const WorkerReport& report = *machine.report;
  const ReportedTask* found = FindAttempt(report, key, task.attempt);
  if (found != nullptr) {
    if (found->state != TaskState::kExited) return Verdict::kHeld;
    switch (found->cause) {
      case ExitCause::kDone:
        return Verdict::kDone;
      case ExitCause::kError:
        return Verdict::kFailed;
      case ExitCause::kNoRoom:
      case ExitCause::kBusy:
      case ExitCause::kUnknownTask:
        return Verdict::kRefused;
      case ExitCause::kStopped:
      case ExitCause::kNone:
        return Verdict::kGone;
    }
  }
  // An earlier owner's start can have run in an earlier agent epoch, and this
  // owner's too: never start the same attempt again then.
  if (task.inherited || task.seen) return Verdict::kGone;
  if (!task.start_sent) return wanted ? Verdict::kHeld : Verdict::kGone;
  if (task.start_sent->first != report.agent_epoch) return Verdict::kGone;
  if (*task.start_sent >= std::pair(report.agent_epoch, report.seq)) {
    return Verdict::kHeld;
  }
  return wanted ? Verdict::kHeld : Verdict::kGone;
}

std::vector<Order> MakeDirectStops(Machine& machine,
                                   const OrderPolicy& policy) {
  std::vector<Order> stops;
  for (auto& [key, task] : machine.held) {
    bool wanted = policy.wanted(task);
    if (task.stop_sent || (wanted && !task.stop())) continue;
    // A start that no report shows yet may have been carried out all the same.
    // If it is still on its way the stop does nothing, and the answer to the
    // report that shows the task says it again.
    bool there = task.state ? *task.state != TaskState::kExited
                            : task.start_sent.has_value();
    if (!there) continue;
    task.stop_sent = true;
    stops.push_back(StopOrder(key, task, policy));
  }
  return stops;
}

std::vector<Order> MakeOrders(Machine& machine, const OrderPolicy& policy) {
  std::vector<Order> stops;
  std::vector<Order> forgets;
  std::vector<Order> starts;
  if (!machine.report) return stops;
  const WorkerReport& report = *machine.report;
  for (const ReportedTask& task : report.tasks) {
    auto held = machine.held.find({task.job, task.task});
    bool known =
        held != machine.held.end() && held->second.attempt == task.attempt;
    if (task.state == TaskState::kExited) {
      // Kept by the worker until its end is stored.
      if (!known) {
        forgets.push_back(
            {Order::Op::kForget, task.job, task.task, task.attempt, {}});
      }
      continue;
    }
    if (!known) {
      stops.push_back(
          {Order::Op::kStop, task.job, task.task, task.attempt, {}});
    } else if (!policy.wanted(held->second) || held->second.stop()) {
      stops.push_back(StopOrder(held->first, held->second, policy));
    }
  }
  if (policy.may_start) {
    for (auto& [key, task] : machine.held) {
      if (task.inherited || task.seen || task.ending || task.stop() ||
          !policy.wanted(task) ||
          FindAttempt(report, key, task.attempt) != nullptr) {
        continue;
      }
      if (task.start_sent && task.start_sent->first != report.agent_epoch)
        continue;
      task.start_sent = std::pair(report.agent_epoch, report.seq);
      starts.push_back(
          {Order::Op::kStart, key.first, key.second, task.attempt, {}});
    }
  }
  stops.insert(stops.end(), forgets.begin(), forgets.end());
  stops.insert(stops.end(), starts.begin(), starts.end());
  return stops;
}

}  // namespace pitchfall
