#include "core/partition/partition.h"

#include <algorithm>

#include "core/base/rendezvous_hash.h"
#include "core/model/limits.h"
#include "core/scheduling/demand.h"
#include "core/scheduling/preemption.h"
#include "core/state/segments.h"

namespace pitchfall {
namespace {

constexpr Duration kReconcileInterval = Millis(40);
constexpr Duration kScheduleInterval = Millis(80);
constexpr Duration kIdleScheduleInterval = Millis(250);
constexpr Duration kCommandTimeout = Millis(2000);
constexpr Duration kStopRetryInterval = Millis(1000);
constexpr Duration kLeaseMargin = Millis(500);
constexpr Duration kCancelMargin = Millis(2000);
// A heartbeat waits so long for tokens before it is answered without what they
// would have stored.
constexpr Duration kStoreTimeout = Millis(600);
// A start does not count for users if the task is stopped sooner.
constexpr Duration kMinRunBeforeDrain = Millis(32000);
constexpr Duration kMinWorkToDrain = Millis(10000);
// A job's id in a heartbeat, with quotes and comma.
constexpr size_t kFailingJobBytes = 28;
// Of one more task on a machine of its own, in a chunk's record.
constexpr size_t kMaxAssignmentBytes = 100;
// Ranges of tasks that surely fit into kRecordBytes.
constexpr size_t kFewRanges = 16;
// A small record's, with names of fields.
constexpr size_t kRecordBytes = 600;
// A replica waits so long at the most for another partition to take it, or for
// room on a machine that has its image.
constexpr Duration kTransferWait = Millis(1000);
constexpr Duration kImageWait = Millis(2500);
// On their way from one machine that is to go.
constexpr int kMaxDrainingReplicasPerMachine = 2;
// A replica that has run for so long was started successfully.
constexpr Duration kProvenRun = Millis(15000);

Duration WithDrift(Duration d) { return d + d / 1000; }

}  // namespace

Partition::Partition(Context& context, uint32_t number, uint64_t fencing_token)
    : context_(context),
      number_(number),
      fencing_token_(fencing_token),
      owned_since_(context.now()),
      last_heard_(context.now()),
      last_write_(context.now()),
      quota_(context, number),
      displacer_(context.out),
      announcer_(
          context, number, fencing_token, [this](const std::string& machine) {
            auto known = machines_.find(machine);
            return known != machines_.end() && known->second.fencing_token_seen;
          }) {
  for (const auto& [id, job] : context_.state_cache.open_jobs()) {
    for (const auto& [chunk, entry] : job->chunks) {
      OnChunk(*job, chunk, nullptr, &entry);
    }
  }
  loading_chunks_ = false;
  context_.state_cache.AddListener(this);
  context_.out.Log(LogLevel::kInfo,
                   "event=partition_acquired partition={} token={}", number_,
                   fencing_token_);
}

Partition::~Partition() {
  context_.state_cache.RemoveListener(this);
  for (auto& [name, machine] : machines_) RefuseHeartbeat(machine);
  context_.out.Log(LogLevel::kInfo,
                   "event=partition_released partition={} token={}", number_,
                   fencing_token_);
}

Machine& Partition::GetMachine(const std::string& name) {
  Machine& machine = machines_[name];
  machine.name = name;
  return machine;
}

void Partition::OnChunk(const Job& job, uint32_t /*chunk*/,
                        const Job::Chunk* before, const Job::Chunk* after) {
  schedule_needed_ = true;
  const JobSpec& spec = job.spec();
  static const std::vector<Assignment> kNone;
  auto mine = [&](const Job::Chunk* chunk) -> const std::vector<Assignment>& {
    return chunk != nullptr && chunk->partition == number_
               ? chunk->record.assigned
               : kNone;
  };
  auto among = [](const std::vector<Assignment>& all, const Assignment& one) {
    return std::find(all.begin(), all.end(), one) != all.end();
  };
  for (const Assignment& assignment : mine(before)) {
    if (among(mine(after), assignment)) continue;
    Machine& machine = GetMachine(assignment.machine);
    machine.bound.erase({spec.id, assignment.task});
    if (--machine.bound_images[spec.image] <= 0) {
      machine.bound_images.erase(spec.image);
    }
    machine.used -= spec.resources;
    quota_.AddBound(spec.team, Resources{} - spec.resources);
  }
  for (const Assignment& assignment : mine(after)) {
    if (among(mine(before), assignment)) continue;
    Machine& machine = GetMachine(assignment.machine);
    BoundAttempt bound;
    bound.job = &job;
    bound.attempt = assignment.attempt;
    bound.bound_by_previous_owner = loading_chunks_;
    machine.bound[{spec.id, assignment.task}] = bound;
    machine.bound_images[spec.image] += 1;
    machine.used += spec.resources;
    machine.idle_since.reset();
    quota_.AddBound(spec.team, spec.resources);
  }
}

// While the state service is away, cancellations may be stored that this owner
// does not hear of. A worker answered last now holds its tasks for one more
// lease; that has to end before a cancellation's time is up.
bool Partition::MayAnswer() const {
  const Deployment& d = context_.deployment;
  Duration limit = d.cancel - WithDrift(d.worker_lease) - kCancelMargin;
  SteadyTime known_until =
      context_.cancellation_watermark.CancellationsKnownUntil(
          context_.state_watcher.current_as_of(), context_.now());
  return !deposed_ && context_.now() - known_until < limit;
}

void Partition::OnPeerClaim(const std::string& label, uint64_t fencing_token) {
  if (fencing_token <= fencing_token_) return;
  if (!deposed_) {
    context_.out.Log(LogLevel::kInfo,
                     "event=deposed partition={} by={} token={}", number_,
                     label, fencing_token);
  }
  deposed_ = true;
  successor_ = label;
  context_.state_watcher.RequestRead();
}

void Partition::RefuseHeartbeat(Machine& machine) {
  if (machine.waiting == 0) return;
  context_.out.Answer(machine.waiting, 503, Problem{"not entitled to answer"});
  machine.waiting = 0;
}

void Partition::OnWorkerHeartbeat(RequestId request,
                                  const WorkerHeartbeat& heartbeat) {
  SteadyTime now = context_.now();
  if (heartbeat.fencing_token > fencing_token_) {
    // Somebody else owns the partition: nothing of mine counts any more.
    deposed_ = true;
    context_.state_watcher.RequestRead();
  }
  if (!successor_.empty()) {
    context_.out.Answer(request, 421, Redirect{successor_});
    return;
  }
  if (!MayAnswer()) {
    context_.out.Answer(request, 503, Problem{"not entitled to answer"});
    return;
  }
  if (IsStale(heartbeat)) {
    context_.out.Answer(request, 503, Problem{"late report"});
    return;
  }
  Machine& machine = GetMachine(heartbeat.machine);
  RefuseHeartbeat(machine);
  if (!machine.heartbeat) {
    context_.out.Log(
        LogLevel::kInfo,
        "event=worker_joined partition={} machine={} spot={} zone={} "
        "session={}",
        number_, heartbeat.machine, heartbeat.spot, heartbeat.zone,
        heartbeat.agent_epoch);
  }
  Duration silence = 3 * context_.deployment.heartbeat_interval + Millis(1000);
  machine.back = !machine.heartbeat || now - machine.heard > silence;
  std::optional<WorkerHeartbeat> before = std::move(machine.heartbeat);
  machine.heartbeat = heartbeat;
  machine.heard = now;
  last_heard_ = now;
  machine.gone = false;
  machine.waiting = request;
  machine.waiting_since = now;
  if (heartbeat.fencing_token == fencing_token_ &&
      !machine.fencing_token_seen) {
    machine.fencing_token_seen = true;
    machine.last_answer = now;
  }
  UpdateMachine(machine);
  UpdateInboundReachability(machine, before);
  schedule_needed_ = true;
}

// The network may hold a heartbeat back and deliver it, or a copy of it,
// minutes later. It must not bring a machine back to life.
bool Partition::IsStale(const WorkerHeartbeat& heartbeat) const {
  if (deleted_.contains(heartbeat.machine)) return true;
  auto found = machines_.find(heartbeat.machine);
  if (found == machines_.end() || !found->second.heartbeat) return false;
  const Machine& machine = found->second;
  const WorkerHeartbeat& newest = *machine.heartbeat;
  // Its lease has run out: the worker's next heartbeat is of a later agent
  // epoch.
  if (machine.gone && heartbeat.agent_epoch <= newest.agent_epoch) return true;
  return std::pair(heartbeat.agent_epoch, heartbeat.seq) <=
         std::pair(newest.agent_epoch, newest.seq);
}

// A machine may report and yet hear nothing. That is not seen from any one
// report, since answers get lost; but one that hears takes the fencing token,
// carries starts out, and stays in its agent epoch as long as it is answered.
void Partition::UpdateInboundReachability(
    Machine& machine, const std::optional<WorkerHeartbeat>& before) {
  SteadyTime now = context_.now();
  const WorkerHeartbeat& heartbeat = *machine.heartbeat;
  Duration lease = WithDrift(context_.deployment.worker_lease);
  if (!before || before->agent_epoch != heartbeat.agent_epoch) {
    if (machine.answers >= 3 && now - machine.last_answer < lease) {
      machine.epoch_ended_while_answered = true;
      if (!machine.inbound_suspect_since) machine.inbound_suspect_since = now;
    }
    machine.agent_epoch_since = now;
    machine.answers = 0;
  }
  bool unheeded =
      !machine.fencing_token_seen && machine.last_answer != SteadyTime{};
  for (const auto& [key, task] : machine.bound) {
    unheeded |= task.start_sent && !task.reported &&
                task.start_sent->first == heartbeat.agent_epoch &&
                task.start_sent->second < heartbeat.seq;
  }
  bool stays = now - machine.agent_epoch_since >
               lease + 2 * context_.deployment.heartbeat_interval;
  if (unheeded) {
    if (!machine.inbound_suspect_since) machine.inbound_suspect_since = now;
  } else if (stays || !machine.epoch_ended_while_answered) {
    machine.inbound_suspect_since.reset();
    machine.epoch_ended_while_answered = false;
  }
}

bool Partition::InboundUnreachable(const Machine& machine) const {
  return machine.inbound_suspect_since &&
         context_.now() - *machine.inbound_suspect_since >
             WithDrift(context_.deployment.worker_lease) +
                 4 * context_.deployment.heartbeat_interval;
}

void Partition::UpdateMachine(Machine& machine) {
  const WorkerHeartbeat& heartbeat = *machine.heartbeat;
  machine.address = heartbeat.address;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  if (const MachineType* type = context_.state_cache.FindType(heartbeat.type)) {
    machine.capacity = type->capacity;
  }
  if (heartbeat.preemption_notice && !machine.preemption_at) {
    machine.preemption_at = machine.heard + *heartbeat.preemption_notice;
    context_.out.Log(
        LogLevel::kInfo,
        "event=preemption_notice machine={} seconds={:.1f} tasks={}",
        machine.name, ToSeconds(*heartbeat.preemption_notice),
        machine.bound.size());
  }
  machine.unbound_use = {};
  for (const ReportedTask& task : heartbeat.tasks) {
    if (task.state == TaskState::kExited) continue;
    auto bound = machine.bound.find({task.job, task.task});
    if (bound != machine.bound.end() && bound->second.attempt == task.attempt) {
      bound->second.reported = true;
      bound->second.state = task.state;
      if (task.state == TaskState::kRunning && !bound->second.running_since) {
        bound->second.running_since = machine.heard;
        LogReplicaUp(machine, *bound);
      }
      NoteProvenReplica(machine, bound->second);
      if (task.state != TaskState::kFetching) {
        machine.images.insert(bound->second.job->spec().image);
      }
      continue;
    }
    const Job* job = context_.state_cache.FindJob(task.job);
    if (job != nullptr) machine.unbound_use += job->spec().resources;
  }
  bool busy = !machine.bound.empty() || !heartbeat.tasks.empty();
  if (busy) {
    machine.idle_since.reset();
  } else if (!machine.idle_since) {
    machine.idle_since = machine.heard;
  }
}

// Replicas never complete. One that has run for a while stands for a task that
// has, when faulty jobs are told from faulty machines.
void Partition::NoteProvenReplica(const Machine& machine, BoundAttempt& task) {
  const JobSpec& spec = task.job->spec();
  if (spec.shape != Shape::kService || task.proven || !task.running_since ||
      machine.heard - *task.running_since < kProvenRun) {
    return;
  }
  task.proven = true;
  proven_services_.insert(spec.id);
  for (const std::string& at_fault :
       failures_.RecordSuccess(machine.name, spec.id)) {
    Quarantine(at_fault);
  }
}

void Partition::LogReplicaUp(
    const Machine& machine,
    const std::pair<const TaskKey, BoundAttempt>& entry) const {
  const JobSpec& spec = entry.second.job->spec();
  if (spec.shape != Shape::kService || entry.second.bound_by_previous_owner)
    return;
  Duration age = context_.out.now().wall - entry.second.job->record.submitted;
  context_.out.Log(LogLevel::kInfo,
                   "event=replica_up job={} task={} machine={} cached={} "
                   "job_age={:.1f}",
                   spec.id, entry.first.second, machine.name,
                   machine.images.contains(spec.image), ToSeconds(age));
}

bool Partition::Wanted(const BoundAttempt& task) const {
  return !task.job->record.final() &&
         !context_.cancelled_by_peers.contains(task.job->spec().id);
}

CommandPolicy Partition::Policy(const Machine& machine) const {
  CommandPolicy policy;
  policy.fencing_token = fencing_token_;
  policy.now = context_.now();
  policy.may_start = context_.state_watcher.Fresh() &&
                     machine.fencing_token_seen &&
                     machine.TakesTasks(context_.now());
  policy.wanted = [this](const BoundAttempt& task) { return Wanted(task); };
  return policy;
}

void Partition::SendStops() {
  for (auto& [name, machine] : machines_) {
    if (!machine.fencing_token_seen || machine.waiting != 0 || machine.gone ||
        machine.address.empty() || context_.now() < machine.next_stop) {
      continue;
    }
    std::vector<WorkerCommand> stops =
        BuildDirectStops(machine, Policy(machine));
    if (stops.empty()) continue;
    auto handler = [this, name = name, stops,
                    alive =
                        std::weak_ptr<int>(alive_)](const WorkerReply& reply) {
      if (!alive.expired()) OnStopped(name, stops, reply);
    };
    context_.out.CallWorker(
        machine.address,
        CommandWorker{fencing_token_, machine.heartbeat->agent_epoch,
                      std::move(stops)},
        kCommandTimeout, std::move(handler));
  }
}

// The worker reports what has changed, and answers to heartbeats repeat stops.
// But one that reaches no controller reports nothing, and a stop that was lost
// on it has to be sent again.
void Partition::OnStopped(const std::string& name,
                          const std::vector<WorkerCommand>& stops,
                          const WorkerReply& reply) {
  if (reply.heartbeat && reply.heartbeat->fencing_token > fencing_token_)
    deposed_ = true;
  if (reply.status == 200) return;
  auto machine = machines_.find(name);
  if (machine == machines_.end()) return;
  machine->second.next_stop = context_.now() + kStopRetryInterval;
  for (const WorkerCommand& stop : stops) {
    auto bound = machine->second.bound.find({stop.job, stop.task});
    if (bound == machine->second.bound.end()) continue;
    if (bound->second.attempt == stop.attempt) bound->second.stop_sent = false;
  }
}

void Partition::AnswerHeartbeat(Machine& machine) {
  if (machine.waiting == 0) return;
  if (!MayAnswer()) {
    RefuseHeartbeat(machine);
    return;
  }
  WorkerCommands commands{fencing_token_,
                          BuildCommands(machine, Policy(machine))};
  context_.out.Answer(machine.waiting, 200, std::move(commands));
  machine.waiting = 0;
  machine.last_answer = context_.now();
  machine.answers += 1;
}

void Partition::AnswerHeartbeats(SteadyTime before) {
  for (auto& [name, machine] : machines_) {
    if (machine.waiting != 0 && machine.waiting_since <= before) {
      AnswerHeartbeat(machine);
    }
  }
}

void Partition::ReconcileMachines() {
  SteadyTime now = context_.now();
  if (now < next_reconcile_) return;
  next_reconcile_ = now + kReconcileInterval;
  // Without tokens nothing that would be stored is worth the full wait.
  AnswerHeartbeats(now - (short_of_write_tokens_
                              ? kStoreTimeout
                              : context_.tuning.heartbeat_hold));
  CheckMachines();
  DeleteMachines();
  SendStops();
}

void Partition::Step() {
  SteadyTime now = context_.now();
  ReconcileMachines();
  announcer_.Step();
  if (storing_ || now < next_schedule_) return;
  if (!schedule_needed_ && now - next_schedule_ < kIdleScheduleInterval) return;
  if (!context_.state_watcher.Fresh()) {
    AnswerHeartbeats(now);
    next_schedule_ = now + kScheduleInterval;
    return;
  }
  if (outcome_unknown_) {
    AdvanceWriteFence();
    return;
  }
  ScheduleTasks();
}

void Partition::CheckMachines() {
  SteadyTime now = context_.now();
  Duration lease = WithDrift(context_.deployment.worker_lease) + kLeaseMargin;
  // What an earlier owner last answered on (MayAnswer) it knew before this
  // ownership began, or it would have known of that. The leases that it renewed
  // have run out by now, whether or not their workers can be asked.
  bool former_over = now - owned_since_ > WithDrift(context_.deployment.cancel);
  for (auto it = machines_.begin(); it != machines_.end();) {
    Machine& machine = it->second;
    bool chosen = context_.state_cache.Draining(machine.name);
    if (chosen != machine.drain) {
      machine.drain = chosen;
      schedule_needed_ = true;
      context_.out.Log(LogLevel::kInfo, "event={} machine={} tasks={}",
                       chosen ? "cordon" : "uncordon", machine.name,
                       machine.bound.size());
    }
    bool answered = machine.last_answer != SteadyTime{};
    bool lease_over =
        answered && machine.waiting == 0 && now - machine.last_answer > lease;
    bool unheard = !machine.heartbeat && !machine.bound.empty();
    bool lost = machine.fencing_token_seen
                    ? lease_over
                    : former_over && (unheard || lease_over);
    if (!machine.gone && lost) {
      machine.gone = true;
      schedule_needed_ = true;
      context_.out.Log(
          LogLevel::kWarning, "event=worker_lost machine={} proof={} tasks={}",
          machine.name, machine.fencing_token_seen ? "lease" : "former_owner",
          machine.bound.size());
    }
    if (machine.drain || machine.quarantined || machine.preemption_at) {
      DrainReplicas(machine);
    }
    if (machine.drain) DrainCheckpointed(machine);
    if (machine.preemption_at) {
      // Save what can be saved before the machine is taken.
      Duration left = *machine.preemption_at - now;
      for (auto& [key, task] : machine.bound) {
        const JobSpec& spec = task.job->spec();
        if (!task.drain_requested && spec.checkpoint.count() > 0 &&
            left < spec.save + 2 * context_.deployment.heartbeat_interval +
                       Millis(2000)) {
          task.drain_requested = true;
        }
      }
    }
    if (machine.gone && machine.deleting && machine.bound.empty()) {
      failures_.ForgetMachine(machine.name);
      it = machines_.erase(it);
    } else {
      ++it;
    }
  }
}

// Replicas would never end: those on a machine that is to go run elsewhere, as
// soon as another machine has capacity. A few at a time, so that each finds its
// place free.
void Partition::DrainReplicas(Machine& machine) {
  auto moving = std::ranges::count_if(machine.bound, [](const auto& entry) {
    return entry.second.job->spec().shape == Shape::kService &&
           entry.second.drain_requested;
  });
  SteadyTime now = context_.now();
  bool soon_taken =
      machine.preemption_at &&
      *machine.preemption_at - now <
          2 * context_.deployment.heartbeat_interval + Millis(2000);
  for (auto& [key, task] : machine.bound) {
    if (task.job->spec().shape != Shape::kService || task.drain_requested)
      continue;
    bool place = moving < kMaxDrainingReplicasPerMachine &&
                 HasCapacityElsewhere(machine, task.job->spec());
    if (!place && !soon_taken) continue;
    task.drain_requested = true;
    ++moving;
    context_.out.Log(LogLevel::kInfo,
                     "event=drain_replica job={} task={} machine={}", key.first,
                     key.second, machine.name);
  }
}

// Whether another machine in the same zone, where the job's rules surely allow
// it, has capacity for one of its tasks.
bool Partition::HasCapacityElsewhere(const Machine& machine,
                                     const JobSpec& spec) const {
  SteadyTime now = context_.now();
  return std::ranges::any_of(machines_, [&](const auto& entry) {
    const Machine& other = entry.second;
    return other.name != machine.name && other.zone == machine.zone &&
           other.TakesTasks(now) && Allowed(spec, other, {}) &&
           spec.resources.FitsIn(other.Free());
  });
}

// What is left on a machine that is to go keeps it rented. Tasks that can save
// go on elsewhere if nothing else is left there, unless they have only begun or
// are about to end: moving costs the saving, a fetch and a new start.
void Partition::DrainCheckpointed(Machine& machine) {
  SteadyTime now = context_.now();
  bool worth = false;
  for (const auto& [key, task] : machine.bound) {
    const JobSpec& spec = task.job->spec();
    if (spec.checkpoint.count() == 0 || !task.running_since) return;
    Duration ran = now - *task.running_since;
    if (ran < kMinRunBeforeDrain) return;
    worth |= spec.estimate - ran > spec.save + kMinWorkToDrain;
  }
  if (!worth) return;
  for (auto& [key, task] : machine.bound) {
    if (task.drain_requested) continue;
    task.drain_requested = true;
    context_.out.Log(LogLevel::kInfo,
                     "event=drain_task job={} task={} machine={}", key.first,
                     key.second, machine.name);
  }
}

void Partition::DeleteMachines() {
  SteadyTime now = context_.now();
  if (deleting_ || now < next_delete_ || machines_.empty()) return;
  next_delete_ = now + Millis(500);
  Duration interval = context_.deployment.heartbeat_interval;
  Duration lease = context_.deployment.worker_lease;
  auto silence = [&](const Machine& machine) {
    return now - std::max(machine.heard, owned_since_);
  };
  size_t heard = 0;
  size_t silent = 0;
  size_t inbound_cut = 0;
  for (const auto& [name, machine] : machines_) {
    (silence(machine) < 2 * interval ? heard : silent) += 1;
    inbound_cut += InboundUnreachable(machine);
  }
  // If most have fallen silent at once it is more likely the network; if many
  // hear nothing, it is more likely this controller that answers too late.
  bool believable = heard >= silent;
  bool unreachable_believable =
      inbound_cut <= std::max<size_t>(1, machines_.size() / 4);
  std::vector<std::string> names;
  for (auto& [name, machine] : machines_) {
    if (names.size() >= 100) break;
    bool unheard = !machine.heartbeat;
    bool lost =
        (believable &&
         silence(machine) > (unheard ? lease : 3 * interval + Millis(2000))) ||
        silence(machine) > 3 * lease;
    bool empty = machine.heartbeat && (machine.drain || machine.quarantined) &&
                 machine.bound.empty() && machine.waiting == 0 &&
                 machine.heartbeat->tasks.empty();
    bool unreachable = unreachable_believable && InboundUnreachable(machine);
    if (!lost && !empty && !unreachable && !machine.deleting) continue;
    if (!machine.deleting) {
      context_.out.Log(LogLevel::kInfo,
                       "event=delete machine={} reason={} tasks={}", name,
                       lost          ? "silent"
                       : unreachable ? "inbound_unreachable"
                                     : "drained",
                       machine.bound.size());
    }
    machine.deleting = true;
    names.push_back(name);
  }
  if (names.empty() || !context_.cloud.Take(now, 1)) return;
  deleting_ = true;
  pitchfall::DeleteMachines request{names};
  context_.out.CallCloud(
      std::move(request), context_.tuning.cloud_timeout,
      [this, names,
       alive = std::weak_ptr<int>(alive_)](const CloudReply& reply) {
        if (alive.expired()) return;
        deleting_ = false;
        next_delete_ =
            context_.now() + Millis(reply.status == 200 ? 300 : 2000);
        if (reply.status != 200) return;
        for (const std::string& name : names) {
          deleted_.insert(name);
          auto machine = machines_.find(name);
          if (machine == machines_.end()) continue;
          RefuseHeartbeat(machine->second);
          machine->second.gone = true;
        }
        schedule_needed_ = true;
      });
}

// ---- Planning ----

Partition::Draft::ChunkChange& Partition::ChangeOf(Draft& draft, const Job& job,
                                                   uint32_t chunk) {
  auto [it, is_new] = draft.chunks.try_emplace({job.spec().id, chunk});
  if (is_new) {
    it->second.job = &job;
    if (const Job::Chunk* stored = job.FindChunk(chunk)) {
      it->second.record = stored->record;
    }
    it->second.record.epoch =
        job.owner_of(chunk, context_.partition_count).epoch;
  }
  return it->second;
}

bool Partition::MayChange(const Draft& draft, const Job& job,
                          uint32_t chunk) const {
  return draft.chunks.size() < max_chunks_ ||
         draft.chunks.contains({job.spec().id, chunk});
}

Partition::EndsByChunk Partition::FindEnds() {
  SteadyTime now = context_.now();
  EndsByChunk ends;
  for (auto& [name, machine] : machines_) {
    if (!machine.heartbeat && !machine.gone) continue;
    bool open = machine.TakesTasks(now);
    for (auto& [key, task] : machine.bound) {
      bool wanted = Wanted(task) && !task.stop() && open;
      // Whatever was drafted before is not stored, or the state cache would
      // show it.
      task.ending = false;
      AttemptOutcome outcome =
          ClassifyAttempt(machine, key, task, fencing_token_, wanted);
      if (outcome == AttemptOutcome::kBound) continue;
      ChunkKey chunk{key.first, task.job->chunk_of(key.second)};
      ends[chunk].push_back({&machine, &task, key.second, outcome});
    }
  }
  return ends;
}

// What the chunk's record says once these tasks have ended.
ChunkRecord Partition::RecordAfter(const std::vector<TaskEnd>& ends,
                                   uint32_t chunk) const {
  const Job& job = *ends.front().bound->job;
  ChunkRecord record = job.FindChunk(chunk)->record;
  record.epoch = job.owner_of(chunk, context_.partition_count).epoch;
  for (const TaskEnd& end : ends) {
    std::erase_if(record.assigned, [&end](const Assignment& a) {
      return a.task == end.task && a.attempt == end.bound->attempt &&
             a.machine == end.machine->name;
    });
    bool replica = job.spec().shape == Shape::kService;
    if (end.outcome == AttemptOutcome::kDone && !replica) {
      AddTask(record.done, end.task);
    }
  }
  return record;
}

void Partition::DraftEnds(Draft& draft) {
  for (const auto& [key, ends] : FindEnds()) {
    const Job& job = *ends.front().bound->job;
    if (!MayChange(draft, job, key.second)) continue;
    ChunkRecord record = RecordAfter(ends, key.second);
    // Stored by an earlier version when values could be larger: it waits until
    // enough of its tasks have ended.
    if (!FitsSegment(key.first, key.second, record)) continue;
    draft.chunks[key] = {&job, std::move(record)};
    for (const TaskEnd& end : ends) {
      end.bound->ending = true;
      RecordEnd(draft, job, end);
    }
  }
}

// What to remember of the end once it is stored, and what it frees.
void Partition::RecordEnd(Draft& draft, const Job& job, const TaskEnd& end) {
  const std::string& id = job.spec().id;
  bool completed = end.outcome == AttemptOutcome::kDone;
  bool replica = job.spec().shape == Shape::kService;
  bool failed = end.outcome == AttemptOutcome::kFailed;
  // A replica that ends by itself has failed, whatever it says, unless it has
  // shown before that both the job and the machine are good.
  if (replica && (completed || failed) && end.bound->proven) {
    draft.ended_replicas.push_back({end.machine->name, id});
    context_.out.Log(LogLevel::kInfo, "event=replica_ended job={} machine={}",
                     id, end.machine->name);
  } else if (failed || (completed && replica)) {
    draft.failures.push_back({end.machine->name, id});
  } else if (completed) {
    draft.successes.push_back({end.machine->name, id});
  } else if (end.outcome == AttemptOutcome::kRefused) {
    draft.refusals.push_back({end.machine->name, id});
  }
  end.machine->planned -= job.spec().resources;
  quota_.AddPlanned(job.spec().team, Resources{} - job.spec().resources);
}

void Partition::DraftFinishedJobs(Draft& draft) {
  auto consider = [&](const Job& job) {
    if (job.record.final() || job.spec().shape == Shape::kService ||
        draft.done_jobs.contains(job.spec().id)) {
      return;
    }
    int64_t done = job.done;
    for (auto it = draft.chunks.lower_bound({job.spec().id, 0});
         it != draft.chunks.end() && it->first.first == job.spec().id; ++it) {
      const Job::Chunk* stored = job.FindChunk(it->first.second);
      done += CountTasks(it->second.record.done);
      if (stored != nullptr) done -= CountTasks(stored->record.done);
    }
    if (done < job.spec().tasks || draft.others() >= draft_limit_) return;
    draft.done_jobs.insert(job.spec().id);
  };
  std::set<const Job*, OrderById> touched;
  for (const auto& [key, change] : draft.chunks) touched.insert(change.job);
  for (const Job* job : touched) consider(*job);
  // Two partitions may have finished their last chunks at the same moment,
  // neither seeing the other's: then the job's first partition says so.
  for (const auto& [id, job] : context_.state_cache.open_jobs()) {
    if (job->done >= job->spec().tasks && Owns(*job, 0)) consider(*job);
  }
}

Partition::Placed Partition::StartsInChunk(Draft& draft, const Job& job,
                                           uint32_t chunk, ZoneUse& use,
                                           const std::vector<Machine*>& open) {
  const JobSpec& spec = job.spec();
  const Job::Chunk* stored = job.FindChunk(chunk);
  auto drafted = draft.chunks.find({spec.id, chunk});
  static const ChunkRecord kUntouched;
  // As it will be stored: with each task that starts it is the draft's.
  const ChunkRecord* record = drafted != draft.chunks.end()
                                  ? &drafted->second.record
                              : stored != nullptr ? &stored->record
                                                  : &kUntouched;
  uint32_t tasks = job.chunk_end(chunk) - job.chunk_begin(chunk);
  size_t on = record->assigned.size();
  if (CountTasks(record->done) + on >= tasks) return Placed::kAll;
  TaskSet taken = record->done;
  for (const Assignment& assignment : record->assigned) {
    AddTask(taken, assignment.task);
  }
  const std::set<std::string> avoid =
      failures_.MachinesToAvoid(spec.id, context_.now());
  bool hurried =
      spec.shape == Shape::kService ||
      context_.deployment.StartsWithin(
          spec.job_class, 2 * context_.deployment.heartbeat_interval);
  size_t max_in_chunk =
      context_.state_cache.AllNodesSupport(kStandingJobsVersion)
          ? kMaxInChunk
          : kMaxInChunkVersion1;
  for (uint32_t task = job.chunk_begin(chunk); task < job.chunk_end(chunk);
       ++task) {
    if (HasTask(taken, task)) continue;
    if (on >= max_in_chunk || !FitsWithOneMore(spec.id, chunk, *record)) {
      return Placed::kAll;
    }
    // Every job that starts is a condition, of which a transaction takes four
    // for each of its writes; the rest are for segments, teams and ends.
    if (!draft.starting.contains(&job) &&
        draft.starting.size() >= max_starting_) {
      return Placed::kNoQuota;
    }
    bool order_start =
        NeedsOrderedStarts(job) && !draft.ordered_starts.contains(&job);
    if (order_start && draft.others() >= draft_limit_) return Placed::kNoQuota;
    if (order_start && !FitsValue(job.record)) return Placed::kNoQuota;
    if (!MayChange(draft, job, chunk)) return Placed::kNoQuota;
    Machine* machine = ChooseMachine(spec, tasks - CountTasks(taken), use, open,
                                     avoid, hurried, widest_);
    if (machine == nullptr) return Placed::kNoMachine;
    if (AwaitsImage(job, *machine, use, open)) continue;
    bool may_add = draft.others() < draft_limit_;
    if (!quota_.Acquire(job, draft.teams, may_add)) return Placed::kNoQuota;
    ChunkRecord& changed = ChangeOf(draft, job, chunk).record;
    record = &changed;
    // One number for all that start together keeps the record small.
    uint32_t attempt = stored == nullptr ? 1 : stored->record.next_attempt;
    changed.assigned.push_back({task, attempt, machine->name, machine->zone});
    changed.next_attempt = attempt + 1;
    ++on;
    AddTask(taken, task);
    draft.starting.insert(&job);
    if (order_start) draft.ordered_starts.insert(&job);
    machine->planned += spec.resources;
    machine->planned_images.insert(spec.image);
    if (spec.shape == Shape::kService) {
      machine->planned_services.insert(spec.id);
    }
    quota_.AddPlanned(spec.team, spec.resources);
    use.tasks[machine->zone] += 1;
    use.total += 1;
    draft.starts += 1;
    auto since = waiting_since_.find(spec.id);
    if (since != waiting_since_.end()) {
      draft.waited += context_.now() - since->second;
    }
  }
  return Placed::kAll;
}

// An earlier version may have stored a record that is too large to be written
// again since the state service takes less.
bool Partition::FitsValue(const JobRecord& record) const {
  return RecordBytes(record) <= context_.state_limits.ValueBytes();
}

// Whether the chunk's record still fits into a segment, whatever becomes of its
// tasks, once another of them is on a machine.
bool Partition::FitsWithOneMore(const std::string& job, uint32_t chunk,
                                const ChunkRecord& record) const {
  size_t max_bytes = context_.state_limits.UsableValueBytes();
  size_t small = record.assigned.size() * kMaxAssignmentBytes + kRecordBytes;
  bool few_ranges = record.done.iterative_size() <= kFewRanges;
  if (few_ranges && small < max_bytes) return true;
  return MaxEntryBytes({job, chunk, record}) + kMaxAssignmentBytes <= max_bytes;
}

bool Partition::FitsSegment(const std::string& job, uint32_t chunk,
                            const ChunkRecord& record) const {
  return SegmentFiller(context_.state_limits.UsableValueBytes())
      .Add({job, chunk, record});
}

// Whether all of a gang can start now: none of it may still be running, and the
// machines must have capacity for all of it together.
bool Partition::GangFits(const Job& job,
                         const std::vector<Machine*>& open) const {
  const JobSpec& spec = job.spec();
  if (job.assigned > 0) return false;
  uint32_t left = spec.tasks - std::min(spec.tasks, job.done);
  const Team& team = context_.deployment.teams.at(spec.team);
  Resources use = quota_.UseEverywhere(spec.team) + spec.resources * left;
  if ((team.cpus_limit > 0 && use.cpus > team.cpus_limit) ||
      (team.gpus_limit > 0 && use.gpus > team.gpus_limit)) {
    return false;
  }
  std::map<std::string, int64_t> by_zone;
  int64_t all = 0;
  for (const Machine* machine : open) {
    if (!Allowed(spec, *machine, {})) continue;
    int64_t count = spec.resources.CountIn(machine->Free(), left);
    by_zone[machine->zone] += count;
    all += count;
  }
  if (!spec.one_zone) return all >= left;
  return std::any_of(by_zone.begin(), by_zone.end(),
                     [&](const auto& zone) { return zone.second >= left; });
}

// Waiting work goes to partitions that have capacity for it. A chunk that has
// been given on before waits longer before it is again: free processors
// elsewhere may not be what it needs.
void Partition::DraftTransfers(Draft& draft, const Job& job) {
  if (context_.partition_count == 1 || draft.others() >= draft_limit_) return;
  bool whole = job.spec().shape == Shape::kGang;
  if (whole && job.assigned > 0) return;
  SteadyTime now = context_.now();
  SteadyTime since = waiting_since_[job.spec().id];
  std::vector<ChunkOwner> owners;
  uint32_t chunks = job.record.chunk_count();
  for (uint32_t n = 0; n < chunks; ++n) {
    owners.push_back(job.owner_of(n, context_.partition_count));
  }
  std::vector<ChunkOwner> before = owners;
  for (uint32_t n = 0; n < chunks; ++n) {
    if (owners[n].partition != number_) continue;
    const Job::Chunk* chunk = job.FindChunk(n);
    uint32_t done = 0;
    if (chunk != nullptr) {
      if (!chunk->record.assigned.empty()) continue;
      done = CountTasks(chunk->record.done);
    }
    uint32_t tasks = job.chunk_end(n) - job.chunk_begin(n);
    if (done >= tasks || draft.chunks.contains({job.spec().id, n})) continue;
    Duration delay =
        context_.tuning.transfer_delay * (1 << std::min(owners[n].epoch, 6u));
    if (now - since < delay) continue;
    const JobSpec& spec = job.spec();
    // What keeps it waiting may be more than the number of processors, such as
    // the zone: then one partition after the other is tried.
    auto [best, most] =
        owners[n].epoch < 2
            ? context_.capacity_table.MostFreeCapacity(spec, number_, number_,
                                                       now)
            : context_.capacity_table.NextWithCapacity(spec, number_, now);
    uint32_t waiting = whole ? spec.tasks : tasks - done;
    if (most < (spec.shape == Shape::kGang ? waiting : 1)) break;
    context_.capacity_table.Reserve(best, spec, waiting);
    for (uint32_t m = whole ? 0 : n; m < (whole ? chunks : n + 1); ++m) {
      owners[m] = {best, owners[m].epoch + 1};
    }
    if (whole) break;
  }
  if (owners == before) return;
  JobRecord moved = job.record;
  moved.owners = owners;
  if (FitsValue(moved)) draft.transfers[job.spec().id] = std::move(owners);
}

void Partition::Preempt(const std::vector<const Job*>& jobs) {
  auto victims = ChooseVictims(context_.state_cache, context_.deployment, jobs,
                               context_.out.now().wall);
  for (auto& [name, machine] : machines_) {
    for (auto& [key, task] : machine.bound) {
      auto victim = victims.find({key.first, key.second, task.attempt});
      bool chosen = victim != victims.end();
      task.at_once = chosen && victim->second == StopKind::kAtOnce;
      if (chosen && !task.preempted) {
        context_.out.Log(LogLevel::kInfo,
                         "event=preempt job={} task={} machine={} team={}",
                         key.first, key.second, name, task.job->spec().team);
      }
      task.preempted = chosen;
    }
  }
}

void Partition::DraftStarts(Draft& draft, const std::vector<const Job*>& jobs) {
  SteadyTime now = context_.now();
  std::vector<Machine*> open;
  for (auto& [name, machine] : machines_) {
    if (!machine.TakesTasks(now)) continue;
    open.push_back(&machine);
    machine.until_heartbeat =
        machine.waiting != 0
            ? Duration(0)
            : std::max(Duration(0), machine.last_answer +
                                        context_.deployment.heartbeat_interval -
                                        now);
  }
  displacer_.BeginPlan(now);
  widest_ = 0;
  for (const Job* job : jobs) {
    if (job->waiting() > 0) {
      widest_ = std::max(widest_, job->spec().resources.cpus);
    }
  }
  std::map<std::string, SteadyTime> waiting;
  quota_.ClearReserved();
  for (const Job* job : jobs) {
    const JobSpec& spec = job->spec();
    if (job->done + job->assigned >= spec.tasks) {
      bool touched =
          draft.chunks.lower_bound({spec.id, 0}) != draft.chunks.end() &&
          draft.chunks.lower_bound({spec.id, 0})->first.first == spec.id;
      if (!touched) continue;
    }
    auto since = waiting_since_.find(spec.id);
    waiting[spec.id] = since == waiting_since_.end() ? now : since->second;
    waiting_since_.emplace(spec.id, now);
    if (context_.cancelled_by_peers.contains(spec.id)) continue;
    if (!failures_.MayRetry(spec.id, now)) continue;
    ZoneUse use;
    if (job->constrained()) {
      for (const auto& [number, chunk] : job->chunks) {
        for (const Assignment& assignment : chunk.record.assigned) {
          use.tasks[assignment.zone] += 1;
          use.total += 1;
        }
      }
    }
    uint32_t starts_before = draft.starts;
    if (spec.shape == Shape::kGang && !GangFits(*job, open)) {
      DraftTransfers(draft, *job);
      continue;
    }
    Placed placed = Placed::kAll;
    for (uint32_t chunk = 0; chunk < job->record.chunk_count(); ++chunk) {
      if (!Owns(*job, chunk)) continue;
      placed = StartsInChunk(draft, *job, chunk, use, open);
      if (placed != Placed::kAll) break;
    }
    // A team's limit is the same everywhere.
    if (placed == Placed::kNoMachine) DraftTransfers(draft, *job);
    int64_t still =
        static_cast<int64_t>(job->waiting()) - (draft.starts - starts_before);
    bool displaces =
        spec.shape == Shape::kService && placed == Placed::kNoMachine &&
        !draft.transfers.contains(spec.id) && !MayTransferSoon(*job);
    if (displaces) displacer_.DisplaceFor(spec, use, open, still);
    int priority = AgedPriority(*job, context_.out.now().wall);
    if (still > 0) {
      quota_.Reserve({spec.team, priority}, spec.resources * still);
    }
  }
  waiting_since_ = std::move(waiting);
}

// Whether a replica should rather wait a moment for capacity on a machine with
// its image than start on `machine`, which would have to fetch it first.
bool Partition::AwaitsImage(const Job& job, const Machine& machine,
                            const ZoneUse& use,
                            const std::vector<Machine*>& open) {
  const JobSpec& spec = job.spec();
  if (spec.shape != Shape::kService || machine.images.contains(spec.image)) {
    return false;
  }
  auto since = waiting_since_.find(spec.id);
  if (since == waiting_since_.end() ||
      context_.now() - since->second > kImageWait) {
    return false;
  }
  return displacer_.DisplaceOnMachineWithImage(spec, use, open);
}

// Whether another partition has capacity, so that the job's waiting chunks are
// likely to be given to it next.
bool Partition::MayTransferSoon(const Job& job) const {
  auto since = waiting_since_.find(job.spec().id);
  bool waits_long = since != waiting_since_.end() &&
                    context_.now() - since->second > kTransferWait;
  SteadyTime now = context_.now();
  return !waits_long &&
         context_.capacity_table
                 .MostFreeCapacity(job.spec(), number_, number_, now)
                 .second > 0;
}

void Partition::DraftLoad(Draft& draft) {
  auto period = static_cast<uint64_t>(
      context_.out.now().wall.time_since_epoch() / context_.tuning.period);
  if (period <= reported_period_ || draft.others() >= draft_limit_) return;
  LoadRecord load;
  load.period = period;
  size_t max_bytes = context_.state_limits.UsableValueBytes();
  load.failing = failures_.FailingJobs(
      (max_bytes - std::min(max_bytes, kRecordBytes)) / kFailingJobBytes);
  Demand demand =
      MeasureDemand(context_.state_cache, context_.deployment,
                    {load.failing.begin(), load.failing.end()},
                    context_.out.now().wall, context_.partition_count, number_);
  load.requested = demand.requested;
  load.waiting = demand.waiting;
  for (const auto& [name, machine] : machines_) load.used += machine.used;
  load.started = started_;
  load.waited = waited_;
  draft.load = std::move(load);
}

// What the partition's capacity is used for, in processors.
void Partition::LogLoad(const LoadRecord& load) const {
  int64_t total = 0;
  int64_t draining = 0;
  int64_t starting = 0;
  int64_t fetching = 0;
  int64_t running = 0;
  int64_t leaving = 0;
  for (const auto& [name, machine] : machines_) {
    total += machine.capacity.cpus;
    if (!machine.TakesTasks(context_.now())) draining += machine.Free().cpus;
    for (const auto& [key, task] : machine.bound) {
      int64_t cpus = task.job->spec().resources.cpus;
      (!task.state                           ? starting
       : *task.state == TaskState::kFetching ? fetching
       : *task.state == TaskState::kRunning  ? running
                                             : leaving) += cpus;
    }
  }
  auto amount = [](int64_t cpus) {
    return static_cast<double>(cpus) / Resources::kUnit;
  };
  context_.out.Log(
      LogLevel::kInfo,
      "event=partition_load partition={} machines={} cpus={:.0f} "
      "starting={:.0f} "
      "fetching={:.0f} running={:.0f} ended={:.0f} closed={:.0f} waiting={} "
      "started={} segment_bytes={} slots={}",
      number_, machines_.size(), amount(total), amount(starting),
      amount(fetching), amount(running), amount(leaving), amount(draining),
      load.waiting, load.started, context_.state_cache.LiveBytes(number_),
      context_.state_cache.SlotCount(number_));
}

std::optional<Transaction> Partition::MakeTransaction(
    const Draft& draft) const {
  const StateLimits& state_limits = context_.state_limits;
  Transaction txn;
  size_t bytes = 0;  // of all but the segments
  auto put = [&](std::string key, Record record, size_t size) {
    bytes += size;
    txn.writes.push_back({std::move(key), std::move(record), 0});
  };
  txn.conditions.push_back({keys::Partition(number_), fencing_token_});
  txn.conditions.push_back(
      {keys::WriteFence(number_, fencing_token_), write_fence_});
  // A start must not be stored after a cancellation, nor in a chunk that has
  // been transferred.
  std::map<std::string, uint64_t> jobs;
  for (const Job* job : draft.starting)
    jobs[job->spec().id] = job->mod_revision;
  for (const std::string& id : draft.done_jobs) {
    const Job* job = context_.state_cache.FindJob(id);
    jobs[id] = job->mod_revision;
    JobRecord record = FinalRecord(job->record, JobState::kDone,
                                   context_.state_limits.ValueBytes());
    size_t size = RecordBytes(record);
    put(keys::Job(id), std::move(record), size);
  }
  for (const auto& [id, owners] : draft.transfers) {
    const Job* job = context_.state_cache.FindJob(id);
    jobs[id] = job->mod_revision;
    JobRecord record = job->record;
    record.owners = owners;
    size_t size = RecordBytes(record);
    put(keys::Job(id), std::move(record), size);
  }
  for (const Job* job : draft.ordered_starts) {
    if (draft.transfers.contains(job->spec().id)) continue;
    put(keys::Job(job->spec().id), job->record, RecordBytes(job->record));
  }
  for (const auto& [id, mod_revision] : jobs) {
    txn.conditions.push_back({keys::Job(id), mod_revision});
  }
  if (draft.load) {
    size_t failing = 0;
    for (const std::string& id : draft.load->failing) failing += id.size() + 3;
    put(keys::Load(number_), *draft.load, kRecordBytes + failing);
  }
  for (const auto& [name, record] : draft.teams) {
    auto stored = context_.state_cache.teams().find(name);
    txn.conditions.push_back(
        {keys::Team(name), stored == context_.state_cache.teams().end()
                               ? 0
                               : stored->second.mod_revision});
    put(keys::Team(name), record,
        kRecordBytes * (1 + record.shares.size() / 8));
  }
  if (draft.chunks.empty()) return txn;
  std::vector<SegmentRecord::Entry> changed;
  for (const auto& [key, change] : draft.chunks) {
    changed.push_back({key.first, key.second, change.record});
  }
  SegmentLimits limits;
  limits.value_bytes = state_limits.UsableValueBytes();
  limits.writes = state_limits.Operations() -
                  std::min(state_limits.Operations(), draft.others());
  bytes += kOperationBytes *
           (txn.conditions.size() + txn.writes.size() + 2 * limits.writes);
  limits.total_bytes = kTransactionBytes - std::min(kTransactionBytes, bytes);
  auto segments = PlanSegments(context_.state_cache, number_, changed, limits);
  if (!segments) return std::nullopt;
  for (SegmentWrite& segment : *segments) {
    std::string key = keys::Segment(number_, segment.slot);
    txn.conditions.push_back({key, segment.mod_revision});
    txn.writes.push_back({key, std::move(segment.segment), 0});
  }
  return txn;
}

void Partition::ForgetPlanned() {
  for (auto& [name, machine] : machines_) {
    machine.planned = {};
    machine.planned_images.clear();
    machine.planned_services.clear();
  }
  quota_.ForgetPlanned();
}

Partition::Draft Partition::MakeDraft(const std::vector<const Job*>& jobs) {
  ForgetPlanned();
  Draft draft;
  DraftEnds(draft);
  DraftFinishedJobs(draft);
  DraftLoad(draft);
  DraftStarts(draft, jobs);
  quota_.ReleaseUnused(draft.teams,
                       draft_limit_ - std::min(draft_limit_, draft.others()));
  return draft;
}

void Partition::ScheduleTasks() {
  SteadyTime now = context_.now();
  // One token is for the segment. What goes beyond the tokens at hand
  // is borrowed, so that a finished job need not wait until nothing else
  // changes. While there is none the plan is due at every step, so that it is
  // this partition's turn as soon as there is one.
  double tokens = context_.writes.Available(now);
  short_of_write_tokens_ = tokens < 1;
  if (short_of_write_tokens_) {
    schedule_needed_ = true;
    return;
  }
  next_schedule_ = now + kScheduleInterval;
  schedule_needed_ = false;
  ForgetPlanned();
  size_t ops = context_.state_limits.Operations();
  draft_limit_ = std::min<size_t>(static_cast<size_t>(tokens) + 1, ops / 2);
  max_starting_ = 3 * ops - std::min<size_t>(3 * ops, 2);
  if (last_write_refused_) draft_limit_ = max_starting_ = 1;
  std::vector<const Job*> jobs = OrderJobs(
      context_.state_cache, context_.out.now().wall, context_.deployment);
  quota_.CountEverywhere();
  Preempt(jobs);
  Draft draft = MakeDraft(jobs);
  std::optional<Transaction> txn = MakeTransaction(draft);
  // Ends free capacity and are the last to be left out, but there may be more
  // of them than one transaction takes: then half as many, until they fit.
  while (!txn && max_chunks_ > 1 && !draft.chunks.empty()) {
    max_chunks_ = std::min(max_chunks_, draft.chunks.size() + 1) / 2;
    draft = MakeDraft(jobs);
    txn = MakeTransaction(draft);
  }
  if (draft.empty()) {
    AnswerHeartbeats(now);
    return;
  }
  if (!txn) {
    schedule_needed_ = true;
    context_.out.Log(LogLevel::kError,
                     "event=segments_full partition={} bytes={}", number_,
                     context_.state_cache.LiveBytes(number_));
    AnswerHeartbeats(now);
    return;
  }
  Store(std::move(draft), std::move(*txn));
}

void Partition::Store(Draft draft, Transaction txn) {
  SteadyTime now = context_.now();
  context_.writes.Take(now, static_cast<double>(txn.writes.size()), -1e9);
  context_.requests.Take(now, 1, -1e9);
  storing_ = true;
  last_write_ = now;
  context_.out.Log(
      LogLevel::kDebug,
      "event=store partition={} chunks={} starts={} teams={} done={} moves={} "
      "puts={} tokens={:.1f}",
      number_, draft.chunks.size(), draft.starts, draft.teams.size(),
      draft.done_jobs.size(), draft.transfers.size(), txn.writes.size(),
      context_.writes.Available(now));
  auto handler = [this, draft = std::move(draft), txn, now,
                  alive = std::weak_ptr<int>(alive_)](const StateReply& reply) {
    if (!alive.expired()) OnStored(draft, txn, now, reply);
  };
  context_.out.CallState(std::move(txn), context_.tuning.state_timeout,
                         std::move(handler));
}

void Partition::OnStored(const Draft& draft, const Transaction& txn,
                         SteadyTime started, const StateReply& reply) {
  storing_ = false;
  schedule_needed_ = true;
  SteadyTime now = context_.now();
  for (auto& [name, machine] : machines_) machine.planned = {};
  quota_.ForgetPlanned();
  last_write_refused_ = reply.status == 400;
  if (last_write_refused_) {
    // Larger than the service takes, by a limit that is not known here: what is
    // decided next is little, so that at least something gets through.
    max_chunks_ = std::max<size_t>(1, draft.chunks.size() / 2);
    context_.state_limits.OnRefused();
    for (const Write& write : txn.writes) {
      context_.out.Log(LogLevel::kError,
                       "event=write_refused partition={} key={} writes={} "
                       "conditions={} value_bytes={}",
                       number_, write.key, txn.writes.size(),
                       txn.conditions.size(),
                       context_.state_limits.ValueBytes());
    }
    next_schedule_ = now + Millis(150);
    return;
  }
  if (reply.status == 200) {
    for (const Write& write : txn.writes) {
      context_.state_cache.Apply({write.key, write.value, reply.revision});
    }
    RecordOutcomes(draft);
    context_.state_limits.OnAccepted();
    // As many as fit again, by and by.
    max_chunks_ =
        draft.chunks.size() < max_chunks_ ? kAnyNumber : 2 * max_chunks_;
    AnswerHeartbeats(started);
    return;
  }
  if (reply.status == 429 || reply.status == 503) {
    // Not carried out.
    if (reply.status == 429) context_.writes.Drain(now);
    next_schedule_ = now + Millis(150);
    return;
  }
  if (reply.status != 409) {
    outcome_unknown_ = true;
    context_.out.Log(LogLevel::kWarning,
                     "event=write_unknown partition={} status={} writes={}",
                     number_, reply.status, txn.writes.size());
  }
  for (const std::string& key : reply.failed) {
    // A write fence whose own answer was lost.
    if (key == keys::WriteFence(number_, fencing_token_))
      outcome_unknown_ = true;
  }
  // Find out what holds now before going on.
  storing_ = true;
  context_.state_watcher.AfterNextRead(
      [this, alive = std::weak_ptr<int>(alive_)](bool) {
        if (!alive.expired()) storing_ = false;
      });
}

// A write got no answer. Reading shows whether it has been carried out, but not
// that it never will be: a late copy would add starts to room and quota shares
// that have been given to others by then. Every write depends on the write
// fence, so once that has changed no earlier one can come through.
void Partition::AdvanceWriteFence() {
  SteadyTime now = context_.now();
  if (!context_.writes.Take(now, 1)) return;
  context_.requests.Take(now, 1, -1e9);
  storing_ = true;
  last_write_ = now;
  Transaction txn;
  txn.conditions.push_back({keys::Partition(number_), fencing_token_});
  txn.writes.push_back(
      {keys::WriteFence(number_, fencing_token_),
       PartitionRecord{context_.deployment.label, context_.incarnation}, 0});
  context_.out.CallState(
      std::move(txn), context_.tuning.state_timeout,
      [this, alive = std::weak_ptr<int>(alive_)](const StateReply& reply) {
        if (alive.expired()) return;
        next_schedule_ = context_.now() + Millis(reply.status == 200 ? 0 : 150);
        if (reply.status == 200) {
          write_fence_ = reply.revision;
          outcome_unknown_ = false;
        }
        // What the lost write did, if it was carried out before the write
        // fence.
        context_.state_watcher.AfterNextRead(
            [this, alive = std::weak_ptr<int>(alive_)](bool ok) {
              if (alive.expired()) return;
              storing_ = false;
              if (!ok) outcome_unknown_ = true;
            });
      });
}

void Partition::RecordOutcomes(const Draft& draft) {
  SteadyTime now = context_.now();
  if (draft.load) {
    LogLoad(*draft.load);
    reported_period_ = draft.load->period;
    started_ = 0;
    waited_ = Duration(0);
  }
  started_ += draft.starts;
  waited_ += draft.waited;
  for (const auto& [name, job] : draft.successes) {
    for (const std::string& at_fault : failures_.RecordSuccess(name, job)) {
      Quarantine(at_fault);
    }
  }
  for (const auto& [name, job] : draft.failures) RecordFailure(name, job);
  for (const auto& [name, job] : draft.ended_replicas) {
    failures_.RecordReplicaEnd(name, job, now);
  }
  for (const auto& [name, job] : draft.refusals) {
    // What the worker holds and what is stored differ for a moment.
    auto found = machines_.find(name);
    if (found == machines_.end()) continue;
    found->second.paused_until =
        std::max(found->second.paused_until, now + Millis(2000));
    context_.out.Log(LogLevel::kInfo, "event=start_refused machine={} job={}",
                     name, job);
  }
}

void Partition::RecordFailure(const std::string& machine,
                              const std::string& job) {
  const Job* known = context_.state_cache.FindJob(job);
  bool job_succeeds =
      known != nullptr && (known->done > 0 || proven_services_.contains(job));
  FailureTracker::Failure failure =
      failures_.RecordFailure(machine, job, job_succeeds, context_.now());
  if (failure.job_at_fault) {
    context_.out.Log(LogLevel::kInfo,
                     "event=job_failing job={} machines={} retry_in={:.0f}",
                     job, failure.machines, ToSeconds(failure.retry_in));
  }
  if (failure.machine_at_fault) Quarantine(machine);
}

// A faulty machine fails whatever it starts: it is emptied and returned.
void Partition::Quarantine(const std::string& name) {
  auto found = machines_.find(name);
  if (found == machines_.end() || found->second.quarantined) return;
  found->second.quarantined = true;
  context_.out.Log(LogLevel::kWarning,
                   "event=quarantine machine={} errors={} jobs={}", name,
                   failures_.ErrorsOn(name), failures_.FailedJobsOn(name));
}

FreeCapacity Partition::Free() const {
  FreeCapacity free;
  for (const auto& [name, machine] : machines_) {
    if (machine.TakesTasks(context_.now())) {
      free.AddMachine(machine.Free().cpus, machine.spot);
    }
  }
  return free;
}

}  // namespace pitchfall
