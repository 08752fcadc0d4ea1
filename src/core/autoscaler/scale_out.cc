#include "core/autoscaler/scale_out.h"

#include <algorithm>
#include <utility>

namespace pitchfall {

ScaleOut::ScaleOut(const StateCache& state_cache,
                   const MachineTypeCatalog& machine_types,
                   const InstanceInventory& inventory,
                   InstanceRequests& requests)
    : state_cache_(state_cache),
      machine_types_(machine_types),
      inventory_(inventory),
      requests_(requests) {}

bool ScaleOut::RequestOnDemand(int count, const SizingDecision& decision) {
  return RequestSpread(count, CheapestOffers(false), ScalingReason::kOnDemand,
                       decision);
}

bool ScaleOut::RequestCheapest(int count, const Demand& demand,
                               const SizingDecision& decision) {
  const bool spot_useful = demand.ordinary_only.cpus < demand.requested.cpus;
  return RequestSpread(count, CheapestOffers(spot_useful),
                       ScalingReason::kTarget, decision);
}

bool ScaleOut::RequestFor(const Job& job, const SizingDecision& decision) {
  const std::set<std::string> zones = machine_types_.OpenZones(job);
  for (const Offer& offer : machine_types_.OffersByPrice()) {
    if (!CanRunMore(job, zones, offer) || requests_.RecentlyRefused(offer)) {
      continue;
    }
    requests_.Create({{offer, 1}}, ScalingReason::kUnserved, decision);
    return true;
  }
  return false;
}

// Spreads the requested instances over the `available` offers, so that the
// numbers of instances of each become as equal as possible. Such offers have
// the same price and usually differ by zone: jobs may have to be spread over
// zones, and a zone may lose its machines.
bool ScaleOut::RequestSpread(int count, OfferCounts available,
                             ScalingReason reason,
                             const SizingDecision& decision) {
  if (available.empty()) return false;
  for (const auto& [offer, instances] : CountByOffer()) {
    if (available.contains(offer)) available[offer] = instances;
  }
  OfferCounts wanted;
  for (; count > 0; --count) {
    auto fewest = std::ranges::min_element(
        available, {}, [](const auto& entry) { return entry.second; });
    ++fewest->second;
    ++wanted[fewest->first];
  }
  requests_.Create(std::move(wanted), reason, decision);
  return true;
}

// Returns the offers at the lowest price among those that were not refused
// recently, each with a count of 0.
OfferCounts ScaleOut::CheapestOffers(bool spot_allowed) const {
  OfferCounts cheapest;
  for (const Offer& offer : machine_types_.OffersByPrice()) {
    if (offer.spot && !spot_allowed) continue;
    if (requests_.RecentlyRefused(offer)) continue;
    const double price = machine_types_.PriceOf(offer);
    if (!cheapest.empty() &&
        price > machine_types_.PriceOf(cheapest.begin()->first)) {
      break;
    }
    cheapest[offer] = 0;
  }
  return cheapest;
}

// Returns the number of instances of each offer: those that are not draining
// and pending ones.
OfferCounts ScaleOut::CountByOffer() const {
  OfferCounts counts;
  for (const auto& [name, instance] : inventory_.instances()) {
    if (!state_cache_.IsDraining(name)) ++counts[instance.offer];
  }
  for (const PendingInstances& pending : requests_.Pending()) {
    counts[pending.offer] += pending.count;
  }
  return counts;
}

const Job* ScaleOut::FindUnservedJob(const Demand& demand,
                                     const MachineUseTable& use) const {
  const std::set<Offer> offers = ExistingOrRequestedOffers();
  for (const Job* job : demand.waiting_jobs) {
    const std::set<std::string> zones = machine_types_.OpenZones(*job);
    const bool served = std::ranges::any_of(offers, [&](const Offer& offer) {
      return CanRunMore(*job, zones, offer);
    });
    if (!served) return job;
    const bool service = job->spec().shape == Shape::kService;
    if (service && !HasCapacityForReplica(*job, use)) return job;
  }
  return nullptr;
}

// Returns the offers of which there is an instance that has not failed and is
// not draining, or a stored request.
std::set<Offer> ScaleOut::ExistingOrRequestedOffers() const {
  std::set<Offer> offers;
  for (const auto& [name, instance] : inventory_.instances()) {
    if (state_cache_.IsDraining(name)) continue;
    if (instance.status != MachineStatus::kFailed)
      offers.insert(instance.offer);
  }
  for (const auto& [name, stored] : state_cache_.instance_requests()) {
    offers.insert(OfferOf(stored.value));
  }
  return offers;
}

// Whether an instance of this offer can run another task of the job. `zones`
// are the zones that the job's spread constraint allows.
bool ScaleOut::CanRunMore(const Job& job, const std::set<std::string>& zones,
                          const Offer& offer) const {
  return zones.contains(offer.zone) && machine_types_.CanRun(job.spec(), offer);
}

// Whether an existing or pending instance has capacity for one more replica of
// the job, if need be by preempting tasks of lower priority. The total of the
// requested resources does not show this: free capacity may be fragmented, or
// in a zone where no more replicas of the job may run.
bool ScaleOut::HasCapacityForReplica(const Job& job,
                                     const MachineUseTable& use) const {
  const std::set<std::string> zones = machine_types_.OpenZones(job);
  for (const PendingInstances& pending : requests_.Pending()) {
    if (CanRunMore(job, zones, pending.offer)) return true;
  }
  return std::ranges::any_of(inventory_.instances(), [&](const auto& entry) {
    const auto& [name, instance] = entry;
    return instance.status != MachineStatus::kFailed &&
           CanRunMore(job, zones, instance.offer) &&
           !state_cache_.IsDraining(name) &&
           FitsWithPreemption(job.spec(), name, instance, use);
  });
}

// Whether a task fits on the machine beside the tasks of equal or higher
// priority. Tasks of lower priority can be preempted.
bool ScaleOut::FitsWithPreemption(const JobSpec& spec,
                                  const std::string& machine,
                                  const Instance& instance,
                                  const MachineUseTable& use) const {
  Resources free = state_cache_.FindType(instance.offer.type)->capacity;
  auto used = use.find(machine);
  if (used != use.end()) {
    for (const auto& [priority, resources] : used->second.by_priority) {
      if (priority >= spec.priority) free -= resources;
    }
  }
  return spec.resources.FitsIn(free);
}

}  // namespace pitchfall
