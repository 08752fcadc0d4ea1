// The pieces of the core by themselves: what proves a task to be gone, what a
// worker is told, what the mirror makes of changes, who has to make room.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>

#include "core/budget.h"
#include "core/demand.h"
#include "core/hash.h"
#include "core/machines.h"
#include "core/mirror.h"
#include "core/placement.h"
#include "core/preemption.h"

namespace pitchfall {
namespace {

constexpr uint64_t kToken = 50;

JobSpec Spec(const std::string& id, uint32_t tasks, double cpus) {
  JobSpec spec;
  spec.id = id;
  spec.team = "red";
  spec.job_class = "x";
  spec.tasks = tasks;
  spec.need = Resources::FromDecimals(cpus, 0, 1);
  spec.image = "img";
  spec.spot = true;
  spec.estimate = Seconds(10);
  return spec;
}

Change JobChange(const JobSpec& spec, uint64_t stamp,
                 JobState state = JobState::kAccepted) {
  JobRecord record;
  record.spec = spec;
  record.state = state;
  record.chunk_size = 8;
  return {keys::Job(spec.id), record, stamp};
}

Change ChunkChange(const std::string& id, uint32_t chunk, uint64_t stamp,
                   std::vector<Assignment> assigned, uint32_t done = 0) {
  ChunkRecord record;
  record.part = 0;
  record.assigned = std::move(assigned);
  for (uint32_t task = 0; task < done; ++task) AddTask(record.done, task);
  return {keys::Chunk(id, chunk), record, stamp};
}

// ---- Proofs ----

class Proof : public ::testing::Test {
 protected:
  Proof() {
    job_.record.spec = Spec("run-1", 4, 1);
    machine_.name = "m-1";
    WorkerReport report;
    report.session = 2;
    report.seq = 10;
    report.token = kToken;
    machine_.report = report;
    task_.job = &job_;
    task_.attempt = 3;
  }
  void Reported(TaskState state, ExitCause cause = ExitCause::kNone,
                uint32_t attempt = 3) {
    machine_.report->tasks.push_back({"run-1", 0, attempt, state, cause});
  }
  Verdict Ask(bool wanted = true) {
    return Judge(machine_, {"run-1", 0}, task_, kToken, wanted);
  }
  Job job_;
  Machine machine_;
  HeldTask task_;
};

TEST_F(Proof, NothingFollowsFromAReportOlderThanTheToken) {
  task_.inherited = true;
  machine_.report->token = kToken - 1;
  EXPECT_EQ(Ask(), Verdict::kHeld);
  Reported(TaskState::kExited, ExitCause::kStopped);
  EXPECT_EQ(Ask(), Verdict::kHeld);
}

TEST_F(Proof, AnInheritedTaskThatANewReportLacksIsGone) {
  task_.inherited = true;
  EXPECT_EQ(Ask(), Verdict::kGone);
}

TEST_F(Proof, AStartOnItsWayIsNotGone) {
  task_.start_sent = std::pair<uint64_t, uint64_t>(2, 10);
  EXPECT_EQ(Ask(true), Verdict::kHeld);
  EXPECT_EQ(Ask(false), Verdict::kHeld);
}

TEST_F(Proof, AStartThatANewerReportLacksWasNotCarriedOut) {
  task_.start_sent = std::pair<uint64_t, uint64_t>(2, 9);
  EXPECT_EQ(Ask(true), Verdict::kHeld);  // sent again
  EXPECT_EQ(Ask(false), Verdict::kGone);
}

// In a session that ended the try may have run: it must not be started again.
TEST_F(Proof, ANewSessionEndsWhatWasStartedBefore) {
  task_.start_sent = std::pair<uint64_t, uint64_t>(1, 9);
  EXPECT_EQ(Ask(true), Verdict::kGone);
}

TEST_F(Proof, AnotherTryOfTheTaskSaysNothing) {
  task_.start_sent = std::pair<uint64_t, uint64_t>(2, 10);
  Reported(TaskState::kExited, ExitCause::kDone, 2);
  EXPECT_EQ(Ask(), Verdict::kHeld);
}

TEST_F(Proof, EndsAreWhatTheyAre) {
  Reported(TaskState::kExited, ExitCause::kDone);
  EXPECT_EQ(Ask(), Verdict::kDone);
  machine_.report->tasks[0].cause = ExitCause::kError;
  EXPECT_EQ(Ask(), Verdict::kFailed);
  machine_.report->tasks[0].cause = ExitCause::kNoRoom;
  EXPECT_EQ(Ask(), Verdict::kRefused);
  machine_.report->tasks[0].cause = ExitCause::kStopped;
  EXPECT_EQ(Ask(), Verdict::kGone);
  machine_.report->tasks[0].state = TaskState::kSaving;
  EXPECT_EQ(Ask(), Verdict::kHeld);
}

// ---- Orders ----

TEST_F(Proof, OrdersFollowWhatIsStored) {
  machine_.held[{"run-1", 0}] = task_;
  Reported(TaskState::kRunning, ExitCause::kNone, 2);  // a try of the past
  machine_.report->tasks.push_back(
      {"run-9", 1, 1, TaskState::kExited, ExitCause::kDone});
  OrderPolicy policy{kToken, true, [](const HeldTask&) { return true; }};
  std::vector<Order> orders = MakeOrders(machine_, policy);
  ASSERT_EQ(orders.size(), 3u);
  EXPECT_EQ(orders[0].op, Order::Op::kStop);
  EXPECT_EQ(orders[0].attempt, 2u);
  EXPECT_EQ(orders[1].op, Order::Op::kForget);
  EXPECT_EQ(orders[1].job, "run-9");
  EXPECT_EQ(orders[2].op, Order::Op::kStart);
  EXPECT_EQ(orders[2].attempt, 3u);
  // The end of a held task is not forgotten before it is stored.
  machine_.report->tasks = {
      {"run-1", 0, 3, TaskState::kExited, ExitCause::kDone}};
  EXPECT_TRUE(MakeOrders(machine_, policy).empty());
}

TEST_F(Proof, NothingStartsWhenItMayNotOrIsNotWanted) {
  machine_.held[{"run-1", 0}] = task_;
  OrderPolicy no_starts{kToken, false, [](const HeldTask&) { return true; }};
  EXPECT_TRUE(MakeOrders(machine_, no_starts).empty());
  OrderPolicy unwanted{kToken, true, [](const HeldTask&) { return false; }};
  EXPECT_TRUE(MakeOrders(machine_, unwanted).empty());
}

// ---- Mirror ----

TEST(Mirror, OlderNewsDoesNotUndoNewer) {
  Mirror mirror;
  mirror.Apply(JobChange(Spec("run-1", 8, 1), 5));
  mirror.Apply(JobChange(Spec("run-1", 8, 1), 9, JobState::kCancelled));
  mirror.Apply(JobChange(Spec("run-1", 8, 1), 7, JobState::kDone));
  EXPECT_EQ(mirror.FindJob("run-1")->record.state, JobState::kCancelled);
}

// Our own deletion is applied before a reading shows it; the reading on its way
// still has the key's earlier values.
TEST(Mirror, ADeletedKeyDoesNotComeBack) {
  Mirror mirror;
  mirror.Apply(JobChange(Spec("run-1", 8, 1), 1));
  mirror.AdvanceTo(1);
  mirror.Apply({keys::Chunk("run-1", 0), std::nullopt, 6});
  mirror.Apply(ChunkChange("run-1", 0, 4, {{0, 1, "m-1", "a"}}));
  EXPECT_EQ(mirror.FindJob("run-1")->assigned, 0u);
  mirror.AdvanceTo(6);
  mirror.Apply(ChunkChange("run-1", 0, 8, {{0, 1, "m-1", "a"}}));
  EXPECT_EQ(mirror.FindJob("run-1")->assigned, 1u);
}

TEST(Mirror, UnreadableRecordsArePassedOver) {
  Mirror mirror;
  mirror.Apply(JobChange(Spec("run-1", 8, 1), 1));
  Change change = ChunkChange("run-1", 0, 2, {{0, 1, "m-1", "a"}});
  mirror.Apply(change);
  change.value.reset();
  change.stamp = 3;
  change.unreadable = true;
  mirror.Apply(change);
  EXPECT_EQ(mirror.FindJob("run-1")->assigned, 1u);
  EXPECT_EQ(mirror.FindJob("run-1")->FindChunk(0)->stamp, 2u);
}

// Counted from scratch after every step of a random history.
TEST(Mirror, CountsMatchAPlainCount) {
  std::mt19937 random(9);
  Mirror mirror;
  std::map<std::pair<int, uint32_t>, std::pair<size_t, uint32_t>> plain;
  for (int job = 0; job < 5; ++job) {
    mirror.Apply(JobChange(Spec("run-" + std::to_string(job), 40, 1),
                           static_cast<uint64_t>(job) + 1));
  }
  for (uint64_t stamp = 10; stamp < 500; ++stamp) {
    int job = static_cast<int>(random() % 5);
    uint32_t chunk = random() % 5;
    std::string id = "run-" + std::to_string(job);
    if (random() % 5 == 0) {
      mirror.Apply({keys::Chunk(id, chunk), std::nullopt, stamp});
      plain.erase({job, chunk});
    } else {
      std::vector<Assignment> assigned;
      for (uint32_t n = random() % 4; n > 0; --n) {
        assigned.push_back({chunk * 8 + n, 1, "m", "a"});
      }
      uint32_t done = random() % 4;
      plain[{job, chunk}] = {assigned.size(), done};
      mirror.Apply(ChunkChange(id, chunk, stamp, assigned, done));
    }
    size_t on = 0;
    uint32_t done = 0;
    for (const auto& [key, value] : plain) {
      if (key.first != job) continue;
      on += value.first;
      done += value.second;
    }
    EXPECT_EQ(mirror.FindJob(id)->assigned, on);
    EXPECT_EQ(mirror.FindJob(id)->done, done);
  }
}

// ---- Order, room, preemption ----

Deployment OneTeam(double guaranteed, double limit) {
  Deployment d;
  Team team;
  team.name = "red";
  team.cpus_guaranteed = Resources::FromDecimal(guaranteed);
  team.cpus_limit = Resources::FromDecimal(limit);
  d.teams["red"] = team;
  return d;
}

TEST(OrderJobs, GuaranteeThenPriorityThenDeadlineThenAge) {
  Mirror mirror;
  auto add = [&](const char* id, Priority priority, double due, int64_t at,
                 const char* team, double cpus) {
    JobSpec spec = Spec(id, 1, cpus);
    spec.priority = priority;
    spec.team = team;
    if (due > 0) spec.deadline = Seconds(due);
    Change change = JobChange(spec, 1);
    std::get<JobRecord>(*change.value).submitted = WallTime(Duration(at));
    mirror.Apply(change);
  };
  Deployment d = OneTeam(4, 0);
  d.teams["blue"].name = "blue";
  add("run-1", Priority::kHigh, 0, 1, "blue", 1);
  add("run-2", Priority::kHigh, 50, 2, "blue", 1);
  add("run-3", Priority::kLow, 0, 3, "red", 1);
  add("run-4", Priority::kNormal, 0, 4, "blue", 1);
  add("run-5", Priority::kNormal, 0, 0, "blue", 1);
  std::vector<std::string> order;
  for (const Job* job : OrderJobs(mirror, WallTime(), d))
    order.push_back(job->spec().id);
  EXPECT_EQ(order, (std::vector<std::string>{"run-3", "run-2", "run-1", "run-5",
                                             "run-4"}));
}

TEST(Preemption, StopsOnlyLesserTasksThatCanSaveAndOnlyAsManyAsNeeded) {
  Mirror mirror;
  Deployment d = OneTeam(0, 10);
  JobSpec low = Spec("run-1", 8, 2);
  low.priority = Priority::kLow;
  low.checkpoint = Seconds(20);
  JobSpec plain = Spec("run-2", 8, 1);
  plain.priority = Priority::kLow;
  JobSpec high = Spec("run-3", 2, 2);
  high.priority = Priority::kHigh;
  mirror.Apply(JobChange(low, 1));
  mirror.Apply(JobChange(plain, 2));
  mirror.Apply(ChunkChange(
      "run-1", 0, 3,
      {{0, 1, "m-1", "a"}, {1, 1, "m-1", "a"}, {2, 1, "m-1", "a"}}));
  mirror.Apply(
      ChunkChange("run-2", 0, 4, {{0, 1, "m-1", "a"}, {1, 1, "m-1", "a"}}));
  EXPECT_TRUE(
      ChooseVictims(mirror, d, OrderJobs(mirror, WallTime(), d)).empty());
  mirror.Apply(JobChange(high, 5));
  // 8 of 10 in use: one of the two high tasks fits, the other needs one stop.
  auto victims = ChooseVictims(mirror, d, OrderJobs(mirror, WallTime(), d));
  ASSERT_EQ(victims.size(), 1u);
  EXPECT_EQ(victims.begin()->job, "run-1");
  EXPECT_EQ(victims.begin()->task, 2u);
}

TEST(Preemption, EqualPriorityMakesNoRoom) {
  Mirror mirror;
  Deployment d = OneTeam(0, 4);
  JobSpec first = Spec("run-1", 8, 2);
  first.checkpoint = Seconds(20);
  mirror.Apply(JobChange(first, 1));
  mirror.Apply(
      ChunkChange("run-1", 0, 3, {{0, 1, "m-1", "a"}, {1, 1, "m-1", "a"}}));
  mirror.Apply(JobChange(Spec("run-2", 2, 2), 4));
  EXPECT_TRUE(
      ChooseVictims(mirror, d, OrderJobs(mirror, WallTime(), d)).empty());
}

TEST(Demand, StaysWithinATeamsLimit) {
  Mirror mirror;
  Deployment d = OneTeam(0, 10);
  mirror.Apply(JobChange(Spec("run-1", 20, 3), 1));
  Demand demand = MeasureDemand(mirror, d, {}, WallTime(), 3, std::nullopt);
  EXPECT_EQ(demand.waiting, 3u);
  EXPECT_EQ(demand.requested.cpus, Resources::FromDecimal(9));
  // A job that fails everywhere asks for nothing.
  EXPECT_EQ(
      MeasureDemand(mirror, d, {"run-1"}, WallTime(), 3, std::nullopt).waiting,
      0u);
}

TEST(Demand, PressureGrowsAsTimeRunsOut) {
  Deployment d;
  Objective objective{"finished", "x", Seconds(100), 0.9};
  d.objectives.push_back(objective);
  Job job;
  job.record.spec = Spec("run-1", 4, 1);  // runs for 10 s
  auto at = [&](double age) {
    return Pressure(job, WallTime(Seconds(age)), d);
  };
  EXPECT_NEAR(at(0), 0.1, 1e-9);
  EXPECT_NEAR(at(50), 0.2, 1e-9);
  EXPECT_NEAR(at(95), 1.0, 1e-9);
  EXPECT_LT(at(101), 1.0);
  d.objectives.clear();
  EXPECT_EQ(at(0), 1.0);
}

TEST(Places, FollowTheJobsRules) {
  Machine machine;
  machine.zone = "a";
  machine.type = "g8";
  machine.spot = true;
  JobSpec spec = Spec("run-1", 5, 1);
  EXPECT_TRUE(Allowed(spec, machine, {}));
  spec.spot = false;
  EXPECT_FALSE(Allowed(spec, machine, {}));
  spec.spot = true;
  spec.zone = "b";
  EXPECT_FALSE(Allowed(spec, machine, {}));
  spec.zone = "";
  spec.types = std::vector<std::string>{"g9"};
  EXPECT_FALSE(Allowed(spec, machine, {}));
  spec.types.reset();
  spec.one_zone = true;
  EXPECT_FALSE(Allowed(spec, machine, ZoneUse{{{"b", 1}}, 1}));
  EXPECT_TRUE(Allowed(spec, machine, ZoneUse{{{"a", 1}}, 1}));
  spec.one_zone = false;
  spec.spread = true;  // at most 3 of 5 in one zone
  EXPECT_TRUE(Allowed(spec, machine, ZoneUse{{{"a", 2}}, 2}));
  EXPECT_FALSE(Allowed(spec, machine, ZoneUse{{{"a", 3}}, 3}));
}

TEST(Resources, SumsOfDecimalsStayExact) {
  Resources need = Resources::FromDecimals(0.1, 0, 2.7);
  Resources room = Resources::FromDecimals(1, 0, 27);
  EXPECT_EQ(need.CountIn(room, 100), 10);
  Resources used;
  for (int i = 0; i < 10; ++i) used += need;
  EXPECT_EQ(used, room);
}

TEST(TokenBucket, HoldsItsRate) {
  TokenBucket bucket(10, 5);
  SteadyTime now{Seconds(1)};
  int taken = 0;
  for (int ms = 0; ms < 10000; ms += 10) {
    while (bucket.Take(now + Millis(ms), 1)) ++taken;
  }
  EXPECT_NEAR(taken, 105, 1);
  bucket.Drain(now + Seconds(20));
  EXPECT_FALSE(bucket.Take(now + Seconds(20), 1));
}

TEST(PartOf, MovesFewMachinesAndAllToTheNewPart) {
  int moved = 0;
  std::map<uint32_t, int> sizes;
  for (int i = 0; i < 3000; ++i) {
    std::string name = "m-" + std::to_string(100000 + i);
    uint32_t three = PartOf(name, 3);
    uint32_t four = PartOf(name, 4);
    ++sizes[three];
    if (three != four) {
      ++moved;
      EXPECT_EQ(four, 3u);
    }
  }
  EXPECT_NEAR(moved, 750, 100);
  for (const auto& [part, size] : sizes) EXPECT_NEAR(size, 1000, 100);
}

}  // namespace
}  // namespace pitchfall
