// Requests to the cloud for instances, from the scaling decision until the
// cloud lists the instances.
#ifndef PITCHFALL_CORE_AUTOSCALER_INSTANCE_REQUESTS_H_
#define PITCHFALL_CORE_AUTOSCALER_INSTANCE_REQUESTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/autoscaler/instance_inventory.h"
#include "core/autoscaler/leader_state_writer.h"
#include "core/autoscaler/offer.h"
#include "core/autoscaler/sizing_decision.h"
#include "core/base/lifetime_guard.h"
#include "core/base/token_bucket.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"
#include "core/state/state_limits.h"

namespace pitchfall {

// The instances of a request that the cloud has not answered yet.
struct PendingInstances {
  Offer offer;
  int count = 0;
};

// Creates requests and carries them out. Each request is stored before it is
// sent, and its name serves as the cloud's idempotency key: after a failover
// the new leader sends the stored requests again, which creates no instance
// twice. The names of the created instances are stored in the request, and the
// request is deleted once the cloud lists all of them.
class InstanceRequests {
 public:
  // `cloud` limits the rate of this process's calls to the cloud.
  // `fencing_token` makes the names of this leader's requests unique.
  InstanceRequests(Outbox& outbox, const Deployment& deployment,
                   const Tuning& tuning, const StateCache& state_cache,
                   const StateLimits& state_limits, TokenBucket& cloud,
                   LeaderStateWriter& state_writer,
                   InstanceInventory& inventory, uint64_t fencing_token);

  // Stores requests for the `wanted` instances, all in one transaction.
  // Instances that do not fit into it are left to the next scaling decision.
  // `reason` and the numbers in `decision` appear in the log only.
  void Create(OfferCounts wanted, ScalingReason reason,
              const SizingDecision& decision);

  // Advances each stored request: sends it if it has no answer, adds the
  // instances of an answered one to the inventory, and deletes it once they are
  // all listed. Stops at the first request that the rate limit does not allow
  // to be sent now.
  void Reconcile();

  // Returns the stored requests without an answer, ordered by name.
  std::vector<PendingInstances> Pending() const;
  // Whether the cloud recently rejected a request for this offer, or created
  // fewer instances than requested.
  bool RecentlyRefused(const Offer& offer) const;

 private:
  using StoredRequest = StateCache::Versioned<InstanceRequestRecord>;

  uint32_t MaxInstancesPerRequest() const;
  InstanceRequestRecord TakeLargest(OfferCounts& wanted) const;
  void AddToTransaction(InstanceRequestRecord record, ScalingReason reason,
                        const SizingDecision& decision,
                        Transaction& transaction);
  bool MaySend(const std::string& name) const;
  void Send(const std::string& name, const InstanceRequestRecord& record);
  void OnAnswer(const std::string& name, const InstanceRequestRecord& record,
                const CloudReply& reply);
  void StoreAnswer(const std::string& name, InstanceRequestRecord record,
                   uint64_t mod_revision, const CloudReply& reply);
  void StoreDeletion(const std::string& name, uint64_t mod_revision);
  bool AllListed(const InstanceRequestRecord& record);

  Outbox& outbox_;
  const Deployment& deployment_;
  const Tuning& tuning_;
  const StateCache& state_cache_;
  const StateLimits& state_limits_;
  TokenBucket& cloud_;
  LeaderStateWriter& state_writer_;
  InstanceInventory& inventory_;
  const uint64_t fencing_token_;
  // The number of requests that this leader has created.
  uint32_t created_count_ = 0;
  // The following three are keyed by the name of the request.
  std::set<std::string> sending_;                // calls in progress
  std::map<std::string, SteadyTime> next_send_;  // earliest time of a retry
  std::set<std::string> deleting_;               // deletions in progress
  std::map<Offer, SteadyTime> refused_until_;
  LifetimeGuard guard_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_INSTANCE_REQUESTS_H_
