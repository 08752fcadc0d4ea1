// The cloud's machine types: fetched, stored, and compared with what jobs need.
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

// Keeps the stored machine types as the cloud lists them, and answers questions
// about them from the state cache.
class MachineTypeCatalog {
 public:
  // `cloud` is the process's share of the cloud's rate of calls.
  MachineTypeCatalog(Outbox& out, const Tuning& tuning,
                     const StateCache& state_cache, TokenBucket& cloud,
                     LeaderStateWriter& state_writer);

  // Asks the cloud for its types if that is due and the rate allows a call, and
  // stores them if they have changed. Failures are tried again.
  void FetchIfDue();

  // Whether the types are known. All functions below need that.
  bool Loaded() const { return state_cache_.types().has_value(); }

  // Money an hour. Prohibitive for types that the cloud lists no more.
  double PriceOf(const Offer& offer) const;
  // Time from the request until an instance of the type runs.
  Duration BootTimeOf(const Offer& offer) const;
  // Everything that can be requested, the cheapest first; of one price in the
  // order of the cloud's list.
  std::vector<Offer> OffersByPrice() const;
  // How many machines of the first type have these resources, going by the
  // scarcest of them.
  double MachinesFor(const Resources& resources) const;
  // Whether a machine of this kind can run a task of the job and the job's
  // rules allow it there.
  bool CanRun(const JobSpec& spec, const Offer& offer) const;
  // The zones in which the job's rules allow another of its tasks.
  std::set<std::string> OpenZones(const Job& job) const;

 private:
  void Store(TypesRecord types);
  const std::vector<MachineType>& types() const {
    return state_cache_.types()->value.types;
  }

  Outbox& out_;
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
