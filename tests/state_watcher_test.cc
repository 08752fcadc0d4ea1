// Tests the state watcher alone. The test answers each of its reads.
#include "core/state/state_watcher.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "core/base/token_bucket.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/state/state_cache.h"

namespace pitchfall {
namespace {

// A state watcher with a clock that only the test advances.
class StateWatcherTest : public ::testing::Test {
 protected:
  StateWatcherTest() { AdvanceTime(Millis(1000000)); }

  void AdvanceTime(Duration by) {
    now_.steady += by;
    outbox_.set_now(now_);
  }

  // Runs the watcher once and returns the read that it starts, if any.
  std::optional<StateCall> RunAndTakeRead() {
    watcher_.RunDueWork();
    for (const Effect& effect : outbox_.TakeEffects()) {
      if (const auto* call = std::get_if<StateCall>(&effect)) return *call;
    }
    return std::nullopt;
  }

  // Lets time pass until the watcher starts its next read, and returns it.
  StateCall NextRead() {
    std::optional<StateCall> call = RunAndTakeRead();
    while (!call) {
      AdvanceTime(Millis(10));
      call = RunAndTakeRead();
    }
    return *call;
  }

  void Answer(const StateCall& call, int status, uint64_t revision = 0) {
    StateReply reply;
    reply.call = call.call;
    reply.status = status;
    reply.revision = revision;
    outbox_.Handle(reply);
  }

  // Answers the list and the first watch read after it.
  void Load() {
    Answer(NextRead(), 200, 100);
    Answer(NextRead(), 200, 100);
  }

  Now now_{};
  Tuning tuning_;
  Outbox outbox_;
  StateCache cache_;
  TokenBucket requests_{100, 100};
  StateWatcher watcher_{tuning_, outbox_, cache_, requests_};
};

TEST_F(StateWatcherTest, IsCurrentOnlyAfterTheWatchReadThatFollowsTheList) {
  StateCall list = NextRead();
  EXPECT_TRUE(std::holds_alternative<ListRead>(list.request));
  Answer(list, 200, 100);
  EXPECT_TRUE(watcher_.loaded());
  EXPECT_FALSE(watcher_.IsFresh());
  StateCall watch = NextRead();
  EXPECT_EQ(std::get<WatchRead>(watch.request).from, 100u);
  SteadyTime begun = now_.steady;
  AdvanceTime(Millis(70));
  Answer(watch, 200, 105);
  EXPECT_TRUE(watcher_.IsFresh());
  EXPECT_EQ(watcher_.current_as_of(), begun);
  EXPECT_EQ(cache_.revision(), 105u);
}

TEST_F(StateWatcherTest, ListsEverythingAgainIfTheLogIsTooShort) {
  Load();
  Answer(NextRead(), 410);
  EXPECT_FALSE(watcher_.loaded());
  EXPECT_FALSE(watcher_.IsFresh());
  EXPECT_TRUE(std::holds_alternative<ListRead>(NextRead().request));
}

// The listing's first pages may be older than a cancellation that this process
// has stored meanwhile, so nothing is started on it, however recent the last
// watch read is.
TEST_F(StateWatcherTest, IsNotFreshBetweenANewListingAndTheNextWatchRead) {
  Load();
  EXPECT_TRUE(watcher_.IsFresh());
  Answer(NextRead(), 410);
  Answer(NextRead(), 200, 110);
  EXPECT_TRUE(watcher_.loaded());
  EXPECT_LT(watcher_.Age(), Seconds(1));
  EXPECT_FALSE(watcher_.IsFresh());
  Answer(NextRead(), 200, 112);
  EXPECT_TRUE(watcher_.IsFresh());
}

TEST_F(StateWatcherTest, FailedReadProvesNothing) {
  Load();
  SteadyTime as_of = watcher_.current_as_of();
  std::vector<bool> outcomes;
  watcher_.AfterNextRead(
      [&](bool succeeded) { outcomes.push_back(succeeded); });
  Answer(NextRead(), 503, 200);
  EXPECT_EQ(outcomes, std::vector<bool>{false});
  EXPECT_EQ(watcher_.current_as_of(), as_of);
  EXPECT_EQ(cache_.revision(), 100u);
}

TEST_F(StateWatcherTest, WaiterIsServedByAReadThatStartsAfterItsRequest) {
  Load();
  StateCall under_way = NextRead();
  int served = 0;
  watcher_.AfterNextRead([&](bool succeeded) { served += succeeded ? 1 : 0; });
  watcher_.AfterNextRead([&](bool succeeded) { served += succeeded ? 1 : 0; });
  Answer(under_way, 200, 101);
  EXPECT_EQ(served, 0);
  Answer(NextRead(), 200, 102);
  EXPECT_EQ(served, 2);
}

TEST_F(StateWatcherTest, ReadsWhenIdleOrWhenRequested) {
  Load();
  Answer(NextRead(), 200, 101);
  AdvanceTime(Millis(199));
  EXPECT_FALSE(RunAndTakeRead());
  watcher_.RequestRead();
  std::optional<StateCall> requested = RunAndTakeRead();
  ASSERT_TRUE(requested);
  EXPECT_FALSE(RunAndTakeRead());  // only one read at a time
  Answer(*requested, 200, 102);
  AdvanceTime(Millis(200));
  EXPECT_TRUE(RunAndTakeRead());
}

}  // namespace
}  // namespace pitchfall
