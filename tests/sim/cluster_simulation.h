// A small simulated deployment: real controllers (without their sockets),
// fakes for everything around them, and a plain model of what is true. The
// model watches every start and every answer, and knows the protocol's rules.
//
// Everything follows from the seed: one queue of events, no threads, no clocks.
#ifndef PITCHFALL_TESTS_SIM_CLUSTER_SIMULATION_H_
#define PITCHFALL_TESTS_SIM_CLUSTER_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fakes/cloud.h"
#include "fakes/state_service.h"
#include "fakes/worker.h"
#include "sim/effect_digest.h"
#include "sim/simulated_controller.h"

namespace pitchfall::sim {

struct SimulationConfig {
  uint64_t seed = 1;
  size_t nodes = 3;
  uint32_t partition_count = 0;  // as many as controllers
  int jobs = 25;
  Duration jobs_within = Seconds(60);
  Duration faults_until = Seconds(90);
  // A team with many rounds of work behind its limit takes a while.
  Duration end = Seconds(320);
  double cancel_share = 0.15;
  double longest_run_s = 8;
  // Probabilities for each message.
  double lost_reply = 0.01;
  double late_copy = 0.01;  // carried out seconds later, and nobody told
  double late_heartbeat = 0.02;
  // Mean time between faults; zero: none.
  Duration fault_interval = Seconds(8);
  double team_limit = 12;
  bool constrained_jobs = true;  // zones, spreading, machine kinds
  size_t capacity = 10;          // machines of each zone and kind
  double late_heartbeat_s =
      20;  // how late copies of heartbeats come at the most
  double heartbeat_s = 1;
  double lease_s = 6;
  double cancel_s = 20;
  // Heartbeats of these many machines arrive from 30 s on, and nothing reaches
  // them.
  int inbound_cut_machines = 0;
  // Besides: controllers that stand still while their clocks run on, zones and
  // many machines cut off, many machines that hang, all controllers restarted
  // while the state service is away.
  bool fleet_faults = false;
  // Besides: late writes, cut off inbound and cut off outbound machines,
  // isolated controllers, jobs called off at once and at their end.
  bool compound_faults = false;
  // Once: a controller loses the state service and its peers, but not its
  // workers nor its users.
  bool isolate_a_node = false;
  // Crashed processes are back within this.
  double longest_down_s = 4;
  // Besides: one large unimportant job at the start, and urgent ones for ever.
  bool crowded = false;
  // At the start a few jobs of hundreds of tasks that all end at one moment.
  int wide_jobs = 0;
  // How often a machine looks at its tasks; large fleets do so less often.
  double machine_step_s = 0.05;
  double faulty_share = 0.04;  // of the machines fail all that they start
  uint32_t txn_ops = 8;
  double value_kb = 8;
  // Limits announced for the moment of LowerStateLimits; 0: none.
  double next_value_kb = 0;
  uint32_t next_txn_ops = 0;
  // Controllers are of the version in production until they are upgraded.
  bool begins_with_production = false;
  double state_writes = 60;  // puts and deletes that the service takes a second
  // Each machine that is rented is up at once, so that a overlap of failures
  // finds the same machines whatever the seed.
  bool quick_boots = false;
  // Now and then users send what must be refused, repeat submissions of jobs
  // that run, and cancel jobs that are done.
  bool odd_requests = false;
  // Faults put in on purpose, to show that the checks notice.
  bool state_ignores_conditions = false;
  bool workers_ignore_stops = false;
  bool log_debug = false;
  bool digest_effects = false;
};

// Until when a kind of message is disturbed, and how large a share of them.
struct FaultWindow {
  double share = 0;
  SteadyTime until{};
};

class ClusterSimulation {
 public:
  explicit ClusterSimulation(SimulationConfig config);
  ~ClusterSimulation();
  ClusterSimulation(const ClusterSimulation&) = delete;
  ClusterSimulation& operator=(const ClusterSimulation&) = delete;

  // Plays the whole schedule.
  void Run();

