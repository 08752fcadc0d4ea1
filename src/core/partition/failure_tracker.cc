#include "core/partition/failure_tracker.h"

#include <algorithm>
#include <cmath>

namespace pitchfall {
namespace {

// A job is considered at fault once it has failed on this many machines.
constexpr size_t kFailedMachinesOfFaultyJob = 3;
// A machine is considered at fault once this many jobs have failed there that
// are not known to be at fault themselves.
constexpr int kFailedJobsOfFaultyMachine = 3;
// Failures of jobs with completed tasks after which a machine is considered at
// fault: one if no task has ever completed on it, two otherwise.
constexpr int kErrorsOfUnprovenMachine = 1;
constexpr int kErrorsOfProvenMachine = 2;
// How long a job avoids a machine on which it has failed. Must be less than the
// 90 s after which a task that waits despite free capacity counts as forgotten.
constexpr Duration kAvoidAfterFailure = Millis(40000);
// How long a service avoids a machine on which a replica that had run for a
// while has ended.
constexpr Duration kAvoidAfterReplicaEnd = Millis(10000);
// The delay before a job at fault is retried, in seconds. It is the first value
// multiplied by the growth factor for each failure of the job, at most the
// last.
constexpr double kRetryBaseS = 2.0;
constexpr double kRetryGrowth = 1.5;
constexpr double kMaxRetryS = 60.0;

}  // namespace

bool FailureTracker::JobFailures::AtFault() const {
  return failed_on.size() >= kFailedMachinesOfFaultyJob;
}

std::vector<std::string> FailureTracker::RecordSuccess(
    const std::string& machine, const std::string& job) {
  MachineFailures& machine_failures = machines_[machine];
  machine_failures.failed_jobs.clear();
  machine_failures.errors = 0;
  machine_failures.succeeded = true;
  std::vector<std::string> at_fault;
  auto known = jobs_.extract(job);
  if (known.empty()) return at_fault;
  for (const std::string& other : known.mapped().failed_on) {
    auto failed = machines_.find(other);
    if (failed == machines_.end()) continue;
    if (failed->second.failed_jobs.contains(job)) at_fault.push_back(other);
  }
  return at_fault;
}

FailureTracker::FaultVerdict FailureTracker::RecordFailure(
    const std::string& machine, const std::string& job, bool job_succeeds,
    SteadyTime now) {
  JobFailures& job_failures = jobs_[job];
  job_failures.failed_on.insert(machine);
  job_failures.avoid_until[machine] = now + kAvoidAfterFailure;
  job_failures.failures += 1;
  MachineFailures& machine_failures = machines_[machine];
  machine_failures.failed_jobs.insert(job);
  FaultVerdict verdict;
  verdict.machines = job_failures.failed_on.size();
  if (job_failures.AtFault()) {
    double wait_s =
        std::min(kMaxRetryS,
                 kRetryBaseS * std::pow(kRetryGrowth, job_failures.failures));
    job_failures.retry_at = now + Seconds(wait_s);
    verdict.job_at_fault = true;
    verdict.retry_in = Seconds(wait_s);
    return verdict;
  }
  if (job_succeeds) machine_failures.errors += 1;
  verdict.machine_at_fault = MachineAtFault(machine_failures);
  return verdict;
}

// A failure of a job with completed tasks is not the job's fault and counts
// against the machine at once. Any other job may be faulty itself, so the
// machine is at fault only if several jobs fail there that are not known to
// fail everywhere.
bool FailureTracker::MachineAtFault(const MachineFailures& machine) const {
  int error_threshold =
      machine.succeeded ? kErrorsOfProvenMachine : kErrorsOfUnprovenMachine;
  if (machine.errors >= error_threshold) return true;
  auto suspects =
      std::count_if(machine.failed_jobs.begin(), machine.failed_jobs.end(),
                    [this](const std::string& job) {
                      auto known = jobs_.find(job);
                      return known == jobs_.end() || !known->second.AtFault();
                    });
  return suspects >= kFailedJobsOfFaultyMachine;
}

void FailureTracker::ForgetMachines(const NamePredicate& gone) {
  std::erase_if(machines_,
                [&gone](const auto& entry) { return gone(entry.first); });
}

void FailureTracker::ForgetJobs(const NamePredicate& ended) {
  std::erase_if(jobs_, [&](const auto& entry) {
    const auto& [job, failures] = entry;
    if (!ended(job)) return false;
    if (!failures.AtFault()) return true;
    for (const std::string& machine : failures.failed_on) {
      auto known = machines_.find(machine);
      if (known != machines_.end()) known->second.failed_jobs.erase(job);
    }
    return true;
  });
}

bool FailureTracker::MayRetry(const std::string& job, SteadyTime now) const {
  auto known = jobs_.find(job);
  return known == jobs_.end() || now >= known->second.retry_at;
}

void FailureTracker::RecordReplicaEnd(const std::string& machine,
                                      const std::string& job, SteadyTime now) {
  jobs_[job].avoid_until[machine] = now + kAvoidAfterReplicaEnd;
}

std::set<std::string> FailureTracker::MachinesToAvoid(const std::string& job,
                                                      SteadyTime now) const {
  std::set<std::string> avoid;
  auto known = jobs_.find(job);
  if (known == jobs_.end() || known->second.AtFault()) return avoid;
  for (const auto& [machine, until] : known->second.avoid_until) {
    if (now < until) avoid.insert(machine);
  }
  return avoid;
}

std::vector<std::string> FailureTracker::FailingJobs(size_t max_count) const {
  std::vector<std::string> failing;
  for (const auto& [job, failures] : jobs_) {
    if (failing.size() >= max_count) break;
    if (failures.AtFault()) failing.push_back(job);
  }
  return failing;
}

int FailureTracker::ErrorsOn(const std::string& machine) const {
  auto known = machines_.find(machine);
  return known == machines_.end() ? 0 : known->second.errors;
}

size_t FailureTracker::FailedJobsOn(const std::string& machine) const {
  auto known = machines_.find(machine);
  return known == machines_.end() ? 0 : known->second.failed_jobs.size();
}

}  // namespace pitchfall
