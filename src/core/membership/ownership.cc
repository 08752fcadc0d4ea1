#include "core/membership/ownership.h"

#include <algorithm>
#include <utility>

#include "core/base/rendezvous_hash.h"

namespace pitchfall {
namespace {

constexpr Duration kUnreachableOwnerDelay = Millis(60000);

}  // namespace

void Ownership::Step() {
  KeepLease();
  if (!context_.state_watcher.Fresh()) return;
  Register();
  TrackNodes();
  for (uint32_t partition = 0; partition < context_.partition_count;
       ++partition)
    ReconcilePartition(partition);
}

void Ownership::KeepLease() {
  SteadyTime now = context_.now();
  if (asking_lease_ || now < next_lease_call_) return;
  // Leases come before everything else: they are sent whatever the budget says,
  // and counted.
  context_.requests.Take(now, 1, -1e9);
  asking_lease_ = true;
  Duration ttl = context_.tuning.node_lease;
  if (lease_ == 0) {
    context_.out.CallState(Grant{ttl}, context_.tuning.state_timeout,
                           [this, ttl](const StateReply& reply) {
                             asking_lease_ = false;
                             bool ok = reply.status == 200 && reply.lease != 0;
                             if (ok) lease_ = reply.lease;
                             next_lease_call_ =
                                 context_.now() + (ok ? ttl / 4 : Millis(200));
                           });
    return;
  }
  context_.out.CallState(
      Renew{lease_}, ttl / 4, [this, ttl](const StateReply& reply) {
        asking_lease_ = false;
        if (reply.status == 404) lease_ = 0;
        next_lease_call_ =
            context_.now() + (reply.status == 200 ? ttl / 4 : Millis(150));
      });
}

void Ownership::Register() {
  const auto& nodes = context_.state_cache.nodes();
  if (nodes.contains(context_.deployment.label + "." + context_.incarnation)) {
    if (!registered_at_) registered_at_ = context_.now();
    return;
  }
  registered_at_.reset();
  SteadyTime now = context_.now();
  if (lease_ == 0 || registering_ || now < next_register_) return;
  context_.writes.Take(now, 1, -1e9);
  context_.requests.Take(now, 1, -1e9);
  registering_ = true;
  Transaction txn;
  txn.conditions.push_back({MyKey(), 0});
  txn.writes.push_back({MyKey(),
                        NodeRecord{context_.deployment.label,
                                   context_.incarnation, kThisVersion},
                        lease_});
  context_.out.CallState(std::move(txn), context_.tuning.state_timeout,
                         [this](const StateReply& reply) {
                           registering_ = false;
                           next_register_ = context_.now() + Millis(200);
                           if (reply.no_lease) lease_ = 0;
                           context_.state_watcher.RequestRead();
                         });
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

const StateCache::Versioned<NodeRecord>* Ownership::FindNode(
    const std::string& label) const {
  const StateCache::Versioned<NodeRecord>* newest = nullptr;
  for (const auto& [key, node] : context_.state_cache.nodes()) {
    if (node.value.label != label) continue;
    if (newest == nullptr || node.mod_revision > newest->mod_revision)
      newest = &node;
  }
  return newest;
}

std::string Ownership::IdealOwner(uint32_t partition) const {
  std::vector<std::string> labels{context_.deployment.label};
  for (const auto& peer : context_.deployment.peers) {
    labels.push_back(peer.label);
  }
  std::sort(labels.begin(), labels.end());
  const std::string& first = labels[partition % labels.size()];
  if (alive_since_.contains(first)) return first;
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

Duration Ownership::TakeOverDelay(
    uint32_t partition,
    const StateCache::Versioned<PartitionRecord>* current) const {
  const std::string& me = context_.deployment.label;
  // An earlier incarnation of this process is certainly dead: only one process
  // can hold this controller's addresses.
  if (current != nullptr && current->value.label == me) return Duration(0);
  if (IdealOwner(partition) == me) return Duration(0);
  // At the very start the others may be up within moments.
  return current == nullptr ? Millis(1500) : Millis(1000);
}

void Ownership::ReconcilePartition(uint32_t partition) {
  const StateCache::Versioned<PartitionRecord>* current =
      context_.state_cache.FindPartition(partition);
  const std::string& me = context_.deployment.label;
  Vacancy& vacancy = vacancies_[partition];
  SteadyTime now = context_.now();
  bool mine =
      current != nullptr && current->value.incarnation == context_.incarnation;
  if (mine) {
    vacancy.since.reset();
    if (vacancy.my_mod_revision != current->mod_revision) {
      vacancy.my_mod_revision = current->mod_revision;
      vacancy.mine_since = now;
    }
    std::string ideal = IdealOwner(partition);
    auto alive = alive_since_.find(ideal);
    if (ideal != me && alive != alive_since_.end() &&
        now - alive->second >= context_.tuning.handover_after &&
        (current->value.unreachable_owner != ideal ||
         now - vacancy.mine_since >= kUnreachableOwnerDelay)) {
      HandOver(partition, ideal, false);
    }
    return;
  }
  bool my_earlier_incarnation =
      current != nullptr && current->value.label == me;
  bool vacant = current == nullptr || my_earlier_incarnation ||
                !context_.state_cache.NodeAlive(current->value);
  if (!vacant || !registered_at_) {
    vacancy.since.reset();
    return;
  }
  if (!vacancy.since) vacancy.since = now;
  if (vacancy.asking) return;
  SteadyTime from = std::max(*vacancy.since, *registered_at_);
  if (now - from < TakeOverDelay(partition, current)) return;
  TakeOver(partition, current);
}

void Ownership::TakeOver(
    uint32_t partition, const StateCache::Versioned<PartitionRecord>* current) {
  SteadyTime now = context_.now();
  context_.writes.Take(now, 1, -1e9);
  context_.requests.Take(now, 1, -1e9);
  const std::string& me = context_.deployment.label;
  Transaction txn;
  txn.conditions.push_back({keys::Partition(partition),
                            current == nullptr ? 0 : current->mod_revision});
  if (current != nullptr && current->value.label != me) {
    txn.conditions.push_back(
        {keys::Node(current->value.label, current->value.incarnation), 0});
  }
  txn.writes.push_back(
      {keys::Partition(partition), PartitionRecord{me, context_.incarnation}});
  vacancies_[partition].asking = true;
  context_.out.Log(LogLevel::kInfo, "event=takeover_asked partition={} from={}",
                   partition,
                   current == nullptr ? "nobody" : current->value.label);
  context_.out.CallState(
      std::move(txn), context_.tuning.state_timeout,
      [this, partition](const StateReply&) {
        // Whatever the answer, or without one: the next
        // reading shows who owns the partition now.
        context_.state_watcher.AfterNextRead(
            [this, partition](bool) { vacancies_[partition].asking = false; });
      });
}

void Ownership::HandOver(uint32_t partition, const std::string& label,
                         bool unreachable) {
  const StateCache::Versioned<PartitionRecord>* current =
      context_.state_cache.FindPartition(partition);
  const StateCache::Versioned<NodeRecord>* node = FindNode(label);
  Vacancy& vacancy = vacancies_[partition];
  if (current == nullptr || current->value.incarnation != context_.incarnation)
    return;
  if (node == nullptr || vacancy.asking) return;
  SteadyTime now = context_.now();
  if (!context_.writes.Take(now, 1) || !context_.requests.Take(now, 1)) return;
  Transaction txn;
  txn.conditions.push_back({keys::Partition(partition), current->mod_revision});
  txn.conditions.push_back(
      {keys::Node(label, node->value.incarnation), node->mod_revision});
  txn.writes.push_back(
      {keys::Partition(partition),
       PartitionRecord{label, node->value.incarnation,
                       unreachable ? context_.deployment.label : ""}});
  vacancy.asking = true;
  context_.out.Log(LogLevel::kInfo,
                   "event=handover partition={} to={} reason={}", partition,
                   label, unreachable ? "unreachable" : "balance");
  context_.out.CallState(
      std::move(txn), context_.tuning.state_timeout,
      [this, partition](const StateReply&) {
        context_.state_watcher.AfterNextRead(
            [this, partition](bool) { vacancies_[partition].asking = false; });
      });
}

std::optional<uint64_t> Ownership::FencingTokenOf(uint32_t partition) const {
  const StateCache::Versioned<PartitionRecord>* current =
      context_.state_cache.FindPartition(partition);
  if (current == nullptr || current->value.incarnation != context_.incarnation)
    return {};
  return current->mod_revision;
}

std::string Ownership::OwnerOf(uint32_t partition) const {
  const StateCache::Versioned<PartitionRecord>* current =
      context_.state_cache.FindPartition(partition);
  if (current == nullptr || !context_.state_cache.NodeAlive(current->value)) {
    return "";
  }
  return current->value.label;
}

}  // namespace pitchfall
