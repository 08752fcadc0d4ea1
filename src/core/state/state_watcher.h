// Keeps the state cache up to date by reading the state service's change log.
//
// At startup, and when the log no longer reaches back far enough, a new cache
// is read (StateListing). After that, reads of the log (watch reads) return the
// changes since the last read.
#ifndef PITCHFALL_CORE_STATE_STATE_WATCHER_H_
#define PITCHFALL_CORE_STATE_STATE_WATCHER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/base/token_bucket.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"
#include "core/state/state_listing.h"

namespace pitchfall {

// Reads the state service, with at most one read in progress. Only a watch read
// counts as a successful read: the replies of a listing show different points
// in time, and do not form a consistent state before the first watch read after
// them.
class StateWatcher {
 public:
  // Receives whether the read succeeded.
  using ReadCallback = std::function<void(bool)>;

  // `request_bucket` limits the requests to the state service.
  StateWatcher(const Tuning& tuning, Outbox& outbox, StateCache& state_cache,
               TokenBucket& request_bucket)
      : tuning_(tuning),
        outbox_(outbox),
        state_cache_(state_cache),
        request_bucket_(request_bucket) {}

  // Starts a read if one is due, none is in progress and the request bucket has
  // a token. To be called once per batch of commands.
  void RunDueWork();

  // Calls `waiter` once, when the next read that starts after this call has
  // ended. If that read succeeds, it shows everything that was stored before
  // this call (a linearizable read). Any number of waiters share one read.
  void AfterNextRead(ReadCallback waiter) {
    next_read_waiters_.push_back(std::move(waiter));
  }
  // Makes a read due before the idle interval has passed.
  void RequestRead() { read_requested_ = true; }

  // When the last successful read began. Everything stored before that time is
  // in the cache. The clock's epoch if no read has succeeded yet.
  SteadyTime current_as_of() const { return current_as_of_; }
  // Whether the cache is based on a complete listing that the change log can
  // bring up to date.
  bool loaded() const { return loaded_; }
  // How many changes this process has read from the log.
  uint64_t changes_read() const { return changes_read_; }
  // How long ago the last successful read began.
  Duration Age() const { return outbox_.now().steady - current_as_of_; }
  // The cache is recent enough to act on while its age is below this. Other
  // controllers rely on it (CancellationAcknowledgements), so versions that run
  // side by side must agree on it.
  static constexpr Duration kMaxFreshAge = Millis(2000);
  // Whether the cache is recent enough to act on. False from a complete listing
  // until the next watch read: the listing's first pages may lack changes that
  // this process has stored itself and acknowledged meanwhile.
  bool IsFresh() const {
    return loaded_ && read_since_listing_ && Age() < kMaxFreshAge;
  }

 private:
  // Time between the starts of two reads if none is requested.
  static constexpr Duration kIdleInterval = Millis(200);
  // Shortest time between the end of a successful read and the next read.
  static constexpr Duration kMinReadPause = Millis(20);
  // Shortest time between the end of a failed read and the next read.
  static constexpr Duration kRetryDelay = Millis(300);
  // How many changes of a long log are applied before what they have ended is
  // removed from the cache.
  static constexpr size_t kChangesPerAdvance = 500;

  // Whether a read should start now, regardless of the request rate.
  bool ReadDue(SteadyTime now) const;
  void StartWatch();
  void OnWatchReply(const StateReply& reply);
  // Applies the changes of a watch read.
  void ApplyChanges(const std::vector<Change>& changes);
  // Sends the next request of the listing, or the first of a new one.
  void ContinueListing();
  void OnListingReply(const StateReply& reply, SteadyTime sent);
  // Replaces the cache's content by the complete listing.
  void FinishListing();
  // Ends the read in progress and calls its waiters.
  void FinishRead(bool succeeded);

  const Tuning& tuning_;
  Outbox& outbox_;
  StateCache& state_cache_;
  TokenBucket& request_bucket_;

  std::optional<StateListing> listing_;  // in progress
  bool loaded_ = false;
  bool read_since_listing_ = false;  // whether a watch read has succeeded
  uint64_t changes_read_ = 0;
  bool read_requested_ = true;
  bool read_in_progress_ = false;
  SteadyTime read_started_{};  // start of the last read
  SteadyTime earliest_next_read_{};
  SteadyTime current_as_of_{};
  // Callbacks for the next read, and for the read in progress.
  std::vector<ReadCallback> next_read_waiters_;
  std::vector<ReadCallback> current_read_waiters_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_STATE_WATCHER_H_
