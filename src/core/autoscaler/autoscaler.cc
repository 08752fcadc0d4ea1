#include "core/autoscaler/autoscaler.h"

#include <cmath>
#include <optional>

#include "core/autoscaler/sizing/tracking.h"

namespace pitchfall {
namespace {

constexpr Duration kAdjustInterval = Millis(1000);
// Q: the weight of the tracking error (in machines), relative to the weight R
// of a move, which Tuning::move_weight sets.
constexpr double kTrackingErrorWeight = 1.0;
// In machines. A move that exceeds a whole number by less than this does so by
// a rounding error and must not request one more machine.
constexpr double kMoveTolerance = 1e-6;

}  // namespace

Autoscaler::Autoscaler(Context& context, uint64_t fencing_token)
    : context_(context),
      state_writer_(context.outbox, context.tuning,
                    context.state_request_bucket, context.state_write_bucket,
                    context.state_watcher, fencing_token),
      machine_types_(context.outbox, context.tuning, context.state_cache,
                     context.cloud_call_bucket, state_writer_),
      inventory_(context.outbox, context.deployment, context.tuning,
                 context.state_cache, machine_types_,
                 context.cloud_call_bucket),
      requests_(context.outbox, context.deployment, context.tuning,
                context.state_cache, context.state_limits,
                context.cloud_call_bucket, state_writer_, inventory_,
                fencing_token),
      scale_out_(context.state_cache, machine_types_, inventory_, requests_),
      scale_in_(context.outbox, context.tuning, context.state_cache,
                context.state_limits, machine_types_, inventory_,
                state_writer_),
      sizing_history_(context.outbox, context.tuning, context.state_cache,
                      context.state_limits, machine_types_, state_writer_) {
  context_.outbox.Log(LogLevel::kInfo, "event=leading token={}", fencing_token);
}

void Autoscaler::RunDueWork() {
  const SteadyTime now = context_.now();
  if (!context_.state_watcher.IsFresh()) return;
  machine_types_.FetchIfDue();
  inventory_.ListIfDue();
  requests_.Reconcile();
  const bool known = inventory_.listed_once() && machine_types_.Loaded();
  if (now < next_adjust_ || !known) return;
  next_adjust_ = now + kAdjustInterval;
  AdjustSize();
}

void Autoscaler::AdjustSize() {
  sizing_history_.RecordPeriod(decision_, context_.partition_count);
  const MachineUseTable use = MeasureMachineUse(context_.state_cache);
  const Demand demand = MeasureTotalDemand();
  inventory_.RecordUse(use);
  decision_.count = inventory_.CountUsable();
  inventory_.DeleteBroken();
  const double move = PlanMove(demand, use);
  if (state_writer_.write_pending()) return;

  // Jobs that must not run on spot instances need enough on-demand instances.
  const int on_demand = CountOnDemand();
  const double needed = machine_types_.MachinesFor(demand.ordinary_only);
  if (needed > on_demand) {
    const int missing = static_cast<int>(std::ceil(needed - on_demand));
    if (scale_out_.RequestOnDemand(missing, decision_)) {
      decision_.reason = ScalingReason::kOnDemand;
    }
    return;
  }
  if (move > kMoveTolerance) {
    ScaleOutToTarget(static_cast<int>(std::ceil(move - kMoveTolerance)),
                     demand);
    return;
  }
  // Each waiting job needs at least one machine that it may run on, even if the
  // total number of machines is sufficient.
  if (const Job* job = scale_out_.FindUnservedJob(demand, use)) {
    if (scale_out_.RequestFor(*job, decision_)) {
      decision_.reason = ScalingReason::kUnserved;
    }
    return;
  }
  ScaleInBy(move, on_demand - static_cast<int>(std::ceil(needed)), use);
}

// Returns the demand of the jobs of all partitions.
Demand Autoscaler::MeasureTotalDemand() const {
  return MeasureDemand(
      context_.state_cache, context_.deployment,
      FailingJobs(context_.state_cache, context_.partition_count),
      context_.outbox.now().wall, context_.partition_count, std::nullopt);
}

// Updates the target and returns by how many machines to move towards it now;
// negative if there are too many. Pending instances count as machines.
double Autoscaler::PlanMove(const Demand& demand, const MachineUseTable& use) {
  const int count = decision_.count + CountPending();
  const SizingTargets targets = sizing_history_.TargetsFor(demand);
  const double move =
      sizing::FirstMove(count, targets.by_period, kTrackingErrorWeight,
                        context_.tuning.move_weight);
  decision_.target = static_cast<int>(targets.by_period.front());
  context_.outbox.Log(LogLevel::kDebug,
                      "event=size target={} count={} room={:.2f} waiting={} "
                      "move={:.2f} busy={}",
                      decision_.target, count, targets.requested_machines,
                      demand.waiting, move, use.size());
  return move;
}

void Autoscaler::ScaleOutToTarget(int missing, const Demand& demand) {
  scale_in_.ResetSurplus();
  if (scale_in_.Uncordon(missing) > 0) {
    decision_.reason = ScalingReason::kUncordon;
  } else if (scale_out_.RequestCheapest(missing, demand, decision_)) {
    decision_.reason = ScalingReason::kTarget;
  }
}

void Autoscaler::ScaleInBy(double move, int spare_on_demand,
                           const MachineUseTable& use) {
  Surplus surplus;
  surplus.machines = static_cast<int>(std::lround(-move));
  surplus.on_demand = spare_on_demand;
  if (surplus.machines <= 0) {
    scale_in_.ResetSurplus();
  } else if (scale_in_.CordonSurplus(surplus, use, decision_)) {
    decision_.reason = ScalingReason::kSurplus;
  }
}

// Returns the number of instances in requests that the cloud has not answered.
int Autoscaler::CountPending() const {
  int count = 0;
  for (const PendingInstances& pending : requests_.Pending()) {
    count += pending.count;
  }
  return count;
}

// Returns the number of on-demand instances that are not draining, including
// pending ones and ones that turned out broken.
int Autoscaler::CountOnDemand() const {
  int count = 0;
  for (const PendingInstances& pending : requests_.Pending()) {
    if (!pending.offer.spot) count += pending.count;
  }
  for (const auto& [name, instance] : inventory_.instances()) {
    if (context_.state_cache.IsDraining(name)) continue;
    if (!instance.offer.spot) ++count;
  }
  return count;
}

}  // namespace pitchfall
