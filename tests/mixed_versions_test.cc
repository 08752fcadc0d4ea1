// The version in production and the present one run side by side and work on
// each other's data (see tests/production.cmake), while controllers are
// upgraded one after the other.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "sim/play.h"

namespace pitchfall::sim {
namespace {

constexpr char kService[] = "run-600001";

void MixedConfig(WorldConfig& config) {
  config.begins_with_production = true;
  config.next_value_kb = 2;
  config.next_txn_ops = 4;
}

// In an order that follows from the seed.
void Upgrade(World& world, uint64_t seed, double from, double every) {
  std::vector<size_t> order{0, 1, 2};
  std::mt19937_64 random(seed);
  std::shuffle(order.begin(), order.end(), random);
  for (size_t i = 0; i < order.size(); ++i) {
    double down_s = i % 2 == 0 ? 1 : 0.2;
    world.At(from + every * static_cast<double>(i),
             [&world, index = order[i], down_s] {
               world.UpgradeNode(index, Seconds(down_s));
             });
  }
}

TEST(MixedVersions, UpgradeUnderLoad) {
  Play(MixedConfig, [](World& world) {
    Upgrade(world, 1, 20, 15);
    world.AddServiceAt(70, kService, 4, 2);
    world.At(75, [&] { world.LowerStateLimits(); });
    world.At(130, [&] {
      EXPECT_EQ(world.replicas_up(kService), 4) << world.Told();
    });
    world.CancelAt(200, kService);
  });
}

// A standing job is refused until the last controller of the old version is
// gone, be it for a long time.
TEST(MixedVersions, StandingJobsWaitForTheLastUpgrade) {
  Play(MixedConfig, [](World& world) {
    world.At(20, [&] { world.UpgradeNode(0, Seconds(1)); });
    world.At(25, [&] { world.UpgradeNode(1, Seconds(1)); });
    world.AddServiceAt(30, kService, 4, 2);
    world.At(45, [&] {
      EXPECT_EQ(world.replicas_up(kService), 0);
      world.CrashNode(2, Seconds(60));
    });
    world.At(110, [&] { world.UpgradeNode(2, Seconds(1)); });
    world.At(100, [&] {
      EXPECT_EQ(world.replicas_up(kService), 4) << world.Told();
    });
    world.CancelAt(200, kService);
  });
}

// One that dies before its turn comes back old, also after others have been
// upgraded and have accepted standing jobs in its absence.
TEST(MixedVersions, AnOldControllerComesBackAmongNewOnes) {
  Play(MixedConfig, [](World& world) {
    world.At(20, [&] { world.UpgradeNode(0, Seconds(0.2)); });
    world.At(25, [&] { world.UpgradeNode(1, Seconds(0.2)); });
    world.At(40, [&] { world.CrashNode(2, Seconds(30)); });
    world.AddServiceAt(50, kService, 4, 2);
    for (int second = 75; second < 85; second += 3) {
      world.At(second, [&] { world.CrashNode(2, Seconds(0.2)); });
    }
    // Then the new ones are away, and the old one has all partitions.
    world.At(88, [&] {
      world.CrashNode(0, Seconds(12));
      world.CrashNode(1, Seconds(12));
    });
    world.At(95, [&] { world.KillMachines(0.3); });
    world.At(120, [&] { world.UpgradeNode(2, Seconds(1)); });
    world.At(180, [&] {
      EXPECT_EQ(world.replicas_up(kService), 4) << world.Told();
    });
    world.CancelAt(190, kService);
  });
}

// Upgrades in every order amid random troubles: crashes, cuts, outages of the
// state service, late messages, cancellations; the limits are lowered once all
// have been upgraded.
TEST(MixedVersions, KeepTheRulesInRandomSchedules) {
  for (uint64_t seed = 1; seed <= 24; ++seed) {
    SCOPED_TRACE(seed);
    WorldConfig config;
    config.seed = seed;
    config.partition_count = seed % 4;
    config.meeting_troubles = seed % 2 == 0;
    config.fleet_troubles = seed % 3 == 0;
    MixedConfig(config);
    World world(config);
    Upgrade(world, seed, 15, 2 + static_cast<double>(seed % 5) * 4);
    world.AddServiceAt(75, kService, 4, 1);
    world.At(80, [&] { world.LowerStateLimits(); });
    world.CancelAt(240, kService);
    world.Run();
    ExpectRulesKept(world);
  }
}

// Large records of the version in production outlive the limits under which
// they were stored: chunks with many tasks on machines, and full segments.
TEST(MixedVersions, RecordsLargerThanTheNewLimitsAreReplaced) {
  auto prepare = [](WorldConfig& config) {
    MixedConfig(config);
    config.jobs = 60;
    config.jobs_within = Seconds(25);
    config.longest_run_s = 30;
    config.capacity = 40;
    config.team_limit = 500;
    config.wide_jobs = 2;
    config.end = Seconds(400);
  };
  Play(prepare, [](World& world) {
    Upgrade(world, 3, 30, 3);
    world.At(42, [&] { world.LowerStateLimits(); });
    world.At(55, [&] { world.CrashNode(world.OwnerOf(0), Seconds(2)); });
  });
}

}  // namespace
}  // namespace pitchfall::sim
