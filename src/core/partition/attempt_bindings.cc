#include "core/partition/attempt_bindings.h"

#include <algorithm>
#include <string>
#include <vector>

namespace pitchfall {
namespace {

bool Contains(const std::vector<Assignment>& assignments,
              const Assignment& assignment) {
  return std::ranges::find(assignments, assignment) != assignments.end();
}

}  // namespace

AttemptBindings::AttemptBindings(StateCache& state_cache, uint32_t partition,
                                 MachineRegistry& machines, TeamQuota& quota,
                                 RescheduleSignal& reschedule)
    : state_cache_(state_cache),
      partition_(partition),
      machines_(machines),
      quota_(quota),
      reschedule_(reschedule) {
  for (const auto& [id, job] : state_cache_.open_jobs()) {
    for (const auto& [chunk, entry] : job->chunks) {
      OnChunkChanged(*job, chunk, nullptr, &entry);
    }
  }
  loading_ = false;
  state_cache_.AddListener(this);
}

AttemptBindings::~AttemptBindings() { state_cache_.RemoveListener(this); }

void AttemptBindings::OnChunkChanged(const Job& job, uint32_t /*chunk*/,
                                     const Job::Chunk* before,
                                     const Job::Chunk* after) {
  reschedule_.Raise();
  static const std::vector<Assignment> kNone;
  auto assigned_here =
      [this](const Job::Chunk* chunk) -> const std::vector<Assignment>& {
    bool here = chunk != nullptr && chunk->partition == partition_;
    return here ? chunk->record.assigned : kNone;
  };
  const std::vector<Assignment>& old_assignments = assigned_here(before);
  const std::vector<Assignment>& new_assignments = assigned_here(after);
  for (const Assignment& assignment : old_assignments) {
    if (!Contains(new_assignments, assignment)) Unbind(job, assignment);
  }
  for (const Assignment& assignment : new_assignments) {
    if (!Contains(old_assignments, assignment)) Bind(job, assignment);
  }
}

void AttemptBindings::Unbind(const Job& job, const Assignment& assignment) {
  const JobSpec& spec = job.spec();
  Machine& machine = machines_.GetOrAdd(assignment.machine);
  machine.bound.erase({spec.id, assignment.task});
  if (--machine.bound_images[spec.image] <= 0) {
    machine.bound_images.erase(spec.image);
  }
  machine.used -= spec.resources;
  quota_.AddBound(spec.team, Resources{} - spec.resources);
}

void AttemptBindings::Bind(const Job& job, const Assignment& assignment) {
  const JobSpec& spec = job.spec();
  Machine& machine = machines_.GetOrAdd(assignment.machine);
  BoundAttempt bound;
  bound.job = &job;
  bound.attempt = assignment.attempt;
  bound.bound_by_previous_owner = loading_;
  machine.bound[{spec.id, assignment.task}] = bound;
  machine.bound_images[spec.image] += 1;
  machine.used += spec.resources;
  machine.idle_since.reset();
  quota_.AddBound(spec.team, spec.resources);
}

}  // namespace pitchfall
