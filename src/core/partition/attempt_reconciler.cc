#include "core/partition/attempt_reconciler.h"

#include <set>
#include <utility>

#include "core/partition/worker_responder.h"

namespace pitchfall {

AttemptReconciler::EndsByChunk AttemptReconciler::FindEnds() {
  SteadyTime now = context_.now();
  EndsByChunk ends;
  for (auto& [name, machine] : machines_.machines()) {
    if (!machine.heartbeat && !machine.gone) continue;
    bool takes_tasks = machine.AcceptsTasks(now);
    for (auto& [key, attempt] : machine.bound) {
      bool wanted = IsJobActive(context_, attempt) &&
                    !attempt.StopRequested() && takes_tasks;
      // An end that an earlier transaction contained has not been stored:
      // otherwise the state cache would show it and the attempt would not be
      // bound any more.
      attempt.end_pending = false;
      AttemptOutcome outcome =
          ClassifyAttempt(machine, key, attempt, term_.fencing_token, wanted);
      if (outcome == AttemptOutcome::kBound) continue;
      uint32_t chunk = attempt.job->chunk_of(key.second);
      ends[{key.first, chunk}].push_back(
          {&machine, &attempt, key.second, outcome});
    }
  }
  return ends;
}

ChunkRecord AttemptReconciler::RecordAfterEnds(
    const std::vector<AttemptEnd>& ends, uint32_t chunk) const {
  const Job& job = *ends.front().attempt->job;
  bool service = job.spec().shape == Shape::kService;
  ChunkRecord record = job.FindChunk(chunk)->record;
  record.epoch = job.owner_of(chunk, context_.partition_count).epoch;
  for (const AttemptEnd& end : ends) {
    std::erase_if(record.assigned, [&end](const Assignment& assignment) {
      return assignment.task == end.task &&
             assignment.attempt == end.attempt->attempt &&
             assignment.machine == end.machine->name;
    });
    bool completed = end.outcome == AttemptOutcome::kDone;
    if (completed && !service) AddTask(record.done, end.task);
  }
  return record;
}

void AttemptReconciler::AddEndedAttempts(PendingTransaction& pending) {
  for (const auto& [key, ends] : FindEnds()) {
    const Job& job = *ends.front().attempt->job;
    const JobSpec& spec = job.spec();
    if (!pending.MayChange(job, key.second)) continue;
    ChunkRecord record = RecordAfterEnds(ends, key.second);
    // An earlier version stored the record when the limit on values was larger.
    // Its ends wait until enough of its attempts have ended for it to fit.
    if (!sizes_.FitsSegment(key.first, key.second, record)) continue;
    pending.chunks[key] = {&job, std::move(record)};
    for (const AttemptEnd& end : ends) {
      end.attempt->end_pending = true;
      AddReport(pending, end);
      end.machine->planned.resources -= spec.resources;
      quota_.AddPlanned(spec.team, Resources{} - spec.resources);
    }
  }
}

void AttemptReconciler::AddReport(PendingTransaction& pending,
                                  const AttemptEnd& end) const {
  using Kind = AttemptReport::Kind;
  const JobSpec& spec = end.attempt->job->spec();
  const std::string& machine = end.machine->name;
  bool completed = end.outcome == AttemptOutcome::kDone;
  bool failed = end.outcome == AttemptOutcome::kFailed;
  bool replica = spec.shape == Shape::kService;
  // A replica that ends by itself has failed, whatever exit cause the worker
  // reports, unless it has run long enough before to show that neither the job
  // nor the machine is at fault.
  if (replica && (completed || failed) && end.attempt->is_proven_replica) {
    pending.reports.push_back({Kind::kProvenReplicaEnded, machine, spec.id});
    context_.outbox.Log(LogLevel::kInfo,
                        "event=replica_ended job={} machine={}", spec.id,
                        machine);
  } else if (failed || (completed && replica)) {
    pending.reports.push_back({Kind::kFailure, machine, spec.id});
  } else if (completed) {
    pending.reports.push_back({Kind::kSuccess, machine, spec.id});
  } else if (end.outcome == AttemptOutcome::kRefused) {
    pending.reports.push_back({Kind::kRefusal, machine, spec.id});
  }
}

void AttemptReconciler::AddFinishedJobs(PendingTransaction& pending) const {
  std::set<const Job*, OrderById> changed;
  for (const auto& [key, change] : pending.chunks) changed.insert(change.job);
  for (const Job* job : changed) AddIfFinished(pending, *job);
  // Two partitions may store the ends of the job's last chunks at the same
  // time, neither knowing of the other's. The owner of the job's first chunk
  // then adds the completion.
  for (const auto& [id, job] : context_.state_cache.open_jobs()) {
    bool owns_first_chunk =
        job->owner_of(0, context_.partition_count).partition == term_.partition;
    if (job->done >= job->spec().tasks && owns_first_chunk) {
      AddIfFinished(pending, *job);
    }
  }
}

void AttemptReconciler::AddIfFinished(PendingTransaction& pending,
                                      const Job& job) const {
  const std::string& id = job.spec().id;
  bool completes = job.spec().shape != Shape::kService;
  if (!completes || job.record.final() || pending.done_jobs.contains(id)) {
    return;
  }
  int64_t done = job.done;
  for (auto change = pending.chunks.lower_bound({id, 0});
       change != pending.chunks.end() && change->first.first == id; ++change) {
    const Job::Chunk* stored = job.FindChunk(change->first.second);
    done += CountTasks(change->second.record.done);
    if (stored != nullptr) done -= CountTasks(stored->record.done);
  }
  if (done < job.spec().tasks || !pending.MayAddPut()) return;
  pending.done_jobs.insert(id);
}

}  // namespace pitchfall
