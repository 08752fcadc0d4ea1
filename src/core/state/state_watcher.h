// Keeps the state cache up to date by reading the state service's change log.
#ifndef PITCHFALL_CORE_STATE_STATE_WATCHER_H_
#define PITCHFALL_CORE_STATE_STATE_WATCHER_H_

#include <functional>
#include <optional>
#include <vector>

#include "core/base/token_bucket.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"

namespace pitchfall {

class StateWatcher {
 public:
  // Called with whether the read succeeded.
  using ReadCallback = std::function<void(bool)>;

  StateWatcher(const Tuning& tuning, Outbox& out, StateCache& state_cache,
               TokenBucket& requests)
      : tuning_(tuning),
        out_(out),
        state_cache_(state_cache),
        requests_(requests) {}

  // Starts a read if one is due and none is under way.
  void Step();

  // Calls back after a read that starts later than this call. Any number of
  // waiters share one read.
  void AfterNextRead(ReadCallback waiter) {
    waiting_.push_back(std::move(waiter));
  }
  void RequestRead() { read_requested_ = true; }

  // Everything is known that had been written before this time.
  SteadyTime current_as_of() const { return current_as_of_; }
  bool loaded() const { return loaded_; }
  Duration Age() const { return out_.now().steady - current_as_of_; }
  bool Fresh() const { return loaded_ && Age() < kFresh; }

 private:
  static constexpr Duration kFresh = Millis(2000);
  static constexpr Duration kIdleInterval = Millis(200);
  static constexpr Duration kBusyInterval = Millis(20);
  static constexpr Duration kFailureInterval = Millis(300);
  // The change log must still hold what came after the first page.
  static constexpr Duration kMaxListingAge = Millis(30000);

  void StartWatch();
  void StartList();
  void OnPage(const StateReply& reply);
  void Finish(bool ok);

  const Tuning& tuning_;
  Outbox& out_;
  StateCache& state_cache_;
  TokenBucket& requests_;

  // A list under way. Thousands of jobs take many pages: a page that fails is
  // asked for again, not the whole list, or a slow or busy state service would
  // never let a restarted process begin.
  struct Listing {
    SteadyTime begun{};
    std::string after;
    uint64_t revision = 0;  // of the first page
    StateCache fresh;
  };
  std::optional<Listing> listing_;
  bool loaded_ = false;
  bool read_requested_ = true;
  bool reading_ = false;
  SteadyTime started_{};
  SteadyTime next_{};
  SteadyTime current_as_of_{};
  std::vector<ReadCallback> waiting_;  // for the next read
  std::vector<ReadCallback> served_;   // by the read under way
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_FOLLOWER_H_
