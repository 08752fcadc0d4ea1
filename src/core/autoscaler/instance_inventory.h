// The inventory of the instances that exist in the cloud.
#ifndef PITCHFALL_CORE_AUTOSCALER_INSTANCE_INVENTORY_H_
#define PITCHFALL_CORE_AUTOSCALER_INSTANCE_INVENTORY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/autoscaler/machine_type_catalog.h"
#include "core/autoscaler/machine_use.h"
#include "core/autoscaler/offer.h"
#include "core/base/lifetime_guard.h"
#include "core/base/token_bucket.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// One instance that the cloud lists, or that it has created but does not list
// yet.
struct Instance {
  Offer offer;
  MachineStatus status = MachineStatus::kBooting;
  SteadyTime created{};
  // When the instance last appeared in the cloud's list; empty if it never has.
  std::optional<SteadyTime> last_listed;
  bool has_run_tasks = false;
  // Since when the instance has had no tasks; empty if it has tasks or its use
  // has not been recorded yet.
  std::optional<SteadyTime> idle_since;
};

// Instances by machine name.
using InstanceTable = std::map<std::string, Instance>;

// Keeps an inventory of instances from the cloud's list, which may lag behind,
// and from the cloud's answers to requests. Deletes broken instances.
class InstanceInventory {
 public:
  // `cloud` limits the rate of this process's calls to the cloud.
  InstanceInventory(Outbox& outbox, const Deployment& deployment,
                    const Tuning& tuning, const StateCache& state_cache,
                    const MachineTypeCatalog& machine_types,
                    TokenBucket& cloud);

  // Starts to read the cloud's list page by page, if a listing is due and the
  // rate limit allows a call. Only the first page takes a token from the rate
  // limit. If a page fails, the whole list is read again later.
  void ListIfDue();

  // Whether the whole list has been read at least once. Until then, instances
  // that an earlier leader requested may be missing from the inventory.
  bool listed_once() const { return listed_once_; }
  const InstanceTable& instances() const { return instances_; }
  // Returns the named instance, or null if the inventory does not have it.
  const Instance* Find(const std::string& name) const;

  // Adds an instance that the cloud has created in answer to a request, or
  // updates its creation time if the instance is present but has not been
  // listed. Once it has been listed, its creation time no longer changes.
  void AddCreated(const std::string& name, const Offer& offer,
                  SteadyTime created);

  // Updates which instances have tasks, and since when the others have been
  // idle.
  void RecordUse(const MachineUseTable& use);

  // Returns the number of instances that are neither draining nor broken.
  int CountUsable() const;
  // Deletes instances that have failed or whose boot is overdue, as many as one
  // cloud call may name, if the rate limit allows a call. Instances stay in the
  // inventory until the cloud confirms the deletion; until then each call of
  // this function requests it again.
  void DeleteBroken();

 private:
  using NameSet = std::set<std::string>;
  // A listing in progress: the names read so far, and when it started.
  struct Listing {
    NameSet names;
    SteadyTime started{};
  };

  void FetchPage(std::string after);
  void OnPage(const CloudReply& reply);
  void Update(const ListedMachine& listed, SteadyTime list_started);
  void RemoveMissing(const NameSet& listed);
  bool IsBroken(const std::string& name, const Instance& instance) const;

  Outbox& outbox_;
  const Deployment& deployment_;
  const Tuning& tuning_;
  const StateCache& state_cache_;
  const MachineTypeCatalog& machine_types_;
  TokenBucket& cloud_;
  InstanceTable instances_;
  std::optional<Listing> listing_;
  bool listed_once_ = false;
  SteadyTime next_list_{};
  LifetimeGuard guard_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_INSTANCE_INVENTORY_H_
