#include "core/partition/machine_health.h"

#include <algorithm>
#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {
namespace {

// Added to a worker's lease before it counts as expired.
constexpr Duration kLeaseMargin = Millis(500);
// The time between two searches for machines to delete, and the delays before
// the next search once a call has succeeded or failed.
constexpr Duration kDeleteInterval = Millis(500);
constexpr Duration kDelayAfterDeletion = Millis(300);
constexpr Duration kDelayAfterFailedDeletion = Millis(2000);
// Added to three heartbeat intervals before a machine counts as silent.
constexpr Duration kSilenceMargin = Millis(2000);
// The largest number of machine names in one call to the cloud.
constexpr size_t kMaxDeletedAtOnce = 100;
// If more than one machine in so many (and more than one in all) seem to
// receive no answers, none is deleted for that reason.
constexpr size_t kMachinesPerUnreachable = 4;

}  // namespace

void MachineHealth::UpdateCordon(Machine& machine) {
  bool cordoned = context_.state_cache.IsDraining(machine.name);
  if (cordoned == machine.cordoned) return;
  machine.cordoned = cordoned;
  reschedule_.Raise();
  context_.outbox.Log(LogLevel::kInfo, "event={} machine={} tasks={}",
                      cordoned ? "cordon" : "uncordon", machine.name,
                      machine.bound.size());
}

void MachineHealth::UpdateLease(Machine& machine) {
  if (machine.gone) return;
  SteadyTime now = context_.now();
  Duration lease = WithDrift(context_.deployment.worker_lease) + kLeaseMargin;
  bool answered = machine.last_answer != SteadyTime{};
  bool lease_expired = answered && machine.pending_request == 0 &&
                       now - machine.last_answer > lease;
  // A former owner may answer workers only while it knows every cancellation
  // that may have been confirmed (AnswerEntitlement). The state on which it
  // last answered is older than this ownership, or it would have known of the
  // new owner. So every lease that it renewed has expired once the time limit
  // of a cancellation has passed, whether or not the workers can be reached.
  bool former_leases_expired =
      now - term_.since > WithDrift(context_.deployment.cancel_time_limit);
  bool never_heard = !machine.heartbeat && !machine.bound.empty();
  bool lost = machine.fencing_token_seen
                  ? lease_expired
                  : former_leases_expired && (never_heard || lease_expired);
  if (!lost) return;
  machine.gone = true;
  reschedule_.Raise();
  context_.outbox.Log(
      LogLevel::kWarning, "event=worker_lost machine={} proof={} tasks={}",
      machine.name, machine.fencing_token_seen ? "lease" : "former_owner",
      machine.bound.size());
}

Duration MachineHealth::SilenceOf(const Machine& machine) const {
  return context_.now() - std::max(machine.last_heartbeat_time, term_.since);
}

bool MachineHealth::InboundUnreachable(const Machine& machine) const {
  if (!machine.inbound.suspect_since) return false;
  Duration limit = WithDrift(context_.deployment.worker_lease) +
                   4 * context_.deployment.heartbeat_interval;
  return context_.now() - *machine.inbound.suspect_since > limit;
}

MachineHealth::SymptomCheck MachineHealth::CheckSymptoms() const {
  Duration recent = 2 * context_.deployment.heartbeat_interval;
  size_t heard = 0;
  size_t silent = 0;
  size_t unreachable = 0;
  for (const auto& [name, machine] : machines_.machines()) {
    // Only its deletion has not been confirmed.
    if (machine.gone && machine.deleting) continue;
    (SilenceOf(machine) < recent ? heard : silent) += 1;
    if (InboundUnreachable(machine)) ++unreachable;
  }
  size_t max_plausible_unreachable =
      std::max<size_t>(1, (heard + silent) / kMachinesPerUnreachable);
  return {heard >= silent, unreachable <= max_plausible_unreachable};
}

const char* MachineHealth::ReasonToDelete(const Machine& machine,
                                          const SymptomCheck& symptoms) const {
  Duration lease = context_.deployment.worker_lease;
  Duration silence = SilenceOf(machine);
  Duration limit =
      machine.heartbeat
          ? 3 * context_.deployment.heartbeat_interval + kSilenceMargin
          : lease;
  bool silent = symptoms.silence_plausible && silence > limit;
  if (silent || silence > 3 * lease) return "silent";
  if (symptoms.unreachability_plausible && InboundUnreachable(machine)) {
    return "inbound_unreachable";
  }
  if (machine.restarted) return "restarted";
  bool to_return = machine.cordoned || machine.quarantined;
  bool empty = machine.heartbeat && machine.bound.empty() &&
               machine.pending_request == 0 && machine.heartbeat->tasks.empty();
  return to_return && empty ? "drained" : nullptr;
}

std::vector<std::string> MachineHealth::ChooseMachinesToDelete() {
  const SymptomCheck symptoms = CheckSymptoms();
  std::vector<std::string> names;
  for (auto& [name, machine] : machines_.machines()) {
    if (names.size() >= kMaxDeletedAtOnce) break;
    const char* reason = ReasonToDelete(machine, symptoms);
    if (reason == nullptr && !machine.deleting) continue;
    if (!machine.deleting) {
      context_.outbox.Log(LogLevel::kInfo,
                          "event=delete machine={} reason={} tasks={}", name,
                          reason, machine.bound.size());
    }
    machine.deleting = true;
    names.push_back(name);
  }
  return names;
}

void MachineHealth::DeleteMachines() {
  SteadyTime now = context_.now();
  if (call_pending_ || now < next_call_) return;
  if (machines_.machines().empty()) return;
  next_call_ = now + kDeleteInterval;
  std::vector<std::string> names = ChooseMachinesToDelete();
  if (names.empty() || !context_.cloud_call_bucket.Take(now, 1)) return;
  call_pending_ = true;
  context_.outbox.CallCloud(
      pitchfall::DeleteMachines{names}, context_.tuning.cloud_timeout,
      lifetime_.Wrap([this, names](const CloudReply& reply) {
        OnDeleteReply(names, reply);
      }));
}

void MachineHealth::OnDeleteReply(const std::vector<std::string>& names,
                                  const CloudReply& reply) {
  call_pending_ = false;
  bool deleted = reply.status == http_status::kOk;
  next_call_ = context_.now() +
               (deleted ? kDelayAfterDeletion : kDelayAfterFailedDeletion);
  if (!deleted) return;
  for (const std::string& name : names) {
    machines_.MarkDeleted(name, context_.now());
    Machine* machine = machines_.Find(name);
    if (machine == nullptr) continue;
    responder_.Refuse(*machine);
    machine->gone = true;
  }
  reschedule_.Raise();
}

}  // namespace pitchfall
