// A small deployment on loopback: state service, cloud, workers and users as
// stand-ins in one process, and the controllers as processes of their own,
// started by the command of deploy/service.toml. The stand-ins follow the
// protocol; a test may cut, hold or refuse the connections between them and
// single controllers.
#ifndef PITCHFALL_REVIEW_STAND_IN_2_CLUSTER_H_
#define PITCHFALL_REVIEW_STAND_IN_2_CLUSTER_H_

#include <sys/types.h>

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fakes/state_service.h"
#include "fakes/worker.h"
#include "io/event.h"
#include "io/http_client.h"

namespace review {

using pitchfall::Duration;
using pitchfall::Millis;
using pitchfall::Seconds;
using pitchfall::SteadyTime;
using pitchfall::fakes::HttpReply;
using pitchfall::fakes::Worker;

// The settings of the deployment.
struct Settings {
  int controllers = 3;
  std::vector<std::string> zones = {"ljubljana"};
  double report_s = 1.5;
  double lease_s = 10;
  double cancel_s = 30;
  double rps = 100;
  double write_rps = 15;
  double value_kb = 8;
  uint32_t txn_ops = 8;
  double cloud_rps = 8;
  double list_lag_s = 3;
  double machine_cpus = 16;
  double machine_memory_gb = 64;
  double boot_s = 3;
  // The most machines of each zone and kind.
  size_t capacity = 20;
  // Ordinary machines that are up when the controllers start, in each zone.
  int machines_at_start = 0;
  std::string team = "cenilci";
  double team_cpus = 0;      // guaranteed
  double team_cpus_max = 0;  // 0: no limit
  // Other teams with the same guarantee and limit.
  std::vector<std::string> other_teams;
  // The most cheap machines of each zone; -1: as many as `capacity`.
  int spot_capacity = -1;
  double cpu_share = 0.12;
  double memory_mb = 72;
  // Whether the platform ends a controller that holds more than `memory_mb`,
  // and how long it then takes to start it again.
  bool enforce_memory = false;
  double restart_s = 5;
};

// A job as its user submits it, and how its tasks behave.
struct JobOrder {
  std::string uid;
  std::string lane = "pridelek";
  std::string crew;  // empty: the team of the settings
  std::string shape = "sweep";
  std::string urgency = "standard";
  uint32_t legs = 1;
  double vcpus = 2;
  double mem_gb = 3.6;
  std::string kit = "img-01";
  double run_s = 30;
  double fetch_s = 0.5;
  bool together = false;
  bool scatter = false;
  bool loaners = true;
  // Fields that are left out of the submission.
  std::set<std::string> omitted;
};

// An answer to a user; `status` 0: none.
struct Answer {
  int status = 0;
  std::string state;  // "queued", "running", "done" or "withdrawn"
  uint64_t done = 0;
  double at = 0;  // seconds since the start
};

// How a stand-in treats the requests of one controller.
enum class Link : uint8_t {
  kOpen,
  kRefused,  // answers 503
  kHeld,     // never answers: the request is lost
};

class Cluster {
 public:
  // `folder` gets record.txt; the deployment files and the controllers' logs go
  // to a temporary folder.
  Cluster(Settings settings, const std::string& folder);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // ---- Time and record ----
  double Seconds() const;  // since the start
  void RunFor(double seconds);
  // Runs until the condition holds; returns false if it does not within
  // `seconds`.
  bool RunUntil(const std::function<bool()>& condition, double seconds);
  // Writes a line to record.txt, with the time.
  void Record(const std::string& line);

  // ---- Controllers, by index ----
  void StartController(int index);
  void StartAll();
  void Signal(int index, int signal);
  void Kill(int index);
  bool Alive(int index);
  // What the process holds (VmRSS), in MB; 0 if there is none.
  double MemoryOf(int index) const;
  // How often the platform has ended a controller for its memory.
  int EndsForMemory() const { return ends_for_memory_; }
  // Waits until every controller answers /healthz with 200.
  bool WaitHealthy(double seconds);
  std::string Label(int index) const { return "tine-" + std::to_string(index); }
  // The owner of a partition and its token, as stored; -1 if there is none.
  struct Owner {
    int controller = -1;
    uint64_t token = 0;
    std::string incarnation;
  };
  Owner OwnerOf(uint32_t partition) const;
  uint32_t PartitionCount() const { return settings_.controllers; }
  const Settings& settings() const { return settings_; }

  // ---- Troubles ----
  void SetStateLink(int controller, Link link);
  void SetCloudLink(int controller, Link link);
  // Cuts the connections between this controller and all others, or heals
  // them. Bytes that are under way are held and delivered after the cut.
  void CutPeers(int controller, bool cut);
  // Every lease of the state service has its full time again, as after an
  // outage.
  void RenewLeases() { state_.RenewAll(Now()); }
  // This share of the transactions is carried out without an answer.
  void LoseStateAnswers(double share) { lost_answers_ = share; }
  // The value that the state service holds under the key; empty if none.
  std::string StoredValue(const std::string& key) const;
  // Stores the values under these keys, as controllers did before.
  void Store(const std::vector<std::pair<std::string, std::string>>& values);
  // An extra delay of the state service's answers, in milliseconds.
  int state_delay_ms = 3;

  // ---- Users ----
  void Submit(int controller, const JobOrder& job,
              std::function<void(Answer)> done);
  void Poll(int controller, const std::string& uid,
            std::function<void(Answer)> done);
  void Cancel(int controller, const std::string& uid,
              std::function<void(Answer)> done);
  // The same, waiting for the answer; submissions and cancellations are
  // repeated at this controller, as the protocol says, until one is final.
  Answer SubmitNow(int controller, const JobOrder& job);
  Answer PollNow(int controller, const std::string& uid);
  Answer CancelNow(int controller, const std::string& uid);

