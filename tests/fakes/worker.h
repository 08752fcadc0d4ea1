// A fake of the agent on a worker machine, written from the protocol: its
// tasks, its lease and the highest fencing token that it has seen.
#ifndef PITCHFALL_TESTS_FAKES_WORKER_H_
#define PITCHFALL_TESTS_FAKES_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/base/time.h"
#include "fakes/state_service.h"

namespace pitchfall::fakes {

// How a task behaves on the worker, known from the description of its job.
struct TaskInfo {
  double cpus = 1;
  double memory_gb = 1;
  std::string image;
  Duration fetch{0};     // time to fetch the image if the machine lacks it
  Duration run{0};       // time from start to completion
  Duration save{0};      // time to write a checkpoint when stopped
  bool saves = false;    // writes checkpoints
  bool endless = false;  // a replica of a service
  bool broken = false;   // the job is faulty: its tasks fail on any machine
};

class Worker {
 public:
  struct Config {
    std::string name;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    double cpus = 8;
    double memory_gb = 32;
    // Without an accepted answer for so long the worker ends all its tasks.
    Duration lease{Millis(6000)};
    bool faulty = false;  // every task fails on it
    // An injected fault, to show that the checks detect it: no task is stopped.
    bool ignores_stops = false;
  };
  // Describes the named task; none if there is no such task.
  using Lookup = std::function<std::optional<TaskInfo>(const std::string&)>;
  enum class TaskEvent {
    kLaunched,   // its start command was accepted
    kRunning,    // it begins to occupy the machine
    kEnded,      // it no longer occupies the machine
    kCompleted,  // it has completed
    kLost        // the lease has ended while it ran; kEnded follows
  };
  using Observer = std::function<void(const std::string& task, TaskEvent)>;

  Worker(Config config, Lookup lookup, Observer observer, SteadyTime now);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Carries out what is due by `now`. Returns true if a change calls for a
  // heartbeat.
  bool Advance(SteadyTime now);
  // Returns the next heartbeat's body; each has a higher sequence number.
  std::string MakeHeartbeat(SteadyTime now);
  // Processes the answer to the heartbeat that was made at `sent` in
  // `agent_epoch`, and extends the lease from then. Returns false if the answer
  // is dropped: the worker hangs, its epoch has changed, or the fencing token
  // is missing, unreadable or lower than one seen before.
  bool HandleAnswer(const std::string& body, SteadyTime sent,
                    uint64_t agent_epoch, SteadyTime now);
  // Answers a direct request of a controller.
  HttpReply Handle(std::string_view method, const std::string& path,
                   const std::string& body, SteadyTime now);

  // Completes all running replicas of services, as if they had ended by
  // themselves.
  void EndReplicas();

  uint64_t agent_epoch() const { return agent_epoch_; }
  uint64_t fencing_token() const { return fencing_token_; }
  const Config& config() const { return config_; }
  // Time left until the cloud takes the machine back, reported in heartbeats;
  // none without a notice.
  std::optional<Duration> preemption_notice;
  // While true, the machine makes no progress and drops all answers.
  bool hanging = false;

 private:
  struct Task {
    std::string state;  // as in the protocol
    std::string cause;  // why it has exited; empty before
    TaskInfo info;
    SteadyTime next{};   // when its state changes without a command
    bool saved = false;  // a checkpoint was written when it was stopped
  };
  using Key = std::pair<std::string, uint64_t>;  // task, attempt

  void Execute(const std::string& body_commands, SteadyTime now);
  void Start(const Key& key, SteadyTime now);
  void Stop(const Key& key, Duration grace, SteadyTime now);
  void Exit(Task& task, const Key& key, const std::string& cause);
  // Ends all tasks and begins a new agent epoch with a full lease.
  void EndAgentEpoch(SteadyTime now);

  Config config_;
  Lookup lookup_;
  Observer observer_;
  std::map<Key, Task> tasks_;
  std::map<std::string, bool> finished_;  // tasks that have completed here
  std::map<std::string, bool> images_;    // fetched
  uint64_t agent_epoch_ = 1;
  uint64_t seq_ = 0;
  uint64_t fencing_token_ = 0;
  SteadyTime lease_from_{};  // the lease counts from here
  bool changed_ = true;      // since the last Advance
};

}  // namespace pitchfall::fakes

#endif  // PITCHFALL_TESTS_FAKES_WORKER_H_
