#include "core/partition/failure_tracker.h"

#include <algorithm>
#include <cmath>

namespace pitchfall {
namespace {

// A job is considered at fault once it has failed on this many machines.
constexpr size_t kMachinesThatClearThem = 3;
// A machine is considered at fault once this many jobs have failed there that
// are not known to be at fault themselves.
constexpr int kSuspectJobs = 3;
// Failures of jobs with completed tasks after which a machine is considered at
// fault: one if no task has ever completed on it, two otherwise.
constexpr int kErrorsOfNewMachine = 1;
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
constexpr double kFirstRetryS = 2.0;
constexpr double kRetryGrowth = 1.5;
constexpr double kLongestRetryS = 60.0;

}  // namespace

bool FailureTracker::JobFailures::AtFault() const {
  return failed_on.size() >= kMachinesThatClearThem;
}

std::vector<std::string> FailureTracker::RecordSuccess(
    const std::string& machine, const std::string& job) {
  MachineFailures& here = machines_[machine];
  here.failed_jobs.clear();
  here.errors = 0;
  here.succeeded = true;
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

FailureTracker::Failure FailureTracker::RecordFailure(
    const std::string& machine, const std::string& job, bool job_succeeds,
    SteadyTime now) {
  JobFailures& of_job = jobs_[job];
  of_job.failed_on.insert(machine);
  of_job.avoid_until[machine] = now + kAvoidAfterFailure;
  of_job.failures += 1;
  MachineFailures& here = machines_[machine];
  here.failed_jobs.insert(job);
  Failure failure;
  failure.machines = of_job.failed_on.size();
  if (of_job.AtFault()) {
    double wait_s = std::min(
        kLongestRetryS, kFirstRetryS * std::pow(kRetryGrowth, of_job.failures));
    of_job.retry_at = now + Seconds(wait_s);
    failure.job_at_fault = true;
    failure.retry_in = Seconds(wait_s);
    return failure;
  }
  if (job_succeeds) here.errors += 1;
  failure.machine_at_fault = MachineAtFault(here);
  return failure;
}

// A failure of a job with completed tasks is not the job's fault and counts
// against the machine at once. Any other job may be faulty itself, so the
// machine is at fault only if several jobs fail there that are not known to
// fail everywhere.
bool FailureTracker::MachineAtFault(const MachineFailures& machine) const {
  int enough = machine.succeeded ? kErrorsOfProvenMachine : kErrorsOfNewMachine;
  if (machine.errors >= enough) return true;
  auto suspects =
      std::count_if(machine.failed_jobs.begin(), machine.failed_jobs.end(),
                    [this](const std::string& job) {
                      auto known = jobs_.find(job);
                      return known == jobs_.end() || !known->second.AtFault();
                    });
  return suspects >= kSuspectJobs;
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

std::vector<std::string> FailureTracker::FailingJobs(size_t most) const {
  std::vector<std::string> failing;
  for (const auto& [job, failures] : jobs_) {
    if (failing.size() >= most) break;
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
