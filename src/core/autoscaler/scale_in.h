// Scaling in: selects machines for removal and cordons them.
#ifndef PITCHFALL_CORE_AUTOSCALER_SCALE_IN_H_
#define PITCHFALL_CORE_AUTOSCALER_SCALE_IN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/autoscaler/instance_inventory.h"
#include "core/autoscaler/leader_state_writer.h"
#include "core/autoscaler/machine_type_catalog.h"
#include "core/autoscaler/machine_use.h"
#include "core/autoscaler/sizing_decision.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"
#include "core/state/state_limits.h"

namespace pitchfall {

// Removes names from the end until the drain record that lists them takes at
// most `bytes` bytes as JSON.
void TruncateToFit(std::vector<std::string>& names, size_t bytes);

// How many machines may be removed.
struct Surplus {
  int machines = 0;
  // How many of these may be on-demand instances. This preserves the capacity
  // of jobs that must not run on spot instances.
  int on_demand = 0;
};

// Cordons machines by storing their names in the drain record. A cordoned
// machine gets no new tasks, and the owner of its partition deletes it once it
// is empty.
class ScaleIn {
 public:
  ScaleIn(Outbox& outbox, const Tuning& tuning, const StateCache& state_cache,
          const StateLimits& state_limits,
          const MachineTypeCatalog& machine_types,
          const InstanceInventory& inventory, LeaderStateWriter& state_writer);

  // Cordons the machines that are cheapest to remove, once the surplus has
  // lasted for Tuning::idle_before_return. Returns whether it selected any.
  // `decision` appears in the log only. The machine types must be known.
  bool CordonSurplus(const Surplus& surplus, const MachineUseTable& use,
                     const SizingDecision& decision);
  // Records that there is no surplus now, which restarts the time for which a
  // surplus has to last.
  void ResetSurplus() { surplus_since_.reset(); }

  // Uncordons up to `count` running machines that still have tasks, and returns
  // their number. Such a machine is available at once, without a boot time.
  int Uncordon(int count);

 private:
  // A machine that may be removed, and the cost of removing it.
  struct Candidate {
    std::string machine;
    bool spot = false;
    double price = 0;       // money per hour
    uint32_t replicas = 0;  // of services, running on the machine
    // The load on the machine (in machines of the first type), which has to
    // move elsewhere, divided by the price that the removal saves.
    double load_per_price = 0;
  };

  static bool IsRemovedBefore(const Candidate& left, const Candidate& right);
  bool MayBeCordoned(const std::string& name, const Instance& instance,
                     bool empty) const;
  std::vector<Candidate> RankCandidates(const MachineUseTable& use) const;
  std::vector<std::string> Choose(const std::vector<Candidate>& candidates,
                                  Surplus surplus,
                                  uint32_t draining_replicas) const;
  uint32_t DrainingReplicas(const MachineUseTable& use) const;
  bool CanUncordon(const std::string& name) const;
  void Store(std::vector<std::string> machines);

  Outbox& outbox_;
  const Tuning& tuning_;
  const StateCache& state_cache_;
  const StateLimits& state_limits_;
  const MachineTypeCatalog& machine_types_;
  const InstanceInventory& inventory_;
  LeaderStateWriter& state_writer_;
  std::optional<SteadyTime> surplus_since_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_SCALE_IN_H_
