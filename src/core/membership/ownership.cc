#include "core/membership/ownership.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "core/base/rendezvous_hash.h"

namespace pitchfall {
namespace {

// How long a partition is not handed back to a controller whose workers could
// not reach it: if they still cannot, each return makes them search for an
// owner again.
constexpr Duration kUnreachableOwnerDelay = Millis(60000);
// How long a controller that is not the preferred owner leaves a vacant
// partition to the preferred one, which takes it over without delay.
constexpr Duration kTakeOverDelay = Millis(1000);
// The same for a partition that never had an owner: when a deployment first
// starts, the preferred owner may still be starting.
constexpr Duration kFirstTakeOverDelay = Millis(1500);

// Returns the labels of all controllers of the deployment, in an order on which
// they all agree.
std::vector<std::string> ConfiguredLabels(const Deployment& deployment) {
  std::vector<std::string> labels{deployment.label};
  for (const auto& peer : deployment.peers) labels.push_back(peer.label);
  std::sort(labels.begin(), labels.end());
  return labels;
}

std::string_view ToString(HandoverReason reason) {
  return reason == HandoverReason::kUnreachable ? "unreachable" : "balance";
}

}  // namespace

void Ownership::RunDueWork() {
  registration_.KeepLease();
  if (!context_.state_watcher.IsFresh()) return;
  registration_.Register();
  TrackNodes();
  for (uint32_t partition = 0; partition < context_.partition_count;
       ++partition) {
    ReconcilePartition(partition);
  }
}

void Ownership::TrackNodes() {
  std::map<std::string, SteadyTime> alive;
  for (const auto& [key, node] : context_.state_cache.nodes()) {
    const std::string& label = node.value.label;
    auto known = alive_since_.find(label);
    alive[label] = known == alive_since_.end() ? context_.now() : known->second;
  }
  alive_since_ = std::move(alive);
}

const Ownership::StoredNode* Ownership::FindNode(
    const std::string& label) const {
  const StoredNode* newest = nullptr;
  for (const auto& [key, node] : context_.state_cache.nodes()) {
    if (node.value.label != label) continue;
    if (newest == nullptr || node.mod_revision > newest->mod_revision) {
      newest = &node;
    }
  }
  return newest;
}

std::string Ownership::PreferredOwner(uint32_t partition) const {
  std::vector<std::string> labels = ConfiguredLabels(context_.deployment);
  const std::string& assigned = labels[partition % labels.size()];
  if (alive_since_.contains(assigned)) return assigned;
  return HighestHashedController(partition);
}

std::string Ownership::HighestHashedController(uint32_t partition) const {
  std::string best;
  uint64_t best_hash = 0;
  for (const auto& [label, since] : alive_since_) {
    uint64_t hash = StableHash(label, partition + 1);
    if (best.empty() || hash > best_hash) {
      best = label;
      best_hash = hash;
    }
  }
  return best;
}

bool Ownership::IsOwn(const StoredPartition* current) const {
  return current != nullptr &&
         current->value.incarnation == context_.incarnation;
}

bool Ownership::IsVacant(const StoredPartition* current) const {
  if (current == nullptr) return true;
  // An earlier incarnation of this controller is certainly dead: only one
  // process at a time can bind the controller's addresses.
  if (current->value.label == context_.deployment.label) return true;
  return !context_.state_cache.IsOwnerAlive(current->value);
}

Duration Ownership::TakeOverDelay(uint32_t partition,
                                  const StoredPartition* current) const {
  const std::string& own_label = context_.deployment.label;
  bool earlier_incarnation =
      current != nullptr && current->value.label == own_label;
  if (earlier_incarnation || PreferredOwner(partition) == own_label) {
    return Duration(0);
  }
  return current == nullptr ? kFirstTakeOverDelay : kTakeOverDelay;
}

void Ownership::ReconcilePartition(uint32_t partition) {
  const StoredPartition* current =
      context_.state_cache.FindPartition(partition);
  if (IsOwn(current)) {
    RebalanceOwned(partition, *current);
  } else {
    TakeOverIfVacant(partition, current);
  }
}

void Ownership::RebalanceOwned(uint32_t partition,
                               const StoredPartition& current) {
  PartitionStatus& status = partitions_[partition];
  SteadyTime now = context_.now();
  status.vacant_since.reset();
  if (status.own_mod_revision != current.mod_revision) {
    status.own_mod_revision = current.mod_revision;
    status.owned_since = now;
  }
  std::string preferred = PreferredOwner(partition);
  if (preferred == context_.deployment.label) return;
  // A controller that has only just registered may fail again soon.
  auto alive = alive_since_.find(preferred);
  if (alive == alive_since_.end() ||
      now - alive->second < context_.tuning.handover_after) {
    return;
  }
  if (current.value.unreachable_owner == preferred &&
      now - status.owned_since < kUnreachableOwnerDelay) {
    return;
  }
  HandOver(partition, preferred, HandoverReason::kBalance);
}

void Ownership::TakeOverIfVacant(uint32_t partition,
                                 const StoredPartition* current) {
  PartitionStatus& status = partitions_[partition];
  std::optional<SteadyTime> registered_at = registration_.registered_at();
  // Without its node key the others would count this controller as dead, and
  // the partition as vacant again at once.
  if (!IsVacant(current) || !registered_at) {
    status.vacant_since.reset();
    return;
  }
  SteadyTime now = context_.now();
  if (!status.vacant_since) status.vacant_since = now;
  if (status.change_in_flight) return;
  SteadyTime since = std::max(*status.vacant_since, *registered_at);
  if (now - since < TakeOverDelay(partition, current)) return;
  TakeOver(partition, current);
}

void Ownership::TakeOver(uint32_t partition, const StoredPartition* current) {
  // Taken on credit: until this is stored the partition's workers have no
  // owner.
  SteadyTime now = context_.now();
  context_.state_write_bucket.TakeOnCredit(now, 1);
  context_.state_request_bucket.TakeOnCredit(now, 1);
  const std::string& own_label = context_.deployment.label;
  Transaction txn;
  txn.conditions.push_back({keys::Partition(partition),
                            current == nullptr ? 0 : current->mod_revision});
  // The transaction fails if the old owner has registered again since the state
  // was read.
  if (current != nullptr && current->value.label != own_label) {
    txn.conditions.push_back(
        {keys::Node(current->value.label, current->value.incarnation), 0});
  }
  txn.writes.push_back({keys::Partition(partition),
                        PartitionRecord{own_label, context_.incarnation}});
  context_.outbox.Log(LogLevel::kInfo,
                      "event=takeover_asked partition={} from={}", partition,
                      current == nullptr ? "nobody" : current->value.label);
  StoreOwner(partition, std::move(txn));
}

void Ownership::HandOver(uint32_t partition, const std::string& label,
                         HandoverReason reason) {
  const StoredPartition* current =
      context_.state_cache.FindPartition(partition);
  const StoredNode* node = FindNode(label);
  if (!IsOwn(current) || node == nullptr) return;
  if (partitions_[partition].change_in_flight) return;
  SteadyTime now = context_.now();
  if (!context_.state_write_bucket.Take(now, 1) ||
      !context_.state_request_bucket.Take(now, 1))
    return;
  bool unreachable = reason == HandoverReason::kUnreachable;
  PartitionRecord record{label, node->value.incarnation,
                         unreachable ? context_.deployment.label : ""};
  Transaction txn;
  txn.conditions.push_back({keys::Partition(partition), current->mod_revision});
  // The transaction fails if the new owner has ended since the state was read.
  txn.conditions.push_back(
      {keys::Node(label, node->value.incarnation), node->mod_revision});
  txn.writes.push_back({keys::Partition(partition), std::move(record)});
  context_.outbox.Log(LogLevel::kInfo,
                      "event=handover partition={} to={} reason={}", partition,
                      label, ToString(reason));
  StoreOwner(partition, std::move(txn));
}

void Ownership::StoreOwner(uint32_t partition, Transaction txn) {
  partitions_[partition].change_in_flight = true;
  context_.outbox.CallState(
      std::move(txn), context_.tuning.state_timeout,
      [this, partition](const StateReply&) {
        // A missing or failed answer does not tell whether the change was
        // stored; the next read shows who owns the partition.
        context_.state_watcher.AfterNextRead([this, partition](bool) {
          partitions_[partition].change_in_flight = false;
        });
      });
}

std::optional<uint64_t> Ownership::FencingTokenOf(uint32_t partition) const {
  const StoredPartition* current =
      context_.state_cache.FindPartition(partition);
  if (!IsOwn(current)) return {};
  return current->mod_revision;
}

std::string Ownership::OwnerOf(uint32_t partition) const {
  const StoredPartition* current =
      context_.state_cache.FindPartition(partition);
  if (current == nullptr ||
      !context_.state_cache.IsOwnerAlive(current->value)) {
    return "";
  }
  return current->value.label;
}

}  // namespace pitchfall
