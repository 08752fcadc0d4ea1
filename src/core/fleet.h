// The leader's work: how many machines there should be, renting them, choosing
// which to return. The owner of partition 0 leads.
#ifndef PITCHFALL_CORE_FLEET_H_
#define PITCHFALL_CORE_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/context.h"
#include "core/demand.h"
#include "core/sizing/target.h"

namespace pitchfall {

// Keeps as many names as a record of this many bytes of JSON can list.
void KeepWithin(std::vector<std::string>& names, size_t bytes);

class Fleet {
 public:
  Fleet(Context& context, uint64_t fencing_token);

  void Step();

 private:
  // A kind of machine that can be rented.
  struct Offer {
    std::string type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const Offer&) const = default;
  };
  struct Known {
    Offer offer;
    MachineStatus status = MachineStatus::kBooting;
    SteadyTime rented{};
    SteadyTime listed{};  // last seen in the list; epoch: never
    bool worked = false;  // has had tasks
    std::optional<SteadyTime> idle_since;
  };

  void FetchTypes();
  void FetchList(std::string after,
                 const std::shared_ptr<std::set<std::string>>& seen,
                 SteadyTime started);
  void OnList(const std::set<std::string>& seen, SteadyTime started);
  void Resize();
  void FollowRentals();
  void SendRental(const std::string& name, const RentalRecord& record);
  void StoreDrain(std::vector<std::string> machines);
  void StoreTypes(TypesRecord types);
  double Price(const Offer& offer) const;
  std::vector<Offer> OffersByPrice() const;
  // Counts, targets and moves, once a second; the series once a period.
  void FollowPeriod();
  // What is bound to each machine.
  struct MachineUse {
    Resources resources;
    std::map<Priority, Resources> by_priority;
    uint32_t replicas = 0;  // of standing jobs
  };
  using Use = std::map<std::string, MachineUse>;
  int CountMachines(const Use& use);
  void DeleteBroken(std::vector<std::string> names);
  void RentMore(int count, const Demand& demand, bool ordinary_only);
  void RentFor(const Job& job);
  // Zones in which the job's rules allow another of its tasks.
  std::set<std::string> OpenZones(const Job& job) const;
  bool Served(const Job& job, const std::set<Offer>& kinds) const;
  bool HasRoomForReplica(const Job& job, const Use& use) const;
  bool Refused(const Offer& offer) const;
  uint32_t MostPerRental() const;
  // How many machines to rent of each kind.
  using InstanceOrder = std::map<Offer, int>;
  void Ask(InstanceOrder order, std::string_view reason);
  // Machines and pending rentals of each kind.
  std::map<Offer, int> CountByOffer() const;
  bool Serves(const JobSpec& spec, const Offer& offer) const;
  void GiveBack(int surplus, int spare_ordinary, const Use& use);
  // Keeps up to `count` machines that were chosen to go; how many.
  int KeepDraining(int count);
  uint32_t DrainingReplicas(const Use& use) const;
  double MachinesFor(const Resources& room) const;
  std::vector<double> Targets(const Demand& demand, double* room) const;
  int Pending(bool ordinary_only) const;
  void Store(Transaction txn, Outbox::StateHandler handler);

  Context& context_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  const uint64_t fencing_token_;
  uint32_t rentals_made_ = 0;
  std::map<std::string, Known> machines_;
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
  SteadyTime next_resize_{};
  std::optional<SteadyTime> above_since_;
  std::vector<SizingRecord::Point> history_;
  uint64_t last_period_ = 0;
  int target_ = 0;
  int count_ = 0;
  std::string reason_ = "start";
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_FLEET_H_
