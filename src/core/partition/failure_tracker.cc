#include "core/partition/failure_tracker.h"

#include <algorithm>
#include <cmath>

namespace pitchfall {
namespace {

// A job that has failed on so many machines is taken to be at fault itself.
constexpr size_t kMachinesThatClearThem = 3;
// Jobs without any success that fail on one machine before it is suspected.
constexpr int kSuspectJobs = 3;
// Errors of jobs that succeed elsewhere: a machine that has never completed
// anything is at fault after one, another after two.
constexpr int kErrorsOfNewMachine = 1;
constexpr int kErrorsOfProvenMachine = 2;
// While a machine is avoided that may be at fault. Less than the 90 s after
// which a task that waits beside free capacity counts as forgotten.
constexpr Duration kAvoidAfterFailure = Millis(40000);
constexpr Duration kAvoidAfterReplicaEnd = Millis(10000);
// Between tries of a job at fault, in seconds: grows with each failure.
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

// A job of which tasks have completed is not at fault. Of the others any may
// be: only when several fail on the machine, none of them known to fail
// everywhere, is it the machine.
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
