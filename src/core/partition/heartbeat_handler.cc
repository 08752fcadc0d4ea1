#include "core/partition/heartbeat_handler.h"

#include "core/model/http_status.h"

namespace pitchfall {
namespace {

// A machine counts as silent after three heartbeat intervals and this margin.
constexpr Duration kSilenceMargin = Millis(1000);
// The number of answers in one agent epoch of which a reachable worker would
// have received at least one.
constexpr int kMinAnswersToSuspect = 3;

// Returns whether the heartbeat shows no effect of answers sent before: the
// worker has not taken this owner's fencing token, or an attempt whose start it
// was sent in the same agent epoch has not been reported.
bool IgnoresAnswers(const Machine& machine, const WorkerHeartbeat& heartbeat) {
  bool answered = machine.last_answer != SteadyTime{};
  if (answered && !machine.fencing_token_seen) return true;
  for (const auto& [key, attempt] : machine.bound) {
    if (!attempt.start_sent || attempt.reported) continue;
    bool same_epoch = attempt.start_sent->agent_epoch == heartbeat.agent_epoch;
    if (same_epoch && *attempt.start_sent < heartbeat.id()) return true;
  }
  return false;
}

// Returns whether the worker that sent `heartbeat` has begun anew since it sent
// `newest`: it has no fencing token any more. A copy of an old heartbeat
// without a token has no later agent epoch.
bool ShowsRestart(const WorkerHeartbeat& newest,
                  const WorkerHeartbeat& heartbeat) {
  return newest.fencing_token > 0 && heartbeat.fencing_token == 0 &&
         heartbeat.agent_epoch > newest.agent_epoch;
}

}  // namespace

bool HeartbeatHandler::Handle(RequestId request,
                              const WorkerHeartbeat& heartbeat) {
  if (entitlement_.OnFencingToken(heartbeat.fencing_token)) {
    context_.state_watcher.RequestRead();
  }
  if (!entitlement_.successor().empty()) {
    context_.outbox.Answer(request, http_status::kMisdirectedRequest,
                           Redirect{entitlement_.successor()});
    return false;
  }
  if (!entitlement_.MayAnswer()) {
    context_.outbox.Answer(request, http_status::kServiceUnavailable,
                           Problem{"not entitled to answer"});
    return false;
  }
  if (IsStale(heartbeat)) {
    context_.outbox.Answer(request, http_status::kServiceUnavailable,
                           Problem{"late report"});
    return false;
  }
  Accept(request, heartbeat);
  return true;
}

// The network may deliver a heartbeat, or a copy of one, minutes late. If it
// were accepted, a machine whose lease has run out would count as alive again,
// or tasks that have ended since as running
// (OldHeartbeatsArriveAfterNewerOnesAndFromEarlierAgentEpochs).
bool HeartbeatHandler::IsStale(const WorkerHeartbeat& heartbeat) const {
  if (machines_.WasDeleted(heartbeat.machine)) return true;
  const Machine* machine = machines_.Find(heartbeat.machine);
  if (machine == nullptr || !machine->heartbeat) return false;
  const WorkerHeartbeat& newest = *machine->heartbeat;
  // The lease of this agent epoch has run out: the worker's next heartbeat has
  // a later epoch.
  bool same_epoch = heartbeat.agent_epoch <= newest.agent_epoch;
  if (machine->gone && same_epoch) return true;
  if (heartbeat.id() <= newest.id()) return true;
  // A worker's token never falls while it runs.
  return heartbeat.fencing_token < newest.fencing_token &&
         !ShowsRestart(newest, heartbeat);
}

void HeartbeatHandler::Accept(RequestId request,
                              const WorkerHeartbeat& heartbeat) {
  SteadyTime now = context_.now();
  Machine& machine = machines_.GetOrAdd(heartbeat.machine);
  responder_.Refuse(machine);
  if (!machine.heartbeat) {
    context_.outbox.Log(LogLevel::kInfo,
                        "event=worker_joined partition={} machine={} spot={} "
                        "zone={} agent_epoch={}",
                        term_.partition, heartbeat.machine, heartbeat.spot,
                        heartbeat.zone, heartbeat.agent_epoch);
  }
  Duration silence =
      3 * context_.deployment.heartbeat_interval + kSilenceMargin;
  machine.awaits_second_heartbeat =
      !machine.heartbeat || now - machine.last_heartbeat_time > silence;
  if (machine.heartbeat && ShowsRestart(*machine.heartbeat, heartbeat)) {
    machine.restarted = true;
  }
  // The deletion has not been confirmed, and the machine is back.
  if (machine.gone) machine.deleting = false;
  std::optional<WorkerHeartbeat> before = std::move(machine.heartbeat);
  machine.heartbeat = heartbeat;
  machine.last_heartbeat_time = now;
  last_heard_ = now;
  machine.gone = false;
  machine.pending_request = request;
  machine.pending_since = now;
  bool shows_token = heartbeat.fencing_token == term_.fencing_token;
  if (shows_token && !machine.fencing_token_seen) {
    machine.fencing_token_seen = true;
    machine.last_answer = now;
  }
  UpdateMachine(machine);
  UpdateInboundReachability(machine, before);
}

void HeartbeatHandler::UpdateMachine(Machine& machine) {
  const WorkerHeartbeat& heartbeat = *machine.heartbeat;
  machine.address = heartbeat.address;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  if (const MachineType* type = context_.state_cache.FindType(heartbeat.type)) {
    machine.capacity = type->capacity;
  }
  RecordPreemptionNotice(machine);
  machine.unbound_use = {};
  for (const ReportedTask& task : heartbeat.tasks) {
    if (task.state == TaskState::kExited) continue;
    auto bound = machine.bound.find({task.job, task.task});
    if (bound != machine.bound.end() && bound->second.attempt == task.attempt) {
      UpdateAttempt(machine, task, *bound);
      continue;
    }
    const Job* job = context_.state_cache.FindJob(task.job);
    if (job != nullptr) machine.unbound_use += job->spec().resources;
  }
  bool busy = !machine.bound.empty() || !heartbeat.tasks.empty();
  if (busy) {
    machine.idle_since.reset();
  } else if (!machine.idle_since) {
    machine.idle_since = machine.last_heartbeat_time;
  }
}

void HeartbeatHandler::RecordPreemptionNotice(Machine& machine) {
  const std::optional<Duration>& notice = machine.heartbeat->preemption_notice;
  if (!notice || machine.preemption_at) return;
  machine.preemption_at = machine.last_heartbeat_time + *notice;
  context_.outbox.Log(
      LogLevel::kInfo,
      "event=preemption_notice machine={} seconds={:.1f} tasks={}",
      machine.name, ToSeconds(*notice), machine.bound.size());
}

void HeartbeatHandler::UpdateAttempt(
    Machine& machine, const ReportedTask& task,
    std::pair<const TaskKey, BoundAttempt>& entry) {
  BoundAttempt& attempt = entry.second;
  attempt.reported = true;
  attempt.state = task.state;
  if (task.state == TaskState::kRunning && !attempt.running_since) {
    attempt.running_since = machine.last_heartbeat_time;
    LogReplicaUp(machine, entry);
  }
  faults_.MarkProvenReplica(machine, attempt);
  if (task.state != TaskState::kFetching) {
    machine.images.insert(attempt.job->spec().image);
  }
}

void HeartbeatHandler::LogReplicaUp(
    const Machine& machine,
    const std::pair<const TaskKey, BoundAttempt>& entry) const {
  const auto& [key, attempt] = entry;
  const JobSpec& spec = attempt.job->spec();
  bool service = spec.shape == Shape::kService;
  if (!service || attempt.bound_by_previous_owner) return;
  Duration age = context_.outbox.now().wall - attempt.job->record.submitted;
  context_.outbox.Log(LogLevel::kInfo,
                      "event=replica_up job={} task={} machine={} cached={} "
                      "job_age={:.1f}",
                      spec.id, key.second, machine.name,
                      machine.images.contains(spec.image), ToSeconds(age));
}

// A machine may be able to send heartbeats but not to receive the answers. A
// single heartbeat cannot show this, because any answer may be lost. But a
// worker that receives answers takes the fencing token, carries out starts, and
// stays in its agent epoch as long as it is answered
// (InboundCutMachine.IsDeletedAndItsWorkMoves).
void HeartbeatHandler::UpdateInboundReachability(
    Machine& machine, const std::optional<WorkerHeartbeat>& before) {
  SteadyTime now = context_.now();
  const WorkerHeartbeat& heartbeat = *machine.heartbeat;
  if (!before || before->agent_epoch != heartbeat.agent_epoch) {
    OnNewAgentEpoch(machine);
  }
  Duration stable_after = WithDrift(context_.deployment.worker_lease) +
                          2 * context_.deployment.heartbeat_interval;
  bool stable = now - machine.inbound.agent_epoch_since > stable_after;
  if (IgnoresAnswers(machine, heartbeat)) {
    if (!machine.inbound.suspect_since) machine.inbound.suspect_since = now;
  } else if (stable || !machine.inbound.epoch_ended_while_answered) {
    machine.inbound.suspect_since.reset();
    machine.inbound.epoch_ended_while_answered = false;
  }
}

// An agent begins a new epoch when its lease has run out. If it was answered
// often enough and recently enough for the lease to be valid still, it has
// probably not received the answers.
void HeartbeatHandler::OnNewAgentEpoch(Machine& machine) {
  SteadyTime now = context_.now();
  Duration lease = WithDrift(context_.deployment.worker_lease);
  bool answered_in_time =
      machine.inbound.answers_in_epoch >= kMinAnswersToSuspect &&
      now - machine.last_answer < lease;
  if (answered_in_time) {
    machine.inbound.epoch_ended_while_answered = true;
    if (!machine.inbound.suspect_since) machine.inbound.suspect_since = now;
  }
  machine.inbound.agent_epoch_since = now;
  machine.inbound.answers_in_epoch = 0;
}

}  // namespace pitchfall
