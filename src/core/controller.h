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
#include "core/membership/ownership.h"
#include "core/partition/partition.h"
#include "core/state/context.h"

namespace pitchfall {

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
  struct Peer {
    PeerHeartbeat heartbeat;
    SteadyTime heard{};
  };

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

  void FollowOwnership();
  void StepPartitions();
  void CompareWithStored();
  void ShareBudgets();
  void ExchangeHeartbeats();
  // What lets the others go on answering their workers, and stop what has been
  // cancelled, without the state service.
  void AddCancellationEchoes(PeerHeartbeat& heartbeat) const;
  void HandOverUnreachablePartitions();
  // Workers that came here lately because they could not reach the partition's
  // owner.
  uint32_t MisroutedWorkersOf(uint32_t partition) const;
  bool Healthy() const;
  static void SendElsewhere(std::vector<Effect>& effects);

  const Deployment deployment_;
  const Tuning tuning_;
  Outbox out_;
  StateCache state_cache_;
  const Deployment::StateServiceLimits state_rates_;
  TokenBucket requests_;
  TokenBucket writes_;
  TokenBucket cloud_;
  StateWatcher state_watcher_;
  Context context_;
  Ownership ownership_;
  JobRequests job_requests_;
  std::map<uint32_t, std::unique_ptr<Partition>> partitions_;
  std::optional<Autoscaler> autoscaler_;
  std::map<std::string, Peer> peers_;
  // Workers that came here and were sent on.
  struct MisroutedWorker {
    uint32_t partition = 0;
    SteadyTime first{};
    SteadyTime last{};
    // It has seen the present owner's fencing token, so it has been with it,
    // and would still be there if it could.
    bool lost_owner = false;
  };
  std::map<std::string, MisroutedWorker> misrouted_workers_;
  SteadyTime next_heartbeat_{};
  SteadyTime last_heartbeat_{};
  uint64_t announced_cancellations_ = 0;  // of the cancellations stored here
  double request_use_ = 0;
  double requests_taken_ = 0;
  double write_use_ = 0;
  double writes_taken_ = 0;
  SteadyTime started_{};
  bool compared_ = false;  // the settings with what is stored
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_CONTROLLER_H_