  // For schedules that bring one overlap of failures about: what is to happen
  // so many seconds after the start.
  void At(double second, std::function<void()> what) {
    After(Seconds(second), std::move(what));
  }
  // Who owns the partition by the state service; the owner of partition 0
  // leads.
  size_t OwnerOf(uint32_t partition) const;
  struct Cut {
    bool state = false;
    bool workers = false;
    bool peers = false;
    bool hold = false;  // instead of losing messages
  };
  void CutNode(size_t index, Cut cut, double seconds);
  void StopState(Duration how_long);
  // Transactions get no answer and are carried out 2 to 12 s later.
  void LateWrites(double share, double seconds);
  // Transactions are carried out at once and only their answers are lost.
  void LoseWriteAnswers(double share, double seconds);
  // Direct commands are held up for 2 to 16 s, unanswered, and carried out
  // then.
  void DelayCommands(double share, double seconds);
  // Copies of heartbeats are kept until the machine's partition has a new
  // owner, and reach every controller so long after that.
  void KeepHeartbeatsForNextOwner(double share, double seconds, double delay_s);
  // Right after a job was accepted, ended or cancelled, users ask about it and
  // repeat its submission at all controllers within milliseconds; some cancel.
  void WatchAnswersClosely(double seconds);
  void SlowState(double seconds);
  void CrashNode(size_t index, Duration down);
  void CrashAllNodes(double down_s);
  // The controller ends and comes back with the present version.
  void UpgradeNode(size_t index, Duration down);
  void LowerStateLimits();
  void FreezeNode(size_t index, double seconds);
  void SlowNode(size_t index, double seconds);
  void StopCloud(double seconds);
  void CutZone(double seconds, bool hold);
  void CutMachines(double share, double seconds, bool hold);
  void HangMachines(double share, double seconds);
  // They report, but hear nothing; or reach no controller, but take commands.
  void CutInbound(double share, double seconds);
  void CutOutbound(double share, double seconds);
  void KillMachines(double share);
  // Users call off that many jobs that run and have long to go; their machines
  // hang so long.
  void CancelNow(int count, double hang_s);
  void CancelAtEnd(double share) { cancel_at_end_ = share; }
  // A job without constraints, submitted at that second.
  JobSpec& AddJobAt(double second, const std::string& id, uint32_t tasks,
                    double run_s);
  // The same of a team that has neither a guarantee nor a limit.
  JobSpec& AddGuestJobAt(double second, const std::string& id, uint32_t tasks,
                         double run_s, double cpus);
  // A standing job; its user has to call it off for it to count as finished.
  JobSpec& AddServiceAt(double second, const std::string& id, uint32_t replicas,
                        double cpus);
  // How many of its tasks are on machines.
  int replicas_up(const std::string& id) const;
  // Whether its user, be it in a fault of the schedule, has called it off.
  bool called_off(const std::string& id) const;
  // All that runs on that share of the machines completes.
  void EndReplicas(double share);
  // Its user calls the job off, accepted or not.
  void CancelAt(double second, const std::string& id) {
    At(second, [this, id] { TryCancel(id); });
  }
  // Its tasks fail on every machine until its user cancels it.
  void AddBrokenJobAt(double second, const std::string& id, uint32_t tasks,
                      double cancel_after_s);
  // Users ask so many times as often, also about jobs that nobody submitted.
  void PollStorm(double factor, double seconds);
  // What is hopped over from here on counts as calm for the checks that only
  // hold once faults are over.
  void CalmFrom(double second) { calm_since_ = now_ + Seconds(second); }

