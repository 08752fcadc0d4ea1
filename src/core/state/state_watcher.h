// Keeps the state cache up to date by reading the state service's change log.
//
// At startup, and when the log no longer reaches back far enough, all records
// are listed page by page into a new cache. After that, reads of the log (watch
// reads) return the changes since the last read.
#ifndef PITCHFALL_CORE_STATE_STATE_WATCHER_H_
#define PITCHFALL_CORE_STATE_STATE_WATCHER_H_

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

namespace pitchfall {

// Reads the state service, with at most one read in progress. Only a watch read
// counts as a successful read: the pages of a list show different points in
// time, and do not form a consistent state before the first watch read after
// them.
class StateWatcher {
 public:
  // Receives whether the read succeeded.
  using ReadCallback = std::function<void(bool)>;

  StateWatcher(const Tuning& tuning, Outbox& out, StateCache& state_cache,
               TokenBucket& requests)
      : tuning_(tuning),
        out_(out),
        state_cache_(state_cache),
        requests_(requests) {}

  // Starts a read if one is due, none is in progress and `requests` has a
  // token. To be called once per batch of commands.
  void Step();

  // Calls `waiter` once, when the next read that starts after this call has
  // ended. If that read succeeds, it shows everything that was stored before
  // this call (a linearizable read). Any number of waiters share one read.
  void AfterNextRead(ReadCallback waiter) {
    waiting_.push_back(std::move(waiter));
  }
  // Makes a read due before the idle interval has passed.
  void RequestRead() { read_requested_ = true; }

  // When the last successful read began. Everything stored before that time is
  // in the cache. The clock's epoch if no read has succeeded yet.
  SteadyTime current_as_of() const { return current_as_of_; }
  // Whether the cache is based on a complete listing that the change log can
  // bring up to date.
  bool loaded() const { return loaded_; }
  // How long ago the last successful read began.
  Duration Age() const { return out_.now().steady - current_as_of_; }
  // Whether the cache is recent enough to act on.
  bool Fresh() const { return loaded_ && Age() < kMaxFreshAge; }

 private:
  // The largest age at which the cache is recent enough to act on.
  static constexpr Duration kMaxFreshAge = Millis(2000);
  // Time between the starts of two reads if none is requested.
  static constexpr Duration kIdleInterval = Millis(200);
  // Shortest time between the end of a successful read and the next read.
  static constexpr Duration kBusyInterval = Millis(20);
  // Shortest time between the end of a failed read and the next read.
  static constexpr Duration kFailureInterval = Millis(300);
  // A listing that takes longer is started again, because the change log must
  // still contain all changes after its first page.
  static constexpr Duration kMaxListingAge = Millis(30000);

  // Whether a read should start now, regardless of the request rate.
  bool ReadDue(SteadyTime now) const;
  void StartWatch();
  void OnWatchReply(const StateReply& reply);
  // Requests the next page of the list, or the first page of a new one.
  void StartList();
  void OnPage(const StateReply& reply);
  // Replaces the cache's content by the complete listing.
  void FinishList();
  // Ends the read in progress and calls its waiters.
  void Finish(bool succeeded);

  const Tuning& tuning_;
  Outbox& out_;
  StateCache& state_cache_;
  TokenBucket& requests_;

  // A list in progress. Thousands of jobs take many pages. If a page fails,
  // only that page is requested again: if the whole list were, a restarted
  // process might never finish it while the state service is slow or busy.
  struct Listing {
    SteadyTime begun{};
    std::string after;  // last key of the pages received so far; empty: none
    uint64_t revision = 0;  // of the first page; 0: not received yet
    StateCache fresh;       // the records received so far
  };
  std::optional<Listing> listing_;
  bool loaded_ = false;
  bool read_requested_ = true;
  bool reading_ = false;
  SteadyTime started_{};    // when the last read started
  SteadyTime next_read_{};  // earliest start of the next read
  SteadyTime current_as_of_{};
  std::vector<ReadCallback> waiting_;  // called after the next read
  std::vector<ReadCallback> served_;   // called after the read in progress
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_STATE_WATCHER_H_
