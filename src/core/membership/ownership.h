// Ownership of partitions: takes over partitions whose owner has ended, and
// hands partitions over to the controller that should own them.
//
// The owner of a partition is read from the state cache alone. The modification
// revision of a partition's key is its fencing token: it rises with every
// change of owner, and every write of an owner is conditional on it.
#ifndef PITCHFALL_CORE_MEMBERSHIP_OWNERSHIP_H_
#define PITCHFALL_CORE_MEMBERSHIP_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/membership/node_registration.h"
#include "core/state/context.h"

namespace pitchfall {

// Why an owner hands a partition over to another live controller.
enum class HandoverReason : uint8_t {
  kBalance,      // the other controller is the preferred owner
  kUnreachable,  // its workers reach the other and not the owner
};

// Handlers of calls to the state service refer to this object, so it must live
// as long as the outbox.
class Ownership {
 public:
  explicit Ownership(Context& context)
      : context_(context), registration_(context) {}

  // Keeps this controller registered. While the state cache is fresh, also
  // takes over vacant partitions and hands over those that another controller
  // should own.
  void RunDueWork();

  // Returns the partition's fencing token if this process owns it.
  std::optional<uint64_t> FencingTokenOf(uint32_t partition) const;

  // Returns the label of the live owner, or an empty string if none is known.
  std::string OwnerOf(uint32_t partition) const;

  // Requests that the state service make the controller `label` the owner. Does
  // nothing if this process does not own the partition, no such controller is
  // alive, a change of this partition's owner is in flight, or the budgets are
  // exhausted; the caller tries again later.
  void HandOver(uint32_t partition, const std::string& label,
                HandoverReason reason);

 private:
  using StoredPartition = StateCache::Versioned<PartitionRecord>;
  using StoredNode = StateCache::Versioned<NodeRecord>;

  // What this controller tracks of a partition from one call to the next.
  struct PartitionStatus {
    // Empty while the partition has an owner or this controller is not
    // registered.
    std::optional<SteadyTime> vacant_since;
    // A change of owner has been sent and its outcome has not been read yet.
    bool change_in_flight = false;
    // The fencing token of this process's latest ownership, 0 if there was
    // none, and when the state cache first showed it.
    uint64_t own_mod_revision = 0;
    SteadyTime owned_since{};
  };

  // Updates since when each controller has been registered.
  void TrackNodes();
  void ReconcilePartition(uint32_t partition);
  // Hands an owned partition over if another controller should own it.
  void RebalanceOwned(uint32_t partition, const StoredPartition& current);
  // Takes the partition over if it has been vacant for long enough.
  void TakeOverIfVacant(uint32_t partition, const StoredPartition* current);
  // Requests the ownership of a vacant partition; `current` is its stored
  // record, null if it never had an owner.
  void TakeOver(uint32_t partition, const StoredPartition* current);
  // Sends the change of owner. The next read of the state shows its outcome.
  void StoreOwner(uint32_t partition, Transaction txn);

  // In these functions null means that the partition never had an owner.
  bool IsOwn(const StoredPartition* current) const;
  bool IsVacant(const StoredPartition* current) const;
  // How long the partition must have been vacant before this controller takes
  // it over.
  Duration TakeOverDelay(uint32_t partition,
                         const StoredPartition* current) const;
  // The controller that should own the partition: the one it is assigned to by
  // number or, while that one is down, the one that rendezvous hashing selects,
  // on which all controllers agree. Empty if no controller is registered.
  std::string PreferredOwner(uint32_t partition) const;
  // The live controller that rendezvous hashing selects for the partition;
  // empty if none is registered.
  std::string HighestHashedController(uint32_t partition) const;
  // The newest live incarnation of the controller; null if there is none.
  const StoredNode* FindNode(const std::string& label) const;

  Context& context_;
  NodeRegistration registration_;
  std::map<std::string, SteadyTime> alive_since_;  // by controller label
  std::map<uint32_t, PartitionStatus> partitions_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_OWNERSHIP_H_
