#include "core/autoscaler/instance_requests.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {
namespace {

// For this long after the cloud rejected a request for an offer, or created too
// few instances of it, the offer is not requested again.
constexpr Duration kRefusedInterval = Millis(12000);
constexpr Duration kSendInterval = Millis(1500);
// The cloud's list shows a new instance after its maximum lag. An instance that
// is still not listed after twice that lag plus this margin, counted from the
// request, is considered gone.
constexpr Duration kUnlistedMargin = Millis(10000);
constexpr uint32_t kMaxInstancesPerRequest = 50;
// Upper estimates of the size of the stored record as JSON: without the names
// of instances, and for each name. Names given by clouds are unlikely to be
// longer.
constexpr size_t kRecordBytes = 300;
constexpr size_t kInstanceNameBytes = 32;

// Whether the reply is a permanent rejection: the cloud will create nothing for
// this request, however often it is sent.
bool IsRejected(const CloudReply& reply) {
  return reply.no_capacity || reply.status == http_status::kBadRequest ||
         (reply.status == http_status::kOk && reply.created.empty());
}

}  // namespace

InstanceRequests::InstanceRequests(
    Outbox& outbox, const Deployment& deployment, const Tuning& tuning,
    const StateCache& state_cache, const StateLimits& state_limits,
    TokenBucket& cloud, LeaderStateWriter& state_writer,
    InstanceInventory& inventory, uint64_t fencing_token)
    : outbox_(outbox),
      deployment_(deployment),
      tuning_(tuning),
      state_cache_(state_cache),
      state_limits_(state_limits),
      cloud_(cloud),
      state_writer_(state_writer),
      inventory_(inventory),
      fencing_token_(fencing_token) {}

// Several requests go into one transaction. With only one request per decision,
// a large fleet would wait for its last instances to be requested for longer
// than they take to boot.
void InstanceRequests::Create(OfferCounts wanted, ScalingReason reason,
                              const SizingDecision& decision) {
  Transaction transaction;
  // Half of the operations that the state service accepts in one transaction.
  const size_t max_requests =
      std::max<size_t>(1, state_limits_.Operations() / 2);
  while (!wanted.empty() && transaction.writes.size() < max_requests) {
    AddToTransaction(TakeLargest(wanted), reason, decision, transaction);
  }
  state_writer_.Write(std::move(transaction), [](const StateReply&) {});
}

// Removes instances of the offer with the highest remaining count from `wanted`
// and returns a request for them. Taking the highest count first keeps one
// offer from delaying the others. `wanted` must not be empty.
InstanceRequestRecord InstanceRequests::TakeLargest(OfferCounts& wanted) const {
  auto largest = std::ranges::max_element(
      wanted, {}, [](const auto& entry) { return entry.second; });
  InstanceRequestRecord record;
  record.type = largest->first.type;
  record.zone = largest->first.zone;
  record.spot = largest->first.spot;
  record.count = std::min(MaxInstancesPerRequest(),
                          static_cast<uint32_t>(largest->second));
  record.asked = outbox_.now().wall;
  largest->second -= static_cast<int>(record.count);
  if (largest->second <= 0) wanted.erase(largest);
  return record;
}

void InstanceRequests::AddToTransaction(InstanceRequestRecord record,
                                        ScalingReason reason,
                                        const SizingDecision& decision,
                                        Transaction& transaction) {
  const std::string name =
      fmt::format("r-{}-{}", fencing_token_, ++created_count_);
  outbox_.Log(LogLevel::kInfo,
              "event=scale_out name={} type={} zone={} spot={} count={} "
              "target={} have={} reason={}",
              name, record.type, record.zone, record.spot, record.count,
              decision.target, decision.count, ToString(reason));
  transaction.conditions.push_back({keys::InstanceRequest(name), 0});
  transaction.writes.push_back(
      {keys::InstanceRequest(name), std::move(record), 0});
}

// Returns the largest number of instances whose names fit into the stored
// record, at least 1.
uint32_t InstanceRequests::MaxInstancesPerRequest() const {
  const size_t bytes = state_limits_.UsableValueBytes();
  const size_t names =
      (bytes - std::min(bytes, kRecordBytes)) / kInstanceNameBytes;
  return std::clamp(static_cast<uint32_t>(names), 1U, kMaxInstancesPerRequest);
}

std::vector<PendingInstances> InstanceRequests::Pending() const {
  std::vector<PendingInstances> pending;
  for (const auto& [name, stored] : state_cache_.instance_requests()) {
    const InstanceRequestRecord& record = stored.value;
    if (!record.machines.empty()) continue;
    pending.push_back({OfferOf(record), static_cast<int>(record.count)});
  }
  return pending;
}

