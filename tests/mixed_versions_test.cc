// Tests of rolling upgrades: controllers of the version in production and of
// the present one run side by side on the same data (see
// tests/production.cmake), while they are upgraded one after the other.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "sim/play.h"

namespace pitchfall::sim {
namespace {

constexpr char kService[] = "run-600001";

void MixedConfig(SimulationConfig& config) {
  config.begins_with_production = true;
  config.next_value_kb = 2;
  config.next_txn_ops = 4;
}

// Upgrades the controllers `every` seconds from second `from` on, in an order
// that the seed determines.
void ScheduleUpgrades(ClusterSimulation& simulation, uint64_t seed, double from,
                      double every) {
  std::vector<size_t> order{0, 1, 2};
  std::mt19937_64 random(seed);
  std::shuffle(order.begin(), order.end(), random);
  for (size_t i = 0; i < order.size(); ++i) {
    double down_s = i % 2 == 0 ? 1 : 0.2;
    simulation.At(from + every * static_cast<double>(i),
                  [&simulation, index = order[i], down_s] {
                    simulation.UpgradeNode(index, Seconds(down_s));
                  });
  }
}

TEST(MixedVersions, JobsFinishDuringUpgradesUnderLoad) {
  Play(MixedConfig, [](ClusterSimulation& simulation) {
    ScheduleUpgrades(simulation, 1, 20, 15);
    simulation.AddServiceAt(70, kService, 4, 2);
    simulation.At(75, [&] { simulation.LowerStateLimits(); });
    simulation.At(130, [&] {
      EXPECT_EQ(simulation.replicas_up(kService), 4) << simulation.Story();
    });
    simulation.CancelAt(200, kService);
  });
}

// A standing job is refused until the last controller of the old version is
// gone, also if it only is away for a long time.
TEST(MixedVersions, StandingJobsAreRefusedUntilTheLastUpgrade) {
  Play(MixedConfig, [](ClusterSimulation& simulation) {
    simulation.At(20, [&] { simulation.UpgradeNode(0, Seconds(1)); });
    simulation.At(25, [&] { simulation.UpgradeNode(1, Seconds(1)); });
    simulation.AddServiceAt(30, kService, 4, 2);
    simulation.At(45, [&] {
      EXPECT_EQ(simulation.replicas_up(kService), 0);
      simulation.CrashNode(2, Seconds(60));
    });
    simulation.At(110, [&] { simulation.UpgradeNode(2, Seconds(1)); });
    simulation.At(100, [&] {
      EXPECT_EQ(simulation.replicas_up(kService), 4) << simulation.Story();
    });
    simulation.CancelAt(200, kService);
  });
}

// A controller that crashes before its upgrade comes back with the old version,
// after the others have been upgraded and have accepted standing jobs in its
// absence.
TEST(MixedVersions, OldControllerRestartsAmongUpgradedOnes) {
  Play(MixedConfig, [](ClusterSimulation& simulation) {
    simulation.At(20, [&] { simulation.UpgradeNode(0, Seconds(0.2)); });
    simulation.At(25, [&] { simulation.UpgradeNode(1, Seconds(0.2)); });
    simulation.At(40, [&] { simulation.CrashNode(2, Seconds(30)); });
    simulation.AddServiceAt(50, kService, 4, 2);
    for (int second = 75; second < 85; second += 3) {
      simulation.At(second, [&] { simulation.CrashNode(2, Seconds(0.2)); });
    }
    // Then the upgraded ones are away, and the old one owns all partitions.
    simulation.At(88, [&] {
      simulation.CrashNode(0, Seconds(12));
      simulation.CrashNode(1, Seconds(12));
    });
    simulation.At(95, [&] { simulation.KillMachines(0.3); });
    simulation.At(120, [&] { simulation.UpgradeNode(2, Seconds(1)); });
    simulation.At(180, [&] {
      EXPECT_EQ(simulation.replicas_up(kService), 4) << simulation.Story();
    });
    simulation.CancelAt(190, kService);
  });
}

// Upgrades in various orders among random faults: crashes, cuts, outages of the
// state service, late messages and cancellations. The limits are lowered once
// all controllers have been upgraded.
TEST(MixedVersions, RandomSchedulesBreakNoRule) {
  for (uint64_t seed = 1; seed <= 24; ++seed) {
    SCOPED_TRACE(seed);
    SimulationConfig config;
    config.seed = seed;
    config.partition_count = seed % 4;
    config.compound_faults = seed % 2 == 0;
    config.fleet_faults = seed % 3 == 0;
    MixedConfig(config);
    ClusterSimulation simulation(config);
    ScheduleUpgrades(simulation, seed, 15,
                     2 + static_cast<double>(seed % 5) * 4);
    simulation.AddServiceAt(75, kService, 4, 1);
    simulation.At(80, [&] { simulation.LowerStateLimits(); });
    simulation.CancelAt(240, kService);
    simulation.Run();
    ExpectRulesKept(simulation);
  }
}

// Records of the version in production may exceed the lowered limits: chunks
// with many tasks on machines, and full segments.
TEST(MixedVersions, RecordsLargerThanTheNewLimitsAreReplaced) {
  auto prepare = [](SimulationConfig& config) {
    MixedConfig(config);
    config.jobs = 60;
    config.jobs_within = Seconds(25);
    config.longest_run_s = 30;
    config.capacity = 40;
    config.team_limit = 500;
    config.wide_jobs = 2;
    config.end = Seconds(400);
  };
  Play(prepare, [](ClusterSimulation& simulation) {
    ScheduleUpgrades(simulation, 3, 30, 3);
    simulation.At(42, [&] { simulation.LowerStateLimits(); });
    simulation.At(
        55, [&] { simulation.CrashNode(simulation.OwnerOf(0), Seconds(2)); });
  });
}

}  // namespace
}  // namespace pitchfall::sim
