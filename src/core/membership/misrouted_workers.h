// Workers that sent their heartbeat to this controller because they could not
// reach the owner of their partition.
#ifndef PITCHFALL_CORE_MEMBERSHIP_MISROUTED_WORKERS_H_
#define PITCHFALL_CORE_MEMBERSHIP_MISROUTED_WORKERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/membership/ownership.h"
#include "core/membership/peers.h"
#include "core/model/messages.h"
#include "core/state/context.h"

namespace pitchfall {

// Sends such workers on and counts them. The counts go to the other controllers
// in heartbeats; an owner that hears none of its workers hands the partition to
// a controller that does.
class MisroutedWorkers {
 public:
  MisroutedWorkers(Context& context, Ownership& ownership, const Peers& peers)
      : context_(context), ownership_(ownership), peers_(peers) {}

  // Answers the heartbeat of a worker whose partition this controller does not
  // own: with a redirect to the owner, or to any controller (an empty label) if
  // many workers have lost the owner, or with 503 if no owner is known.
  void AnswerHeartbeat(RequestId request, const WorkerHeartbeat& heartbeat,
                       uint32_t partition);

  // The worker's partition is owned here now.
  void Forget(const std::string& machine) { workers_.erase(machine); }

  // How many workers of each partition cannot reach its owner. Drops those that
  // have not come lately.
  std::vector<uint32_t> CountByPartition();

  // Hands a partition of this controller over if none of its workers has been
  // heard since `last_heard`, which is longer ago than they may take, and
  // another controller hears some.
  void HandOverIfUnreachable(uint32_t partition, SteadyTime last_heard);

 private:
  struct Worker {
    uint32_t partition = 0;
    SteadyTime first_seen{};
    SteadyTime last_seen{};
    // It has seen the present owner's fencing token, so it has been with it,
    // and would still be there if it could.
    bool lost_owner = false;
  };

  const Worker& Record(const WorkerHeartbeat& heartbeat, uint32_t partition);
  bool CannotReachOwner(const Worker& worker) const;
  uint32_t Count(uint32_t partition) const;

  Context& context_;
  Ownership& ownership_;
  const Peers& peers_;
  std::map<std::string, Worker> workers_;  // by machine
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_MISROUTED_WORKERS_H_
