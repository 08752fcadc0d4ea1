// The objects that all components of one controller share.
#ifndef PITCHFALL_CORE_STATE_CONTEXT_H_
#define PITCHFALL_CORE_STATE_CONTEXT_H_

#include <cstdint>
#include <set>
#include <string>

#include "core/base/token_bucket.h"
#include "core/model/free_capacity.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/state/cancellation_acknowledgements.h"
#include "core/state/cancellation_watermark.h"
#include "core/state/state_cache.h"
#include "core/state/state_limits.h"
#include "core/state/state_watcher.h"

namespace pitchfall {

// References to the controller's shared objects, and state that several
// components read and update. The controller owns what is referred to and
// outlives every component that holds a context.
struct Context {
  const Deployment& deployment;
  const Tuning& tuning;
  Outbox& outbox;
  StateCache& state_cache;
  StateWatcher& state_watcher;
  TokenBucket& state_request_bucket;  // limits requests to the state service
  TokenBucket&
      state_write_bucket;  // limits puts and deletes in the state service
  TokenBucket& cloud_call_bucket;  // limits calls to the cloud
  std::string incarnation;         // differs for every process that ever ran
  uint32_t partition_count;        // partitions of the whole deployment
  CapacityTable capacity_table;
  CancellationWatermark cancellation_watermark;
  StateLimits state_limits;  // apply to every write to the state service
  // Jobs that another controller has stored as cancelled while the cached
  // record does not show it yet. A cancellation is never undone, so an entry
  // holds until the cached record is final, or a read that began later shows
  // that the job has ended.
  std::set<std::string> cancelled_by_peers{};
  CancellationAcknowledgements cancellation_acknowledgements{deployment,
                                                             state_cache};

  // The steady time at which the current batch of commands is handled.
  SteadyTime now() const { return outbox.now().steady; }
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_CONTEXT_H_
