// Ownership of partitions: taking over those whose owner has gone, handing
// them back to the controller that should own them.
//
// Who owns a partition is read from the state cache alone. The modification
// revision of a partition's key is its fencing token: it rises with every
// change of owner, and every write of an owner depends on it.
#ifndef PITCHFALL_CORE_MEMBERSHIP_OWNERSHIP_H_
#define PITCHFALL_CORE_MEMBERSHIP_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/membership/node_registration.h"
#include "core/state/context.h"

namespace pitchfall {

// Why an owner gives a partition to another live controller.
enum class HandoverReason : uint8_t {
  kBalance,      // the other is the one that should own it
  kUnreachable,  // its workers reach the other and not this one
};

// Calls to the state service refer to this object until they are answered: it
// must live as long as the outbox.
class Ownership {
 public:
  explicit Ownership(Context& context)
      : context_(context), registration_(context) {}

  // Keeps this controller registered and, while the state cache is fresh, takes
  // over vacant partitions and hands misplaced ones over.
  void Step();

  // The partition's fencing token if this process owns it.
  std::optional<uint64_t> FencingTokenOf(uint32_t partition) const;

  // The label of the live owner; empty if none is known.
  std::string OwnerOf(uint32_t partition) const;

  // Asks the state service to make the controller `label` the owner. Does
  // nothing if this process does not own the partition, if no such controller
  // is alive, if a change of this partition is under way or if the budgets are
  // used up; the caller tries again later.
  void HandOver(uint32_t partition, const std::string& label,
                HandoverReason reason);

 private:
  using StoredPartition = StateCache::Versioned<PartitionRecord>;
  using StoredNode = StateCache::Versioned<NodeRecord>;

  // What this controller remembers of a partition between steps.
  struct PartitionStatus {
    std::optional<SteadyTime> vacant_since;
    // A change of owner has been sent and its outcome not been read yet.
    bool change_in_flight = false;
    // This process's newest ownership, and when it was first seen.
    uint64_t own_mod_revision = 0;
    SteadyTime owned_since{};
  };

  void TrackNodes();
  void ReconcilePartition(uint32_t partition);
  // Hands the partition over if another controller should own it.
  void RebalanceOwned(uint32_t partition, const StoredPartition& current);
  // Takes the partition over if it has been vacant for long enough.
  void TakeOverIfVacant(uint32_t partition, const StoredPartition* current);
  void TakeOver(uint32_t partition, const StoredPartition* current);
  // Sends the change of owner; its outcome is read from the state afterwards.
  void StoreOwner(uint32_t partition, Transaction txn);

  bool IsOwn(const StoredPartition* current) const;
  bool IsVacant(const StoredPartition* current) const;
  Duration TakeOverDelay(uint32_t partition,
                         const StoredPartition* current) const;
  // The controller that should own the partition: the one it is assigned to by
  // number or, while that one is down, one that all others agree on. Empty if
  // no controller is registered.
  std::string PreferredOwner(uint32_t partition) const;
  // The live controller that rendezvous hashing gives the partition to.
  std::string HighestHashedController(uint32_t partition) const;
  // The newest live incarnation of the controller; null if there is none.
  const StoredNode* FindNode(const std::string& label) const;

  Context& context_;
  NodeRegistration registration_;
  std::map<std::string, SteadyTime> alive_since_;  // by label
  std::map<uint32_t, PartitionStatus> partitions_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_OWNERSHIP_H_
