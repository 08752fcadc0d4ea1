// Which commands a machine's worker should get.
#ifndef PITCHFALL_CORE_PARTITION_WORKER_COMMANDS_H_
#define PITCHFALL_CORE_PARTITION_WORKER_COMMANDS_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "core/base/time.h"
#include "core/model/machine.h"
#include "core/model/messages.h"

namespace pitchfall {

struct CommandPolicy {
  uint64_t fencing_token = 0;
  bool may_start = false;
  SteadyTime now{};
  // Whether a bound attempt should be running.
  std::function<bool(const BoundAttempt&)> wanted;
};

// The commands that answer the machine's newest heartbeat: stops, then
// acknowledgements, then starts; none without a heartbeat. Marks the starts as
// sent.
std::vector<WorkerCommand> BuildCommands(Machine& machine,
                                         const CommandPolicy& policy);

// Stops that need not wait for the next heartbeat, to be sent directly, and
// marks them as sent. Only stops: a late copy of one does nothing, as attempts
// are never used again.
std::vector<WorkerCommand> BuildDirectStops(Machine& machine,
                                            const CommandPolicy& policy);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_WORKER_COMMANDS_H_
