// The cancellations that a controller reports to its peers in heartbeats.
#ifndef PITCHFALL_CORE_STATE_RECENT_CANCELLATIONS_H_
#define PITCHFALL_CORE_STATE_RECENT_CANCELLATIONS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace pitchfall {

// Cancelled jobs, ordered by the revision of their cancellation. Only the
// newest kMaxKept are kept, so that memory stays bounded.
class RecentCancellations {
 public:
  // Greater than the number of cancellations that one heartbeat may list.
  static constexpr size_t kMaxKept = 1000;

  // Adds a cancellation, and drops the oldest one if there are more than
  // kMaxKept.
  void Add(uint64_t mod_revision, const std::string& job);

  // Notes that cancellations up to this revision may be missing.
  void MissUpTo(uint64_t revision) {
    last_dropped_revision_ = std::max(last_dropped_revision_, revision);
  }

  // Whether the job's cancellation is present.
  bool Contains(const std::string& job) const { return names_.contains(job); }

  // How many cancellations have been added.
  uint64_t added() const { return added_; }

  // Returns the jobs cancelled after the revision, oldest first. Returns
  // nullopt if there are more than `max_count`, or if some of them may have
  // been dropped.
  std::optional<std::vector<std::string>> Since(uint64_t revision,
                                                size_t max_count) const;

 private:
  // Revision of the cancellation, and job.
  std::set<std::pair<uint64_t, std::string>> jobs_;
  std::unordered_set<std::string> names_;  // the jobs in `jobs_`
  uint64_t added_ = 0;
  // Cancellations up to this revision may be missing, because they were dropped
  // or never added; all later ones are present. 0 if none is missing.
  uint64_t last_dropped_revision_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_RECENT_CANCELLATIONS_H_
