// Plays a schedule of the simulation with several seeds and expects that no
// rule breaks and that all accepted jobs end.
#ifndef PITCHFALL_TESTS_SIM_PLAY_H_
#define PITCHFALL_TESTS_SIM_PLAY_H_

#include <gtest/gtest.h>

#include <functional>

#include "sim/world.h"

namespace pitchfall::sim {

// Neither random troubles nor lost messages, and nobody cancels: what happens
// is what a test asks for.
inline WorldConfig CalmConfig(uint64_t seed) {
  WorldConfig config;
  config.seed = seed;
  config.cancel_share = 0;
  config.trouble_every = Duration(0);
  config.lost_reply = config.late_copy = config.late_heartbeat = 0;
  config.team_limit = 80;
  return config;
}

// The same with two dozen long tasks on healthy machines in both zones, which
// are up at once. The bound on answers without the state service is 12 s.
inline WorldConfig LongTasksConfig(uint64_t seed) {
  WorldConfig config = CalmConfig(seed);
  config.jobs = 20;
  config.longest_run_s = 40;
  config.sick_share = 0;
  config.quick_boots = true;
  return config;
}

inline void ExpectRulesKept(const World& world) {
  EXPECT_TRUE(world.violations().empty()) << world.Told();
  EXPECT_EQ(world.finished(), world.accepted()) << world.Told();
}

// `prepare` changes the configuration, `schedule` says what happens when, and
// `check` looks at the outcome; the first and the last may be empty.
inline void Play(const std::function<void(WorldConfig&)>& prepare,
                 const std::function<void(World&)>& schedule,
                 const std::function<void(World&)>& check = {}) {
  constexpr uint64_t kSeeds = 4;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    WorldConfig config = LongTasksConfig(seed);
    if (prepare) prepare(config);
    World world(config);
    schedule(world);
    world.Run();
    ExpectRulesKept(world);
    EXPECT_GT(world.accepted(), 0);
    if (check) check(world);
  }
}

}  // namespace pitchfall::sim

#endif  // PITCHFALL_TESTS_SIM_PLAY_H_
