// Tests the free capacity by size of tasks and the table of all partitions.
#include "core/model/free_capacity.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <utility>

namespace pitchfall {
namespace {

constexpr int64_t kCpu = 1000000;
constexpr SteadyTime kNow{Millis(60000)};

JobSpec JobOfCpus(int64_t cpus, bool spot = false) {
  JobSpec spec;
  spec.resources.cpus = cpus * kCpu;
  spec.spot = spot;
  return spec;
}

FreeCapacity MachinesOf(int64_t cpus, int count, bool spot = false) {
  FreeCapacity free;
  for (int n = 0; n < count; ++n) free.AddMachine(cpus * kCpu, spot);
  return free;
}

TEST(FreeCapacity, SmallRemaindersHoldNoLargeTasks) {
  CapacityTable table(1);
  table.Update(0, MachinesOf(1, 8), kNow);
  EXPECT_EQ(table.TaskCapacity(0, JobOfCpus(1), kNow), 8);
  EXPECT_EQ(table.TaskCapacity(0, JobOfCpus(4), kNow), 0);
}

TEST(FreeCapacity, OverbookedMachineCountsForNothing) {
  FreeCapacity free;
  free.AddMachine(-kCpu, false);
  EXPECT_EQ(free, FreeCapacity{});
}

TEST(CapacityTable, SpotMachinesAreForSpotJobsOnly) {
  CapacityTable table(1);
  table.Update(0, MachinesOf(4, 2, true), kNow);
  EXPECT_EQ(table.TaskCapacity(0, JobOfCpus(4), kNow), 0);
  EXPECT_EQ(table.TaskCapacity(0, JobOfCpus(4, true), kNow), 2);
}

TEST(CapacityTable, OldAnnouncementsAndUnknownPartitionsCountAsFull) {
  CapacityTable table(1);
  table.Update(0, MachinesOf(4, 2), kNow);
  table.Update(1, MachinesOf(4, 2), kNow);
  EXPECT_EQ(table.TaskCapacity(0, JobOfCpus(4), kNow + Millis(2500)), 2);
  EXPECT_EQ(table.TaskCapacity(0, JobOfCpus(4), kNow + Millis(2501)), 0);
  EXPECT_EQ(table.TaskCapacity(1, JobOfCpus(4), kNow), 0);
}

TEST(CapacityTable, ReservationsHoldUntilTheNextAnnouncement) {
  CapacityTable table(1);
  table.Update(0, MachinesOf(4, 2), kNow);
  table.Reserve(0, JobOfCpus(4), 3);
  EXPECT_EQ(table.TaskCapacity(0, JobOfCpus(4), kNow), 0);
  table.Update(0, MachinesOf(4, 2), kNow);
  EXPECT_EQ(table.TaskCapacity(0, JobOfCpus(4), kNow), 2);
}

TEST(CapacityTable, MostAndNextFreeCapacity) {
  using PartitionAndTasks = std::pair<uint32_t, int64_t>;
  CapacityTable table(3);
  table.Update(0, MachinesOf(4, 1), kNow);
  table.Update(2, MachinesOf(4, 2), kNow);
  JobSpec spec = JobOfCpus(4);
  EXPECT_EQ(table.MostFreeCapacity(spec, 1, std::nullopt, kNow),
            PartitionAndTasks(2, 2));
  EXPECT_EQ(table.MostFreeCapacity(spec, 1, 2, kNow), PartitionAndTasks(0, 1));
  EXPECT_EQ(table.MostFreeCapacity(JobOfCpus(8), 1, std::nullopt, kNow),
            PartitionAndTasks(1, 0));
  EXPECT_EQ(table.NextWithCapacity(spec, 0, kNow), PartitionAndTasks(2, 2));
  EXPECT_EQ(table.NextWithCapacity(spec, 2, kNow), PartitionAndTasks(0, 1));
  EXPECT_EQ(table.NextWithCapacity(JobOfCpus(8), 1, kNow),
            PartitionAndTasks(1, 0));
}

}  // namespace
}  // namespace pitchfall
