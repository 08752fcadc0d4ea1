// Tells faulty jobs from faulty machines by the jobs and machines of tasks that
// end in errors.
//
// A job that was submitted with a mistake fails on every machine; on a faulty
// machine every job fails. A single error shows neither. The counts are kept in
// memory only: a new owner of the partition starts without any.
#ifndef PITCHFALL_CORE_PARTITION_FAILURE_TRACKER_H_
#define PITCHFALL_CORE_PARTITION_FAILURE_TRACKER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace pitchfall {

// Counts failures by job and by machine, and decides which of the two is at
// fault. Jobs and machines are given by their identifiers.
class FailureTracker {
 public:
  // Records that a task of the job has completed on the machine, which clears
  // the failures of both. Returns the machines at fault: those on which the job
  // failed and that have completed no task since.
  std::vector<std::string> RecordSuccess(const std::string& machine,
                                         const std::string& job);

  // What follows from a recorded failure. At most one of job and machine is at
  // fault.
  struct FaultVerdict {
    // Whether the job fails on whatever machine it runs.
    bool job_at_fault = false;
    // The time before which the job should not be started again; zero if it is
    // not at fault.
    Duration retry_in{0};
    // The number of machines on which the job has failed since its last
    // success.
    size_t machines = 0;
    // Whether the machine should be drained and returned to the cloud.
    bool machine_at_fault = false;
  };
  // Records that a task of the job has ended in an error on the machine.
  // `job_succeeds` is whether other tasks of the job have completed.
  FaultVerdict RecordFailure(const std::string& machine, const std::string& job,
                             bool job_succeeds, SteadyTime now);

  // Returns whether tasks of the job may be started at `now`: false only while
  // a job at fault waits for its next retry.
  bool MayRetry(const std::string& job, SteadyTime now) const;
  // Records that a replica of the job that had run for a while has ended on the
  // machine. Neither is at fault, but the next replica should start on another
  // machine.
  void RecordReplicaEnd(const std::string& machine, const std::string& job,
                        SteadyTime now);
  // Returns the machines on which no task of the job should be started at
  // `now`: those on which a task of it has failed or a replica has ended
  // recently. Empty if the job itself is at fault. Machines are avoided for a
  // limited time, because there may be no others.
  std::set<std::string> MachinesToAvoid(const std::string& job,
                                        SteadyTime now) const;
  // Returns at most `max_count` jobs at fault, in the order of their
  // identifiers.
  std::vector<std::string> FailingJobs(size_t max_count) const;

  // Returns how many errors jobs with completed tasks had on the machine since
  // its last success.
  int ErrorsOn(const std::string& machine) const;
  // Returns how many jobs failed on the machine since its last success.
  size_t FailedJobsOn(const std::string& machine) const;

  using NamePredicate = std::function<bool(const std::string&)>;
  // Drops the machine's failures and successes. Failures of jobs stay.
  void ForgetMachine(const std::string& machine) { machines_.erase(machine); }
  // Drops the machines for which `gone` returns true.
  void ForgetMachines(const NamePredicate& gone);
  // Drops the jobs for which `ended` returns true. The failures of those at
  // fault no longer count as failures on machines either.
  void ForgetJobs(const NamePredicate& ended);

 private:
  // The failures of one job since a task of it last completed.
  struct JobFailures {
    std::set<std::string> failed_on;                // machines
    std::map<std::string, SteadyTime> avoid_until;  // by machine
    int failures = 0;
    SteadyTime retry_at{};  // the earliest start, if the job is at fault
    bool AtFault() const;
  };
  // The failures on one machine since a task last completed there.
  struct MachineFailures {
    std::set<std::string> failed_jobs;
    // The number of failures of jobs that have completed other tasks.
    int errors = 0;
    // Whether any task has completed on the machine for this owner.
    bool succeeded = false;
  };

  bool MachineAtFault(const MachineFailures& machine) const;

  std::map<std::string, JobFailures> jobs_;
  std::map<std::string, MachineFailures> machines_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_FAILURE_TRACKER_H_
