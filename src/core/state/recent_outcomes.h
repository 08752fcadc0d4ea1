// The final states of the jobs that have left the job table most recently.
#ifndef PITCHFALL_CORE_STATE_RECENT_OUTCOMES_H_
#define PITCHFALL_CORE_STATE_RECENT_OUTCOMES_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "core/model/job.h"

namespace pitchfall {

// Keeps outcomes, the newest ones, within a bound in bytes. Users who ask about
// these jobs are answered without a read of the state service, also while it
// cannot be read. An outcome never changes.
class RecentOutcomes {
 public:
  // The most memory that the outcomes may take.
  static constexpr size_t kMaxBytes = size_t{1024} * 1024;

  // Adds an outcome, and drops the oldest ones if they exceed kMaxBytes. An
  // outcome that is present already stays as it is.
  void Add(const JobOutcome& outcome);

  // Null if the job's outcome has never been added, or has been dropped.
  const JobOutcome* Find(const std::string& job) const;

  // How many outcomes are present.
  size_t size() const { return outcomes_.size(); }

 private:
  std::unordered_map<std::string, JobOutcome> outcomes_;  // by job
  std::deque<std::string> by_age_;  // the jobs, in the order of their addition
  size_t bytes_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_RECENT_OUTCOMES_H_
