// The settings of the core, independent of the format of the files that they
// are read from (see src/cli).
#ifndef PITCHFALL_CORE_MODEL_SETTINGS_H_
#define PITCHFALL_CORE_MODEL_SETTINGS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/resources.h"
#include "core/base/time.h"

namespace pitchfall {

// A team with its quota, in millionths as in Resources.
struct Team {
  std::string name;
  // A guarantee of 0 means that nothing is guaranteed, and a limit of 0 that
  // there is no limit.
  int64_t cpus_guaranteed = 0;
  int64_t cpus_limit = 0;
  int64_t gpus_guaranteed = 0;
  int64_t gpus_limit = 0;
};

// A service level objective of the deployment.
struct Objective {
  // "wait": until a task starts; "finished": until the job is done.
  std::string kind;
  std::string job_class;  // class of the jobs it applies to; empty: no job
  Duration within{0};     // since the submission
  double share = 0;       // fraction that has to meet the objective, 0 to 1
};

// The deployment file, which the platform provides.
struct Deployment {
  std::string label;           // of this controller
  std::string zone;            // of this controller
  std::string listen_address;  // HOST:PORT to listen on for users and workers
  std::string peer_bind;       // HOST:PORT to receive the peers' heartbeats on
  struct Peer {
    std::string label;
    std::string address;  // HOST:PORT that its heartbeats are sent to
  };
  std::vector<Peer> peers;    // the other controllers
  std::string cloud_address;  // HOST:PORT of the cloud's API
  std::string state_address;  // HOST:PORT of the state service
  std::vector<std::string> zones;
  Duration max_clock_error{0};        // bound on the error of any wall clock
  std::map<std::string, Team> teams;  // by name
  std::vector<Objective> objectives;
  Duration heartbeat_interval{Millis(2000)};  // between a worker's heartbeats
  // A worker whose heartbeats are not answered for this time stops its tasks.
  Duration worker_lease{Millis(10000)};
  // The time limit within which the tasks of a cancelled job must have stopped.
  // It is longer than `worker_lease`.
  Duration cancel_time_limit{Millis(30000)};
  // The limits of the state service: requests and writes per second, KiB per
  // value, and operations per transaction.
  struct StateServiceLimits {
    double rps = 100;
    double write_rps = 15;
    double value_kb = 8;
    uint32_t txn_ops = 8;
  };
  StateServiceLimits state;
  // The limits announced for some later time; empty: no change is announced.
  std::optional<StateServiceLimits> state_next;
  // Returns the limits that hold both now and later.
  StateServiceLimits StrictestStateLimits() const {
    const StateServiceLimits& next = state_next ? *state_next : state;
    return {std::min(state.rps, next.rps),
            std::min(state.write_rps, next.write_rps),
            std::min(state.value_kb, next.value_kb),
            std::min(state.txn_ops, next.txn_ops)};
  }
  double cloud_rps = 4;  // requests per second to the cloud's API
  // How long the cloud's list of machines may lag behind.
  Duration list_lag{Millis(5000)};
  uint32_t sockets = 1024;  // that this process may open

  // Whether an objective demands that tasks of the class start within this time
  // or sooner.
  bool StartsWithin(const std::string& job_class, Duration within) const {
    return std::any_of(
        objectives.begin(), objectives.end(), [&](const Objective& objective) {
          return objective.kind == "wait" && objective.job_class == job_class &&
                 objective.within <= within;
        });
  }
};

// The operators' settings. docs/operations.md explains them in detail.
struct Tuning {
  Duration node_lease{Millis(4000)};     // of a controller's node record
  Duration state_timeout{Millis(1500)};  // of a call to the state service
  Duration cloud_timeout{Millis(5000)};  // of a call to the cloud
  // How long an owner holds a heartbeat for starts to send in its answer.
  Duration heartbeat_hold{Millis(1000)};
  // How long there must be a surplus, and a machine be idle, before it is
  // scaled in.
  Duration idle_before_return{Millis(5000)};
  uint32_t max_machines = 10000;
  uint32_t partition_count = 0;  // 0: one per controller
  // The least chunk size of array jobs, in tasks.
  uint32_t chunk_tasks = 8;
  // How long a chunk waits before its first transfer to another partition.
  Duration transfer_delay{Millis(300)};
  // How long a controller must have been alive before it is handed a partition
  // that another controller owns.
  Duration handover_after{Millis(10000)};
  // Sizing of the cluster (see core/autoscaler/sizing).
  Duration sizing_period{Millis(10000)};  // between sizing decisions
  uint32_t horizon = 3;                   // forecast periods per decision
  double move_weight = 0.1;               // R, the weight of a move, with Q = 1
  double delay_price = 0.001;  // p, money per second that one task is late
  Duration delay_bound{Millis(10000)};  // upper limit of the mean waiting time
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_SETTINGS_H_
