#include "core/membership/node_registration.h"

#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {
namespace {

// A lease is renewed when this fraction of its time to live has passed, and
// each renewal times out after as long: several attempts may fail before the
// lease expires.
constexpr int kRenewalsPerTtl = 4;
// Retry delays: long enough not to flood a state service that refuses calls,
// short enough for several attempts within the shortest lease.
constexpr Duration kGrantRetryDelay = Millis(200);
constexpr Duration kRenewRetryDelay = Millis(150);
constexpr Duration kRegisterRetryDelay = Millis(200);

}  // namespace

void NodeRegistration::KeepLease() {
  SteadyTime now = context_.now();
  if (lease_call_in_flight_ || now < next_lease_call_) return;
  // Taken on credit: if a renewal waited for the budget, the controller's own
  // other calls could make it lose its lease, and with it its partitions.
  context_.state_request_bucket.TakeOnCredit(now, 1);
  lease_call_in_flight_ = true;
  if (lease_) {
    RenewLease(*lease_);
  } else {
    GrantLease();
  }
}

void NodeRegistration::GrantLease() {
  Duration ttl = context_.tuning.node_lease;
  context_.outbox.CallState(
      Grant{ttl}, context_.tuning.state_timeout,
      [this, ttl](const StateReply& reply) {
        lease_call_in_flight_ = false;
        bool granted = reply.status == http_status::kOk && reply.lease != 0;
        if (granted) lease_ = reply.lease;
        next_lease_call_ = context_.now() +
                           (granted ? ttl / kRenewalsPerTtl : kGrantRetryDelay);
      });
}

void NodeRegistration::RenewLease(uint64_t lease) {
  Duration interval = context_.tuning.node_lease / kRenewalsPerTtl;
  context_.outbox.CallState(
      Renew{lease}, interval, [this, interval](const StateReply& reply) {
        lease_call_in_flight_ = false;
        if (reply.status == http_status::kNotFound) lease_.reset();
        bool renewed = reply.status == http_status::kOk;
        next_lease_call_ =
            context_.now() + (renewed ? interval : kRenewRetryDelay);
      });
}

void NodeRegistration::Register() {
  const auto& nodes = context_.state_cache.nodes();
  if (nodes.contains(context_.deployment.label + "." + context_.incarnation)) {
    if (!registered_at_) registered_at_ = context_.now();
    return;
  }
  registered_at_.reset();
  if (!lease_ || write_in_flight_ || context_.now() < next_write_) return;
  WriteNodeKey(*lease_);
}

void NodeRegistration::WriteNodeKey(uint64_t lease) {
  SteadyTime now = context_.now();
  context_.state_write_bucket.TakeOnCredit(now, 1);
  context_.state_request_bucket.TakeOnCredit(now, 1);
  write_in_flight_ = true;
  const std::string& label = context_.deployment.label;
  std::string key = keys::Node(label, context_.incarnation);
  Transaction txn;
  txn.conditions.push_back({key, 0});
  txn.writes.push_back(
      {key, NodeRecord{label, context_.incarnation, kCurrentVersion}, lease});
  context_.outbox.CallState(std::move(txn), context_.tuning.state_timeout,
                            [this](const StateReply& reply) {
                              write_in_flight_ = false;
                              next_write_ =
                                  context_.now() + kRegisterRetryDelay;
                              if (reply.no_lease) lease_.reset();
                              context_.state_watcher.RequestRead();
                            });
}

}  // namespace pitchfall