  // ---- Machines ----
  struct Machine {
    std::string name;
    std::string zone;
    bool spot = false;
    bool listed_running = false;
    SteadyTime rented{};
    SteadyTime up{};
    std::unique_ptr<Worker> worker;  // null while it boots
    std::string address;
    pitchfall::io::EvhttpHandle server;
    std::vector<std::unique_ptr<pitchfall::io::HttpClient>> nodes;
    size_t node = 0;
    bool waiting = false;
    SteadyTime next_report{};
    SteadyTime last_sent{};
    SteadyTime sent_at{};
    // The last answer that the worker accepted: when, and from which
    // controller.
    double answered_at = -1;
    int answered_by = -1;
    std::set<std::string> on_it;  // tasks that are on the machine
    std::string last_report;      // the body of the newest report
  };
  const std::map<std::string, std::unique_ptr<Machine>>& machines() const {
    return machines_;
  }
  // The machine stops with all that is on it and is back after `seconds`, with
  // a new worker.
  void RestartMachine(const std::string& name, double seconds);
  // A late copy of a report arrives at the controller; nobody waits for the
  // answer.
  void DeliverCopy(int controller, const std::string& report);
  uint32_t PartitionOfMachine(const std::string& name) const;

  // What the platform saw: a deletion of a machine that was there.
  struct Deletion {
    double at = 0;
    int controller = -1;
    std::string machine;
    int answered_by = -1;            // who last answered its worker
    double answered_at = -1;         // and when
    uint64_t token = 0;              // the highest token of its worker
    std::vector<std::string> tasks;  // on the machine
  };
  const std::vector<Deletion>& deletions() const { return deletions_; }
  // A launch that a worker has carried out.
  struct Launch {
    double at = 0;
    std::string leg;
    std::string machine;
    int by = -1;
    uint64_t token = 0;
  };
  const std::vector<Launch>& launches() const { return launches_; }
  // Broken rules that the stand-ins noticed by themselves.
  const std::vector<std::string>& broken() const { return broken_; }
  void Broken(const std::string& what);
  size_t TasksRunning() const;
  // Whether the task has completed on a machine.
  bool Completed(const std::string& leg) const {
    return completed_.contains(leg);
  }
  // Called before a worker is given an answer, after a transaction, ...
  std::function<void(int controller, const std::string& body, int status)>
      on_transaction;

 private:
  struct Server;
  struct Proxy;
  struct Pipe;
  struct UserCall;

  void Tick();
  void EnforceMemory();
  void BootMachines();
  void AdvanceWorkers();
  void Report(Machine& machine);
  void OnReportAnswer(Machine& machine, SteadyTime sent, uint64_t epoch,
                      int status, std::string_view body);
  Machine& AddMachine(const std::string& zone, bool spot, SteadyTime now,
                      double boot_s);
  void BringUp(Machine& machine);
  HttpReply HandleState(int controller, std::string_view method,
                        const std::string& target, const std::string& body);
  HttpReply HandleCloud(int controller, std::string_view method,
                        const std::string& target, const std::string& body);
  HttpReply Rent(int controller, const std::string& body);
  HttpReply Delete(int controller, const std::string& body);
  HttpReply List(const std::string& target);
  void RecordSnapshot();
  void OnTask(const std::string& machine, const std::string& leg,
              Worker::TaskEvent event);
  void Send(int controller, pitchfall::wire::HttpRequest request,
            double timeout, const std::string& what,
            std::function<void(Answer)> done);
  std::string DeploymentFile(int index) const;
  uint16_t Serve(int controller,
                 std::function<std::optional<HttpReply>(
                     std::string_view, const std::string&, const std::string&)>
                     handler,
                 std::function<int()> delay_ms);
  static SteadyTime Now();

  Settings settings_;
  std::string folder_;
  std::string temporary_;
  std::FILE* record_ = nullptr;
  SteadyTime start_;
  pitchfall::io::EventBase base_;
  pitchfall::io::Event timer_;
  std::mt19937_64 random_{1};

  std::vector<std::string> run_;  // the command of the deploy file
  std::vector<pid_t> pids_;
  std::map<int, SteadyTime> restart_at_;
  SteadyTime memory_checked_{};
  int ends_for_memory_ = 0;
  std::vector<uint16_t> fronts_;
  std::vector<uint16_t> peer_ports_;
  std::vector<uint16_t> state_ports_;
  std::vector<uint16_t> cloud_ports_;
  std::vector<Link> state_links_;
  std::vector<Link> cloud_links_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<std::pair<int, int>, std::unique_ptr<Proxy>> proxies_;

  pitchfall::fakes::StateService state_;
  double lost_answers_ = 0;
  double state_tokens_ = 0;
  double write_tokens_ = 0;
  double cloud_tokens_ = 0;
  SteadyTime refilled_{};

  uint64_t last_machine_ = 0;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::vector<std::unique_ptr<Machine>> deleted_machines_;
  std::map<std::string, std::vector<std::string>> rented_;
  struct Row {
    std::string name, address, zone;
    bool spot = false;
    bool running = false;
    SteadyTime rented{};
  };
  std::deque<std::pair<SteadyTime, std::vector<Row>>> snapshots_;

  std::map<std::string, JobOrder> jobs_;
  std::set<std::string> completed_;                // legs
  std::map<std::string, std::string> on_machine_;  // leg -> machine
  std::vector<Deletion> deletions_;
  std::vector<Launch> launches_;
  std::vector<std::string> broken_;
  int launching_for_ = -1;
  std::vector<std::unique_ptr<UserCall>> user_calls_;
};

}  // namespace review

#endif  // PITCHFALL_REVIEW_STAND_IN_2_CLUSTER_H_
