// What the classes of src/core are constructed with, for tests that drive one
// of them alone: an empty state cache, budgets that never run out, and a clock
// that the test moves.
#ifndef PITCHFALL_TESTS_CORE_ENVIRONMENT_H_
#define PITCHFALL_TESTS_CORE_ENVIRONMENT_H_

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "core/state/context.h"

namespace pitchfall {

struct CoreEnvironment {
  static constexpr double kPlenty = 1000;

  explicit CoreEnvironment(const Deployment& given, uint32_t partitions = 1)
      : deployment(given),
        requests(kPlenty, kPlenty),
        writes(kPlenty, kPlenty),
        cloud(kPlenty, kPlenty),
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

  // Answers the first call to the state service among the effects, and returns
  // its request.
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
  // One read of the watcher's that succeeds at once.
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
