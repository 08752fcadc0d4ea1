#include "core/state/recent_cancellations.h"

namespace pitchfall {

void RecentCancellations::Add(uint64_t mod_revision, const std::string& job) {
  jobs_.insert({mod_revision, job});
  names_.insert(job);
  ++added_;
  if (jobs_.size() <= kMaxKept) return;
  MissUpTo(jobs_.begin()->first);
  names_.erase(jobs_.begin()->second);
  jobs_.erase(jobs_.begin());
}

std::optional<std::vector<std::string>> RecentCancellations::Since(
    uint64_t revision, size_t max_count) const {
  if (revision < last_dropped_revision_) return std::nullopt;
  std::vector<std::string> cancelled;
  auto first = jobs_.lower_bound({revision + 1, ""});
  for (auto job = first; job != jobs_.end(); ++job) {
    if (cancelled.size() >= max_count) return std::nullopt;
    cancelled.push_back(job->second);
  }
  return cancelled;
}

}  // namespace pitchfall