  const std::vector<std::string>& violations() const { return violations_; }
  int accepted() const;
  int finished() const;
  int starts() const { return starts_; }
  const std::vector<std::string>& log() const { return log_; }
  // Over all effects of the controllers so far, with `digest_effects`.
  uint64_t effect_digest() const { return effect_digest_.value(); }
  // What broke, and the end of the story: for the messages of tests.
  std::string Story() const;
  // Of the cut off inbound machines: how many were still rented 50 s later.
  int inbound_cut_left() const { return inbound_cut_left_; }
  // Requests of users that the isolated controller refused or left unanswered
  // once it had called itself unhealthy or should have.
  int lost_on_isolated() const { return lost_on_isolated_; }
  bool isolated_said_unhealthy() const { return isolated_said_unhealthy_; }
  // Seconds from its submission to the first start of the large job's tasks.
  std::optional<double> large_begun_after() const { return large_begun_; }
  size_t largest_transaction() const { return state_.largest_transaction(); }
  size_t machines() const { return machines_.size(); }
  // The most calls to workers that one turn of a controller made.
  size_t max_worker_calls() const { return max_worker_calls_; }
  uint64_t state_calls() const { return state_calls_; }
  // Transactions that owners of the partition have sent so far.
  int owner_transactions(uint32_t partition) const {
    auto found = owner_transactions_.find(partition);
    return found == owner_transactions_.end() ? 0 : found->second;
  }
  // Puts of teams' quota shares so far.
  int team_puts() const { return team_puts_; }
  // Tasks that started after their user had been told that the job is
  // cancelled, a start that was on its way by then included.
  int starts_after_cancellation() const { return starts_after_cancellation_; }
  // Tasks lost with an agent epoch that ended because nobody answered in time.
  int lost_with_lease() const { return lost_with_lease_; }
  int cancelled() const;
  int starts_of(const std::string& job) const;
  bool done(const std::string& job) const;
  // Seconds from its submission to the first start of its tasks.
  std::optional<double> begun_after(const std::string& job) const;
  // Questions of users in a storm, and how many got 200 in time.
  int storm_polls() const { return storm_polls_; }
  int storm_answers() const { return storm_answers_; }
  size_t quarantines(bool faulty) const;

 private:
  struct Node;
  struct SimulatedMachine;  // a worker and its reporting
  struct Sent;
  struct JobModel;

  SteadyTime now() const { return now_; }
  Now ClockOf(const Node& node) const;
  void After(Duration delay, std::function<void()> what);
  double Chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  Duration Between(double low_s, double high_s) {
    return Seconds(std::uniform_real_distribution<>(low_s, high_s)(random_));
  }
  size_t Pick(size_t n) {
    return std::uniform_int_distribution<size_t>(0, n - 1)(random_);
  }
  Duration Hop() { return Between(0.001, 0.01); }

  // Controllers.
  void StartNode(size_t index);
  bool RunsProduction(const Node& node) const;
  void TickNode(size_t index, uint64_t incarnation);
  void Deliver(size_t index, uint64_t incarnation, ControllerInput input);
  void Execute(Node& node, const ControllerInput& input);
  void TellPeers(const Node& node, const EncodedPeerMessage& message);
  void Perform(Node& node, const Effect& effect);
  using Answer = std::function<void(int, const std::string&)>;
  template <typename Call, typename Decode>
  Answer AnswerOnce(const Node& node, const Call& call, Decode decode);
  void PerformState(Node& node, const EncodedStateCall& call);
  void PerformCloud(Node& node, const CloudCall& call);
  void PerformWorker(Node& node, const WorkerCall& call);
  // Asks a controller as a client would; the answer comes within `timeout` or
  // never (none).
  using OnAnswer = std::function<void(const std::optional<Reply>&)>;
  // `machine`: which asks; empty for users.
  using MakeCommand = std::function<Command(RequestId)>;
  void Ask(size_t index, const MakeCommand& make, Duration timeout,
           const std::string& machine, const OnAnswer& on_answer);

  // Machines.
  void AddMachine(const fakes::Cloud::Machine& machine);
  void StepMachine(const std::string& name);
  void Heartbeat(const std::string& name);
  void OnTask(const std::string& machine, const std::string& task,
              fakes::Worker::TaskEvent event);

  // Users.
  void AddJob(int number);
  void TrySubmit(const std::string& id, SteadyTime since);
  void TryPoll(const std::string& id);
  void TryCancel(const std::string& id);
  // An answer only counts as old against what the user had been told when the
  // request went out.
  void CheckAnswer(JobModel& job, const JobAnswer& answer, SteadyTime asked);

