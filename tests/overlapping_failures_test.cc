// Failures that overlap. Each test schedules one combination over the real core
// in the simulated deployment, whose reference model checks the rules.
// docs/testing.md has the table: combination, rules at stake, what guards them,
// test, what was found.
#include <gtest/gtest.h>

#include <string>

#include "sim/play.h"

namespace pitchfall::sim {
namespace {

// ---- Restarted machines ----

// Guards against review/4: machines restart while the cloud does not delete
// them, and copies of their earlier heartbeats arrive late. If their owner
// forgets them, it takes such a copy for the newest heartbeat, and tasks that
// run for gone: ran_twice.
TEST(RestartedMachines, RunTasksOnceThoughTheirDeletionIsNotConfirmed) {
  Play(
      [](SimulationConfig& config) {
        config.late_heartbeat = 0.5;
        config.late_heartbeat_s = 25;
        config.jobs = 40;
        config.longest_run_s = 60;
        config.end = Seconds(500);
      },
      [](ClusterSimulation& simulation) {
        for (double second : {25.0, 45.0, 65.0, 85.0}) {
          simulation.At(second, [&simulation] {
            simulation.StopCloud(15);
            simulation.RestartMachines(3);
          });
        }
      });
}

// ---- Cancellations that an owner misses during an outage ----

// Schedules a cancellation that the leader cannot read: from `at` the state
// service is cut off from the leader alone, 0.5 s later another controller
// confirms cancellations, and 1 s after that the state service fails for
// everybody for longer than `cancel_s`, while workers go on reporting to the
// old leader. The machines of the cancelled tasks hang for `hang_s` seconds.
void ScheduleCancellationInOutage(ClusterSimulation& simulation, double at,
                                  double hang_s = 0) {
  simulation.At(at, [&simulation] {
    simulation.CutNode(simulation.OwnerOf(0), {.state = true}, 4);
  });
  simulation.At(at + 0.5,
                [&simulation, hang_s] { simulation.CancelNow(6, hang_s); });
  simulation.At(at + 1.5, [&simulation] { simulation.StopState(Seconds(30)); });
}

TEST(CancellationInOutage,
     CancelledTasksEndThoughTheOwnerCannotReadTheCancellation) {
  Play(
      {},
      [](ClusterSimulation& simulation) {
        ScheduleCancellationInOutage(simulation, 30);
      },
      [](ClusterSimulation& simulation) {
        EXPECT_GT(simulation.cancelled(), 0);
      });
}

TEST(CancellationInOutage, CancelledTasksEndWhicheverPartitionsOwnerIsCutOff) {
  for (uint32_t partition : {1u, 2u}) {
    Play({}, [partition](ClusterSimulation& simulation) {
      simulation.At(30, [&simulation, partition] {
        simulation.CutNode(simulation.OwnerOf(partition), {.state = true}, 4);
      });
      simulation.At(30.5, [&simulation] { simulation.CancelNow(6, 0); });
      simulation.At(31.5, [&simulation] { simulation.StopState(Seconds(30)); });
    });
  }
}

// Cut off from its peers too, the owner learns of no cancellation. Only the
// limit on how long it may answer without the state service ends the tasks.
TEST(CancellationInOutage,
     CancelledTasksEndWhenTheOwnerIsCutOffFromItsPeersToo) {
  Play(
      {},
      [](ClusterSimulation& simulation) {
        simulation.At(30, [&simulation] {
          simulation.CutNode(simulation.OwnerOf(0),
                             {.state = true, .peers = true}, 32);
        });
        simulation.At(30.5, [&simulation] { simulation.CancelNow(6, 0); });
        simulation.At(31.5,
                      [&simulation] { simulation.StopState(Seconds(30)); });
      },
      [](ClusterSimulation& simulation) {
        EXPECT_GT(simulation.cancelled(), 0);
        // Once the owner may no longer answer, nobody answers its workers:
        // their leases expire and their tasks are lost.
        EXPECT_GT(simulation.lost_with_lease(), 0);
      });
}

// The partition is taken over just before the outage, so that some workers
// report to the new owner and some to the old one.
TEST(CancellationInOutage, CancelledTasksEndAfterATakeoverJustBefore) {
  Play({}, [](ClusterSimulation& simulation) {
    simulation.At(30, [&simulation] {
      simulation.CutNode(simulation.OwnerOf(0), {.state = true}, 60);
    });
    simulation.At(31.5,
                  [&simulation] { simulation.CutMachines(0.4, 3, false); });
    simulation.At(33.5, [&simulation] { simulation.CancelNow(6, 0); });
    simulation.At(34.2, [&simulation] { simulation.StopState(Seconds(30)); });
  });
}

TEST(CancellationInOutage, CancelledTasksEndInTwoOutagesInARow) {
  Play([](SimulationConfig& config) { config.jobs_within = Seconds(100); },
       [](ClusterSimulation& simulation) {
         ScheduleCancellationInOutage(simulation, 30);
         ScheduleCancellationInOutage(simulation, 66);
       });
}

TEST(CancellationInOutage,
     CancelledTasksEndWithHungMachinesAndOneWayPartitions) {
  Play({}, [](ClusterSimulation& simulation) {
    ScheduleCancellationInOutage(simulation, 30, 5);
    simulation.At(30.3, [&simulation] {
      simulation.CutInbound(0.25, 25);
      simulation.CutOutbound(0.25, 25);
      simulation.HangMachines(0.25, 5);
    });
  });
}

// The owner's process is paused between deciding to answer a heartbeat and
// sending the answer.
TEST(CancellationInOutage, CancelledTasksEndWhenOwnersArePaused) {
  Play({}, [](ClusterSimulation& simulation) {
    ScheduleCancellationInOutage(simulation, 30);
    simulation.At(40, [&simulation] {
      simulation.FreezeNode(simulation.OwnerOf(0), 15);
    });
    simulation.At(41, [&simulation] {
      simulation.FreezeNode(simulation.OwnerOf(1), 30);
    });
  });
}

TEST(CancellationInOutage, CancelledTasksEndWhenAllControllersRestart) {
  Play({}, [](ClusterSimulation& simulation) {
    ScheduleCancellationInOutage(simulation, 30);
    simulation.At(61.3, [&simulation] { simulation.CrashAllNodes(0.2); });
    simulation.At(62.5, [&simulation] { simulation.CrashAllNodes(0.2); });
  });
}

// Controllers that receive each other's heartbeats may go on answering workers
// through an outage much longer than the limit for a controller by itself: no
// task is lost because its worker's lease expired.
TEST(CancellationInOutage, NoTaskIsLostWhileControllersHearEachOther) {
  Play([](SimulationConfig& config) { config.nodes = 5; },
       [](ClusterSimulation& simulation) {
         simulation.At(31.5,
                       [&simulation] { simulation.StopState(Seconds(45)); });
       },
       [](ClusterSimulation& simulation) {
         EXPECT_EQ(simulation.lost_with_lease(), 0);
       });
}

// A controller that restarts during the outage may have confirmed cancellations
// in its earlier incarnation that no other controller knows. Its echoes do not
// count, so the limit runs from the last read, and tasks are lost.
TEST(CancellationInOutage, TasksAreLostWhenAControllerRestartsDuringTheOutage) {
  Play([](SimulationConfig& config) { config.nodes = 5; },
       [](ClusterSimulation& simulation) {
         simulation.At(31.5,
                       [&simulation] { simulation.StopState(Seconds(45)); });
         simulation.At(33,
                       [&simulation] { simulation.CrashNode(4, Millis(300)); });
       },
       [](ClusterSimulation& simulation) {
         EXPECT_GT(simulation.lost_with_lease(), 0);
       });
}

// ---- The combinations of the operators' list, in its order ----

TEST(OverlappingFailures, JobsBoundToOneZoneLoseMachines) {
  Play([](SimulationConfig& config) { config.capacity = 30; },
       [](ClusterSimulation& simulation) {
         for (int i = 0; i < 4; ++i) {
           JobSpec& spec =
               simulation.AddJobAt(5, "run-60000" + std::to_string(i), 10, 30);
           (i % 2 == 0 ? spec.one_zone : spec.spread) = true;
         }
         simulation.At(20, [&simulation] { simulation.KillMachines(0.5); });
         simulation.At(40, [&simulation] { simulation.CutZone(15, true); });
         simulation.CalmFrom(56);
       });
}

TEST(OverlappingFailures, AZoneWithAControllerIsCutOffForLongerThanTheLease) {
  for (bool hold : {false, true}) {
    Play({}, [hold](ClusterSimulation& simulation) {
      simulation.At(30, [&simulation, hold] { simulation.CutZone(25, hold); });
      simulation.At(31, [&simulation] { simulation.CancelNow(6, 0); });
      simulation.CalmFrom(56);
    });
  }
}

TEST(OverlappingFailures, AHeartbeatIsHeldBackUntilANewLeaderHasActed) {
  Play([](SimulationConfig& config) { config.lease_s = 8; },
       [](ClusterSimulation& simulation) {
         simulation.At(28, [&simulation] {
           size_t leader = simulation.OwnerOf(0);
           simulation.CutNode(leader, {.workers = true, .hold = true}, 9);
           simulation.CrashNode(leader, Seconds(4));
         });
         simulation.At(30, [&simulation] {
           for (size_t i = 0; i < 3; ++i) {
             simulation.CutNode(i, {.workers = true, .hold = true}, 7);
           }
         });
         simulation.CalmFrom(40);
       });
}

TEST(OverlappingFailures, AllControllersCrashAfterATakeoverAndOneReturnsFirst) {
  Play({}, [](ClusterSimulation& simulation) {
    for (int i = 0; i < 4; ++i) {
      simulation.At(25 + 12 * i, [&simulation, i] {
        simulation.CrashNode(static_cast<size_t>(i % 3), Millis(300));
      });
      simulation.At(30 + 12 * i, [&simulation, i] {
        for (size_t n = 0; n < 3; ++n) {
          bool first = n == static_cast<size_t>(i % 3);
          simulation.CrashNode(n, Millis(first ? 200 : 5000));
        }
      });
    }
    simulation.CalmFrom(72);
  });
}

TEST(OverlappingFailures, MoreWorkThanCapacityOverSlowLinks) {
  Play(
      [](SimulationConfig& config) {
        config.jobs = 40;
        config.jobs_within = Seconds(15);
        config.team_limit = 24;
        config.longest_run_s = 12;
        config.end = Seconds(700);
      },
      [](ClusterSimulation& simulation) {
        for (size_t i = 0; i < 3; ++i) {
          simulation.At(10, [&simulation, i] { simulation.SlowNode(i, 60); });
        }
        simulation.At(12, [&simulation] { simulation.SlowState(60); });
        simulation.CalmFrom(75);
      });
}

TEST(OverlappingFailures,
     AnIsolatedLeaderKeepsItsWorkersWhileJobsAreCancelled) {
  Play(
      {},
      [](ClusterSimulation& simulation) {
        simulation.At(30, [&simulation] {
          simulation.CutNode(simulation.OwnerOf(0),
                             {.state = true, .peers = true}, 40);
        });
        simulation.At(36, [&simulation] { simulation.CancelNow(6, 0); });
        simulation.At(36.5, [&simulation] { simulation.CancelNow(6, 4); });
      },
      [](ClusterSimulation& simulation) {
        EXPECT_GT(simulation.cancelled(), 0);
      });
}

TEST(OverlappingFailures, WritesAreCarriedOutAfterNewerOnes) {
  Play(
      [](SimulationConfig& config) {
        config.cancel_share = 0.3;
        config.longest_run_s = 15;
      },
      [](ClusterSimulation& simulation) {
        simulation.At(5, [&simulation] { simulation.LateWrites(0.3, 80); });
        for (int i = 0; i < 4; ++i) {
          simulation.At(15 + 15 * i, [&simulation] {
            simulation.CrashNode(simulation.OwnerOf(0), Millis(400));
          });
        }
        simulation.CalmFrom(100);
      });
}

TEST(OverlappingFailures,
     OldHeartbeatsArriveAfterNewerOnesAndFromEarlierAgentEpochs) {
  Play(
      [](SimulationConfig& config) {
        config.late_heartbeat = 0.5;
        config.late_heartbeat_s = 25;
      },
      [](ClusterSimulation& simulation) {
        // Leases expire, agent epochs end with them, and the tasks start on
        // other machines.
        for (int i = 0; i < 3; ++i) {
          simulation.At(20 + 25 * i, [&simulation] {
            simulation.CutMachines(0.5, 9, false);
          });
          simulation.At(22 + 25 * i, [&simulation] {
            simulation.CrashNode(simulation.OwnerOf(0), Millis(300));
          });
        }
        simulation.CalmFrom(110);
      });
}

TEST(OverlappingFailures, LeadersChangeTenTimesInTwoMinutesAlsoInAnOutage) {
  Play(
      [](SimulationConfig& config) {
        config.jobs_within = Seconds(120);
        config.cancel_share = 0.2;
      },
      [](ClusterSimulation& simulation) {
        for (int i = 0; i < 10; ++i) {
          simulation.At(20 + 12 * i, [&simulation] {
            simulation.CrashNode(simulation.OwnerOf(0), Seconds(3.5));
          });
        }
        simulation.At(70, [&simulation] { simulation.StopState(Seconds(25)); });
        simulation.CalmFrom(145);
      });
}

TEST(OverlappingFailures, JobsAreCancelledAndQueriedAsTheyEnd) {
  Play(
      [](SimulationConfig& config) {
        config.odd_requests = true;
        config.longest_run_s = 6;
        config.jobs = 40;
      },
      [](ClusterSimulation& simulation) { simulation.CancelAtEnd(0.7); });
}

TEST(OverlappingFailures, CancelledAtTheMomentTheLeaderIsRefusedAndThenAllAre) {
  Play(
      {},
      [](ClusterSimulation& simulation) {
        simulation.At(30, [&simulation] {
          simulation.CutNode(simulation.OwnerOf(0), {.state = true}, 40);
          simulation.CancelNow(10, 5);
        });
        simulation.At(31, [&simulation] { simulation.StopState(Seconds(30)); });
      },
      [](ClusterSimulation& simulation) {
        EXPECT_GT(simulation.cancelled(), 0);
      });
}

TEST(OverlappingFailures, ASlowStateServiceRefusesTheLeaderAndThenEverybody) {
  Play({}, [](ClusterSimulation& simulation) {
    simulation.At(25, [&simulation] { simulation.SlowState(60); });
    simulation.At(30, [&simulation] {
      simulation.CutNode(simulation.OwnerOf(0), {.state = true}, 8);
      simulation.CancelNow(5, 0);
    });
    simulation.At(33, [&simulation] { simulation.CancelNow(5, 0); });
    simulation.At(34, [&simulation] { simulation.StopState(Seconds(30)); });
  });
}

TEST(OverlappingFailures, ATeamAtItsLimitWhenTheLeaderChanges) {
  Play(
      [](SimulationConfig& config) {
        config.team_limit = 16;
        config.longest_run_s = 20;
        config.end = Seconds(700);
      },
      [](ClusterSimulation& simulation) {
        simulation.At(30, [&simulation] {
          simulation.CutMachines(0.5, 15, false);
          simulation.CrashNode(simulation.OwnerOf(0), Seconds(4));
        });
        simulation.At(31, [&simulation] { simulation.CancelNow(4, 0); });
        simulation.At(36, [&simulation] { simulation.CancelNow(4, 5); });
        simulation.CalmFrom(46);
      });
}

TEST(OverlappingFailures, CommandsAreHeldUpAndTheMachineGoesOn) {
  Play({}, [](ClusterSimulation& simulation) {
    simulation.At(25, [&simulation] { simulation.HangMachines(0.6, 4.5); });
    simulation.At(26, [&simulation] { simulation.CancelNow(5, 5); });
    simulation.At(35, [&simulation] {
      for (size_t i = 0; i < 3; ++i) {
        simulation.CutNode(i, {.workers = true, .hold = true}, 4);
      }
    });
    simulation.At(36, [&simulation] { simulation.CancelNow(5, 3); });
    simulation.CalmFrom(42);
  });
}

TEST(OverlappingFailures, AllControllersAreAwayForLongerThanTheLease) {
  Play(
      {},
      [](ClusterSimulation& simulation) {
        simulation.At(29.9, [&simulation] { simulation.CancelNow(5, 0); });
        simulation.At(30, [&simulation] { simulation.CrashAllNodes(15); });
        simulation.CalmFrom(46);
      },
      [](ClusterSimulation& simulation) {
        EXPECT_GT(simulation.lost_with_lease(), 0);
      });
}

TEST(OverlappingFailures, WorkersReachNoControllerButTakeCommands) {
  Play({}, [](ClusterSimulation& simulation) {
    simulation.At(25, [&simulation] { simulation.CutOutbound(0.6, 5); });
    simulation.At(26, [&simulation] { simulation.CancelNow(6, 0); });
    simulation.At(45, [&simulation] { simulation.CutOutbound(0.6, 20); });
    simulation.At(46, [&simulation] {
      simulation.CrashNode(simulation.OwnerOf(0), Seconds(4));
    });
    simulation.At(47, [&simulation] { simulation.CancelNow(6, 3); });
    simulation.CalmFrom(66);
  });
}

TEST(OverlappingFailures, SmallJobsEndFarApartAcrossChangesOfLeader) {
  Play([](SimulationConfig& config) { config.jobs = 0; },
       [](ClusterSimulation& simulation) {
         for (int i = 0; i < 20; ++i) {
           simulation.AddJobAt(1 + 2 * i, "run-60" + std::to_string(1000 + i),
                               static_cast<uint32_t>(2 + i % 2), 5 + 3 * i);
         }
         for (int i = 0; i < 8; ++i) {
           simulation.At(20 + 12 * i, [&simulation, i] {
             simulation.CrashNode(
                 simulation.OwnerOf(static_cast<uint32_t>(i % 3)),
                 Millis(i % 2 == 0 ? 300 : 4000));
           });
         }
         simulation.At(60,
                       [&simulation] { simulation.StopState(Seconds(15)); });
         simulation.CalmFrom(110);
       });
}

TEST(OverlappingFailures,
     ALeaderEndsWhileMachinesWithLongTasksCannotBeReached) {
  for (bool inbound_cut : {false, true}) {
    Play([](SimulationConfig& config) { config.longest_run_s = 70; },
         [inbound_cut](ClusterSimulation& simulation) {
           simulation.At(30, [&simulation, inbound_cut] {
             if (inbound_cut) {
               simulation.CutInbound(0.7, 30);
             } else {
               simulation.CutMachines(0.7, 30, true);
             }
           });
           simulation.At(30.2, [&simulation] {
             simulation.CrashNode(simulation.OwnerOf(0), Seconds(4));
           });
           simulation.At(30.5, [&simulation] { simulation.StopCloud(50); });
           simulation.CalmFrom(82);
         });
  }
}

// Most machines die with the leader, and the cloud cannot confirm it. Tasks
// bound by the former owner count as gone once every lease that it can have
// granted must have expired.
TEST(OverlappingFailures, MostMachinesDieWithTheLeaderWhileTheCloudIsAway) {
  Play(
      [](SimulationConfig& config) {
        config.end = Seconds(400);
        config.capacity = 40;
      },
      [](ClusterSimulation& simulation) {
        simulation.At(30, [&simulation] {
          simulation.KillMachines(0.7);
          simulation.CrashAllNodes(0.3);
          simulation.StopCloud(160);
        });
        // The remaining machines soon have free capacity, so the checks for
        // calm times apply although the cloud is still down.
        simulation.CalmFrom(31);
      });
}

}  // namespace
}  // namespace pitchfall::sim
