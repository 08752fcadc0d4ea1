// Tells faulty jobs from faulty machines by which tasks end in errors where.
//
// A job that was submitted with a mistake fails wherever it runs; a faulty
// machine fails whatever it starts. A single error shows neither. What is known
// here is not stored: a new owner learns it again.
#ifndef PITCHFALL_CORE_PARTITION_FAILURE_TRACKER_H_
#define PITCHFALL_CORE_PARTITION_FAILURE_TRACKER_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace pitchfall {

class FailureTracker {
 public:
  // A task of the job has completed on the machine. Returns the machines on
  // which the job failed and that have completed nothing since: these are at
  // fault.
  std::vector<std::string> RecordSuccess(const std::string& machine,
                                         const std::string& job);

  struct Failure {
    // The job fails everywhere and is not tried again before this has passed.
    bool job_at_fault = false;
    Duration retry_in{0};
    size_t machines = 0;  // on which the job has failed
    // The machine is to be emptied and returned.
    bool machine_at_fault = false;
  };
  // A task of the job has ended in an error on the machine. `job_succeeds`:
  // other tasks of it have completed.
  Failure RecordFailure(const std::string& machine, const std::string& job,
                        bool job_succeeds, SteadyTime now);

  // Whether the job's tasks may be started again already.
  bool MayRetry(const std::string& job, SteadyTime now) const;
  // A replica of the job that had run well has ended on the machine: nobody is
  // at fault, but the next one should start elsewhere.
  void RecordReplicaEnd(const std::string& machine, const std::string& job,
                        SteadyTime now);
  // Machines that should not be given the job's tasks for a while: where it has
  // failed, as long as that may be the machines' fault. Not for ever, as there
  // may be no others.
  std::set<std::string> MachinesToAvoid(const std::string& job,
                                        SteadyTime now) const;
  // Jobs that fail everywhere, at most so many.
  std::vector<std::string> FailingJobs(size_t most) const;

  // Errors on the machine of jobs that have completed tasks elsewhere.
  int ErrorsOn(const std::string& machine) const;
  // Jobs whose tasks ended in errors on the machine since its last success.
  size_t FailedJobsOn(const std::string& machine) const;

  void ForgetMachine(const std::string& machine) { machines_.erase(machine); }

 private:
  struct JobFailures {
    std::set<std::string> failed_on;                // machines
    std::map<std::string, SteadyTime> avoid_until;  // by machine
    int failures = 0;
    SteadyTime retry_at{};
    bool AtFault() const;
  };
  struct MachineFailures {
    std::set<std::string> failed_jobs;  // since the last success
    int errors = 0;          // of those, by jobs that succeed elsewhere
    bool succeeded = false;  // has ever completed a task for this owner
  };

  bool MachineAtFault(const MachineFailures& machine) const;

  std::map<std::string, JobFailures> jobs_;
  std::map<std::string, MachineFailures> machines_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_FAILURE_TRACKER_H_
