// Membership and the ownership of partitions: this controller's leased key,
// taking over partitions whose owner has gone, handing partitions back to the
// controller whose turn it is.
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
#include <vector>

#include "core/state/context.h"

namespace pitchfall {

class Ownership {
 public:
  explicit Ownership(Context& context) : context_(context) {}

  void Step();

  // The partition's fencing token if this process owns it.
  std::optional<uint64_t> FencingTokenOf(uint32_t partition) const;
  // The label of the live owner; empty if none is known.
  std::string OwnerOf(uint32_t partition) const;
  // Gives a partition to another controller, for instance to one that its
  // workers can still reach.
  void HandOver(uint32_t partition, const std::string& label, bool unreachable);

 private:
  struct Vacancy {
    std::optional<SteadyTime> since;
    bool asking = false;
    uint64_t my_mod_revision = 0;
    SteadyTime mine_since{};
  };

  void KeepLease();
  void Register();
  void TrackNodes();
  void ReconcilePartition(uint32_t partition);
  void TakeOver(uint32_t partition,
                const StateCache::Versioned<PartitionRecord>* current);
  Duration TakeOverDelay(
      uint32_t partition,
      const StateCache::Versioned<PartitionRecord>* current) const;
  // The controller that should own the partition if all live ones are well.
  std::string IdealOwner(uint32_t partition) const;
  const StateCache::Versioned<NodeRecord>* FindNode(
      const std::string& label) const;
  std::string MyKey() const {
    return keys::Node(context_.deployment.label, context_.incarnation);
  }

  Context& context_;
  uint64_t lease_ = 0;
  bool asking_lease_ = false;
  bool registering_ = false;
  SteadyTime next_lease_call_{};
  SteadyTime next_register_{};
  std::optional<SteadyTime> registered_at_;
  std::map<std::string, SteadyTime> alive_since_;  // by label
  std::map<uint32_t, Vacancy> vacancies_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_OWNERSHIP_H_
