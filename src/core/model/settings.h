// What the core needs to know of the deployment, whatever file it came from.
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

struct Team {
  std::string name;
  // 0: none
  int64_t cpus_guaranteed = 0;
  int64_t cpus_limit = 0;
  int64_t gpus_guaranteed = 0;
  int64_t gpus_limit = 0;
};

struct Objective {
  std::string kind;
  std::string job_class;  // empty: whatever the class
  Duration within{0};
  double share = 0;
};

// The file that the platform hands over.
struct Deployment {
  std::string label;
  std::string zone;
  std::string front;
  std::string peer_bind;
  struct Peer {
    std::string label;
    std::string address;
  };
  std::vector<Peer> peers;
  std::string cloud;
  std::string state_address;
  std::vector<std::string> zones;
  Duration time_bound{0};
  std::map<std::string, Team> teams;
  std::vector<Objective> objectives;
  Duration heartbeat_interval{Millis(2000)};
  Duration worker_lease{Millis(10000)};
  Duration cancel{Millis(30000)};
  // Limits of the state service, and those announced for some later moment.
  struct StateServiceLimits {
    double rps = 100;
    double write_rps = 15;
    double value_kb = 8;
    uint32_t txn_ops = 8;
  };
  StateServiceLimits state;
  std::optional<StateServiceLimits> state_next;
  // What holds both now and later.
  StateServiceLimits StrictestStateLimits() const {
    const StateServiceLimits& next = state_next ? *state_next : state;
    return {std::min(state.rps, next.rps),
            std::min(state.write_rps, next.write_rps),
            std::min(state.value_kb, next.value_kb),
            std::min(state.txn_ops, next.txn_ops)};
  }
  double cloud_rps = 4;
  Duration list_lag{Millis(5000)};
  uint32_t sockets = 1024;

  // Whether the tasks of the class are to start within this time.
  bool StartsWithin(const std::string& job_class, Duration within) const {
    return std::any_of(
        objectives.begin(), objectives.end(), [&](const Objective& objective) {
          return objective.kind == "wait" && objective.job_class == job_class &&
                 objective.within <= within;
        });
  }
};

// The operators' own settings; docs/operations.md gives units and reasons.
struct Tuning {
  Duration node_lease{Millis(4000)};
  Duration state_timeout{Millis(1500)};
  Duration cloud_timeout{Millis(5000)};
  Duration heartbeat_hold{Millis(1000)};
  Duration idle_before_return{Millis(5000)};
  uint32_t max_machines = 10000;
  uint32_t partition_count = 0;  // 0: as many as controllers
  uint32_t chunk_tasks = 8;
  Duration transfer_delay{Millis(300)};
  Duration handover_after{Millis(10000)};
  // Sizing.
  Duration period{Millis(10000)};
  uint32_t horizon = 3;
  double tracking_r = 0.1;     // R, with Q = 1
  double delay_price = 0.001;  // p: money a late second of one task
  Duration delay_bound{Millis(10000)};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_SETTINGS_H_
