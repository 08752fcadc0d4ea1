#include "core/partition/worker_responder.h"

#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {
namespace {

constexpr Duration kCommandTimeout = Millis(2000);
// The delay before a direct stop that failed is repeated.
constexpr Duration kStopRetryInterval = Millis(1000);

}  // namespace

bool IsJobActive(const Context& context, const BoundAttempt& attempt) {
  return !attempt.job->record.final() &&
         !context.cancelled_by_peers.contains(attempt.job->spec().id);
}

CommandPolicy WorkerResponder::PolicyFor(const Machine& machine) const {
  CommandPolicy policy;
  policy.fencing_token = term_.fencing_token;
  policy.now = context_.now();
  policy.may_start = context_.state_watcher.IsFresh() &&
                     machine.fencing_token_seen &&
                     machine.AcceptsTasks(context_.now());
  policy.job_active = [this](const BoundAttempt& attempt) {
    return IsJobActive(context_, attempt);
  };
  return policy;
}

void WorkerResponder::AnswerHeartbeats(SteadyTime accepted_until) {
  for (auto& [name, machine] : machines_.machines()) {
    if (machine.pending_request == 0) continue;
    if (machine.pending_since <= accepted_until) Answer(machine);
  }
}

void WorkerResponder::Answer(Machine& machine) {
  if (!entitlement_.MayAnswer()) {
    Refuse(machine);
    return;
  }
  WorkerCommands commands{term_.fencing_token,
                          BuildCommands(machine, PolicyFor(machine))};
  context_.outbox.Answer(machine.pending_request, http_status::kOk,
                         std::move(commands));
  machine.pending_request = 0;
  machine.last_answer = context_.now();
  machine.inbound.answers_in_epoch += 1;
}

void WorkerResponder::Refuse(Machine& machine) {
  if (machine.pending_request == 0) return;
  context_.outbox.Answer(machine.pending_request,
                         http_status::kServiceUnavailable,
                         Problem{"not entitled to answer"});
  machine.pending_request = 0;
}

void WorkerResponder::SendDirectStops() {
  for (auto& [name, machine] : machines_.machines()) {
    bool reachable =
        machine.fencing_token_seen && !machine.gone && !machine.address.empty();
    if (!reachable || machine.pending_request != 0) continue;
    if (context_.now() < machine.next_stop) continue;
    std::vector<WorkerCommand> stops =
        BuildDirectStops(machine, PolicyFor(machine));
    if (stops.empty()) continue;
    CommandWorker request{term_.fencing_token, machine.heartbeat->agent_epoch,
                          stops};
    context_.outbox.CallWorker(
        machine.address, std::move(request), kCommandTimeout,
        lifetime_.Wrap([this, name = name, newest = machine.heartbeat->id(),
                        stops = std::move(stops)](const WorkerReply& reply) {
          OnStopReply(name, newest, stops, reply);
        }));
  }
}

void WorkerResponder::OnStopReply(const std::string& name, HeartbeatId newest,
                                  const std::vector<WorkerCommand>& stops,
                                  const WorkerReply& reply) {
  Machine* machine = machines_.Find(name);
  if (reply.heartbeat) {
    entitlement_.OnFencingToken(reply.heartbeat->fencing_token);
    bool restarted = reply.heartbeat->id() <= newest;
    if (machine != nullptr && restarted) machine->restarted = true;
  }
  if (reply.status == http_status::kOk || machine == nullptr) return;
  machine->next_stop = context_.now() + kStopRetryInterval;
  for (const WorkerCommand& stop : stops) {
    auto bound = machine->bound.find({stop.job, stop.task});
    if (bound == machine->bound.end()) continue;
    if (bound->second.attempt == stop.attempt) bound->second.stop_sent = false;
  }
}

}  // namespace pitchfall
