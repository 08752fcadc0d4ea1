#include "core/scheduling/displacement.h"

#include <algorithm>
#include <utility>

namespace pitchfall {
namespace {

// How much work of other jobs, in processor seconds, may be lost so that a
// replica starts without fetching its image.
constexpr double kMaxLostForImageCpuS = 20;

// A task that may be stopped.
struct Candidate {
  TaskKey key;
  Priority priority = Priority::kLow;
  double lost_cpu_s = 0;
  Resources resources;
};

// Returns the processor seconds that stopping the task loses: what saving takes
// if its job makes checkpoints, otherwise all that it has done.
double LostWork(const BoundAttempt& task, SteadyTime now) {
  if (!task.running_since) return 0;
  const JobSpec& spec = task.job->spec();
  Duration ran = now - *task.running_since;
  Duration lost = spec.checkpoint.count() > 0 ? std::min(ran, spec.save) : ran;
  return ToSeconds(lost) * static_cast<double>(spec.resources.cpus) /
         Resources::kScale;
}

// The machine's tasks of lower priority that are not stopping yet, the one that
// loses the least work first.
std::vector<Candidate> Candidates(const JobSpec& spec, const Machine& machine,
                                  SteadyTime now) {
  std::vector<Candidate> candidates;
  for (const auto& [key, task] : machine.bound) {
    const JobSpec& other = task.job->spec();
    if (task.StopRequested() || task.end_pending ||
        other.priority >= spec.priority)
      continue;
    candidates.push_back(
        {key, other.priority, LostWork(task, now), other.resources});
  }
  std::ranges::sort(candidates, {}, &Candidate::lost_cpu_s);
  return candidates;
}

}  // namespace

Resources ExpectedCapacity(const Machine& machine) {
  Resources capacity = machine.Free();
  for (const auto& [key, task] : machine.bound) {
    if (task.StopRequested() && !task.end_pending)
      capacity += task.job->spec().resources;
  }
  return capacity;
}

std::optional<Displacement> FindDisplacement(const JobSpec& spec,
                                             Machine& machine,
                                             const Resources& expected_capacity,
                                             SteadyTime now) {
  Displacement found;
  found.machine = &machine;
  Resources capacity = expected_capacity;
  if (spec.resources.FitsIn(capacity)) return found;
  for (const Candidate& candidate : Candidates(spec, machine, now)) {
    found.tasks.push_back(candidate.key);
    found.lost_cpu_s += candidate.lost_cpu_s;
    capacity += candidate.resources;
    if (spec.resources.FitsIn(capacity)) return found;
  }
  return std::nullopt;
}

void Displacer::BeginPlan(SteadyTime now) {
  now_ = now;
  expected_capacity_.clear();
}

void Displacer::DisplaceFor(const JobSpec& spec, const ZoneUse& use,
                            const std::vector<Machine*>& machines,
                            int64_t replicas) {
  ZoneUse use_then = use;
  for (int64_t left = replicas; left > 0; --left) {
    auto best = FindCheapest(spec, use_then, machines, false);
    if (!best) return;
    MarkDisplaced(*best, spec);
    use_then.tasks[best->machine->zone] += 1;
    use_then.total += 1;
  }
}

bool Displacer::DisplaceOnMachineWithImage(
    const JobSpec& spec, const ZoneUse& use,
    const std::vector<Machine*>& machines) {
  auto best = FindCheapest(spec, use, machines, true);
  if (!best || best->lost_cpu_s > kMaxLostForImageCpuS) return false;
  MarkDisplaced(*best, spec);
  return true;
}

std::optional<Displacement> Displacer::FindCheapest(
    const JobSpec& spec, const ZoneUse& use,
    const std::vector<Machine*>& machines, bool with_image) {
  std::optional<Displacement> best;
  for (Machine* machine : machines) {
    if (with_image && !machine->images.contains(spec.image)) continue;
    if (!IsPlacementAllowed(spec, *machine, use)) continue;
    auto known =
        expected_capacity_.try_emplace(machine, ExpectedCapacity(*machine));
    auto found = FindDisplacement(spec, *machine, known.first->second, now_);
    if (found && (!best || found->lost_cpu_s < best->lost_cpu_s)) {
      best = std::move(found);
    }
  }
  return best;
}

void Displacer::MarkDisplaced(const Displacement& displacement,
                              const JobSpec& spec) {
  Machine& machine = *displacement.machine;
  Resources& capacity = expected_capacity_[&machine];
  for (const TaskKey& key : displacement.tasks) {
    BoundAttempt& task = machine.bound.at(key);
    task.displaced = true;
    capacity += task.job->spec().resources;
    outbox_.Log(LogLevel::kInfo,
                "event=displace job={} task={} machine={} for={}", key.first,
                key.second, machine.name, spec.id);
  }
  capacity -= spec.resources;
}

}  // namespace pitchfall
