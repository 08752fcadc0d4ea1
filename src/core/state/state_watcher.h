// Keeps the state cache current by reading the state service's change log.
//
// At the start, and when the log no longer reaches back far enough, everything
// is listed page by page into a fresh cache. After that, reads of the log
// (watch reads) bring what has changed since the last one.
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

// Has at most one read under way. Reads succeed only as watch reads: the pages
// of a list are of different moments, and tell nothing for sure before the
// first watch read after them.
class StateWatcher {
 public:
  // Is told whether the read succeeded.
  using ReadCallback = std::function<void(bool)>;

  StateWatcher(const Tuning& tuning, Outbox& out, StateCache& state_cache,
               TokenBucket& requests)
      : tuning_(tuning),
        out_(out),
        state_cache_(state_cache),
        requests_(requests) {}

  // Starts a read if one is due, none is under way and `requests` has a token.
  // To be called once a batch of commands.
  void Step();

  // Calls back once, after a read that starts later than this call, so that a
  // successful one shows everything stored before it (a linearizable read). Any
  // number of waiters share one read.
  void AfterNextRead(ReadCallback waiter) {
    waiting_.push_back(std::move(waiter));
  }
  // Makes the next read due without waiting for the idle interval.
  void RequestRead() { read_requested_ = true; }

  // When the last successful read began: all that was stored before is known.
  SteadyTime current_as_of() const { return current_as_of_; }
  // Whether the cache holds a complete listing.
  bool loaded() const { return loaded_; }
  // How long ago the last successful read began.
  Duration Age() const { return out_.now().steady - current_as_of_; }
  // Whether the cache is recent enough to act on.
  bool Fresh() const { return loaded_ && Age() < kMaxFreshAge; }

 private:
  static constexpr Duration kMaxFreshAge = Millis(2000);
  // Between the starts of two reads that nobody has asked for.
  static constexpr Duration kIdleInterval = Millis(200);
  // Between the end of a read and the start of the next, at the least.
  static constexpr Duration kBusyInterval = Millis(20);
  static constexpr Duration kFailureInterval = Millis(300);
  // The change log must still hold what came after the first page.
  static constexpr Duration kMaxListingAge = Millis(30000);

  // Whether a read should start now, apart from the request rate.
  bool ReadDue(SteadyTime now) const;
  void StartWatch();
  void OnWatchReply(const StateReply& reply);
  // Asks for the next page of the list, or begins a new one.
  void StartList();
  void OnPage(const StateReply& reply);
  // Puts the complete listing in place of the cache.
  void FinishList();
  // Ends the read under way and calls its waiters.
  void Finish(bool succeeded);

  const Tuning& tuning_;
  Outbox& out_;
  StateCache& state_cache_;
  TokenBucket& requests_;

  // A list under way. Thousands of jobs take many pages: a page that fails is
  // requested again, not the whole list, or a restarted process could never
  // begin while the state service is slow or busy.
  struct Listing {
    SteadyTime begun{};
    std::string after;      // the last key of the pages so far
    uint64_t revision = 0;  // of the first page; 0: none yet
    StateCache fresh;
  };
  std::optional<Listing> listing_;
  bool loaded_ = false;
  bool read_requested_ = true;
  bool reading_ = false;
  SteadyTime started_{};    // of the last read
  SteadyTime next_read_{};  // not before
  SteadyTime current_as_of_{};
  std::vector<ReadCallback> waiting_;  // for the next read
  std::vector<ReadCallback> served_;   // by the read under way
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_STATE_WATCHER_H_
