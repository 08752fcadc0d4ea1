// Keeps the mirror up to date by reading the state service's change log.
#ifndef PITCHFALL_CORE_FOLLOWER_H_
#define PITCHFALL_CORE_FOLLOWER_H_

#include <functional>
#include <optional>
#include <vector>

#include "core/budget.h"
#include "core/mirror.h"
#include "core/outbox.h"
#include "core/settings.h"

namespace pitchfall {

class Follower {
 public:
  // Called with whether the read succeeded.
  using Waiter = std::function<void(bool)>;

  Follower(const Tuning& tuning, Outbox& out, Mirror& mirror,
           TokenBucket& requests)
      : tuning_(tuning), out_(out), mirror_(mirror), requests_(requests) {}

  // Starts a read if one is due and none is under way.
  void Step();

  // Calls back after a read that starts later than this call. Any number of
  // waiters share one read.
  void AfterRead(Waiter waiter) { waiting_.push_back(std::move(waiter)); }
  void Want() { wanted_ = true; }

  // Everything is known that had been written before this time.
  SteadyTime known_at() const { return known_at_; }
  bool loaded() const { return loaded_; }
  Duration Age() const { return out_.now().steady - known_at_; }
  bool Fresh() const { return loaded_ && Age() < kFresh; }

 private:
  static constexpr Duration kFresh = Millis(2000);
  static constexpr Duration kIdleGap = Millis(200);
  static constexpr Duration kBusyGap = Millis(20);
  static constexpr Duration kFailureGap = Millis(300);
  // The change log must still hold what came after the first page.
  static constexpr Duration kOldestListing = Millis(30000);

  void StartWatch();
  void StartList();
  void OnPage(const StateReply& reply);
  void Finish(bool ok);

  const Tuning& tuning_;
  Outbox& out_;
  Mirror& mirror_;
  TokenBucket& requests_;

  // A list under way. Thousands of jobs take many pages: a page that fails is
  // asked for again, not the whole list, or a slow or busy state service would
  // never let a restarted process begin.
  struct Listing {
    SteadyTime begun{};
    std::string after;
    uint64_t revision = 0;  // of the first page
    Mirror fresh;
  };
  std::optional<Listing> listing_;
  bool loaded_ = false;
  bool wanted_ = true;
  bool reading_ = false;
  SteadyTime started_{};
  SteadyTime next_{};
  SteadyTime known_at_{};
  std::vector<Waiter> waiting_;  // for the next read
  std::vector<Waiter> served_;   // by the read under way
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_FOLLOWER_H_
