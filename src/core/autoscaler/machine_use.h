// What is bound to each machine, as the autoscaler sees it.
#ifndef PITCHFALL_CORE_AUTOSCALER_MACHINE_USE_H_
#define PITCHFALL_CORE_AUTOSCALER_MACHINE_USE_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/base/resources.h"
#include "core/model/records.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// The tasks that are bound to one machine.
struct MachineUse {
  Resources resources;
  std::map<Priority, Resources> by_priority;
  uint32_t replicas = 0;  // of services
};

// By name of the machine. Machines without tasks have no entry.
using MachineUseTable = std::map<std::string, MachineUse>;

// Sums the stored bindings of all open jobs.
MachineUseTable MeasureMachineUse(const StateCache& state_cache);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_MACHINE_USE_H_
