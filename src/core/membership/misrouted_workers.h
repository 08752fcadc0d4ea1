// Tracks workers that sent their heartbeat to this controller because they
// could not reach the owner of their partition.
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

// Redirects such workers and counts them. The counts go to the other
// controllers in heartbeats; an owner that hears from none of its workers hands
// the partition over to a controller that does.
class MisroutedWorkers {
 public:
  MisroutedWorkers(Context& context, Ownership& ownership, const Peers& peers)
      : context_(context), ownership_(ownership), peers_(peers) {}

  // Answers the heartbeat of a worker whose partition this controller does not
  // own: with a redirect to the owner, with a redirect to any controller (an
  // empty label) if the worker has lost the owner and at least three workers of
  // the partition cannot reach it, or with 503 if no owner is known.
  void AnswerHeartbeat(RequestId request, const WorkerHeartbeat& heartbeat,
                       uint32_t partition);

  // Stops tracking the worker because this controller owns its partition now.
  void Forget(const std::string& machine) { workers_.erase(machine); }

  // Returns how many workers of each partition cannot reach its owner, indexed
  // by partition. Drops workers that have not sent a heartbeat recently.
  std::vector<uint32_t> CountByPartition();

  // Hands a partition of this controller over if no heartbeat of its workers
  // has arrived since `last_heard`, that is more than one and a half heartbeat
  // intervals ago, and another controller receives heartbeats of them.
  void HandOverIfUnreachable(uint32_t partition, SteadyTime last_heard);

 private:
  struct Worker {
    uint32_t partition = 0;
    SteadyTime first_seen{};
    SteadyTime last_seen{};
    // The worker has shown the present owner's fencing token: it has been in
    // contact with the owner and has lost it.
    bool lost_owner = false;
  };

  // Notes the heartbeat and returns the worker's entry.
  const Worker& Record(const WorkerHeartbeat& heartbeat, uint32_t partition);
  bool CannotReachOwner(const Worker& worker) const;
  // How many workers of the partition cannot reach its owner.
  uint32_t Count(uint32_t partition) const;

  Context& context_;
  Ownership& ownership_;
  const Peers& peers_;
  std::map<std::string, Worker> workers_;  // by machine name
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_MISROUTED_WORKERS_H_
