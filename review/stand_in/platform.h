// A small platform on loopback for the cases of the review: state service,
// cloud, workers and users, written from the protocol page, and the real
// controllers as processes of their own.
#ifndef PITCHFALL_REVIEW_STAND_IN_PLATFORM_H_
#define PITCHFALL_REVIEW_STAND_IN_PLATFORM_H_

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
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

namespace pitchfall::review {

// A job as its user submits it. The defaults are those of the class `arhiv` of
// the smaller deployment of the brief.
struct JobSpec {
  std::string id;
  std::string job_class = "arhiv";
  std::string team = "cenilci-00";
  std::string shape = "sweep";
  std::string priority = "best_effort";
  uint32_t tasks = 1;
  double cpus = 4;
  double memory_gb = 12;
  double expected_s = 50;
  double checkpoint_s = 20;  // a standing job has none
  double save_s = 5;
  double run_s = 50;    // how long a task really runs
  bool broken = false;  // submitted with a mistake: fails on every machine
  bool spot = true;     // may use cheap machines
  // Fields of the submission to leave out, to send a malformed one.
  std::set<std::string> omitted;
};

// The numbers of a deployment.
struct Site {
  int controllers = 3;
  std::vector<std::string> zones = {"ljubljana"};
  double report_s = 1.5;
  double lease_s = 10;
  double cancel_s = 30;
  int teams = 16;
  double team_cpus = 16;
  double team_cpus_max = 48;
  double state_rps = 100;
  double state_write_rps = 15;
  double value_kb = 8;
  int txn_ops = 8;
  double cloud_rps = 8;
  double list_lag_s = 3;
  std::string type = "brazda";
  double type_cpus = 16;
  double type_memory_gb = 64;
  double boot_s = 3;
  double fetch_s = 3;
  size_t capacity = 20;    // on-demand machines in each zone
  size_t spot = 12;        // spot machines in each zone
  size_t up_at_start = 5;  // on-demand machines
};

// What the state service does with a request of one controller.
enum class StateMode {
  kServe,
  kRefuse,  // 503, not executed
};

class Platform {
 public:
  using Answer = std::function<void(int status, const std::string& job_status)>;

  // `program` is the built service; the record is written to `record_path`.
  Platform(Site site, std::string program, const std::string& record_path);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  // Controllers, by index.
  void Start(size_t controller);
  void Signal(size_t controller, int signal);
  // Whether a process that was started has ended by itself.
  bool AnyEnded();

  // Calls `work` once, `seconds` after the beginning of Run.
  void At(double seconds, std::function<void()> work);
  void After(double seconds, std::function<void()> work);
  // Serves until `seconds` have passed, or Stop is called.
  void Run(double seconds);
  void Stop();
  double Elapsed() const;
  void Record(const std::string& line);

  // Users.
  void Submit(const JobSpec& job, size_t controller, Answer answer);
  // Submits the job, again and again as a user would, until it is accepted.
  void SubmitUntilAccepted(const JobSpec& job, size_t controller);
  void Poll(const std::string& id, size_t controller, Answer answer);
  void Cancel(const std::string& id, size_t controller, Answer answer);

  // Disruptions.
  std::vector<StateMode> state_modes;  // by controller
  std::vector<bool> peers_cut;         // its messages to and from the others

  // Stops the machine with all that is on it. The cloud lists it as running for
  // 30 s more, then as failed.
  void StopMachine(const std::string& name);

  // The machine is back within a fraction of a second, without its tasks; its
  // worker begins anew with the first session.
  void RestartMachine(const std::string& name);
  // Delivers a copy of a report to a controller; the answer is lost.
  void DeliverCopy(const std::string& report, size_t controller);
  bool cloud_down = false;  // every request to the cloud gets 503

