// How long ago revisions of the state service were stored, at least.
#ifndef PITCHFALL_CORE_STATE_REVISION_AGES_H_
#define PITCHFALL_CORE_STATE_REVISION_AGES_H_

#include <cstdint>
#include <deque>

#include "core/base/time.h"

namespace pitchfall {

// Remembers when replies of the state service first showed a revision. Whatever
// has that revision or a lower one was stored before the reply arrived.
class RevisionAges {
 public:
  // Revisions count as old once a reply showed them `old_after` ago.
  explicit RevisionAges(Duration old_after) : old_after_(old_after) {}

  // Notes that a reply that was received by `now` shows the revision.
  // Precondition: `now` is not before that of an earlier call.
  void Add(uint64_t revision, SteadyTime now);

  // Returns whether everything of this revision was stored `old_after` before
  // `now` or earlier. False if no reply shows it.
  bool IsOld(uint64_t revision, SteadyTime now) const;

 private:
  struct Sample {
    SteadyTime seen;
    uint64_t revision = 0;
  };

  const Duration old_after_;
  // Both fields ascend. The first sample may be old, the others were not when
  // the last one was added.
  std::deque<Sample> samples_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_REVISION_AGES_H_
