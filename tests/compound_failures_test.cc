// Failures that overlap, each schedule bringing one combination about over the
// real core in the simulated deployment, watched by the plain model. Those of
// messages that are lost, late or doubled are here; docs/architecture.md has
// the table of all combinations.
#include <gtest/gtest.h>

#include <string>

#include "sim/play.h"

namespace pitchfall::sim {
namespace {

TEST(CompoundFailure, TeamsAtTheirLimitsCancelOnMachinesThatAreCutOffOrHang) {
  for (bool hang : {false, true}) {
    Play(
        [](WorldConfig& config) {
          config.team_limit = 16;
          config.longest_run_s = 20;
          config.end = Seconds(700);
        },
        [hang](World& world) {
          world.At(30, [&world, hang] {
            if (hang) {
              world.HangMachines(0.6, 5);
            } else {
              world.CutMachines(0.6, 14, true);
            }
          });
          world.At(30.5, [&world] { world.CancelNow(6, 0); });
          world.At(31,
                   [&world] { world.CrashNode(world.OwnerOf(0), Seconds(4)); });
          world.At(33, [&world] { world.CancelNow(3, 5); });
          world.CalmFrom(46);
        },
        [](World& world) { EXPECT_GT(world.cancelled(), 0); });
  }
}

// Copies of heartbeats from before the change reach all controllers as the new
// owner begins, and once more when it has acted.
TEST(CompoundFailure, OldHeartbeatsReachEveryControllerAsANewLeaderBegins) {
  for (double delay_s : {0.0, 1.5, 8.0}) {
    Play([](WorldConfig& config) { config.jobs_within = Seconds(90); },
         [delay_s](World& world) {
           world.At(5, [&world, delay_s] {
             world.KeepHeartbeatsForNextOwner(0.3, 90, delay_s);
           });
           for (int i = 0; i < 4; ++i) {
             world.At(25 + 18 * i, [&world, i] {
               world.CrashNode(world.OwnerOf(static_cast<uint32_t>(i % 3)),
                               Millis(i % 2 == 0 ? 300 : 4000));
             });
             world.At(27 + 18 * i,
                      [&world] { world.CutMachines(0.4, 9, false); });
           }
           world.CalmFrom(100);
         });
  }
}

TEST(CompoundFailure,
     MachinesUpAtOnceGetWorkWhileWritesAreLateAndTheLeaderEnds) {
  Play(
      [](WorldConfig& config) {
        config.jobs = 40;
        config.jobs_within = Seconds(50);
        config.longest_run_s = 15;
      },
      [](World& world) {
        world.At(2, [&world] { world.LateWrites(0.4, 60); });
        for (int i = 0; i < 5; ++i) {
          world.At(6 + 11 * i, [&world] {
            world.CrashNode(world.OwnerOf(0), Millis(700));
          });
        }
        world.CalmFrom(75);
      });
}

// No controller may answer anything older than what any of them has said.
TEST(CompoundFailure, UsersAskAllControllersRightAfterEachAnswer) {
  for (bool slow : {false, true}) {
    Play(
        [](WorldConfig& config) {
          config.jobs = 60;
          config.jobs_within = Seconds(60);
          config.longest_run_s = 6;
          config.cancel_share = 0.3;
          config.lost_reply = 0.02;
        },
        [slow](World& world) {
          world.WatchAnswersClosely(120);
          world.CancelAtEnd(0.3);
          if (slow) {
            world.At(10, [&world] { world.SlowState(60); });
            world.At(30, [&world] { world.SlowNode(1, 20); });
          }
          world.At(
              40, [&world] { world.CrashNode(world.OwnerOf(0), Millis(300)); });
          world.CalmFrom(72);
        },
        [](World& world) { EXPECT_GT(world.cancelled(), 0); });
  }
}

TEST(CompoundFailure, OneTaskJobsComeFourASecondAndAQuarterIsCancelled) {
  static constexpr int kJobs = 600;
  constexpr double kPerSecond = 4;
  Play(
      [](WorldConfig& config) {
        config.jobs = 0;
        config.end = Seconds(500);
      },
      [](World& world) {
        for (int i = 0; i < kJobs; ++i) {
          std::string id = "run-61" + std::to_string(1000 + i);
          world.AddJobAt(1 + i / kPerSecond, id, 1, 4);
          if (i % 4 == 0) world.CancelAt(1 + i / kPerSecond + 0.5 + i % 7, id);
        }
        for (int i = 0; i < 4; ++i) {
          world.At(30 + 30 * i,
                   [&world] { world.CrashNode(world.OwnerOf(0), Seconds(2)); });
        }
        world.CalmFrom(125);
      },
      [](World& world) {
        EXPECT_EQ(world.accepted(), kJobs);
        EXPECT_GT(world.cancelled(), kJobs / 10);
      });
}

// The owner's work is handed over (its workers cannot reach it) or taken over
// (it ends), and jobs are called off all through these seconds.
TEST(CompoundFailure, CancellationsWhilePartitionsChangeHands) {
  for (bool handed_over : {false, true}) {
    Play([](WorldConfig& config) { config.jobs = 40; },
         [handed_over](World& world) {
           world.At(30, [&world, handed_over] {
             size_t owner = world.OwnerOf(0);
             if (handed_over) {
               world.CutNode(owner, {.workers = true}, 12);
             } else {
               world.CrashNode(owner, Seconds(5));
             }
           });
           for (int i = 0; i < 16; ++i) {
             world.At(30 + 0.4 * i, [&world] { world.CancelNow(1, 0); });
           }
           world.CalmFrom(45);
         },
         [](World& world) { EXPECT_GT(world.cancelled(), 5); });
  }
}

// Whoever lost the answer has to find out; the others read what was written
// and go on from there.
TEST(CompoundFailure, TransactionsAreCarriedOutAndOnlyTheirAnswersAreLost) {
  Play(
      [](WorldConfig& config) {
        config.jobs = 40;
        config.longest_run_s = 12;
        config.cancel_share = 0.2;
      },
      [](World& world) {
        world.At(3, [&world] { world.LoseWriteAnswers(0.4, 80); });
        world.At(5, [&world] { world.WatchAnswersClosely(80); });
        for (int i = 0; i < 4; ++i) {
          world.At(15 + 15 * i, [&world] {
            world.CrashNode(world.OwnerOf(0), Millis(400));
          });
        }
        world.CalmFrom(100);
      });
}

// Stops of the former owner arrive after the new owner has shown its fencing
// token and started other tasks there.
TEST(CompoundFailure, CommandsOfADeposedLeaderArriveAfterTheNewLeaders) {
  Play([](WorldConfig& config) { config.jobs = 40; },
       [](World& world) {
         world.At(20, [&world] { world.DelayCommands(0.9, 40); });
         for (int i = 0; i < 3; ++i) {
           world.At(25 + 12 * i, [&world] { world.CancelNow(4, 0); });
           // Deposed but alive: it keeps its workers until they see the fencing
           // token.
           world.At(25.3 + 12 * i, [&world] {
             world.CutNode(world.OwnerOf(0), {.state = true, .peers = true}, 7);
           });
         }
         world.CalmFrom(80);
       },
       [](World& world) { EXPECT_GT(world.cancelled(), 0); });
}

}  // namespace
}  // namespace pitchfall::sim