  // Observations.
  struct Machine {
    std::string name;
    std::string address;
    std::string zone;
    bool spot = false;
    std::string status = "starting";
    SteadyTime created{};
    SteadyTime up_at{};
    bool dead = false;              // it has stopped with all that is on it
    std::set<std::string> running;  // tasks that are on the machine
    std::unique_ptr<fakes::Worker> worker;  // null until it is up
    io::EvhttpHandle server;
    // Reporting.
    std::unique_ptr<io::HttpClient> client;
    size_t node = 0;
    bool waiting = false;
    SteadyTime next_report{};
    SteadyTime last_report{};
    std::string last_report_body;
    // The last report that was answered with 200 and taken by the worker.
    std::optional<size_t> answered_by;
    SteadyTime answered_at{};
  };
  const std::map<std::string, std::unique_ptr<Machine>>& machines() const {
    return machines_;
  }
  // Called before the machine is deleted, with the controller that asked.
  std::function<void(size_t controller, const Machine& machine)> on_delete;
  // Called when a task begins, completes or leaves a machine.
  std::function<void(const std::string& task, const Machine& machine,
                     fakes::Worker::TaskEvent event)>
      on_task;
  // Called when a worker takes the answer to a report, with the number of start
  // commands in it for each job; `sent` is when the worker sent the report.
  std::function<void(const Machine& machine, size_t controller, SteadyTime sent,
                     const std::map<std::string, int>& starts)>
      on_starts;
  // Called for each transaction that the state service has stored.
  std::function<void(size_t controller, const std::string& body)> on_stored;
  const std::set<std::string>& accepted() const { return accepted_; }
  SteadyTime Now() const;
  const Site& site() const { return site_; }
  const std::string& label(size_t controller) const {
    return controllers_[controller].label;
  }
  // The worker's reports that were answered with each status.
  std::map<int, int> report_statuses;
  // The size of the largest report or answer, counted as JSON.
  size_t largest_report = 0;
  size_t largest_report_answer = 0;

 private:
  struct Server;
  struct Link;
  struct Controller {
    std::string label;
    std::string zone;
    std::string front;
    std::string peer;
    pid_t pid = 0;
    bool started = false;
  };
  using Handler = std::function<fakes::HttpReply(std::string_view method,
                                                 const std::string& target,
                                                 const std::string& body)>;

  uint16_t Serve(io::EvhttpHandle& server, Handler handler);
  static void OnRequest(evhttp_request* request, void* arg);
  fakes::HttpReply HandleState(size_t controller, std::string_view method,
                               const std::string& target,
                               const std::string& body);
  fakes::HttpReply HandleCloud(size_t controller, std::string_view method,
                               const std::string& target,
                               const std::string& body);
  fakes::HttpReply Types();
  fakes::HttpReply Rent(const std::string& body);
  fakes::HttpReply Delete(size_t controller, const std::string& body);
  fakes::HttpReply List(const std::string& target);
  Machine& AddMachine(const std::string& zone, bool spot);
  void Snapshot();
  void Boot(Machine& machine);
  void Tick();
  void Report(Machine& machine);
  void OnReportAnswer(const std::string& name, SteadyTime sent, uint64_t epoch,
                      int status, const std::string& body);
  void MoveTo(Machine& machine, size_t node, Duration pause);
  std::string SettingsFor(size_t controller) const;
  void Call(size_t controller, wire::HttpRequest request, double timeout,
            std::function<void(int, const std::string&)> handler);
  uint16_t ServeLink(size_t from, size_t to);
  static void OnLinkAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                           void* arg);
  static void OnLinkRead(bufferevent* from, void* arg);
  static void OnLinkEvent(bufferevent* from, short what, void* arg);

  Site site_;
  std::string program_;
  std::string folder_;
  std::ofstream record_;
  std::mt19937 random_{7};
  io::EventBase base_;
  io::Event timer_;
  SteadyTime began_{};
  std::vector<Controller> controllers_;
  fakes::StateService state_;
  std::list<std::unique_ptr<Handler>> handlers_;
  std::vector<io::EvhttpHandle> servers_;
  std::vector<uint16_t> state_ports_;
  std::vector<uint16_t> cloud_ports_;
  std::map<std::pair<size_t, size_t>, uint16_t> link_ports_;
  std::list<Link> links_;
  std::list<std::unique_ptr<io::HttpClient>> clients_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::vector<std::unique_ptr<Machine>> deleted_;
  std::vector<std::unique_ptr<io::HttpClient>> old_clients_;
  std::map<std::string, std::vector<std::string>> rented_;
  struct Listed {
    std::string name, address, zone, status;
    bool spot = false;
    SteadyTime created{};
  };
  std::deque<std::pair<SteadyTime, std::vector<Listed>>> history_;
  uint64_t last_machine_ = 0;
  std::map<std::string, JobSpec> jobs_;  // described by users, by id
  std::set<std::string> accepted_;
  std::multimap<double, std::function<void()>> planned_;
};

}  // namespace pitchfall::review

#endif  // PITCHFALL_REVIEW_STAND_IN_PLATFORM_H_
