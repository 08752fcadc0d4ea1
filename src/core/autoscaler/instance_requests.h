// Requests for instances, from the decision until the cloud lists them.
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

// Instances that a request asked for and the cloud has not answered for yet.
struct PendingInstances {
  Offer offer;
  int count = 0;
};

// Every request is stored before it is sent, under a name that makes it
// idempotent at the cloud. After a failover the new leader sends again what its
// predecessor stored, which creates nothing twice. The answer is stored with
// the names of the instances; the request is deleted once all are listed.
class InstanceRequests {
 public:
  // `cloud` is the process's share of the cloud's rate of calls.
  // `fencing_token` makes the names of this leader's requests unique.
  InstanceRequests(Outbox& out, const Deployment& deployment,
                   const Tuning& tuning, const StateCache& state_cache,
                   const StateLimits& state_limits, TokenBucket& cloud,
                   LeaderStateWriter& state_writer,
                   InstanceInventory& inventory, uint64_t fencing_token);

  // Stores as many requests as one transaction takes for the `wanted`
  // instances; what is left over is asked for by the next decision. The reason
  // and the decision's numbers are logged with them.
  void Create(OfferCounts wanted, ScalingReason reason,
              const SizingDecision& decision);

  // Takes every stored request one step further: sends it, adds the instances
  // of an answered one to the inventory, or deletes it. Stops at a request that
  // the rate of calls does not allow to be sent now.
  void Reconcile();

  // The stored requests without an answer, in the order of their names.
  std::vector<PendingInstances> Pending() const;
  // Whether the cloud lately had too few instances of this kind.
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

  Outbox& out_;
  const Deployment& deployment_;
  const Tuning& tuning_;
  const StateCache& state_cache_;
  const StateLimits& state_limits_;
  TokenBucket& cloud_;
  LeaderStateWriter& state_writer_;
  InstanceInventory& inventory_;
  const uint64_t fencing_token_;
  uint32_t created_ = 0;  // requests, by this leader
  std::set<std::string> sending_;
  std::map<std::string, SteadyTime> next_send_;
  std::set<std::string> deleting_;
  std::map<Offer, SteadyTime> refused_until_;
  LifetimeGuard guard_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_INSTANCE_REQUESTS_H_
