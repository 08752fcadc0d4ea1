#include "core/partition/machine_drainer.h"

#include <algorithm>

#include "core/scheduling/placement.h"

namespace pitchfall {
namespace {

// A start does not count for users if the task is stopped sooner.
constexpr Duration kMinRunBeforeDrain = Millis(32000);
// Less work than this, beyond the time to save, is not worth a new start.
constexpr Duration kMinWorkToDrain = Millis(10000);
// Replicas on their way from one machine at any moment.
constexpr int kMaxDrainingReplicas = 2;
// Beyond two heartbeat intervals, for a stop to reach the worker.
constexpr Duration kStopMargin = Millis(2000);

bool IsReplica(const BoundAttempt& attempt) {
  return attempt.job->spec().shape == Shape::kService;
}

}  // namespace

void MachineDrainer::Drain(Machine& machine) {
  if (machine.cordoned || machine.quarantined || machine.preemption_at) {
    DrainReplicas(machine);
  }
  if (machine.cordoned) DrainCheckpointed(machine);
  if (machine.preemption_at) SaveBeforePreemption(machine);
}

Duration MachineDrainer::StopDelay() const {
  return 2 * context_.deployment.heartbeat_interval + kStopMargin;
}

bool MachineDrainer::IsPreemptedSoon(const Machine& machine) const {
  return machine.preemption_at &&
         *machine.preemption_at - context_.now() < StopDelay();
}

// Replicas would never end: those on a machine that is to go run elsewhere, as
// soon as another machine has capacity. A few at a time, so that each finds its
// place free.
void MachineDrainer::DrainReplicas(Machine& machine) {
  auto draining = std::ranges::count_if(machine.bound, [](const auto& entry) {
    return IsReplica(entry.second) && entry.second.drain_requested;
  });
  bool preempted_soon = IsPreemptedSoon(machine);
  for (auto& [key, attempt] : machine.bound) {
    if (!IsReplica(attempt) || attempt.drain_requested) continue;
    bool has_place = draining < kMaxDrainingReplicas &&
                     HasCapacityElsewhere(machine, attempt.job->spec());
    if (!has_place && !preempted_soon) continue;
    attempt.drain_requested = true;
    ++draining;
    context_.out.Log(LogLevel::kInfo,
                     "event=drain_replica job={} task={} machine={}", key.first,
                     key.second, machine.name);
  }
}

// Whether another machine in the same zone, where the job's rules surely allow
// it, has capacity for one of its tasks.
bool MachineDrainer::HasCapacityElsewhere(const Machine& machine,
                                          const JobSpec& spec) const {
  SteadyTime now = context_.now();
  return std::ranges::any_of(machines_.machines(), [&](const auto& entry) {
    const Machine& other = entry.second;
    bool candidate = other.name != machine.name && other.zone == machine.zone &&
                     other.TakesTasks(now);
    return candidate && Allowed(spec, other, {}) &&
           spec.resources.FitsIn(other.Free());
  });
}

// What is left on a cordoned machine keeps it rented. Tasks with checkpoints go
// on elsewhere if nothing else is left there.
void MachineDrainer::DrainCheckpointed(Machine& machine) {
  if (!WorthMoving(machine)) return;
  for (auto& [key, attempt] : machine.bound) {
    if (attempt.drain_requested) continue;
    attempt.drain_requested = true;
    context_.out.Log(LogLevel::kInfo,
                     "event=drain_task job={} task={} machine={}", key.first,
                     key.second, machine.name);
  }
}

// Moving costs the saving, a fetch of the image and a new start. So none of the
// tasks may have only begun, and at least one must have much left to do.
bool MachineDrainer::WorthMoving(const Machine& machine) const {
  SteadyTime now = context_.now();
  bool worth = false;
  for (const auto& [key, attempt] : machine.bound) {
    const JobSpec& spec = attempt.job->spec();
    if (spec.checkpoint.count() == 0 || !attempt.running_since) return false;
    Duration ran = now - *attempt.running_since;
    if (ran < kMinRunBeforeDrain) return false;
    worth |= spec.estimate - ran > spec.save + kMinWorkToDrain;
  }
  return worth;
}

void MachineDrainer::SaveBeforePreemption(Machine& machine) {
  Duration left = *machine.preemption_at - context_.now();
  for (auto& [key, attempt] : machine.bound) {
    const JobSpec& spec = attempt.job->spec();
    bool saves = spec.checkpoint.count() > 0;
    if (saves && left < spec.save + StopDelay()) {
      attempt.drain_requested = true;
    }
  }
}

}  // namespace pitchfall
