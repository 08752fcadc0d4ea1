// The resources that tasks use on each machine, for the autoscaler.
#ifndef PITCHFALL_CORE_AUTOSCALER_MACHINE_USE_H_
#define PITCHFALL_CORE_AUTOSCALER_MACHINE_USE_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/base/resources.h"
#include "core/model/records.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// The use of one machine by the tasks that are bound to it.
struct MachineUse {
  Resources resources;  // total of all tasks
  std::map<Priority, Resources> by_priority;
  uint32_t replicas = 0;  // number of tasks that are service replicas
};

// Use by machine name. Machines without tasks have no entry.
using MachineUseTable = std::map<std::string, MachineUse>;

// Sums up the stored task assignments of all open jobs.
MachineUseTable MeasureMachineUse(const StateCache& state_cache);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_MACHINE_USE_H_
