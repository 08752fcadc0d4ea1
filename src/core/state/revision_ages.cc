#include "core/state/revision_ages.h"

namespace pitchfall {

void RevisionAges::Add(uint64_t revision, SteadyTime now) {
  if (!samples_.empty() && revision <= samples_.back().revision) return;
  samples_.push_back({now, revision});
  // The newest old sample covers all earlier ones.
  while (samples_.size() > 1 && now - samples_[1].seen >= old_after_) {
    samples_.pop_front();
  }
}

bool RevisionAges::IsOld(uint64_t revision, SteadyTime now) const {
  for (const Sample& sample : samples_) {
    if (now - sample.seen < old_after_) return false;
    if (revision <= sample.revision) return true;
  }
  return false;
}

}  // namespace pitchfall
