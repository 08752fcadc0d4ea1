// Which machines to give up.
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

// Drops names from the end until the record that lists them takes at most this
// many bytes as JSON.
void KeepWithin(std::vector<std::string>& names, size_t bytes);

// How many machines may be given up.
struct Surplus {
  int machines = 0;
  // Of these, how many may be other than spot instances. Jobs that must not run
  // on spot instances keep what they need.
  int ordinary = 0;
};

// Cordons machines by storing their names: they get no new tasks, and the
// owners of their partitions delete them when they are empty.
class ScaleIn {
 public:
  ScaleIn(Outbox& out, const Tuning& tuning, const StateCache& state_cache,
          const StateLimits& state_limits,
          const MachineTypeCatalog& machine_types,
          const InstanceInventory& inventory, LeaderStateWriter& state_writer);

  // Cordons the machines that cost least to give up, once there has been a
  // surplus for as long as the tuning says. Returns whether any are. The
  // decision is for the log. The machine types must be known.
  bool CordonSurplus(const Surplus& surplus, const MachineUseTable& use,
                     const SizingDecision& decision);
  // There is no surplus now: the time for which one has lasted starts again.
  void ResetSurplus() { surplus_since_.reset(); }

  // Uncordons up to `count` machines that still have tasks, and returns how
  // many. Such a machine is there at once and costs no boot.
  int Uncordon(int count);

 private:
  // A machine that may be given up, and what that costs.
  struct Candidate {
    std::string machine;
    bool spot = false;
    double price = 0;  // money an hour
    uint32_t replicas = 0;
    // What is lost while the machine empties (in machines) against the price
    // that is saved.
    double load_per_price = 0;
  };

  static bool GoesBefore(const Candidate& left, const Candidate& right);
  bool MayBeCordoned(const std::string& name, const Instance& instance,
                     bool empty) const;
  std::vector<Candidate> RankCandidates(const MachineUseTable& use) const;
  std::vector<std::string> Choose(const std::vector<Candidate>& candidates,
                                  Surplus surplus,
                                  uint32_t draining_replicas) const;
  uint32_t DrainingReplicas(const MachineUseTable& use) const;
  bool CanUncordon(const std::string& name) const;
  void Store(std::vector<std::string> machines);

  Outbox& out_;
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
