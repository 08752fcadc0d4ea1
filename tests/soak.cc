// Plays many random schedules: pitchfall_soak FIRST COUNT. For hunting by hand;
// the tests play a fixed few.
#include <cstdio>
#include <cstdlib>

#include "sim/world.h"

int main(int argc, char** argv) {
  uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  uint64_t count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 100;
  int bad = 0;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    pitchfall::sim::WorldConfig config;
    config.seed = seed;
    config.parts = seed % 4;
    if (seed % 3 == 0) config.trouble_every = pitchfall::Seconds(3);
    if (seed % 2 == 0) {
      config.fleet_troubles = true;
      config.longest_run_s = 20;
      config.team_limit = 120;
      config.capacity = 20;
      config.nodes = 2 + seed % 5;
    }
    if (seed % 5 != 0) {
      config.meeting_troubles = true;
      config.odd_requests = true;
      config.longest_run_s = seed % 7 == 0 ? 60 : 25;
      config.team_limit = seed % 4 == 0 ? 24 : 120;
      config.end = pitchfall::Seconds(500);
    }
    config.log_debug = count == 1;
    pitchfall::sim::World world(config);
    world.Run();
    if (count == 1) {
      for (const std::string& line : world.log()) std::puts(line.c_str());
    }
    bool lost = world.finished() != world.accepted();
    if (world.violations().empty() && !lost) continue;
    ++bad;
    std::printf(
        "seed %llu: %s finished %d of %d\n",
        static_cast<unsigned long long>(seed),
        world.violations().empty() ? "-" : world.violations()[0].c_str(),
        world.finished(), world.accepted());
  }
  std::printf("%d of %llu schedules with findings\n", bad,
              static_cast<unsigned long long>(count));
  return bad == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
