// Failures that overlap, most of them with messages that are lost, late or
// duplicated. Each test schedules one combination over the real core in the
// simulated deployment, whose reference model checks the rules. docs/testing.md
// has the table of all combinations.
#include <gtest/gtest.h>

#include <string>

#include "sim/play.h"

namespace pitchfall::sim {
namespace {

TEST(CompoundFailure, TeamsAtTheirLimitsCancelOnMachinesThatAreCutOffOrHang) {
  for (bool hang : {false, true}) {
    Play(
        [](SimulationConfig& config) {
          config.team_limit = 16;
          config.longest_run_s = 20;
          config.end = Seconds(700);
        },
        [hang](ClusterSimulation& simulation) {
          simulation.At(30, [&simulation, hang] {
            if (hang) {
              simulation.HangMachines(0.6, 5);
            } else {
              simulation.CutMachines(0.6, 14, true);
            }
          });
          simulation.At(30.5, [&simulation] { simulation.CancelNow(6, 0); });
          simulation.At(31, [&simulation] {
            simulation.CrashNode(simulation.OwnerOf(0), Seconds(4));
          });
          simulation.At(33, [&simulation] { simulation.CancelNow(3, 5); });
          simulation.CalmFrom(46);
        },
        [](ClusterSimulation& simulation) {
          EXPECT_GT(simulation.cancelled(), 0);
        });
  }
}

// Copies of heartbeats from before the change of owner reach all controllers
// when the new owner begins, or 1.5 or 8 s later, when it has acted.
TEST(CompoundFailure, OldHeartbeatsReachEveryControllerAsANewLeaderBegins) {
  for (double delay_s : {0.0, 1.5, 8.0}) {
    Play([](SimulationConfig& config) { config.jobs_within = Seconds(90); },
         [delay_s](ClusterSimulation& simulation) {
           simulation.At(5, [&simulation, delay_s] {
             simulation.KeepHeartbeatsForNextOwner(0.3, 90, delay_s);
           });
           for (int i = 0; i < 4; ++i) {
             simulation.At(25 + 18 * i, [&simulation, i] {
               simulation.CrashNode(
                   simulation.OwnerOf(static_cast<uint32_t>(i % 3)),
                   Millis(i % 2 == 0 ? 300 : 4000));
             });
             simulation.At(27 + 18 * i, [&simulation] {
               simulation.CutMachines(0.4, 9, false);
             });
           }
           simulation.CalmFrom(100);
         });
  }
}

TEST(CompoundFailure,
     MachinesUpAtOnceGetWorkWhileWritesAreLateAndTheLeaderEnds) {
  Play(
      [](SimulationConfig& config) {
        config.jobs = 40;
        config.jobs_within = Seconds(50);
        config.longest_run_s = 15;
      },
      [](ClusterSimulation& simulation) {
        simulation.At(2, [&simulation] { simulation.LateWrites(0.4, 60); });
        for (int i = 0; i < 5; ++i) {
          simulation.At(6 + 11 * i, [&simulation] {
            simulation.CrashNode(simulation.OwnerOf(0), Millis(700));
          });
        }
        simulation.CalmFrom(75);
      });
}

// No controller may give an answer older than one that any controller has given
// before.
TEST(CompoundFailure, UsersAskAllControllersRightAfterEachAnswer) {
  for (bool slow : {false, true}) {
    Play(
        [](SimulationConfig& config) {
          config.jobs = 60;
          config.jobs_within = Seconds(60);
          config.longest_run_s = 6;
          config.cancel_share = 0.3;
          config.lost_reply = 0.02;
        },
        [slow](ClusterSimulation& simulation) {
          simulation.WatchAnswersClosely(120);
          simulation.CancelAtEnd(0.3);
          if (slow) {
            simulation.At(10, [&simulation] { simulation.SlowState(60); });
            simulation.At(30, [&simulation] { simulation.SlowNode(1, 20); });
          }
          simulation.At(40, [&simulation] {
            simulation.CrashNode(simulation.OwnerOf(0), Millis(300));
          });
          simulation.CalmFrom(72);
        },
        [](ClusterSimulation& simulation) {
          EXPECT_GT(simulation.cancelled(), 0);
        });
  }
}

TEST(CompoundFailure, OneTaskJobsComeFourASecondAndAQuarterIsCancelled) {
  static constexpr int kJobs = 600;
  constexpr double kPerSecond = 4;
  Play(
      [](SimulationConfig& config) {
        config.jobs = 0;
        config.end = Seconds(500);
      },
      [](ClusterSimulation& simulation) {
        for (int i = 0; i < kJobs; ++i) {
          std::string id = "run-61" + std::to_string(1000 + i);
          simulation.AddJobAt(1 + i / kPerSecond, id, 1, 4);
          if (i % 4 == 0)
            simulation.CancelAt(1 + i / kPerSecond + 0.5 + i % 7, id);
        }
        for (int i = 0; i < 4; ++i) {
          simulation.At(30 + 30 * i, [&simulation] {
            simulation.CrashNode(simulation.OwnerOf(0), Seconds(2));
          });
        }
        simulation.CalmFrom(125);
      },
      [](ClusterSimulation& simulation) {
        EXPECT_EQ(simulation.accepted(), kJobs);
        EXPECT_GT(simulation.cancelled(), kJobs / 10);
      });
}

// Jobs are cancelled every 0.4 s while the owner's partition is handed over
// (its workers cannot reach it) or taken over (its process ends).
TEST(CompoundFailure, CancellationsDuringHandoversAndTakeovers) {
  for (bool handed_over : {false, true}) {
    Play([](SimulationConfig& config) { config.jobs = 40; },
         [handed_over](ClusterSimulation& simulation) {
           simulation.At(30, [&simulation, handed_over] {
             size_t owner = simulation.OwnerOf(0);
             if (handed_over) {
               simulation.CutNode(owner, {.workers = true}, 12);
             } else {
               simulation.CrashNode(owner, Seconds(5));
             }
           });
           for (int i = 0; i < 16; ++i) {
             simulation.At(30 + 0.4 * i,
                           [&simulation] { simulation.CancelNow(1, 0); });
           }
           simulation.CalmFrom(45);
         },
         [](ClusterSimulation& simulation) {
           EXPECT_GT(simulation.cancelled(), 5);
         });
  }
}

// The controller that lost the answer has to find out whether its transaction
// was carried out, while the others read what was written and act on it.
TEST(CompoundFailure, TransactionsAreCarriedOutAndOnlyTheirAnswersAreLost) {
  Play(
      [](SimulationConfig& config) {
        config.jobs = 40;
        config.longest_run_s = 12;
        config.cancel_share = 0.2;
      },
      [](ClusterSimulation& simulation) {
        simulation.At(3,
                      [&simulation] { simulation.LoseWriteAnswers(0.4, 80); });
        simulation.At(5, [&simulation] { simulation.WatchAnswersClosely(80); });
        for (int i = 0; i < 4; ++i) {
          simulation.At(15 + 15 * i, [&simulation] {
            simulation.CrashNode(simulation.OwnerOf(0), Millis(400));
          });
        }
        simulation.CalmFrom(100);
      });
}

// Stop commands of the former owner arrive at a machine after the new owner has
// shown its fencing token and started other tasks there.
TEST(CompoundFailure, CommandsOfADeposedLeaderArriveAfterTheNewLeaders) {
  Play([](SimulationConfig& config) { config.jobs = 40; },
       [](ClusterSimulation& simulation) {
         simulation.At(20,
                       [&simulation] { simulation.DelayCommands(0.9, 40); });
         for (int i = 0; i < 3; ++i) {
           simulation.At(25 + 12 * i,
                         [&simulation] { simulation.CancelNow(4, 0); });
           // The leader is deposed but alive. It keeps its workers until they
           // see the new owner's fencing token.
           simulation.At(25.3 + 12 * i, [&simulation] {
             simulation.CutNode(simulation.OwnerOf(0),
                                {.state = true, .peers = true}, 7);
           });
         }
         simulation.CalmFrom(80);
       },
       [](ClusterSimulation& simulation) {
         EXPECT_GT(simulation.cancelled(), 0);
       });
}

}  // namespace
}  // namespace pitchfall::sim
