// Derives the state of an attempt from its machine's newest heartbeat, or from
// the proof that nothing runs on the machine any more.
#ifndef PITCHFALL_CORE_PARTITION_ATTEMPT_OUTCOME_H_
#define PITCHFALL_CORE_PARTITION_ATTEMPT_OUTCOME_H_

#include <cstdint>

#include "core/model/machine.h"

namespace pitchfall {

enum class AttemptOutcome : uint8_t {
  kBound,    // on the machine, or may still be started there
  kDone,     // completed
  kFailed,   // ended with an error
  kRefused,  // the worker lacked capacity, had another attempt of the task, or
             // did not know the task
  kGone,     // stopped, lost, or never started and not to be started any more
};

// Classifies one bound attempt. `fencing_token` is that of the present owner;
// `wanted` is false if the attempt should not be started any more. The result
// depends on nothing but the arguments.
//
// An attempt that the heartbeat does not list counts as gone only on two
// conditions. The worker must have seen this owner's fencing token when it sent
// the heartbeat, because then no answer of an earlier owner can start the
// attempt any more. And the heartbeat must be newer than the one whose answer
// carried the start. The table in docs/proofs.md has all cases.
AttemptOutcome ClassifyAttempt(const Machine& machine, const TaskKey& key,
                               const BoundAttempt& attempt,
                               uint64_t fencing_token, bool wanted);

// Returns the heartbeat's entry for this attempt of the task, or null if there
// is none.
const ReportedTask* FindReported(const WorkerHeartbeat& heartbeat,
                                 const TaskKey& key, uint32_t attempt);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_ATTEMPT_OUTCOME_H_
