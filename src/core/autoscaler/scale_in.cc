#include "core/autoscaler/scale_in.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pitchfall {
namespace {

// The cloud charges at least this time for each instance, so deleting one
// earlier saves nothing.
constexpr Duration kMinimumCharge = Millis(60000);
// The largest number of service replicas on draining machines at any time. Each
// of them has to be stopped and started on another machine.
constexpr uint32_t kMaxDrainingReplicas = 4;
// Sizes in the stored record as JSON: of the record without names, and of the
// quotes and the comma of each name.
constexpr size_t kDrainRecordBytes = 64;
constexpr size_t kNameOverheadBytes = 3;

}  // namespace

void TruncateToFit(std::vector<std::string>& names, size_t bytes) {
  size_t used = kDrainRecordBytes;
  auto end = std::find_if(names.begin(), names.end(), [&](const auto& name) {
    used += name.size() + kNameOverheadBytes;
    return used > bytes;
  });
  names.erase(end, names.end());
}

ScaleIn::ScaleIn(Outbox& outbox, const Tuning& tuning,
                 const StateCache& state_cache, const StateLimits& state_limits,
                 const MachineTypeCatalog& machine_types,
                 const InstanceInventory& inventory,
                 LeaderStateWriter& state_writer)
    : outbox_(outbox),
      tuning_(tuning),
      state_cache_(state_cache),
      state_limits_(state_limits),
      machine_types_(machine_types),
      inventory_(inventory),
      state_writer_(state_writer) {}

bool ScaleIn::CordonSurplus(const Surplus& surplus, const MachineUseTable& use,
                            const SizingDecision& decision) {
  const SteadyTime now = outbox_.now().steady;
  if (!surplus_since_) surplus_since_ = now;
  if (now - *surplus_since_ < tuning_.idle_before_return) return false;
  std::vector<std::string> machines =
      Choose(RankCandidates(use), surplus, DrainingReplicas(use));
  if (machines.empty()) return false;
  outbox_.Log(LogLevel::kInfo, "event=scale_in machines={} target={} have={}",
              machines.size(), decision.target, decision.count);
  if (const auto& stored = state_cache_.drain()) {
    const std::vector<std::string>& cordoned = stored->value.machines;
    machines.insert(machines.begin(), cordoned.begin(), cordoned.end());
  }
  Store(std::move(machines));
  return true;
}

// Orders candidates for removal: empty machines first, the most expensive of
// them first; then machines with tasks, by load per price; machines with
// service replicas last, by their number.
bool ScaleIn::IsRemovedBefore(const Candidate& left, const Candidate& right) {
  return std::tie(left.replicas, left.load_per_price, right.price,
                  left.machine) < std::tie(right.replicas, right.load_per_price,
                                           left.price, right.machine);
}

bool ScaleIn::MayBeCordoned(const std::string& name, const Instance& instance,
                            bool empty) const {
  if (state_cache_.IsDraining(name)) return false;
  if (instance.status != MachineStatus::kRunning) return false;
  if (!empty) return true;
  const SteadyTime now = outbox_.now().steady;
  const Duration idle = now - instance.idle_since.value_or(now);
  return now - instance.created >= kMinimumCharge &&
         idle >= tuning_.idle_before_return;
}

std::vector<ScaleIn::Candidate> ScaleIn::RankCandidates(
    const MachineUseTable& use) const {
  std::vector<Candidate> candidates;
  for (const auto& [name, instance] : inventory_.instances()) {
    auto used = use.find(name);
    const bool empty = used == use.end();
    if (!MayBeCordoned(name, instance, empty)) continue;
    const double load =
        empty ? 0 : machine_types_.MachinesFor(used->second.resources);
    Candidate candidate;
    candidate.machine = name;
    candidate.spot = instance.offer.spot;
    candidate.price = machine_types_.PriceOf(instance.offer);
    candidate.replicas = empty ? 0 : used->second.replicas;
    candidate.load_per_price = load / candidate.price;
    candidates.push_back(std::move(candidate));
  }
  std::sort(candidates.begin(), candidates.end(), IsRemovedBefore);
  return candidates;
}

std::vector<std::string> ScaleIn::Choose(
    const std::vector<Candidate>& candidates, Surplus surplus,
    uint32_t draining_replicas) const {
  std::vector<std::string> chosen;
  for (const Candidate& candidate : candidates) {
    if (static_cast<int>(chosen.size()) >= surplus.machines) break;
    draining_replicas += candidate.replicas;
    if (candidate.replicas > 0 && draining_replicas > kMaxDrainingReplicas) {
      break;
    }
    if (!candidate.spot) {
      if (surplus.on_demand <= 0) continue;
      --surplus.on_demand;
    }
    chosen.push_back(candidate.machine);
  }
  return chosen;
}

uint32_t ScaleIn::DrainingReplicas(const MachineUseTable& use) const {
  uint32_t replicas = 0;
  for (const auto& [name, machine] : use) {
    if (state_cache_.IsDraining(name)) replicas += machine.replicas;
  }
  return replicas;
}

bool ScaleIn::CanUncordon(const std::string& name) const {
  const Instance* instance = inventory_.Find(name);
  return instance != nullptr && !instance->idle_since &&
         instance->status == MachineStatus::kRunning;
}

int ScaleIn::Uncordon(int count) {
  const auto& stored = state_cache_.drain();
  if (!stored) return 0;
  std::vector<std::string> still_cordoned;
  int uncordoned = 0;
  for (const std::string& name : stored->value.machines) {
    if (uncordoned < count && CanUncordon(name)) {
      ++uncordoned;
    } else {
      still_cordoned.push_back(name);
    }
  }
  if (uncordoned == 0) return 0;
  Store(std::move(still_cordoned));
  return uncordoned;
}

void ScaleIn::Store(std::vector<std::string> machines) {
  const auto& stored = state_cache_.drain();
  // Drops machines that no longer exist.
  std::erase_if(machines, [this](const std::string& name) {
    return inventory_.Find(name) == nullptr;
  });
  // Machines that do not fit into one value are cordoned by a later decision.
  TruncateToFit(machines, state_limits_.ValueBytes());
  Transaction transaction;
  transaction.conditions.push_back(
      {keys::kDrain, stored ? stored->mod_revision : 0});
  transaction.writes.push_back(
      {keys::kDrain, DrainRecord{std::move(machines)}, 0});
  state_writer_.Write(std::move(transaction), [](const StateReply&) {});
}

}  // namespace pitchfall
