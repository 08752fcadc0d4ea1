// The leader's work: how many machines there should be, renting them, choosing
// which to return. The owner of partition 0 leads.
#ifndef PITCHFALL_CORE_AUTOSCALER_AUTOSCALER_H_
#define PITCHFALL_CORE_AUTOSCALER_AUTOSCALER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/autoscaler/leader_state_writer.h"
#include "core/autoscaler/machine_type_catalog.h"
#include "core/autoscaler/offer.h"
#include "core/autoscaler/sizing_decision.h"
#include "core/autoscaler/sizing_history.h"
#include "core/scheduling/demand.h"
#include "core/state/context.h"

namespace pitchfall {

// Keeps as many names as a record of this many bytes of JSON can list.
void KeepWithin(std::vector<std::string>& names, size_t bytes);

class Autoscaler {
 public:
  Autoscaler(Context& context, uint64_t fencing_token);

  void Step();

 private:
  struct Instance {
    Offer offer;
    MachineStatus status = MachineStatus::kBooting;
    SteadyTime created{};
    SteadyTime listed{};  // last seen in the list; epoch: never
    bool worked = false;  // has had tasks
    std::optional<SteadyTime> idle_since;
  };

  void FetchList(std::string after,
                 const std::shared_ptr<std::set<std::string>>& seen,
                 SteadyTime started);
  void OnList(const std::set<std::string>& seen, SteadyTime started);
  void AdjustSize();
  void ReconcileInstanceRequests();
  void SendInstanceRequest(const std::string& name,
                           const InstanceRequestRecord& record);
  void StoreDrain(std::vector<std::string> machines);
  // What is bound to each machine.
  struct MachineUse {
    Resources resources;
    std::map<Priority, Resources> by_priority;
    uint32_t replicas = 0;  // of standing jobs
  };
  using Use = std::map<std::string, MachineUse>;
  int CountMachines(const Use& use);
  void DeleteBroken(std::vector<std::string> names);
  void ScaleOut(int count, const Demand& demand, bool ordinary_only);
  void ScaleOutFor(const Job& job);
  bool Served(const Job& job, const std::set<Offer>& kinds) const;
  bool HasCapacityForReplica(const Job& job, const Use& use) const;
  bool Refused(const Offer& offer) const;
  uint32_t MaxPerInstanceRequest() const;
  void StoreInstanceRequests(OfferCounts order, ScalingReason reason);
  // Machines and pending instance requests of each kind.
  OfferCounts CountByOffer() const;
  void ScaleIn(int surplus, int spare_ordinary, const Use& use);
  // Keeps up to `count` machines that were chosen to go; how many.
  int Uncordon(int count);
  uint32_t DrainingReplicas(const Use& use) const;
  int Pending(bool ordinary_only) const;

  Context& context_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  const uint64_t fencing_token_;
  LeaderStateWriter state_writer_;
  MachineTypeCatalog machine_types_;
  SizingHistory sizing_history_;
  SizingDecision decision_;
  uint32_t requests_made_ = 0;
  std::map<std::string, Instance> machines_;
  std::map<Offer, SteadyTime> refused_until_;
  std::set<std::string> sending_;
  std::map<std::string, SteadyTime> next_send_;
  std::set<std::string> deleting_;
  bool listing_ = false;
  bool listed_once_ = false;
  SteadyTime next_list_{};
  SteadyTime next_adjust_{};
  std::optional<SteadyTime> surplus_since_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_FLEET_H_
