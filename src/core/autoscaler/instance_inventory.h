// Which instances there are.
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

// One instance that the cloud lists, or has created and does not list yet.
struct Instance {
  Offer offer;
  MachineStatus status = MachineStatus::kBooting;
  SteadyTime created{};
  std::optional<SteadyTime> listed;  // last seen in the cloud's list
  bool has_run_tasks = false;
  std::optional<SteadyTime> idle_since;  // none: has tasks, or not known
};

// By name of the machine.
using InstanceTable = std::map<std::string, Instance>;

// Follows the cloud's list, adds what it does not show yet, and deletes
// instances that are broken.
class InstanceInventory {
 public:
  // `cloud` is the process's share of the cloud's rate of calls.
  InstanceInventory(Outbox& out, const Deployment& deployment,
                    const Tuning& tuning, const StateCache& state_cache,
                    const MachineTypeCatalog& machine_types,
                    TokenBucket& cloud);

  // Starts to read the cloud's list, page by page, if that is due and the rate
  // allows a call. After a failure the whole list is read again later.
  void ListIfDue();

  // Whether the whole list has been read once. Before that nothing is known of
  // instances that a predecessor requested.
  bool listed_once() const { return listed_once_; }
  const InstanceTable& instances() const { return instances_; }
  // Null if there is no such instance.
  const Instance* Find(const std::string& name) const;

  // Adds an instance that the cloud has created in answer to a request, or
  // gives the time of its creation more precisely. Once an instance has been
  // listed, the age that the list gave stands.
  void AddCreated(const std::string& name, const Offer& offer,
                  SteadyTime created);

  // Notes which instances have tasks, and since when the others have none.
  void RecordUse(const MachineUseTable& use);

  // Instances that are neither draining nor broken.
  int CountUsable() const;
  // Deletes instances that have failed or are overdue, as many as one call may
  // name, if the rate allows a call. They stay in the table until the cloud
  // has confirmed it; the next call tries again.
  void DeleteBroken();

 private:
  using NameSet = std::set<std::string>;
  // A list under way.
  struct Listing {
    NameSet names;
    SteadyTime started{};
  };

  void FetchPage(std::string after);
  void OnPage(const CloudReply& reply);
  void Update(const ListedMachine& listed, SteadyTime list_started);
  void RemoveMissing(const NameSet& listed);
  bool IsBroken(const std::string& name, const Instance& instance) const;

  Outbox& out_;
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
