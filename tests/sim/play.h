// Plays a schedule of the simulation with several seeds and expects that no
// rule breaks and that all accepted jobs end.
#ifndef PITCHFALL_TESTS_SIM_PLAY_H_
#define PITCHFALL_TESTS_SIM_PLAY_H_

#include <gtest/gtest.h>

#include <functional>

#include "sim/cluster_simulation.h"

namespace pitchfall::sim {

// Neither random faults nor lost messages, and nobody cancels: what happens
// is what a test asks for.
inline SimulationConfig CalmConfig(uint64_t seed) {
  SimulationConfig config;
  config.seed = seed;
  config.cancel_share = 0;
  config.fault_interval = Duration(0);
  config.lost_reply = config.late_copy = config.late_heartbeat = 0;
  config.team_limit = 80;
  return config;
}

// The same with two dozen long tasks on healthy machines in both zones, which
// are up at once. The bound on answers without the state service is 12 s.
inline SimulationConfig LongTasksConfig(uint64_t seed) {
  SimulationConfig config = CalmConfig(seed);
  config.jobs = 20;
  config.longest_run_s = 40;
  config.faulty_share = 0;
  config.quick_boots = true;
  return config;
}

inline void ExpectRulesKept(const ClusterSimulation& simulation) {
  EXPECT_TRUE(simulation.violations().empty()) << simulation.Story();
  EXPECT_EQ(simulation.finished(), simulation.accepted()) << simulation.Story();
}

// `prepare` changes the configuration, `schedule` says what happens when, and
// `check` looks at the outcome; the first and the last may be empty.
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
