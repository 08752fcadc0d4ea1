// The cancellations that controllers tell each other of in heartbeats.
#ifndef PITCHFALL_CORE_STATE_RECENT_CANCELLATIONS_H_
#define PITCHFALL_CORE_STATE_RECENT_CANCELLATIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pitchfall {

// Cancelled jobs by the revision of their cancellation. Only the newest are
// kept, so that memory stays bounded.
class RecentCancellations {
 public:
  // More than controllers tell each other of at once.
  static constexpr size_t kMaxKept = 1000;

  // Notes a cancellation; the oldest one is dropped if there are too many.
  void Add(uint64_t mod_revision, const std::string& job);

  // The jobs cancelled after the revision, oldest first. None if there are more
  // than `max_count`, or if some of them may have been dropped.
  std::optional<std::vector<std::string>> Since(uint64_t revision,
                                                size_t max_count) const;

 private:
  std::set<std::pair<uint64_t, std::string>> jobs_;
  uint64_t complete_after_ = 0;  // up to here some have been dropped
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_RECENT_CANCELLATIONS_H_