  void InjectFault();
  void InjectOneOfMoreFaults(size_t index);
  void InjectFleetFault(size_t index);
  void InjectCompoundFault(size_t index);
  void CrashAllNodes();
  void Hang(const std::string& name, Duration how_long);
  std::vector<std::string> PickMachines(double share);
  // Whether nothing passes between the controller and the machine (or, without
  // one, its users).
  bool CutOff(size_t index, const std::string& machine) const;
  const std::string& PickMachine();
  void RestartMachine();
  void CutInbound();
  void IsolateNode();
  void AddCrowd();
  void AddWideJobs();
  JobModel& AddPlainJob(const std::string& id, uint32_t tasks, double run);
  void NoteAnswered(JobModel& job);
  void CheckForgotten();
  void CheckAssignments(const Transaction& txn);
  void CountOwnerTransaction(const Transaction& txn);
  void CheckCancelled();
  // Once faults are over no task waits long beside a machine that has capacity.
  void CheckWaiting();
  bool CouldStart(const JobModel& job) const;
  // Half of each class, team and class's largest jobs, the largest soon.
  void CheckServed();
  void SendOddRequest();
  void AskAboutNobodysJob();
  bool Disturbed(const FaultWindow& window);
  void KeepHeartbeat(const std::string& machine, const MakeCommand& heartbeat);
  void AwaitNextOwner(const std::string& machine, const MakeCommand& heartbeat,
                      uint32_t partition, uint64_t mod_revision);
  uint64_t OwnerModRevision(uint32_t partition) const;
  void AskEverybody(const std::string& id);
  void PollOnce(size_t index, const std::string& id);
  void SubmitOnce(size_t index, const std::string& id);
  void Violation(const std::string& rule, const std::string& what);
  void Note(std::string what);

  SimulationConfig config_;
  std::mt19937_64 random_;
  SteadyTime now_{Seconds(1000)};
  uint64_t event_count_ = 0;
  struct Event {
    SteadyTime at;
    uint64_t number;
    std::function<void()> what;
    bool operator<(const Event& o) const {
      return std::tie(at, number) > std::tie(o.at, o.number);
    }
  };
  std::priority_queue<Event> events_;

  Deployment deployment_;
  fakes::StateService state_;
  fakes::Cloud cloud_;
  SteadyTime next_cancel_check_{};
  size_t max_worker_calls_ = 0;
  uint64_t state_calls_ = 0;
  std::map<uint32_t, int> owner_transactions_;
  int team_puts_ = 0;
  bool state_outage_ = false;
  SteadyTime state_slow_until_{};
  SteadyTime peers_refused_until_{};
  std::set<std::string> inbound_cut_;
  std::map<std::string, SteadyTime> inbound_cut_until_;
  std::map<std::string, SteadyTime> outbound_cut_until_;
  double late_writes_ = 0;
  SteadyTime late_writes_until_{};
  FaultWindow lost_write_answers_;
  FaultWindow late_commands_;
  FaultWindow kept_heartbeats_;
  Duration kept_heartbeats_delay_{0};
  SteadyTime watch_closely_until_{};
  double cancel_at_end_ = 0;
  int starts_after_cancellation_ = 0;
  int lost_with_lease_ = 0;
  double storm_factor_ = 1;
  SteadyTime storm_until_{};
  int storm_polls_ = 0;
  int storm_answers_ = 0;
  std::set<std::string> faulty_;
  SteadyTime zone_cut_until_{};  // zone b, with the controllers in it
  bool zone_hold_ = false;
  std::map<std::string, SteadyTime> cut_until_;  // machines
  std::map<std::string, SteadyTime> deleted_;    // machines, and since when
  std::set<std::tuple<std::string, uint32_t, uint32_t>> bound_;
  SteadyTime calm_since_{};  // the last fault's end
  int inbound_cut_left_ = 0;
  int lost_on_isolated_ = 0;
  bool isolated_said_unhealthy_ = false;
  std::optional<double> large_begun_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, std::unique_ptr<SimulatedMachine>> machines_;
  std::map<std::string, std::unique_ptr<JobModel>> jobs_;
  struct OnMachines {
    JobModel* job = nullptr;
    std::set<std::string> machines;
  };
  std::map<std::string, OnMachines> task_on_;
  std::vector<std::string> violations_;
  std::vector<std::string> log_;
  int starts_ = 0;
  EffectDigest effect_digest_;
};

}  // namespace pitchfall::sim

#endif  // PITCHFALL_TESTS_SIM_CLUSTER_SIMULATION_H_
