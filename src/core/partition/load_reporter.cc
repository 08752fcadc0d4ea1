#include "core/partition/load_reporter.h"

#include <algorithm>
#include <utility>

#include "core/partition/record_sizes.h"
#include "core/scheduling/demand.h"

namespace pitchfall {
namespace {

// The JSON size of a job identifier in a load record, with quotes and comma.
constexpr size_t kFailingJobBytes = 28;

// The processors of a partition's machines by use, in the unit of
// Resources::cpus.
struct CpuUse {
  int64_t total = 0;
  int64_t closed = 0;  // free, but on machines that accept no tasks
  // Bound to attempts that no heartbeat has shown yet.
  int64_t starting = 0;
  int64_t fetching = 0;
  int64_t running = 0;
  // Bound to attempts that are saving a checkpoint or have exited.
  int64_t ended = 0;

  void Add(const BoundAttempt& attempt) {
    int64_t cpus = attempt.job->spec().resources.cpus;
    if (!attempt.state) {
      starting += cpus;
    } else if (*attempt.state == TaskState::kFetching) {
      fetching += cpus;
    } else if (*attempt.state == TaskState::kRunning) {
      running += cpus;
    } else {
      ended += cpus;
    }
  }
};

double ToCpus(int64_t amount) {
  return static_cast<double>(amount) / Resources::kScale;
}

}  // namespace

void LoadReporter::AddLoad(PendingTransaction& pending) const {
  WallTime now = context_.outbox.now().wall;
  auto period = static_cast<uint64_t>(now.time_since_epoch() /
                                      context_.tuning.sizing_period);
  if (period <= reported_period_ || !pending.MayAddPut()) return;
  LoadRecord load;
  load.period = period;
  size_t max_bytes = context_.state_limits.UsableValueBytes();
  size_t bytes_for_jobs = max_bytes - std::min(max_bytes, kSmallRecordBytes);
  load.failing = failures_.FailingJobs(bytes_for_jobs / kFailingJobBytes);
  Demand demand = MeasureDemand(context_.state_cache, context_.deployment,
                                {load.failing.begin(), load.failing.end()}, now,
                                context_.partition_count, term_.partition);
  load.requested = demand.requested;
  load.waiting = demand.waiting;
  for (const auto& [name, machine] : machines_.machines()) {
    load.used += machine.used;
  }
  load.started = started_;
  load.waited = waited_;
  pending.load = std::move(load);
}

void LoadReporter::OnStored(const PendingTransaction& pending) {
  if (pending.load) {
    LogLoad(*pending.load);
    reported_period_ = pending.load->period;
    started_ = 0;
    waited_ = Duration(0);
  }
  started_ += pending.start_count;
  waited_ += pending.total_wait_time;
}

void LoadReporter::LogLoad(const LoadRecord& load) const {
  CpuUse use;
  for (const auto& [name, machine] : machines_.machines()) {
    use.total += machine.capacity.cpus;
    if (!machine.AcceptsTasks(context_.now()))
      use.closed += machine.Free().cpus;
    for (const auto& [key, attempt] : machine.bound) use.Add(attempt);
  }
  context_.outbox.Log(
      LogLevel::kInfo,
      "event=partition_load partition={} machines={} cpus={:.0f} "
      "starting={:.0f} fetching={:.0f} running={:.0f} ended={:.0f} "
      "closed={:.0f} waiting={} started={} segment_bytes={} slots={}",
      term_.partition, machines_.machines().size(), ToCpus(use.total),
      ToCpus(use.starting), ToCpus(use.fetching), ToCpus(use.running),
      ToCpus(use.ended), ToCpus(use.closed), load.waiting, load.started,
      context_.state_cache.LiveBytes(term_.partition),
      context_.state_cache.SlotCount(term_.partition));
}

}  // namespace pitchfall
