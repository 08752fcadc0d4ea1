// Decides which commands are sent to a machine's worker.
#ifndef PITCHFALL_CORE_PARTITION_WORKER_COMMANDS_H_
#define PITCHFALL_CORE_PARTITION_WORKER_COMMANDS_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "core/base/time.h"
#include "core/model/machine.h"
#include "core/model/messages.h"

namespace pitchfall {

// What the commands depend on besides the machine.
struct CommandPolicy {
  uint64_t fencing_token = 0;
  bool may_start = false;  // whether start commands may be sent now
  SteadyTime now{};
  // Whether the job of a bound attempt is neither done nor cancelled. The
  // attempt may have to stop all the same (BoundAttempt::StopRequested).
  std::function<bool(const BoundAttempt&)> job_active;
};

// Returns the commands that answer the machine's newest heartbeat: stops, then
// acknowledgements of stored ends, then starts. Returns none if there has been
// no heartbeat. Marks the starts as sent.
std::vector<WorkerCommand> BuildCommands(Machine& machine,
                                         const CommandPolicy& policy);

// Returns the stops to send directly, without waiting for the next heartbeat,
// and marks them as sent. Only stops may be sent in this way: a late copy of a
// stop has no effect, as attempt numbers are never reused.
std::vector<WorkerCommand> BuildDirectStops(Machine& machine,
                                            const CommandPolicy& policy);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_WORKER_COMMANDS_H_
