#include "core/autoscaler/machine_use.h"

namespace pitchfall {

MachineUseTable MeasureMachineUse(const StateCache& state_cache) {
  MachineUseTable table;
  for (const auto& [id, job] : state_cache.open_jobs()) {
    const JobSpec& spec = job->spec();
    for (const auto& [number, chunk] : job->chunks) {
      for (const Assignment& assignment : chunk.record.assigned) {
        MachineUse& machine = table[assignment.machine];
        machine.resources += spec.resources;
        machine.by_priority[spec.priority] += spec.resources;
        if (spec.shape == Shape::kService) ++machine.replicas;
      }
    }
  }
  return table;
}

}  // namespace pitchfall
