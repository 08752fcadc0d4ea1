// The history of requested capacity, from which demand is forecast.
#ifndef PITCHFALL_CORE_AUTOSCALER_SIZING_HISTORY_H_
#define PITCHFALL_CORE_AUTOSCALER_SIZING_HISTORY_H_

#include <cstdint>
#include <vector>

#include "core/autoscaler/leader_state_writer.h"
#include "core/autoscaler/machine_type_catalog.h"
#include "core/autoscaler/sizing_decision.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/scheduling/demand.h"
#include "core/state/state_cache.h"
#include "core/state/state_limits.h"

namespace pitchfall {

// The target numbers of machines, and the demand that they follow from.
struct SizingTargets {
  // Targets for the next Tuning::horizon periods, the nearest first.
  std::vector<double> by_period;
  // The capacity requested now, in machines of the first type.
  double requested_machines = 0;
};

// Keeps one point per period and stores the points, so that a new leader
// continues the forecast from its predecessor's history.
class SizingHistory {
 public:
  SizingHistory(const Outbox& outbox, const Tuning& tuning,
                const StateCache& state_cache, const StateLimits& state_limits,
                const MachineTypeCatalog& machine_types,
                LeaderStateWriter& state_writer);

  // Adds one point for the current period, from the load reports of the
  // partitions' owners, and stores the history with the decision. Does nothing
  // if the period already has its point, while the outcome of a transaction is
  // pending, or, in the first third of the period, while reports are missing.
  // The machine types must be known.
  void RecordPeriod(const SizingDecision& decision, uint32_t partition_count);

  // Returns the targets for the present demand and its forecast, each at most
  // Tuning::max_machines. The machine types must be known.
  SizingTargets TargetsFor(const Demand& demand) const;

 private:
  // The sum of the partitions' load reports for one period.
  struct PeriodLoad {
    Resources requested;
    Resources used;
    uint32_t started = 0;  // number of tasks that started
    Duration waited{0};    // total waiting time of these tasks
    bool complete = true;  // whether every partition has reported
  };

  void LoadStored();
  PeriodLoad SumReports(uint64_t period, uint32_t partition_count) const;
  void AddPoint(const PeriodLoad& load, int machine_count);
  void Store(const SizingDecision& decision);

  const Outbox& outbox_;
  const Tuning& tuning_;
  const StateCache& state_cache_;
  const StateLimits& state_limits_;
  const MachineTypeCatalog& machine_types_;
  LeaderStateWriter& state_writer_;
  std::vector<SizingRecord::Point> points_;  // one per period, the newest last
  // The number of the last recorded period, counted from the Unix epoch in
  // units of Tuning::sizing_period. 0: none.
  uint64_t last_period_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_SIZING_HISTORY_H_
