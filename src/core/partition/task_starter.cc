#include "core/partition/task_starter.h"

#include <algorithm>
#include <utility>

#include "core/base/version.h"
#include "core/model/limits.h"

namespace pitchfall {
namespace {

// The longest time for which a replica waits for capacity on a machine that has
// its image.
constexpr Duration kImageWait = Millis(2500);

// Counts the job's stored assignments by zone. Returns no counts for jobs whose
// placement does not depend on them.
ZoneUse CountZones(const Job& job) {
  ZoneUse use;
  if (!job.has_zone_constraint()) return use;
  for (const auto& [number, chunk] : job.chunks) {
    for (const Assignment& assignment : chunk.record.assigned) {
      use.tasks[assignment.zone] += 1;
      use.total += 1;
    }
  }
  return use;
}

}  // namespace

bool TaskStarter::Owns(const Job& job, uint32_t chunk) const {
  return job.owner_of(chunk, context_.partition_count).partition ==
         term_.partition;
}

bool TaskStarter::NeedsOrderedStarts(const Job& job) const {
  return job.has_zone_constraint() &&
         job.spans_partitions(context_.partition_count);
}

size_t TaskStarter::MaxBoundInChunk() const {
  bool all_read_more =
      context_.state_cache.AllNodesSupport(kServiceJobsVersion);
  return all_read_more ? kMaxBoundPerChunk : kMaxBoundPerChunkVersion1;
}

void TaskStarter::CollectSchedulableMachines() {
  SteadyTime now = context_.now();
  schedulable_machines_.clear();
  for (auto& [name, machine] : machines_.machines()) {
    if (!machine.AcceptsTasks(now)) continue;
    schedulable_machines_.push_back(&machine);
    SteadyTime expected =
        machine.last_answer + context_.deployment.heartbeat_interval;
    bool answered_next = machine.pending_request != 0;
    machine.until_heartbeat =
        answered_next ? Duration(0) : std::max(Duration(0), expected - now);
  }
}

void TaskStarter::FindMaxWaitingTaskCpus(const std::vector<const Job*>& jobs) {
  max_waiting_task_cpus_ = 0;
  for (const Job* job : jobs) {
    if (job->waiting() == 0) continue;
    max_waiting_task_cpus_ =
        std::max(max_waiting_task_cpus_, job->spec().resources.cpus);
  }
}

void TaskStarter::AddStarts(PendingTransaction& pending,
                            const std::vector<const Job*>& jobs) {
  SteadyTime now = context_.now();
  CollectSchedulableMachines();
  displacer_.BeginPlan(now);
  FindMaxWaitingTaskCpus(jobs);
  quota_.ClearReserved();
  std::map<std::string, SteadyTime> still_waiting;
  for (const Job* job : jobs) {
    const std::string& id = job->spec().id;
    bool all_taken = job->done + job->assigned >= job->spec().tasks;
    if (all_taken && !pending.ChangesJob(id)) continue;
    auto known = waiting_since_.find(id);
    SteadyTime since = known == waiting_since_.end() ? now : known->second;
    still_waiting[id] = since;
    if (context_.cancelled_by_peers.contains(id)) continue;
    if (!failures_.MayRetry(id, now)) continue;
    AddStartsOf(pending, *job, since);
  }
  waiting_since_ = std::move(still_waiting);
}

void TaskStarter::AddStartsOf(PendingTransaction& pending, const Job& job,
                              SteadyTime waiting_since) {
  const JobSpec& spec = job.spec();
  JobPlacement placement{job, waiting_since, CountZones(job)};
  if (spec.shape == Shape::kGang && !GangFits(job)) {
    transfer_.AddTransfers(pending, job, waiting_since);
    return;
  }
  uint32_t starts_before = pending.start_count;
  Placement outcome = StartInOwnedChunks(pending, placement);
  // A team's limit applies to all partitions together, so a lack of quota is no
  // reason to transfer.
  if (outcome == Placement::kNoMachine) {
    transfer_.AddTransfers(pending, job, waiting_since);
  }
  int64_t started = pending.start_count - starts_before;
  int64_t still_waiting = static_cast<int64_t>(job.waiting()) - started;
  bool displaces = spec.shape == Shape::kService &&
                   outcome == Placement::kNoMachine &&
                   !pending.transfers.contains(spec.id) &&
                   !transfer_.MayTransferSoon(job, waiting_since);
  if (displaces) {
    displacer_.DisplaceFor(spec, placement.zone_use, schedulable_machines_,
                           still_waiting);
  }
  if (still_waiting > 0) {
    int priority = AgedPriority(job, context_.outbox.now().wall);
    quota_.Reserve({spec.team, priority}, spec.resources * still_waiting);
  }
}

TaskStarter::Placement TaskStarter::StartInOwnedChunks(
    PendingTransaction& pending, JobPlacement& placement) {
  Placement outcome = Placement::kAll;
  uint32_t chunk_count = placement.job.record.chunk_count();
  for (uint32_t chunk = 0; chunk < chunk_count; ++chunk) {
    if (!Owns(placement.job, chunk)) continue;
    outcome = StartInChunk(pending, placement, chunk);
    if (outcome != Placement::kAll) break;
  }
  return outcome;
}

TaskStarter::ChunkPlacement TaskStarter::PrepareChunk(
    const PendingTransaction& pending, const Job& job, uint32_t chunk) const {
  static const ChunkRecord kUntouched;
  const JobSpec& spec = job.spec();
  const Job::Chunk* stored = job.FindChunk(chunk);
  auto drafted = pending.chunks.find({spec.id, chunk});
  ChunkPlacement placement;
  placement.chunk = chunk;
  placement.size = job.chunk_end(chunk) - job.chunk_begin(chunk);
  placement.record = stored != nullptr ? &stored->record : &kUntouched;
  if (drafted != pending.chunks.end()) {
    placement.record = &drafted->second.record;
  }
  // One attempt number for all tasks that start together keeps the record
  // small.
  placement.attempt = stored == nullptr ? 1 : stored->record.next_attempt;
  placement.bound = placement.record->assigned.size();
  return placement;
}

bool TaskStarter::TransactionAllowsStart(const PendingTransaction& pending,
                                         const Job& job, uint32_t chunk) const {
  // Every job whose tasks start adds a condition. A transaction may have four
  // conditions for each of its writes, and some are needed for segments, teams
  // and ends.
  if (!pending.MayStart(job)) return false;
  bool adds_job_record =
      NeedsOrderedStarts(job) && !pending.ordered_start_jobs.contains(&job);
  if (adds_job_record && !pending.MayAddPut()) return false;
  if (adds_job_record && !sizes_.FitsValue(job.record)) return false;
  return pending.MayChange(job, chunk);
}

TaskStarter::Placement TaskStarter::StartInChunk(PendingTransaction& pending,
                                                 JobPlacement& placement,
                                                 uint32_t number) {
  const Job& job = placement.job;
  const JobSpec& spec = job.spec();
  ChunkPlacement chunk = PrepareChunk(pending, job, number);
  if (CountTasks(chunk.record->done) + chunk.bound >= chunk.size) {
    return Placement::kAll;
  }
  chunk.completed_or_bound = chunk.record->done;
  for (const Assignment& assignment : chunk.record->assigned) {
    AddTask(chunk.completed_or_bound, assignment.task);
  }
  chunk.avoid = failures_.MachinesToAvoid(spec.id, context_.now());
  chunk.urgent =
      spec.shape == Shape::kService ||
      context_.deployment.StartsWithin(
          spec.job_class, 2 * context_.deployment.heartbeat_interval);
  size_t max_bound = MaxBoundInChunk();
  uint32_t end = job.chunk_end(number);
  for (uint32_t task = job.chunk_begin(number); task < end; ++task) {
    if (HasTask(chunk.completed_or_bound, task)) continue;
    bool fits = chunk.bound < max_bound &&
                sizes_.FitsSegmentWithOneMore(spec.id, number, *chunk.record);
    if (!fits) return Placement::kAll;
    if (!TransactionAllowsStart(pending, job, number))
      return Placement::kLimitReached;
    uint32_t waiting = chunk.size - CountTasks(chunk.completed_or_bound);
    Machine* machine =
        ChooseMachine(spec, waiting, placement.zone_use, schedulable_machines_,
                      chunk.avoid, chunk.urgent, max_waiting_task_cpus_);
    if (machine == nullptr) return Placement::kNoMachine;
    if (DisplaceForImage(placement, *machine)) continue;
    if (!quota_.Acquire(job, pending.teams, pending.MayAddPut())) {
      return Placement::kLimitReached;
    }
    AddStart(pending, placement, chunk, task, *machine);
  }
  return Placement::kAll;
}

void TaskStarter::AddStart(PendingTransaction& pending, JobPlacement& placement,
                           ChunkPlacement& chunk, uint32_t task,
                           Machine& machine) {
  const Job& job = placement.job;
  const JobSpec& spec = job.spec();
  ChunkRecord& record =
      pending.GetOrAddChange(job, chunk.chunk, context_.partition_count).record;
  record.assigned.push_back({task, chunk.attempt, machine.name, machine.zone});
  record.next_attempt = chunk.attempt + 1;
  chunk.record = &record;
  ++chunk.bound;
  AddTask(chunk.completed_or_bound, task);
  pending.starting_jobs.insert(&job);
  if (NeedsOrderedStarts(job)) pending.ordered_start_jobs.insert(&job);
  pending.start_count += 1;
  pending.total_wait_time += context_.now() - placement.waiting_since;
  machine.planned.resources += spec.resources;
  machine.planned.images.insert(spec.image);
  if (spec.shape == Shape::kService) machine.planned.services.insert(spec.id);
  quota_.AddPlanned(spec.team, spec.resources);
  placement.zone_use.tasks[machine.zone] += 1;
  placement.zone_use.total += 1;
}

bool TaskStarter::GangFits(const Job& job) const {
  const JobSpec& spec = job.spec();
  if (job.assigned > 0) return false;
  uint32_t left = spec.tasks - std::min(spec.tasks, job.done);
  const Team& team = context_.deployment.teams.at(spec.team);
  Resources use = quota_.ClusterUse(spec.team) + spec.resources * left;
  bool over_cpus = team.cpus_limit > 0 && use.cpus > team.cpus_limit;
  bool over_gpus = team.gpus_limit > 0 && use.gpus > team.gpus_limit;
  if (over_cpus || over_gpus) return false;
  std::map<std::string, int64_t> tasks_by_zone;
  int64_t tasks = 0;
  for (const Machine* machine : schedulable_machines_) {
    if (!IsPlacementAllowed(spec, *machine, {})) continue;
    int64_t count = spec.resources.CountFittingIn(machine->Free(), left);
    tasks_by_zone[machine->zone] += count;
    tasks += count;
  }
  if (!spec.one_zone) return tasks >= left;
  return std::ranges::any_of(
      tasks_by_zone, [left](const auto& zone) { return zone.second >= left; });
}

bool TaskStarter::DisplaceForImage(const JobPlacement& placement,
                                   const Machine& machine) {
  const JobSpec& spec = placement.job.spec();
  bool service = spec.shape == Shape::kService;
  if (!service || machine.images.contains(spec.image)) return false;
  if (context_.now() - placement.waiting_since > kImageWait) return false;
  return displacer_.DisplaceOnMachineWithImage(spec, placement.zone_use,
                                               schedulable_machines_);
}

}  // namespace pitchfall
