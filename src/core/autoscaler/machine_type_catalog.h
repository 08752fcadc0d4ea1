// The machine types of the cloud: fetches and stores them, and matches them
// with the requirements of jobs.
#ifndef PITCHFALL_CORE_AUTOSCALER_MACHINE_TYPE_CATALOG_H_
#define PITCHFALL_CORE_AUTOSCALER_MACHINE_TYPE_CATALOG_H_

#include <set>
#include <string>
#include <vector>

#include "core/autoscaler/leader_state_writer.h"
#include "core/autoscaler/offer.h"
#include "core/base/lifetime_guard.h"
#include "core/base/token_bucket.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// Keeps the stored machine types equal to the cloud's list. Its queries read
// the types from the state cache.
class MachineTypeCatalog {
 public:
  // `cloud` limits the rate of this process's calls to the cloud.
  MachineTypeCatalog(Outbox& outbox, const Tuning& tuning,
                     const StateCache& state_cache, TokenBucket& cloud,
                     LeaderStateWriter& state_writer);

  // Fetches the machine types from the cloud if that is due and the rate limit
  // allows a call, and stores them if they have changed. Retries after
  // failures.
  void FetchIfDue();

  // Whether the machine types are known. All functions below require this.
  bool Loaded() const { return state_cache_.types().has_value(); }

  // Returns the price in money per hour. A type that the cloud no longer lists
  // has a price above any real one.
  double PriceOf(const Offer& offer) const;
  // Returns the time from the request until an instance of the type is running;
  // a default for a type that the cloud no longer lists.
  Duration BootTimeOf(const Offer& offer) const;
  // Returns all offers, the cheapest first. Offers of the same price are in the
  // order of the cloud's list.
  std::vector<Offer> OffersByPrice() const;
  // Converts resources to a (fractional) number of machines of the first type,
  // as determined by the resource that needs most machines. Resources that the
  // first type does not have count as 0.
  double MachinesFor(const Resources& resources) const;
  // Whether an instance of this offer has the capacity for a task of the job
  // and satisfies the job's constraints on type, zone and spot instances.
  bool CanRun(const JobSpec& spec, const Offer& offer) const;
  // Returns the zones in which the job's spread constraint allows another of
  // its tasks.
  std::set<std::string> OpenZones(const Job& job) const;

 private:
  void Store(TypesRecord types);
  const std::vector<MachineType>& types() const {
    return state_cache_.types()->value.types;
  }

  Outbox& outbox_;
  const Tuning& tuning_;
  const StateCache& state_cache_;
  TokenBucket& cloud_;
  LeaderStateWriter& state_writer_;
  bool fetching_ = false;
  SteadyTime next_fetch_{};
  LifetimeGuard guard_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_MACHINE_TYPE_CATALOG_H_
