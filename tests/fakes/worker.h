// A fake of a worker, written from the protocol: one machine, its tasks,
// its lease and the highest fencing token it has seen.
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

// What a worker learns of a job's task from its description.
struct TaskInfo {
  double cpus = 1;
  double memory_gb = 1;
  std::string image;
  Duration fetch{0};
  Duration run{0};
  Duration save{0};
  bool saves = false;
  bool endless = false;  // a replica of a standing job
  bool broken = false;   // submitted with a mistake: fails wherever it runs
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
    Duration lease{Millis(6000)};
    bool faulty = false;         // fails every task
    bool ignores_stops = false;  // a fault for tests of the tests
  };
  using Lookup = std::function<std::optional<TaskInfo>(const std::string&)>;
  enum class TaskEvent { kLaunched, kOn, kOff, kDone, kLost };
  // A task has been launched, occupies the machine, does not any more, has
  // completed, or was lost with the lease (before kOff).
  using Observer = std::function<void(const std::string& task, TaskEvent)>;

  Worker(Config config, Lookup lookup, Observer observer, SteadyTime now);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Lets time pass. True if something has changed that wants a heartbeat.
  bool Advance(SteadyTime now);
  std::string MakeHeartbeat(SteadyTime now);
  // The answer to the heartbeat made at `sent`; false if it had to be dropped.
  bool TakeAnswer(const std::string& body, SteadyTime sent,
                  uint64_t agent_epoch, SteadyTime now);
  HttpReply Handle(std::string_view method, const std::string& path,
                   const std::string& body, SteadyTime now);

  // Replicas that run end by themselves.
  void EndReplicas();

  uint64_t agent_epoch() const { return agent_epoch_; }
  uint64_t fencing_token() const { return fencing_token_; }
  const Config& config() const { return config_; }
  std::optional<Duration> preemption_notice;
  bool hanging = false;

 private:
  struct Task {
    std::string state;
    std::string cause;
    TaskInfo info;
    SteadyTime next{};  // when its state changes by itself
    bool saved = false;
  };
  using Key = std::pair<std::string, uint64_t>;  // task, attempt

  void Execute(const std::string& body_commands, SteadyTime now);
  void Start(const Key& key, SteadyTime now);
  void Stop(const Key& key, Duration grace, SteadyTime now);
  void Exit(Task& task, const Key& key, const std::string& cause);
  void EndAgentEpoch(SteadyTime now);

  Config config_;
  Lookup lookup_;
  Observer observer_;
  std::map<Key, Task> tasks_;
  std::map<std::string, bool> finished_;
  std::map<std::string, bool> images_;
  uint64_t agent_epoch_ = 1;
  uint64_t seq_ = 0;
  uint64_t fencing_token_ = 0;
  SteadyTime lease_from_{};
  bool changed_ = true;
};

}  // namespace pitchfall::fakes

#endif  // PITCHFALL_TESTS_FAKES_WORKER_H_
