// Keeps this controller's node key in the state service, under a lease that the
// controller renews. The key tells the other controllers that this incarnation
// is alive: when the lease expires, the key is deleted and they take over its
// partitions.
#ifndef PITCHFALL_CORE_MEMBERSHIP_NODE_REGISTRATION_H_
#define PITCHFALL_CORE_MEMBERSHIP_NODE_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/state/context.h"

namespace pitchfall {

// Handlers of calls to the state service refer to this object, so it must live
// as long as the outbox.
class NodeRegistration {
 public:
  explicit NodeRegistration(Context& context) : context_(context) {}

  // Requests the lease if there is none, and renews it when a quarter of its
  // time to live has passed. At most one of these calls is in flight; a failed
  // one is repeated after a short delay. The caller calls this even while the
  // state cannot be read.
  void KeepLease();

  // Writes the node key unless the state cache shows it or there is no lease.
  // Precondition: the state cache is fresh. A failed write is repeated after a
  // short delay.
  void Register();

  // When the state cache began to show the node key; empty while it does not
  // show it.
  std::optional<SteadyTime> registered_at() const { return registered_at_; }

 private:
  void GrantLease();
  void RenewLease(uint64_t lease);
  void WriteNodeKey(uint64_t lease);

  Context& context_;
  std::optional<uint64_t> lease_;  // empty: none is held
  bool lease_call_in_flight_ = false;
  SteadyTime next_lease_call_{};  // no lease call is sent before
  bool write_in_flight_ = false;
  SteadyTime next_write_{};  // the node key is not written before
  std::optional<SteadyTime> registered_at_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_NODE_REGISTRATION_H_
