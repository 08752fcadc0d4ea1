// Deletes the write fences of earlier owners.
#ifndef PITCHFALL_CORE_MEMBERSHIP_STALE_FENCE_REMOVER_H_
#define PITCHFALL_CORE_MEMBERSHIP_STALE_FENCE_REMOVER_H_

#include <cstdint>
#include <deque>
#include <string>

#include "core/base/lifetime_guard.h"
#include "core/base/time.h"
#include "core/model/messages.h"
#include "core/state/context.h"

namespace pitchfall {

// Runs in the leader. A write fence belongs to one ownership of a partition, so
// without this their number would grow with the failovers that ever were. The
// transactions of an earlier owner fail by the revision of the partition's key,
// with or without its write fence.
class StaleFenceRemover {
 public:
  // `context` must outlive the object. `fencing_token` is that of partition 0.
  StaleFenceRemover(Context& context, uint64_t fencing_token)
      : context_(context),
        fencing_token_(fencing_token),
        next_list_(context.now() + kFirstListDelay) {}

  // Lists the write fences if that is due, or deletes the next stale one if the
  // write budget allows. To be called once per batch of commands.
  void RunDueWork();

 private:
  // A failover has more urgent work.
  static constexpr Duration kFirstListDelay = Millis(30000);

  void ListFences();
  void OnList(const StateReply& reply);
  // Whether the key is the fence of an ownership that has ended.
  bool IsStale(const std::string& key) const;
  void DeleteNext();

  Context& context_;
  const uint64_t fencing_token_;
  std::deque<std::string> stale_;  // keys that are still to be deleted
  SteadyTime next_list_;
  bool call_pending_ = false;
  LifetimeGuard guard_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_STALE_FENCE_REMOVER_H_
