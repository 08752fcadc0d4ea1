// The controller without network input and output: it takes commands and
// returns effects.
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
#include "core/membership/stale_fence_remover.h"
#include "core/partition/partition.h"
#include "core/state/context.h"
#include "core/state/open_jobs_snapshot_writer.h"

namespace pitchfall {

// Dispatches each command to the component that handles it, then lets every
// component do the work that is due. Starts and stops the partitions and the
// autoscaler that run in this process, chooses the order in which partitions
// run, and closes refused connections while it is unhealthy. Everything else is
// decided by the components.
class Controller {
 public:
  // `incarnation` identifies this process. It must differ from that of every
  // other process that ever ran.
  Controller(Deployment deployment, Tuning tuning,
             const std::string& incarnation);

  // Handles a batch of commands, all at the time `now`, and returns the effects
  // that the caller must carry out. Work without a command of its own depends
  // on regular calls: a Tick should arrive at least every few tens of
  // milliseconds.
  std::vector<Effect> Handle(Now now, std::span<const Command> commands);

  const StateCache& state_cache() const { return state_cache_; }

 private:
  void HandleCommand(const SubmitJob& command) {
    job_requests_.Submit(command.request, command.spec);
  }
  void HandleCommand(const PollJob& command) {
    job_requests_.Poll(command.request, command.job);
  }
  void HandleCommand(const CancelJob& command) {
    job_requests_.Cancel(command.request, command.job);
  }
  // Answers with 200 if this controller is healthy (see Peers::Healthy), or
  // else with 503 and Retry-After.
  void HandleCommand(const HealthCheck& command);
  void HandleCommand(const ReceiveWorkerHeartbeat& command);
  void HandleCommand(const StateReply& reply);
  void HandleCommand(const CloudReply& reply) { outbox_.Handle(reply); }
  void HandleCommand(const WorkerReply& reply) { outbox_.Handle(reply); }
  void HandleCommand(const PeerHeartbeat& heartbeat);
  // A tick needs no handling of its own: it only triggers the work that follows
  // every batch.
  void HandleCommand(const Tick&) {}

  // The steps that follow the commands of a batch, in the order in which they
  // run.

  // Sets this controller's share of the rate limits by what the others use.
  void UpdateRateShares();
  // Starts and stops partitions as the state cache shows their owners.
  void UpdateOwnedPartitions();
  void RunPartitions();
  void SendHeartbeatIfDue();
  void HandOverUnreachablePartitions();

  // Logs an error if the state holds partitions beyond the configured count.
  // Only the first call checks.
  void CheckStoredPartitionCount();
  // Replaces the Partition object after the partition's owner has changed.
  // `fencing_token` is that of this process's ownership; it is empty if this
  // process is not the owner, and then no object remains. The leader's objects
  // are replaced together with partition 0.
  void UpdatePartition(uint32_t number, std::optional<uint64_t> fencing_token);
  Context MakeContext(const std::string& incarnation);

  const Deployment deployment_;
  const Tuning tuning_;
  Outbox outbox_;
  StateCache state_cache_;
  SharedRateLimits rate_limits_;
  StateWatcher state_watcher_;
  Context context_;
  Ownership ownership_;
  Peers peers_;
  MisroutedWorkers misrouted_workers_;
  JobRequests job_requests_;
  // The partitions that this process owns, by number.
  std::map<uint32_t, std::unique_ptr<Partition>> partitions_;
  // These are empty unless this controller is the leader.
  std::optional<Autoscaler> autoscaler_;
  std::optional<OpenJobsSnapshotWriter> snapshot_writer_;
  std::optional<StaleFenceRemover> fence_remover_;
  bool partition_count_checked_ = false;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_CONTROLLER_H_
