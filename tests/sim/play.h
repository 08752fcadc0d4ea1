// Runs a schedule of the cluster simulation with several seeds, and expects
// that it breaks no rule and finishes all accepted jobs.
#ifndef PITCHFALL_TESTS_SIM_PLAY_H_
#define PITCHFALL_TESTS_SIM_PLAY_H_

#include <gtest/gtest.h>

#include <functional>

#include "sim/cluster_simulation.h"

namespace pitchfall::sim {

// Returns a configuration without random faults, lost messages and
// cancellations: only what a test schedules disturbs the run.
inline SimulationConfig CalmConfig(uint64_t seed) {
  SimulationConfig config;
  config.seed = seed;
  config.cancel_share = 0;
  config.fault_interval = Duration(0);
  config.lost_reply = config.late_copy = config.late_heartbeat = 0;
  config.team_limit = 80;
  return config;
}

// Returns the same with 20 jobs, tasks of up to 40 s, and healthy machines that
// are up at once, in both zones. Controllers answer polls for at most 12 s
// without the state service.
inline SimulationConfig LongTasksConfig(uint64_t seed) {
  SimulationConfig config = CalmConfig(seed);
  config.jobs = 20;
  config.longest_run_s = 40;
  config.faulty_share = 0;
  config.quick_boots = true;
  return config;
}

// Expects that no rule was broken and that all accepted jobs have finished.
inline void ExpectRulesKept(const ClusterSimulation& simulation) {
  EXPECT_TRUE(simulation.violations().empty()) << simulation.Story();
  EXPECT_EQ(simulation.finished(), simulation.accepted()) << simulation.Story();
}

// Runs a simulation for each seed. `prepare` changes its configuration,
// `schedule` arranges events before the run, and `check` examines the outcome;
// the first and the last may be empty.
inline void Play(const std::function<void(SimulationConfig&)>& prepare,
                 const std::function<void(ClusterSimulation&)>& schedule,
                 const std::function<void(ClusterSimulation&)>& check = {}) {
  constexpr uint64_t kSeeds = 4;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    SimulationConfig config = LongTasksConfig(seed);
    if (prepare) prepare(config);
    ClusterSimulation simulation(config);
    schedule(simulation);
    simulation.Run();
    ExpectRulesKept(simulation);
    EXPECT_GT(simulation.accepted(), 0);
    if (check) check(simulation);
  }
}

}  // namespace pitchfall::sim

#endif  // PITCHFALL_TESTS_SIM_PLAY_H_
