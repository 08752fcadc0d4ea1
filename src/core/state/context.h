// What the parts of the core share within one controller.
#ifndef PITCHFALL_CORE_STATE_CONTEXT_H_
#define PITCHFALL_CORE_STATE_CONTEXT_H_

#include <cstdint>
#include <set>
#include <string>

#include "core/base/token_bucket.h"
#include "core/model/free_capacity.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/state/cancellation_watermark.h"
#include "core/state/state_cache.h"
#include "core/state/state_limits.h"
#include "core/state/state_watcher.h"

namespace pitchfall {

struct Context {
  const Deployment& deployment;
  const Tuning& tuning;
  Outbox& out;
  StateCache& state_cache;
  StateWatcher& state_watcher;
  TokenBucket& requests;     // to the state service
  TokenBucket& writes;       // puts and deletes there
  TokenBucket& cloud;        // calls to the cloud
  std::string incarnation;   // names this process among all that ever ran
  uint32_t partition_count;  // how many there are
  CapacityTable capacity_table;
  CancellationWatermark cancellation_watermark;
  StateLimits state_limits;  // of every write
  // Jobs that another controller has stored as cancelled and whose records here
  // do not show it yet. Cancelled jobs stay so, whatever is heard later.
  std::set<std::string> cancelled_by_peers{};

  SteadyTime now() const { return out.now().steady; }
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_CONTEXT_H_
