// The dependencies of the classes of src/core, for tests of a single class: an
// empty state cache, rate limits too high to matter, and a clock that the test
// sets.
#ifndef PITCHFALL_TESTS_CORE_ENVIRONMENT_H_
#define PITCHFALL_TESTS_CORE_ENVIRONMENT_H_

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "core/state/context.h"

namespace pitchfall {

struct CoreEnvironment {
  // Rate and burst of all rate limits.
  static constexpr double kUnlimitedRate = 1000;

  explicit CoreEnvironment(const Deployment& given, uint32_t partitions = 1)
      : deployment(given),
        requests(kUnlimitedRate, kUnlimitedRate),
        writes(kUnlimitedRate, kUnlimitedRate),
        cloud(kUnlimitedRate, kUnlimitedRate),
        state_watcher(tuning, outbox, state_cache, requests),
        context{
            deployment,
            tuning,
            outbox,
            state_cache,
            state_watcher,
            requests,
            writes,
            cloud,
            "incarnation",
            partitions,
            CapacityTable(partitions),
            CancellationWatermark(deployment, deployment.label, "incarnation"),
            StateLimits(deployment)} {
    SetNow(Seconds(1000));
  }

  void SetNow(Duration since_start) {
    now = {SteadyTime(since_start), WallTime(since_start)};
    outbox.set_now(now);
  }
  void Advance(Duration by) { SetNow(now.steady.time_since_epoch() + by); }

  // Takes the effects so far, answers the first call to the state service among
  // them, and returns its request. Fails the test if there is none.
  StateRequest AnswerState(StateReply reply) {
    for (const Effect& effect : outbox.TakeEffects()) {
      const auto* call = std::get_if<StateCall>(&effect);
      if (call == nullptr) continue;
      reply.call = call->call;
      StateRequest request = call->request;
      outbox.Handle(reply);
      return request;
    }
    ADD_FAILURE() << "no call to the state service";
    return {};
  }
  // Lets the state watcher make one read, 500 ms later, which succeeds at once
  // with this revision.
  void Read(uint64_t revision = 100) {
    Advance(Millis(500));
    state_watcher.RunDueWork();
    StateReply reply;
    reply.status = 200;
    reply.revision = revision;
    AnswerState(reply);
  }

  Deployment deployment;
  Tuning tuning;
  Outbox outbox;
  StateCache state_cache;
  TokenBucket requests;
  TokenBucket writes;
  TokenBucket cloud;
  StateWatcher state_watcher;
  Context context;
  Now now{};
};

}  // namespace pitchfall

#endif  // PITCHFALL_TESTS_CORE_ENVIRONMENT_H_
