#include "core/partition/machine_drainer.h"

#include <algorithm>

#include "core/scheduling/placement.h"

namespace pitchfall {
namespace {

// The time for which a task must have run before it is drained: users do not
// count a start if the task is stopped sooner.
constexpr Duration kMinRunBeforeDrain = Millis(32000);
// The remaining work, beyond the time to save a checkpoint, below which a new
// start elsewhere does not pay.
constexpr Duration kMinWorkToDrain = Millis(10000);
// How many replicas of one machine may be stopping at the same time.
constexpr int kMaxDrainingReplicas = 2;
// Added to two heartbeat intervals for a stop command to reach the worker.
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

void MachineDrainer::DrainReplicas(Machine& machine) {
  auto draining = std::ranges::count_if(machine.bound, [](const auto& entry) {
    return IsReplica(entry.second) && entry.second.drain_requested;
  });
  bool preempted_soon = IsPreemptedSoon(machine);
  for (auto& [key, attempt] : machine.bound) {
    if (!IsReplica(attempt) || attempt.drain_requested) continue;
    bool has_capacity_elsewhere =
        draining < kMaxDrainingReplicas &&
        HasCapacityElsewhere(machine, attempt.job->spec());
    if (!has_capacity_elsewhere && !preempted_soon) continue;
    attempt.drain_requested = true;
    ++draining;
    context_.outbox.Log(LogLevel::kInfo,
                        "event=drain_replica job={} task={} machine={}",
                        key.first, key.second, machine.name);
  }
}

bool MachineDrainer::HasCapacityElsewhere(const Machine& machine,
                                          const JobSpec& spec) const {
  SteadyTime now = context_.now();
  return std::ranges::any_of(machines_.machines(), [&](const auto& entry) {
    const Machine& other = entry.second;
    bool candidate = other.name != machine.name && other.zone == machine.zone &&
                     other.AcceptsTasks(now);
    return candidate && IsPlacementAllowed(spec, other, {}) &&
           spec.resources.FitsIn(other.Free());
  });
}

void MachineDrainer::DrainCheckpointed(Machine& machine) {
  if (!WorthMoving(machine)) return;
  for (auto& [key, attempt] : machine.bound) {
    if (attempt.drain_requested) continue;
    attempt.drain_requested = true;
    context_.outbox.Log(LogLevel::kInfo,
                        "event=drain_task job={} task={} machine={}", key.first,
                        key.second, machine.name);
  }
}

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