bool InstanceRequests::RecentlyRefused(const Offer& offer) const {
  auto refused = refused_until_.find(offer);
  return refused != refused_until_.end() &&
         outbox_.now().steady < refused->second;
}

void InstanceRequests::Reconcile() {
  std::erase_if(next_send_, [this](const auto& entry) {
    return !state_cache_.instance_requests().contains(entry.first);
  });
  for (const auto& [name, stored] : state_cache_.instance_requests()) {
    const InstanceRequestRecord& record = stored.value;
    if (record.machines.empty()) {
      if (!MaySend(name)) continue;
      if (!cloud_.Take(outbox_.now().steady, 1)) return;
      Send(name, record);
      continue;
    }
    const bool all_listed = AllListed(record);
    if (all_listed && !state_writer_.write_pending() &&
        deleting_.insert(name).second) {
      StoreDeletion(name, stored.mod_revision);
    }
  }
}

bool InstanceRequests::MaySend(const std::string& name) const {
  if (sending_.contains(name)) return false;
  auto next = next_send_.find(name);
  return next == next_send_.end() || outbox_.now().steady >= next->second;
}

void InstanceRequests::Send(const std::string& name,
                            const InstanceRequestRecord& record) {
  sending_.insert(name);
  CreateInstances call{name, record.type, record.zone, record.spot,
                       record.count};
  outbox_.CallCloud(std::move(call), tuning_.cloud_timeout,
                    guard_.Wrap([this, name, record](const CloudReply& reply) {
                      OnAnswer(name, record, reply);
                    }));
}

void InstanceRequests::OnAnswer(const std::string& name,
                                const InstanceRequestRecord& record,
                                const CloudReply& reply) {
  const SteadyTime now = outbox_.now().steady;
  sending_.erase(name);
  next_send_[name] = now + kSendInterval;
  auto stored = state_cache_.instance_requests().find(name);
  if (stored == state_cache_.instance_requests().end()) return;
  outbox_.Log(LogLevel::kInfo,
              "event=instance_request name={} status={} no_capacity={} got={}",
              name, reply.status, reply.no_capacity, reply.created.size());
  if (reply.status == http_status::kTooManyRequests) cloud_.Drain(now);
  const bool rejected = IsRejected(reply);
  if (!rejected && reply.status != http_status::kOk)
    return;  // Reconcile() sends the request again.
  if (rejected || reply.created.size() < record.count) {
    refused_until_[OfferOf(record)] = now + kRefusedInterval;
  }
  StoreAnswer(name, record, stored->second.mod_revision, reply);
}

// Deletes a rejected request. Otherwise stores the names of the created
// instances in the request and adds the instances to the inventory.
void InstanceRequests::StoreAnswer(const std::string& name,
                                   InstanceRequestRecord record,
                                   uint64_t mod_revision,
                                   const CloudReply& reply) {
  Transaction transaction;
  transaction.conditions.push_back({keys::InstanceRequest(name), mod_revision});
  Write write{keys::InstanceRequest(name), {}, 0};
  if (!IsRejected(reply)) {
    const Offer offer = OfferOf(record);
    for (const std::string& machine : reply.created) {
      inventory_.AddCreated(machine, offer, outbox_.now().steady);
    }
    record.machines = reply.created;
    write.value = std::move(record);
  }
  transaction.writes.push_back(std::move(write));
  state_writer_.Write(std::move(transaction), [](const StateReply&) {});
}

void InstanceRequests::StoreDeletion(const std::string& name,
                                     uint64_t mod_revision) {
  Transaction transaction;
  transaction.conditions.push_back({keys::InstanceRequest(name), mod_revision});
  transaction.writes.push_back({keys::InstanceRequest(name), {}, 0});
  state_writer_.Write(std::move(transaction), [this, name](const StateReply&) {
    deleting_.erase(name);
  });
}

// Whether each instance of an answered request has been listed or is considered
// gone. Adds instances that the inventory does not have and that may still be
// listed: this is how a new leader learns of the instances that an earlier
// leader requested.
bool InstanceRequests::AllListed(const InstanceRequestRecord& record) {
  const Duration age = outbox_.now().wall - record.asked;
  const bool may_be_unlisted = age < 2 * deployment_.list_lag + kUnlistedMargin;
  const SteadyTime created = outbox_.now().steady - std::max(age, Duration(0));
  bool all_listed = true;
  for (const std::string& machine : record.machines) {
    const Instance* instance = inventory_.Find(machine);
    if (instance != nullptr) {
      if (!instance->last_listed) all_listed = false;
    } else if (may_be_unlisted) {
      inventory_.AddCreated(machine, OfferOf(record), created);
      all_listed = false;
    }
  }
  return all_listed;
}

}  // namespace pitchfall
