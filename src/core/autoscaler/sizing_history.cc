#include "core/autoscaler/sizing_history.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/autoscaler/sizing/forecast.h"
#include "core/autoscaler/sizing/target.h"

namespace pitchfall {
namespace {

// The length, in periods, of the window that the forecast is fitted to.
constexpr size_t kMaxPoints = 40;
// Upper estimates of the size of the stored record as JSON: without its points,
// and for each point.
constexpr size_t kRecordBytes = 200;
constexpr size_t kPointBytes = 100;
// Stored values are rounded to four decimal places, so that a point stays
// within kPointBytes.
constexpr double kStoredPrecision = 10000;
// A period's point waits for late reports for at most the period divided by
// this.
constexpr int kReportWaitDivisor = 3;
constexpr double kSecondsPerHour = 3600;
// The delay curve (slope and base in seconds) until there are enough points to
// fit one.
constexpr sizing::DelayCurve kDefaultDelayCurve{1.0, 1.0};

double RoundedForStorage(double value) {
  return std::round(value * kStoredPrecision) / kStoredPrecision;
}

}  // namespace

SizingHistory::SizingHistory(const Outbox& outbox, const Tuning& tuning,
                             const StateCache& state_cache,
                             const StateLimits& state_limits,
                             const MachineTypeCatalog& machine_types,
                             LeaderStateWriter& state_writer)
    : outbox_(outbox),
      tuning_(tuning),
      state_cache_(state_cache),
      state_limits_(state_limits),
      machine_types_(machine_types),
      state_writer_(state_writer) {}

void SizingHistory::RecordPeriod(const SizingDecision& decision,
                                 uint32_t partition_count) {
  LoadStored();
  const Duration since_epoch = outbox_.now().wall.time_since_epoch();
  const auto period =
      static_cast<uint64_t>(since_epoch / tuning_.sizing_period);
  if (period <= last_period_ || state_writer_.write_pending()) return;
  const PeriodLoad load = SumReports(period, partition_count);
  const Duration into_period = since_epoch % tuning_.sizing_period;
  const Duration report_wait = tuning_.sizing_period / kReportWaitDivisor;
  if (!load.complete && into_period < report_wait) return;
  last_period_ = period;
  AddPoint(load, decision.count);
  Store(decision);
}

// Loads the predecessor's history, if this leader has none of its own yet.
void SizingHistory::LoadStored() {
  const auto& stored = state_cache_.sizing();
  if (!points_.empty() || !stored || last_period_ != 0) return;
  points_ = stored->value.history;
  last_period_ = stored->value.period;
}

SizingHistory::PeriodLoad SizingHistory::SumReports(
    uint64_t period, uint32_t partition_count) const {
  PeriodLoad sum;
  for (uint32_t partition = 0; partition < partition_count; ++partition) {
    const auto* stored = state_cache_.FindLoad(partition);
    const bool reported = stored != nullptr && stored->value.period >= period;
    if (!reported) sum.complete = false;
    if (stored == nullptr) continue;
    const LoadRecord& load = stored->value;
    // A partition whose report is late counts with its last one, because the
    // sum would otherwise seem to drop.
    sum.requested += load.requested;
    sum.used += load.used;
    if (!reported) continue;
    sum.started += load.started;
    sum.waited += load.waited;
  }
  return sum;
}

void SizingHistory::AddPoint(const PeriodLoad& load, int machine_count) {
  SizingRecord::Point point;
  point.requested = load.requested;
  if (machine_count > 0) {
    const double utilisation =
        machine_types_.MachinesFor(load.used) / machine_count;
    point.utilisation = RoundedForStorage(std::min(1.0, utilisation));
  }
  if (load.started > 0) {
    point.delay = RoundedForStorage(ToSeconds(load.waited) / load.started);
  }
  points_.push_back(point);
  if (points_.size() > kMaxPoints) points_.erase(points_.begin());
}

void SizingHistory::Store(const SizingDecision& decision) {
  SizingRecord record;
  record.period = last_period_;
  record.target = static_cast<uint32_t>(decision.target);
  record.count = static_cast<uint32_t>(decision.count);
  record.reason = ToString(decision.reason);
  const size_t bytes = state_limits_.UsableValueBytes();
  const size_t fitting = (bytes - std::min(bytes, kRecordBytes)) / kPointBytes;
  const size_t kept = std::min(fitting, points_.size());
  record.history.assign(points_.end() - static_cast<ptrdiff_t>(kept),
                        points_.end());
  Transaction transaction;
  transaction.writes.push_back({keys::kSizing, std::move(record), 0});
  state_writer_.Write(std::move(transaction), [](const StateReply&) {});
}

SizingTargets SizingHistory::TargetsFor(const Demand& demand) const {
  std::vector<double> series;
  std::vector<sizing::DelayPoint> delays;
  for (const SizingRecord::Point& point : points_) {
    series.push_back(machine_types_.MachinesFor(point.requested));
    if (point.delay >= 0) delays.push_back({point.utilisation, point.delay});
  }
  const MachineType& type = state_cache_.types()->value.types.front();
  sizing::TargetInputs inputs;
  inputs.waiting = demand.waiting;
  inputs.delay_price = tuning_.delay_price;
  inputs.machine_cost =
      type.price * ToSeconds(tuning_.sizing_period) / kSecondsPerHour;
  inputs.delay_bound = ToSeconds(tuning_.delay_bound);
  inputs.curve = sizing::FitDelay(delays, kDefaultDelayCurve);

  SizingTargets targets;
  targets.requested_machines = machine_types_.MachinesFor(demand.requested);
  for (double forecast : sizing::Forecast(series, tuning_.horizon)) {
    inputs.capacity = std::max(forecast, targets.requested_machines);
    targets.by_period.push_back(std::min<double>(
        sizing::TargetMachineCount(inputs), tuning_.max_machines));
  }
  return targets;
}

}  // namespace pitchfall
