// Keeps this controller's node key in the state service, under a lease that the
// controller renews. The key tells the others that this incarnation is alive:
// when the lease expires, the key is deleted and they take over its partitions.
#ifndef PITCHFALL_CORE_MEMBERSHIP_NODE_REGISTRATION_H_
#define PITCHFALL_CORE_MEMBERSHIP_NODE_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/state/context.h"

namespace pitchfall {

// Calls to the state service refer to this object until they are answered: it
// must live as long as the outbox.
class NodeRegistration {
 public:
  explicit NodeRegistration(Context& context) : context_(context) {}

  // Requests the lease if there is none and renews it when a quarter of its
  // time to live has passed. At most one of these calls is under way; one that
  // fails is repeated after a short delay. To be called also while the state
  // cannot be read.
  void KeepLease();

  // Writes the node key unless the state cache shows it. Precondition: the
  // state cache is fresh. A failed write is repeated after a short delay.
  void Register();

  // When the state cache first showed the node key; none while it does not.
  std::optional<SteadyTime> registered_at() const { return registered_at_; }

 private:
  void GrantLease();
  void RenewLease(uint64_t lease);
  void WriteNodeKey(uint64_t lease);

  Context& context_;
  std::optional<uint64_t> lease_;
  bool lease_call_in_flight_ = false;
  SteadyTime next_lease_call_{};
  bool write_in_flight_ = false;
  SteadyTime next_write_{};
  std::optional<SteadyTime> registered_at_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_NODE_REGISTRATION_H_
