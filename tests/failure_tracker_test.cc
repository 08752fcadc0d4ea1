// Whether a failure is attributed to the job or to the machine.
#include "core/partition/failure_tracker.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace pitchfall {
namespace {

// Whether other tasks of the job have completed.
constexpr bool kSucceedsElsewhere = true;
constexpr bool kNeverSucceeded = false;

// Records failures at one moment.
class FailureTrackerTest : public ::testing::Test {
 protected:
  FailureTracker::FaultVerdict Fail(const std::string& machine,
                                    const std::string& job, bool job_succeeds) {
    return tracker_.RecordFailure(machine, job, job_succeeds, now_);
  }

  FailureTracker tracker_;
  SteadyTime now_{Seconds(1000)};
};

TEST_F(FailureTrackerTest, AJobThatFailsOnThreeMachinesIsAtFault) {
  EXPECT_FALSE(Fail("m-1", "run-1", kNeverSucceeded).job_at_fault);
  EXPECT_FALSE(Fail("m-2", "run-1", kNeverSucceeded).job_at_fault);
  EXPECT_EQ(tracker_.MachinesToAvoid("run-1", now_).size(), 2u);
  EXPECT_TRUE(tracker_.MayRetry("run-1", now_));
  FailureTracker::FaultVerdict third = Fail("m-3", "run-1", kNeverSucceeded);
  EXPECT_TRUE(third.job_at_fault);
  EXPECT_FALSE(third.machine_at_fault);
  EXPECT_EQ(third.machines, 3u);
  // The next attempt waits, and may then run on any machine.
  EXPECT_TRUE(tracker_.MachinesToAvoid("run-1", now_).empty());
  EXPECT_FALSE(tracker_.MayRetry("run-1", now_));
  EXPECT_TRUE(tracker_.MayRetry("run-1", now_ + third.retry_in));
  EXPECT_EQ(tracker_.FailingJobs(10), std::vector<std::string>{"run-1"});
  EXPECT_TRUE(tracker_.FailingJobs(0).empty());
}

TEST_F(FailureTrackerTest, RetryDelaysGrowToAMinute) {
  Duration before{0};
  for (int i = 0; i < 30; ++i) {
    FailureTracker::FaultVerdict failure =
        Fail("m-" + std::to_string(i), "run-1", kNeverSucceeded);
    if (!failure.job_at_fault) continue;
    EXPECT_GE(failure.retry_in, before);
    before = failure.retry_in;
  }
  EXPECT_EQ(before, Seconds(60));
}

TEST_F(FailureTrackerTest, AMachineIsAtFaultForJobsThatSucceedElsewhere) {
  EXPECT_TRUE(Fail("m-new", "run-1", kSucceedsElsewhere).machine_at_fault);
  // A machine that has completed tasks may fail once without being at fault.
  EXPECT_TRUE(tracker_.RecordSuccess("m-old", "run-2").empty());
  EXPECT_FALSE(Fail("m-old", "run-3", kSucceedsElsewhere).machine_at_fault);
  EXPECT_TRUE(Fail("m-old", "run-3", kSucceedsElsewhere).machine_at_fault);
  EXPECT_EQ(tracker_.ErrorsOn("m-old"), 2);
}

TEST_F(FailureTrackerTest, AMachineIsAtFaultForThreeJobsOfUnknownHealth) {
  EXPECT_FALSE(Fail("m-1", "run-1", kNeverSucceeded).machine_at_fault);
  EXPECT_FALSE(Fail("m-1", "run-2", kNeverSucceeded).machine_at_fault);
  EXPECT_TRUE(Fail("m-1", "run-3", kNeverSucceeded).machine_at_fault);
}

TEST_F(FailureTrackerTest, FaultyJobsDoNotCountAgainstMachines) {
  for (const char* job : {"run-1", "run-2", "run-3"}) {
    for (const char* machine : {"m-1", "m-2", "m-3"}) {
      Fail(machine, job, kNeverSucceeded);
      tracker_.RecordSuccess(machine, "run-fine");
    }
  }
  Fail("m-4", "run-1", kNeverSucceeded);
  Fail("m-4", "run-2", kNeverSucceeded);
  EXPECT_FALSE(Fail("m-4", "run-3", kNeverSucceeded).machine_at_fault);
}

// There may be no other machine, and a task must not wait for ever while there
// is free capacity.
TEST_F(FailureTrackerTest, MachinesAreAvoidedForAWhile) {
  Fail("m-1", "run-1", kNeverSucceeded);
  tracker_.RecordReplicaEnd("m-2", "run-1", now_);
  EXPECT_EQ(tracker_.MachinesToAvoid("run-1", now_),
            (std::set<std::string>{"m-1", "m-2"}));
  EXPECT_EQ(tracker_.MachinesToAvoid("run-1", now_ + Seconds(15)),
            std::set<std::string>{"m-1"});
  EXPECT_TRUE(tracker_.MachinesToAvoid("run-1", now_ + Seconds(60)).empty());
  // The end of a replica that had run well does not count as a failure.
  EXPECT_EQ(tracker_.FailedJobsOn("m-2"), 0u);
}

TEST_F(FailureTrackerTest, ASuccessElsewhereShowsWhichMachinesWereAtFault) {
  Fail("m-1", "run-1", kNeverSucceeded);
  Fail("m-2", "run-1", kNeverSucceeded);
  // m-2 has completed a task since, so it is not at fault.
  tracker_.RecordSuccess("m-2", "run-2");
  EXPECT_EQ(tracker_.RecordSuccess("m-3", "run-1"),
            std::vector<std::string>{"m-1"});
  EXPECT_TRUE(tracker_.MachinesToAvoid("run-1", now_).empty());
  tracker_.ForgetMachine("m-1");
  EXPECT_EQ(tracker_.FailedJobsOn("m-1"), 0u);
}

}  // namespace
}  // namespace pitchfall
