// The series of what was requested, which the forecast of demand is made from.
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

// How many machines there should be.
struct SizingTargets {
  std::vector<double> by_period;  // of the next periods, the nearest first
  double requested_machines = 0;  // what is requested now, in machines
};

// Keeps one point a period and stores it, so that a new leader's forecast goes
// on from its predecessor's points.
class SizingHistory {
 public:
  SizingHistory(const Outbox& out, const Tuning& tuning,
                const StateCache& state_cache, const StateLimits& state_limits,
                const MachineTypeCatalog& machine_types,
                LeaderStateWriter& state_writer);

  // Adds the point of the current period, once, from what the partitions'
  // owners report, and stores the history with the decision. Waits up to a
  // third of the period for reports that are late, and while a transaction is
  // under way. The machine types must be known.
  void RecordPeriod(const SizingDecision& decision, uint32_t partition_count);

  // The targets for the demand and its forecast. The machine types must be
  // known.
  SizingTargets TargetsFor(const Demand& demand) const;

 private:
  // The sum of the partitions' reports for one period.
  struct PeriodLoad {
    Resources requested;
    Resources used;
    uint32_t started = 0;  // tasks
    Duration waited{0};    // by these tasks
    bool complete = true;  // every partition has reported
  };

  void LoadStored();
  PeriodLoad SumReports(uint64_t period, uint32_t partition_count) const;
  void AddPoint(const PeriodLoad& load, int machine_count);
  void Store(const SizingDecision& decision);

  const Outbox& out_;
  const Tuning& tuning_;
  const StateCache& state_cache_;
  const StateLimits& state_limits_;
  const MachineTypeCatalog& machine_types_;
  LeaderStateWriter& state_writer_;
  std::vector<SizingRecord::Point> points_;  // one a period, the newest last
  uint64_t last_period_ = 0;                 // since the epoch
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_SIZING_HISTORY_H_
