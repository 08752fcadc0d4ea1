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

#include "core/autoscaler/sizing/target.h"
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
  // A kind of machine that can be rented.
  struct Offer {
    std::string type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const Offer&) const = default;
  };
  struct Instance {
    Offer offer;
    MachineStatus status = MachineStatus::kBooting;
    SteadyTime created{};
    SteadyTime listed{};  // last seen in the list; epoch: never
    bool worked = false;  // has had tasks
    std::optional<SteadyTime> idle_since;
  };

  void FetchTypes();
  void FetchList(std::string after,
                 const std::shared_ptr<std::set<std::string>>& seen,
                 SteadyTime started);
  void OnList(const std::set<std::string>& seen, SteadyTime started);
  void AdjustSize();
  void ReconcileInstanceRequests();
  void SendInstanceRequest(const std::string& name,
                           const InstanceRequestRecord& record);
  void StoreDrain(std::vector<std::string> machines);
  void StoreTypes(TypesRecord types);
  double Price(const Offer& offer) const;
  std::vector<Offer> OffersByPrice() const;
  // Counts, targets and moves, once a second; the series once a period.
  void RecordPeriod();
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
  // Zones in which the job's rules allow another of its tasks.
  std::set<std::string> OpenZones(const Job& job) const;
  bool Served(const Job& job, const std::set<Offer>& kinds) const;
  bool HasCapacityForReplica(const Job& job, const Use& use) const;
  bool Refused(const Offer& offer) const;
  uint32_t MaxPerInstanceRequest() const;
  // How many machines to rent of each kind.
  using InstanceOrder = std::map<Offer, int>;
  void StoreInstanceRequests(InstanceOrder order, std::string_view reason);
  // Machines and pending instance requests of each kind.
  std::map<Offer, int> CountByOffer() const;
  bool Serves(const JobSpec& spec, const Offer& offer) const;
  void ScaleIn(int surplus, int spare_ordinary, const Use& use);
  // Keeps up to `count` machines that were chosen to go; how many.
  int Uncordon(int count);
  uint32_t DrainingReplicas(const Use& use) const;
  double MachinesFor(const Resources& requested_machines) const;
  std::vector<double> Targets(const Demand& demand,
                              double* requested_machines) const;
  int Pending(bool ordinary_only) const;
  void Store(Transaction txn, Outbox::StateHandler handler);

  Context& context_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  const uint64_t fencing_token_;
  uint32_t requests_made_ = 0;
  std::map<std::string, Instance> machines_;
  std::map<Offer, SteadyTime> refused_until_;
  std::set<std::string> sending_;
  std::map<std::string, SteadyTime> next_send_;
  std::set<std::string> deleting_;
  bool storing_ = false;
  bool listing_ = false;
  bool listed_once_ = false;
  bool fetching_types_ = false;
  SteadyTime next_types_{};
  SteadyTime next_list_{};
  SteadyTime next_adjust_{};
  std::optional<SteadyTime> surplus_since_;
  std::vector<SizingRecord::Point> history_;
  uint64_t last_period_ = 0;
  int target_ = 0;
  int count_ = 0;
  std::string reason_ = "start";
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_FLEET_H_
