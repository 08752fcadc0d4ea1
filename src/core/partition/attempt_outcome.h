// What a machine's newest heartbeat, or its proven end, says of an attempt.
#ifndef PITCHFALL_CORE_PARTITION_ATTEMPT_OUTCOME_H_
#define PITCHFALL_CORE_PARTITION_ATTEMPT_OUTCOME_H_

#include <cstdint>

#include "core/model/machine.h"

namespace pitchfall {

enum class AttemptOutcome : uint8_t {
  kBound,    // there, or on its way
  kDone,     // completed
  kFailed,   // ended with an error
  kRefused,  // the worker had no capacity, or another attempt of the task
  kGone,     // stopped, lost, or never started and not to be started
};

// Classifies one bound attempt. `wanted` is false if it should not be started
// any more. A pure function of its arguments.
//
// An attempt that the heartbeat lacks is gone only if the worker had seen this
// owner's fencing token when it sent the heartbeat (no answer of an earlier
// owner can start it any more) and the heartbeat is newer than the one whose
// answer carried the start. The table in docs/proofs.md has all cases.
AttemptOutcome ClassifyAttempt(const Machine& machine, const TaskKey& key,
                               const BoundAttempt& attempt,
                               uint64_t fencing_token, bool wanted);

// The task as the heartbeat lists it with that attempt; null if it does not.
const ReportedTask* FindReported(const WorkerHeartbeat& heartbeat,
                                 const TaskKey& key, uint32_t attempt);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_ATTEMPT_OUTCOME_H_
