// What ClusterSimulation consists of, for the files that implement it.
#ifndef PITCHFALL_TESTS_SIM_SIMULATION_PARTS_H_
#define PITCHFALL_TESTS_SIM_SIMULATION_PARTS_H_

#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "sim/cluster_simulation.h"

namespace pitchfall::sim {

// A worker waits so long for the answer to a heartbeat.
inline constexpr Duration kHeartbeatTimeout = Millis(4000);
// The large job of `SimulationConfig::crowded`.
inline constexpr char kLargeJob[] = "run-900000";

// The label of the controller with that index.
inline std::string Label(size_t index) { return fmt::format("node-{}", index); }

struct ClusterSimulation::Node {
  size_t index = 0;
  uint64_t incarnation = 0;
  std::unique_ptr<SimulatedController> controller;
  bool upgraded = false;  // from the version in production
  Duration skew{0};       // added to the clocks
  SteadyTime state_cut_until{};
  SteadyTime worker_cut_until{};
  SteadyTime peer_cut_until{};
  SteadyTime slow_until{};    // processes all messages late until then
  SteadyTime frozen_until{};  // is paused until then; its clocks go on
  bool hold = false;          // cuts delay messages instead of losing them
  RequestId last_request = 0;
  std::map<RequestId, OnAnswer> waiting;
};

struct ClusterSimulation::SimulatedMachine {
  std::unique_ptr<fakes::Worker> worker;
  std::string zone;
  bool spot = false;
  size_t node = 0;  // where the next heartbeat goes
  uint64_t heartbeat_number = 0;
  bool waiting = false;
  SteadyTime next_heartbeat{};
  SteadyTime last_heartbeat{};
};

struct ClusterSimulation::JobModel {
  JobSpec spec;
  fakes::TaskInfo info;
  bool submitted = false;
  std::optional<SteadyTime> accepted;  // when a user was told
  bool asked_cancel = false;
  std::optional<SteadyTime> first_asked_cancel;
  // The version in production confirmed the cancellation first.
  bool cancelled_by_production = false;
  std::optional<SteadyTime> first_start;  // of a task
  int starts = 0;
  SteadyTime last_progress{};  // last time that a task started or none could
  std::optional<SteadyTime> cancelled;  // when a user was told
  std::optional<SteadyTime> told_done;
  std::optional<SteadyTime> answered;  // the last successful poll
  bool polls = false;                  // its user polls it
  std::set<uint32_t> finished;         // tasks that completed on some machine
  bool final() const { return cancelled || told_done; }
};

}  // namespace pitchfall::sim

#endif  // PITCHFALL_TESTS_SIM_SIMULATION_PARTS_H_
