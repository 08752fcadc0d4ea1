// The machines of one partition, by name.
#ifndef PITCHFALL_CORE_PARTITION_MACHINE_REGISTRY_H_
#define PITCHFALL_CORE_PARTITION_MACHINE_REGISTRY_H_

#include <deque>
#include <map>
#include <set>
#include <string>

#include "core/base/time.h"
#include "core/model/free_capacity.h"
#include "core/model/machine.h"

namespace pitchfall {

// Holds every machine that has sent a heartbeat to this owner or to which
// stored records bind tasks. References to a machine stay valid until it is
// erased.
class MachineRegistry {
 public:
  using Machines = std::map<std::string, Machine>;

  // Returns the machine of that name, which is added if it is not known yet.
  Machine& GetOrAdd(const std::string& name) {
    Machine& machine = machines_[name];
    machine.name = name;
    return machine;
  }
  // Returns null if the machine is not known.
  Machine* Find(const std::string& name) {
    auto found = machines_.find(name);
    return found == machines_.end() ? nullptr : &found->second;
  }
  const Machine* Find(const std::string& name) const {
    auto found = machines_.find(name);
    return found == machines_.end() ? nullptr : &found->second;
  }
  // Returns the position after the removed machine.
  Machines::iterator Erase(Machines::iterator position) {
    return machines_.erase(position);
  }

  // Ordered by name.
  Machines& machines() { return machines_; }
  const Machines& machines() const { return machines_; }

  // Records that the cloud has confirmed the machine's deletion, at `now`. This
  // is kept for kDeletionKept: heartbeats can be delayed for minutes.
  void MarkDeleted(const std::string& name, SteadyTime now) {
    while (!deletions_.empty() &&
           now - deletions_.front().confirmed >= kDeletionKept) {
      deleted_.erase(deletions_.front().machine);
      deletions_.pop_front();
    }
    if (deleted_.insert(name).second) deletions_.push_back({name, now});
  }
  // Whether the machine's deletion has been confirmed, and is not forgotten
  // yet.
  bool WasDeleted(const std::string& name) const {
    return deleted_.contains(name);
  }

  // Resets the planned use of every machine, which belongs to the transaction
  // being built.
  void ForgetPlanned() {
    for (auto& [name, machine] : machines_) {
      machine.planned = {};
    }
  }

  // The free processors of the machines that accept tasks at `now`.
  FreeCapacity Free(SteadyTime now) const {
    FreeCapacity free;
    for (const auto& [name, machine] : machines_) {
      if (machine.AcceptsTasks(now)) {
        free.AddMachine(machine.Free().cpus, machine.spot);
      }
    }
    return free;
  }

 private:
  // Longer than any message is delayed.
  static constexpr Duration kDeletionKept = Millis(3'600'000);

  struct Deletion {
    std::string machine;
    SteadyTime confirmed;
  };

  Machines machines_;
  std::set<std::string> deleted_;   // the machines in `deletions_`
  std::deque<Deletion> deletions_;  // the oldest first
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_MACHINE_REGISTRY_H_
