// The whole controller without its sockets: commands in, effects out.
#ifndef PITCHFALL_CORE_CONTROLLER_H_
#define PITCHFALL_CORE_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/autoscaler/autoscaler.h"
#include "core/jobs/job_requests.h"
#include "core/membership/misrouted_workers.h"
#include "core/membership/ownership.h"
#include "core/membership/peers.h"
#include "core/membership/shared_rate_limits.h"
#include "core/partition/partition.h"
#include "core/state/context.h"

namespace pitchfall {

// Hands each command to the component that it is for, then lets every component
// do its next step. Decides nothing itself beyond which partitions run here.
class Controller {
 public:
  // `incarnation` must differ from that of every process that ever ran.
  Controller(Deployment deployment, Tuning tuning,
             const std::string& incarnation);

  // Works through a batch of commands at one moment and returns what is to be
  // done. A Tick should come at least every few tens of milliseconds.
  std::vector<Effect> Handle(Now now, std::span<const Command> commands);

  const StateCache& state_cache() const { return state_cache_; }

 private:
  void On(const SubmitJob& command) {
    job_requests_.Submit(command.request, command.spec);
  }
  void On(const PollJob& command) {
    job_requests_.Poll(command.request, command.job);
  }
  void On(const CancelJob& command) {
    job_requests_.Cancel(command.request, command.job);
  }
  void On(const HealthCheck& command);
  void On(const ReceiveWorkerHeartbeat& command);
  void On(const StateReply& reply) { out_.Handle(reply); }
  void On(const CloudReply& reply) { out_.Handle(reply); }
  void On(const WorkerReply& reply) { out_.Handle(reply); }
  void On(const PeerHeartbeat& heartbeat);
  void On(const Tick&) {}

  // The steps of a batch, in their order.
  void UpdateRateShares();
  void FollowOwnership();
  void StepPartitions();
  void SendHeartbeatIfDue();
  void HandOverUnreachablePartitions();

  // Reports once if the state holds partitions beyond the configured count.
  void CheckStoredPartitionCount();
  // Replaces what runs here of a partition after its owner has changed.
  void SetFencingToken(uint32_t number, std::optional<uint64_t> fencing_token);
  Context MakeContext(const std::string& incarnation);

  const Deployment deployment_;
  const Tuning tuning_;
  Outbox out_;
  StateCache state_cache_;
  SharedRateLimits rate_limits_;
  StateWatcher state_watcher_;
  Context context_;
  Ownership ownership_;
  Peers peers_;
  MisroutedWorkers misrouted_workers_;
  JobRequests job_requests_;
  std::map<uint32_t, std::unique_ptr<Partition>> partitions_;  // owned here
  std::optional<Autoscaler> autoscaler_;  // while this controller leads
  bool partition_count_checked_ = false;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_CONTROLLER_H_
