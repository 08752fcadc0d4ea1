// Standing jobs (services): their replicas run until the job is cancelled, and
// a replica that ends is started again.
#include <gtest/gtest.h>

#include "core/model/job.h"
#include "core/scheduling/demand.h"
#include "core/scheduling/displacement.h"
#include "core/scheduling/placement.h"
#include "sim/play.h"

namespace pitchfall {
namespace {

using sim::ClusterSimulation;
using sim::SimulationConfig;

constexpr char kService[] = "run-600001";
constexpr char kOtherService[] = "run-600002";

void StandingConfig(SimulationConfig& config) {
  config.jobs = 8;
  config.end = Seconds(260);
}

TEST(StandingJobs, RunUntilTheyAreCancelled) {
  sim::Play(StandingConfig, [](ClusterSimulation& simulation) {
    simulation.AddServiceAt(5, kService, 4, 2);
    simulation.AddServiceAt(6, kOtherService, 3, 1).spread = true;
    simulation.At(40, [&] {
      EXPECT_EQ(simulation.replicas_up(kService), 4) << simulation.Story();
      EXPECT_EQ(simulation.replicas_up(kOtherService), 3) << simulation.Story();
    });
    simulation.CancelAt(90, kService);
    simulation.At(112, [&] { EXPECT_EQ(simulation.replicas_up(kService), 0); });
    simulation.At(150,
                  [&] { EXPECT_EQ(simulation.replicas_up(kOtherService), 3); });
    simulation.CancelAt(160, kOtherService);
  });
}

TEST(StandingJobs, ReplicasThatEndRunAgain) {
  sim::Play(StandingConfig, [](ClusterSimulation& simulation) {
    simulation.AddServiceAt(5, kService, 6, 1);
    simulation.At(40, [&] {
      simulation.EndReplicas(1);
      EXPECT_EQ(simulation.replicas_up(kService), 0);
    });
    simulation.At(70, [&] { EXPECT_EQ(simulation.replicas_up(kService), 6); });
    // Replicas that end repeatedly are still started again.
    for (int second = 75; second < 105; second += 5) {
      simulation.At(second, [&] { simulation.EndReplicas(1); });
    }
    simulation.At(170, [&] {
      EXPECT_EQ(simulation.replicas_up(kService), 6) << simulation.Story();
    });
    simulation.CancelAt(172, kService);
  });
}

TEST(StandingJobs, ComeBackWhenMachinesAndControllersAreLost) {
  sim::Play(StandingConfig, [](ClusterSimulation& simulation) {
    simulation.AddServiceAt(5, kService, 5, 2);
    simulation.AddServiceAt(5, kOtherService, 4, 2).one_zone = true;
    simulation.At(40, [&] { simulation.KillMachines(0.5); });
    simulation.At(
        41, [&] { simulation.CrashNode(simulation.OwnerOf(0), Seconds(3)); });
    simulation.At(60, [&] { simulation.StopState(Seconds(10)); });
    simulation.At(62, [&] { simulation.KillMachines(0.3); });
    simulation.At(90, [&] { simulation.CrashAllNodes(4); });
    simulation.At(165, [&] {
      EXPECT_EQ(simulation.replicas_up(kService), 5) << simulation.Story();
      EXPECT_EQ(simulation.replicas_up(kOtherService), 4) << simulation.Story();
    });
    simulation.CancelAt(170, kService);
    simulation.CancelAt(170, kOtherService);
  });
}

// Services run in random schedules that together have all kinds of faults.
TEST(StandingJobs, KeepTheRulesInRandomSchedules) {
  for (uint64_t seed = 101; seed <= 112; ++seed) {
    SCOPED_TRACE(seed);
    SimulationConfig config;
    config.seed = seed;
    config.compound_faults = seed % 2 == 0;
    config.fleet_faults = seed % 3 == 0;
    ClusterSimulation simulation(config);
    simulation.AddServiceAt(3, kService, 4, 1).spread = true;
    simulation.AddServiceAt(20, kOtherService, 3, 2);
    simulation.CancelAt(80, kOtherService);
    simulation.CancelAt(240, kService);
    simulation.At(200, [&] {
      int expected = simulation.called_off(kService) ? 0 : 4;
      EXPECT_EQ(simulation.replicas_up(kService), expected)
          << simulation.Story();
    });
    simulation.Run();
    sim::ExpectRulesKept(simulation);
  }
}

JobSpec ServiceSpec(uint32_t replicas, double cpus) {
  JobSpec spec;
  spec.id = "run-1";
  spec.team = "red";
  spec.job_class = "portal";
  spec.shape = Shape::kService;
  spec.priority = Priority::kProduction;
  spec.tasks = replicas;
  spec.resources = Resources::FromDecimals(cpus, 0, 1);
  spec.image = "img";
  return spec;
}

// `limit`: the processors that the team may use; 0 if it has no limit.
Deployment DeploymentWithTeamLimit(double limit) {
  Deployment deployment;
  deployment.teams["red"] = {.name = "red",
                             .cpus_limit = Resources::FromDecimal(limit)};
  return deployment;
}

TEST(StandingJobs, NeedCapacityForAllReplicasWithinTheTeamsLimit) {
  TypesRecord types;
  types.types.push_back({.name = "g8"});
  types.types[0].capacity = Resources::FromDecimals(8, 0, 32);
  EXPECT_FALSE(FindRejection(ServiceSpec(4, 2), DeploymentWithTeamLimit(8),
                             types, 8192));
  EXPECT_TRUE(FindRejection(ServiceSpec(5, 2), DeploymentWithTeamLimit(8),
                            types, 8192));
  EXPECT_TRUE(FindRejection(ServiceSpec(1, 9), DeploymentWithTeamLimit(0),
                            types, 8192));
}

// A service has an estimate of 0, which must not be taken for work that is done
// at once.
TEST(StandingJobs, RequestAllTheirCapacityAndGoFirst) {
  StateCache state_cache;
  JobRecord service;
  service.spec = ServiceSpec(4, 2);
  service.chunk_size = 1;
  JobRecord batch;
  batch.spec = ServiceSpec(4, 1);
  batch.spec.id = "run-0";
  batch.spec.shape = Shape::kArray;
  batch.spec.estimate = batch.spec.deadline.emplace(Seconds(30));
  batch.chunk_size = 8;
  state_cache.Apply({keys::Job("run-0"), batch, 1});
  state_cache.Apply({keys::Job("run-1"), service, 2});
  Deployment deployment = DeploymentWithTeamLimit(100);
  WallTime now{Seconds(5)};
  auto order = OrderJobs(state_cache, now, deployment);
  ASSERT_EQ(order.size(), 2u);
  EXPECT_EQ(order[0]->spec().id, "run-1");
  EXPECT_EQ(UrgentFraction(*state_cache.FindJob("run-1"), now, deployment), 1);
  Demand demand =
      MeasureDemand(state_cache, deployment, {"run-0"}, now, 1, std::nullopt);
  EXPECT_EQ(demand.requested.cpus, Resources::FromDecimal(8));
}

// Replicas that an earlier version has stored as done count as waiting.
TEST(StandingJobs, ReplicasAreNeverDone) {
  StateCache state_cache;
  JobRecord record;
  record.spec = ServiceSpec(3, 1);
  record.chunk_size = 3;
  state_cache.Apply({keys::Job("run-1"), record, 1});
  ChunkRecord chunk;
  AddTask(chunk.done, 0);
  AddTask(chunk.done, 1);
  AddTask(chunk.done, 2);
  state_cache.Apply(
      {keys::Segment(0, 0), SegmentRecord{{{"run-1", 0, chunk}}}, 2});
  const Job& job = *state_cache.FindJob("run-1");
  EXPECT_EQ(job.done, 0u);
  EXPECT_EQ(job.waiting(), 3u);
  EXPECT_EQ(MakeJobAnswer(job, true).status, JobAnswer::Status::kQueued);
}

// To make capacity for a replica, tasks of lower priority are stopped: those
// that lose the least work, and no more than needed.
TEST(FindDisplacement, ChoosesTheLeastWorkOfLowerPriority) {
  Job low;
  low.record.spec = ServiceSpec(8, 2);
  low.record.spec.id = "run-5";
  low.record.spec.shape = Shape::kArray;
  low.record.spec.priority = Priority::kLow;
  Job same = low;
  same.record.spec.id = "run-6";
  same.record.spec.priority = Priority::kProduction;
  Machine machine;
  machine.capacity = Resources::FromDecimals(8, 0, 32);
  SteadyTime now{Seconds(100)};
  auto bind = [&](const Job& job, uint32_t task, double ran_s) {
    BoundAttempt bound;
    bound.job = &job;
    bound.running_since = now - Seconds(ran_s);
    machine.bound[{job.spec().id, task}] = bound;
    machine.used += job.spec().resources;
  };
  bind(low, 0, 40);
  bind(low, 1, 5);
  bind(same, 0, 1);
  bind(same, 1, 1);
  auto found = FindDisplacement(ServiceSpec(1, 2), machine,
                                ExpectedCapacity(machine), now);
  ASSERT_TRUE(found);
  ASSERT_EQ(found->tasks.size(), 1u);
  EXPECT_EQ(found->tasks[0], TaskKey("run-5", 1));
  EXPECT_EQ(found->lost_cpu_s, 10);
  found = FindDisplacement(ServiceSpec(1, 4), machine,
                           ExpectedCapacity(machine), now);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->tasks.size(), 2u);
  EXPECT_FALSE(FindDisplacement(ServiceSpec(1, 6), machine,
                                ExpectedCapacity(machine), now));
  // A task that is already stopping makes enough capacity.
  machine.bound.at({"run-5", 1}).preempted = true;
  found = FindDisplacement(ServiceSpec(1, 2), machine,
                           ExpectedCapacity(machine), now);
  ASSERT_TRUE(found);
  EXPECT_TRUE(found->tasks.empty());
}

}  // namespace
}  // namespace pitchfall
