#include "core/autoscaler/instance_inventory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {
namespace {

constexpr Duration kListInterval = Millis(5000);
constexpr Duration kListRetryDelay = Millis(2000);
// An instance that is missing from the list is removed from the inventory after
// twice the list's maximum lag plus this margin.
constexpr Duration kMissingMargin = Millis(5000);
// The boot of an instance is overdue after this many times the boot time of its
// type, plus the margin, so that a slow boot is not mistaken for a failed one.
constexpr int kOverdueBootTimes = 3;
constexpr Duration kOverdueMargin = Millis(10000);
// The largest number of instances that one call deletes.
constexpr size_t kMaxDeletedPerCall = 100;

}  // namespace

InstanceInventory::InstanceInventory(Outbox& outbox,
                                     const Deployment& deployment,
                                     const Tuning& tuning,
                                     const StateCache& state_cache,
                                     const MachineTypeCatalog& machine_types,
                                     TokenBucket& cloud)
    : outbox_(outbox),
      deployment_(deployment),
      tuning_(tuning),
      state_cache_(state_cache),
      machine_types_(machine_types),
      cloud_(cloud) {}

const Instance* InstanceInventory::Find(const std::string& name) const {
  auto found = instances_.find(name);
  return found == instances_.end() ? nullptr : &found->second;
}

void InstanceInventory::ListIfDue() {
  const SteadyTime now = outbox_.now().steady;
  if (listing_ || now < next_list_ || !cloud_.Take(now, 1)) return;
  listing_ = Listing{{}, now};
  FetchPage("");
}

void InstanceInventory::FetchPage(std::string after) {
  outbox_.CallCloud(
      ListMachines{std::move(after)}, tuning_.cloud_timeout,
      guard_.Wrap([this](const CloudReply& reply) { OnPage(reply); }));
}

void InstanceInventory::OnPage(const CloudReply& reply) {
  const SteadyTime now = outbox_.now().steady;
  if (reply.status != http_status::kOk) {
    listing_.reset();
    next_list_ = now + kListRetryDelay;
    return;
  }
  for (const ListedMachine& listed : reply.listed) {
    listing_->names.insert(listed.name);
    Update(listed, listing_->started);
  }
  if (reply.more && !reply.listed.empty()) {
    FetchPage(reply.listed.back().name);
    return;
  }
  RemoveMissing(listing_->names);
  listing_.reset();
  listed_once_ = true;
  next_list_ = now + kListInterval;
}

void InstanceInventory::Update(const ListedMachine& listed,
                               SteadyTime list_started) {
  auto [entry, is_new] = instances_.try_emplace(listed.name);
  Instance& instance = entry->second;
  instance.offer = {listed.type, listed.zone, listed.spot};
  // A list may show an older state than the one before it. An instance that was
  // running does not return to booting, so only a failure replaces that status.
  if (is_new || instance.status == MachineStatus::kBooting ||
      listed.status == MachineStatus::kFailed) {
    instance.status = listed.status;
  }
  if (is_new) instance.created = list_started - listed.age;
  instance.last_listed = outbox_.now().steady;
}

void InstanceInventory::RemoveMissing(const NameSet& listed) {
  const SteadyTime now = outbox_.now().steady;
  const Duration lag = 2 * deployment_.list_lag + kMissingMargin;
  std::erase_if(instances_, [&](const auto& entry) {
    const auto& [name, instance] = entry;
    // The list may be too old to include a new instance, so an instance is
    // removed only after it has been missing for long.
    const SteadyTime last_listed = instance.last_listed.value_or(SteadyTime{});
    return !listed.contains(name) && now - instance.created > lag &&
           now - last_listed > lag;
  });
}

void InstanceInventory::AddCreated(const std::string& name, const Offer& offer,
                                   SteadyTime created) {
  Instance& instance = instances_[name];
  instance.offer = offer;
  if (!instance.last_listed) instance.created = created;
}

void InstanceInventory::RecordUse(const MachineUseTable& use) {
  for (auto& [name, instance] : instances_) {
    if (use.contains(name)) {
      instance.has_run_tasks = true;
      instance.idle_since.reset();
    } else if (!instance.idle_since) {
      instance.idle_since = outbox_.now().steady;
    }
  }
}

bool InstanceInventory::IsBroken(const std::string& name,
                                 const Instance& instance) const {
  if (state_cache_.IsDraining(name)) return false;
  if (instance.status == MachineStatus::kFailed) return true;
  // The list lags behind and may show a machine as booting that already runs
  // tasks; such a machine has booted.
  if (instance.status != MachineStatus::kBooting || instance.has_run_tasks) {
    return false;
  }
  const Duration boot = machine_types_.BootTimeOf(instance.offer);
  const Duration age = outbox_.now().steady - instance.created;
  return age > kOverdueBootTimes * boot + kOverdueMargin;
}

int InstanceInventory::CountUsable() const {
  return static_cast<int>(
      std::ranges::count_if(instances_, [this](const auto& entry) {
        const auto& [name, instance] = entry;
        return !state_cache_.IsDraining(name) && !IsBroken(name, instance);
      }));
}

void InstanceInventory::DeleteBroken() {
  std::vector<std::string> names;
  for (const auto& [name, instance] : instances_) {
    if (IsBroken(name, instance)) names.push_back(name);
  }
  if (names.empty() || !cloud_.Take(outbox_.now().steady, 1)) return;
  if (names.size() > kMaxDeletedPerCall) names.resize(kMaxDeletedPerCall);
  for (const std::string& name : names) {
    const bool failed = instances_.at(name).status == MachineStatus::kFailed;
    outbox_.Log(LogLevel::kInfo, "event=delete machine={} reason={}", name,
                failed ? "failed" : "boot_overdue");
  }
  outbox_.CallCloud(DeleteMachines{names}, tuning_.cloud_timeout,
                    guard_.Wrap([this, names](const CloudReply& reply) {
                      if (reply.status != http_status::kOk) return;
                      for (const std::string& name : names)
                        instances_.erase(name);
                    }));
}

}  // namespace pitchfall
