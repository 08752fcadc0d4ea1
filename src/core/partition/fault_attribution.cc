#include "core/partition/fault_attribution.h"

namespace pitchfall {
namespace {

// The running time after which a replica counts as proven: its start and its
// machine were good.
constexpr Duration kMinProvenRunTime = Millis(15000);

}  // namespace

void FaultAttribution::RecordSuccess(const std::string& machine,
                                     const std::string& job) {
  for (const std::string& at_fault : tracker_.RecordSuccess(machine, job)) {
    Quarantine(at_fault);
  }
}

void FaultAttribution::RecordFailure(const std::string& machine,
                                     const std::string& job) {
  const Job* known = state_cache_.FindJob(job);
  bool job_succeeds =
      known != nullptr && (known->done > 0 || proven_services_.contains(job));
  FailureTracker::FaultVerdict verdict =
      tracker_.RecordFailure(machine, job, job_succeeds, outbox_.now().steady);
  if (verdict.job_at_fault) {
    outbox_.Log(LogLevel::kInfo,
                "event=job_failing job={} machines={} retry_in={:.0f}", job,
                verdict.machines, ToSeconds(verdict.retry_in));
  }
  if (verdict.machine_at_fault) Quarantine(machine);
}

void FaultAttribution::RecordReplicaEnd(const std::string& machine,
                                        const std::string& job) {
  tracker_.RecordReplicaEnd(machine, job, outbox_.now().steady);
}

void FaultAttribution::MarkProvenReplica(const Machine& machine,
                                         BoundAttempt& attempt) {
  const JobSpec& spec = attempt.job->spec();
  bool runs = spec.shape == Shape::kService && attempt.running_since;
  if (!runs || attempt.is_proven_replica) return;
  if (machine.last_heartbeat_time - *attempt.running_since < kMinProvenRunTime)
    return;
  attempt.is_proven_replica = true;
  proven_services_.insert(spec.id);
  RecordSuccess(machine.name, spec.id);
}

void FaultAttribution::ForgetEnded() {
  auto ended = [this](const std::string& job) {
    return state_cache_.FindJob(job) == nullptr;
  };
  tracker_.ForgetMachines([this](const std::string& machine) {
    return machines_.Find(machine) == nullptr;
  });
  tracker_.ForgetJobs(ended);
  std::erase_if(proven_services_, ended);
}

// Every task started on a faulty machine would fail, so the machine gets no
// more tasks and is drained and returned to the cloud.
void FaultAttribution::Quarantine(const std::string& name) {
  Machine* machine = machines_.Find(name);
  if (machine == nullptr || machine->quarantined) return;
  machine->quarantined = true;
  outbox_.Log(LogLevel::kWarning,
              "event=quarantine machine={} errors={} jobs={}", name,
              tracker_.ErrorsOn(name), tracker_.FailedJobsOn(name));
}

}  // namespace pitchfall
