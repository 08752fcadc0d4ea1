// Scaling out: selects the instances to request.
#ifndef PITCHFALL_CORE_AUTOSCALER_SCALE_OUT_H_
#define PITCHFALL_CORE_AUTOSCALER_SCALE_OUT_H_

#include <set>
#include <string>

#include "core/autoscaler/instance_inventory.h"
#include "core/autoscaler/instance_requests.h"
#include "core/autoscaler/machine_type_catalog.h"
#include "core/autoscaler/machine_use.h"
#include "core/autoscaler/offer.h"
#include "core/autoscaler/sizing_decision.h"
#include "core/scheduling/demand.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// Selects offers by price and by the constraints of the waiting jobs, and
// creates requests for them. Has no state of its own. The machine types must be
// known.
//
// Functions that request instances return whether they did so: they do not if
// the cloud recently refused every suitable offer. `decision` appears in the
// log only.
class ScaleOut {
 public:
  ScaleOut(const StateCache& state_cache,
           const MachineTypeCatalog& machine_types,
           const InstanceInventory& inventory, InstanceRequests& requests);

  // Requests `count` (at least 1) of the cheapest on-demand instances.
  bool RequestOnDemand(int count, const SizingDecision& decision);
  // Requests `count` (at least 1) of the cheapest instances. Spot instances are
  // excluded if all requested CPUs are for jobs that must not run on them.
  bool RequestCheapest(int count, const Demand& demand,
                       const SizingDecision& decision);
  // Requests one instance of the cheapest offer that can run the job.
  bool RequestFor(const Job& job, const SizingDecision& decision);

  // Returns the first waiting job that needs an additional instance, or null if
  // there is none. A job needs one if no existing or requested instance can
  // ever run its tasks, or if it is a service and no instance has capacity for
  // one more replica, even by preempting tasks of lower priority.
  const Job* FindUnservedJob(const Demand& demand,
                             const MachineUseTable& use) const;

 private:
  bool RequestSpread(int count, OfferCounts available, ScalingReason reason,
                     const SizingDecision& decision);
  OfferCounts CheapestOffers(bool spot_allowed) const;
  OfferCounts CountByOffer() const;
  std::set<Offer> ExistingOrRequestedOffers() const;
  bool CanRunMore(const Job& job, const std::set<std::string>& zones,
                  const Offer& offer) const;
  bool HasCapacityForReplica(const Job& job, const MachineUseTable& use) const;
  bool FitsWithPreemption(const JobSpec& spec, const std::string& machine,
                          const Instance& instance,
                          const MachineUseTable& use) const;

  const StateCache& state_cache_;
  const MachineTypeCatalog& machine_types_;
  const InstanceInventory& inventory_;
  InstanceRequests& requests_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_SCALE_OUT_H_
