// How long an owner may answer its workers without the state service, and how
// far the heartbeats of other controllers extend that time. docs/proofs.md has
// the inequality. Also write fences, direct stops and starts.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "core/partition/partition.h"
#include "core/state/cancellation_watermark.h"

namespace pitchfall {
namespace {

constexpr uint64_t kFencingToken = 50;

// Three controllers. The lease and the time in which cancelled tasks must have
// stopped leave 17.9735 s for answers without a read of the state.
Deployment ThreeNodeDeployment() {
  Deployment deployment;
  deployment.label = "node-0";
  deployment.peers = {{"node-1", ""}, {"node-2", ""}};
  deployment.worker_lease = Seconds(26.5);
  deployment.cancel_time_limit = Seconds(46.5);
  deployment.heartbeat_interval = Seconds(5);
  return deployment;
}

// The owner of partition 0 in a deployment of three controllers. Tests make the
// replies of the state service and the heartbeats of workers and peers.
class AnswerBound : public ::testing::Test {
 protected:
  AnswerBound()
      : deployment_(ThreeNodeDeployment()),
        requests_(1000, 1000),
        writes_(1000, 1000),
        cloud_(1000, 1000),
        state_watcher_(tuning_, outbox_, state_cache_, requests_),
        context_{deployment_,
                 tuning_,
                 outbox_,
                 state_cache_,
                 state_watcher_,
                 requests_,
                 writes_,
                 cloud_,
                 "life",
                 1,
                 CapacityTable(1),
                 CancellationWatermark(deployment_, deployment_.label, "life"),
                 StateLimits(deployment_)} {
    tuning_.heartbeat_hold = Duration(0);
    SetNow(Seconds(1000));
    ReadState();  // the list of all keys
    ReadState();  // the changes since; the state is now known as of this read
    current_as_of_ = now_.steady;
    partition_ = std::make_unique<Partition>(context_, 0, kFencingToken);
  }

  void SetNow(Duration at) {
    now_ = {SteadyTime(at), WallTime(at)};
    outbox_.set_now(now_);
  }
  void Advance(Duration by) { SetNow(now_.steady.time_since_epoch() + by); }

  // Lets the state watcher make one read 500 ms from now, which succeeds at
  // once.
  void ReadState() {
    Advance(Millis(500));
    state_watcher_.RunDueWork();
    for (const Effect& effect : outbox_.TakeEffects()) {
      const auto* call = std::get_if<StateCall>(&effect);
      if (call == nullptr) continue;
      StateReply reply;
      reply.call = call->call;
      reply.status = 200;
      reply.revision = 100;
      outbox_.Handle(reply);
    }
  }

  // A heartbeat of the machine m-1, whose worker has seen this owner's fencing
  // token.
  WorkerHeartbeat HeartbeatOf(uint64_t seq,
                              std::vector<ReportedTask> tasks = {}) {
    WorkerHeartbeat heartbeat;
    heartbeat.machine = "m-1";
    heartbeat.address = "m-1:1";
    heartbeat.type = "c8";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = 1;
    heartbeat.seq = seq;
    heartbeat.fencing_token = kFencingToken;
    heartbeat.tasks = std::move(tasks);
    return heartbeat;
  }

  // Delivers a heartbeat of m-1 now and returns the status of its answer, or 0
  // if there is none yet. Keeps the effects in `effects_`, and the label in
  // `redirect_` if the worker is redirected.
  int StatusOfHeartbeat(uint64_t seq, std::vector<ReportedTask> tasks = {}) {
    partition_->OnWorkerHeartbeat(seq, HeartbeatOf(seq, std::move(tasks)));
    partition_->RunDueWork();
    effects_ = outbox_.TakeEffects();
    for (const Effect& effect : effects_) {
      const auto* reply = std::get_if<Reply>(&effect);
      if (reply != nullptr && reply->request == seq) {
        if (const auto* to = std::get_if<Redirect>(&reply->body)) {
          redirect_ = to->owner;
        }
        return reply->status;
      }
    }
    return 0;
  }

  // A heartbeat of the peer `label` that echoes this process's `sender_time`.
  // The peer's process has been up since long before the last read.
  PeerHeartbeat PeerEcho(const std::string& label, SteadyTime sender_time) {
    PeerHeartbeat heartbeat;
    heartbeat.label = label;
    heartbeat.incarnation = "any";
    heartbeat.uptime = Seconds(500);
    heartbeat.echoes = {{"node-0", "life", sender_time}};
    return heartbeat;
  }

  Deployment deployment_;
  Tuning tuning_;
  Outbox outbox_;
  StateCache state_cache_;
  TokenBucket requests_;
  TokenBucket writes_;
  TokenBucket cloud_;
  StateWatcher state_watcher_;
  Context context_;
  std::unique_ptr<Partition> partition_;
  Now now_{};
  // When the last read began.
  SteadyTime current_as_of_{};
  std::vector<Effect> effects_;
  std::string redirect_;
};

// The owner may answer until 17.9735 s after the last read began: cancel 46.5 s
// - lease 26.5 s with 0.1% for drift (26.5265 s) - margin 2 s. With a later
// answer, a task whose cancellation was confirmed right after that read might
// not stop in time on a worker whose clock is slow.
TEST_F(AnswerBound, EndsBeforeACancellationCouldTakeEffectTooLate) {
  Advance(Millis(17973));
  EXPECT_EQ(StatusOfHeartbeat(1), 200);
  Advance(Millis(1));
  EXPECT_EQ(StatusOfHeartbeat(2), 503);
  Advance(Seconds(1));
  EXPECT_EQ(StatusOfHeartbeat(3), 503);
}

TEST_F(AnswerBound, CountsFromTheOldestEchoOfAllPeers) {
  Advance(Seconds(10));
  SteadyTime early = now_.steady;
  Advance(Seconds(5));
  SteadyTime late = now_.steady;
  context_.cancellation_watermark.OnPeerHeartbeat(PeerEcho("node-1", late),
                                                  now_.steady, current_as_of_);
  // One peer is silent, so the time of the last read still counts.
  EXPECT_EQ(context_.cancellation_watermark.CancellationsKnownUntil(
                current_as_of_, now_.steady),
            current_as_of_);
  context_.cancellation_watermark.OnPeerHeartbeat(PeerEcho("node-2", early),
                                                  now_.steady, current_as_of_);
  EXPECT_EQ(context_.cancellation_watermark.CancellationsKnownUntil(
                current_as_of_, now_.steady),
            early);
  // 10 + 17.9735 s after the read.
  Advance(Millis(12973));
  EXPECT_EQ(StatusOfHeartbeat(1), 200);
  Advance(Millis(1));
  EXPECT_EQ(StatusOfHeartbeat(2), 503);
}

TEST_F(AnswerBound, AnIncarnationThatBeganAfterTheLastReadDoesNotCount) {
  Advance(Seconds(10));
  for (const char* label : {"node-1", "node-2"}) {
    PeerHeartbeat heartbeat = PeerEcho(label, now_.steady);
    // The peer's clock may be fast: it is not certain that the incarnation
    // began before the read.
    heartbeat.uptime = Millis(10005);
    context_.cancellation_watermark.OnPeerHeartbeat(heartbeat, now_.steady,
                                                    current_as_of_);
  }
  EXPECT_EQ(context_.cancellation_watermark.CancellationsKnownUntil(
                current_as_of_, now_.steady),
            current_as_of_);
  for (const char* label : {"node-1", "node-2"}) {
    PeerHeartbeat heartbeat = PeerEcho(label, now_.steady);
    heartbeat.uptime = Millis(10011);
    context_.cancellation_watermark.OnPeerHeartbeat(heartbeat, now_.steady,
                                                    current_as_of_);
  }
  EXPECT_EQ(context_.cancellation_watermark.CancellationsKnownUntil(
                current_as_of_, now_.steady),
            now_.steady);
}

TEST_F(AnswerBound, EchoesToAnEarlierIncarnationOrFromUnknownNodesDoNotCount) {
  Advance(Seconds(10));
  for (const char* label : {"node-1", "node-2"}) {
    PeerHeartbeat heartbeat = PeerEcho(label, now_.steady);
    heartbeat.echoes[0].incarnation = "former";
    context_.cancellation_watermark.OnPeerHeartbeat(heartbeat, now_.steady,
                                                    current_as_of_);
    heartbeat.echoes[0] = {"node-7", "life", now_.steady};
    context_.cancellation_watermark.OnPeerHeartbeat(heartbeat, now_.steady,
                                                    current_as_of_);
    heartbeat.echoes[0] = {"node-0", "life", now_.steady + Millis(1)};
    context_.cancellation_watermark.OnPeerHeartbeat(heartbeat, now_.steady,
                                                    current_as_of_);
  }
  context_.cancellation_watermark.OnPeerHeartbeat(
      PeerEcho("node-9", now_.steady), now_.steady, current_as_of_);
  EXPECT_EQ(context_.cancellation_watermark.CancellationsKnownUntil(
                current_as_of_, now_.steady),
            current_as_of_);
}

// A heartbeat with an older echo that was delayed in the network does not move
// the watermark back.
TEST_F(AnswerBound, OldEchoesDoNotMoveTheWatermarkBack) {
  Advance(Seconds(10));
  SteadyTime then = now_.steady;
  for (const char* label : {"node-1", "node-2"}) {
    context_.cancellation_watermark.OnPeerHeartbeat(
        PeerEcho(label, then), now_.steady, current_as_of_);
    context_.cancellation_watermark.OnPeerHeartbeat(
        PeerEcho(label, then - Seconds(4)), now_.steady, current_as_of_);
  }
  EXPECT_EQ(context_.cancellation_watermark.CancellationsKnownUntil(
                current_as_of_, now_.steady),
            then);
}

TEST_F(AnswerBound, WithoutPeersAllCancellationsAreKnown) {
  deployment_.peers.clear();
  CancellationWatermark alone(deployment_, "node-0", "life");
  SteadyTime later = current_as_of_ + Seconds(1000);
  EXPECT_EQ(alone.CancellationsKnownUntil(current_as_of_, later), later);
}

// Once another controller claims the partition with a higher fencing token, the
// owner answers no worker, however recent its last read is, and redirects
// workers to that controller.
TEST_F(AnswerBound, EndsWhenALaterOwnerClaimsThePartition) {
  partition_->OnPeerClaim("node-2", kFencingToken - 1);  // an earlier one
  EXPECT_EQ(StatusOfHeartbeat(1), 200);
  partition_->OnPeerClaim("node-2", kFencingToken + 1);
  EXPECT_EQ(StatusOfHeartbeat(2), 421);
  EXPECT_EQ(redirect_, "node-2");
}

// ---- Writes without an answer ----

// A write that got no answer may be carried out at any later time. It has the
// write fence as a condition, so the fence is advanced before anything else is
// written, and later writes have the new revision of the fence as a condition.
TEST_F(AnswerBound, AfterAWriteWithoutAnAnswerTheFenceIsRaisedFirst) {
  auto next_write = [this]() -> std::optional<StateCall> {
    for (int step = 0; step < 100; ++step) {
      Advance(Millis(50));
      partition_->RunDueWork();
      state_watcher_.RunDueWork();
      std::optional<StateCall> found;
      for (const Effect& effect : outbox_.TakeEffects()) {
        const auto* call = std::get_if<StateCall>(&effect);
        if (call == nullptr) continue;
        if (std::holds_alternative<Transaction>(call->request)) {
          found = *call;
          continue;
        }
        StateReply read;
        read.call = call->call;
        read.status = 200;
        read.revision = 100;
        outbox_.Handle(read);
      }
      if (found) return found;
    }
    return std::nullopt;
  };
  auto answer = [this](const StateCall& call, int status, uint64_t revision) {
    StateReply reply;
    reply.call = call.call;
    reply.status = status;
    reply.revision = revision;
    outbox_.Handle(reply);
  };
  auto fence_in = [](const StateCall& call) -> std::optional<uint64_t> {
    for (const auto& c : std::get<Transaction>(call.request).conditions) {
      if (c.key == keys::WriteFence(0, kFencingToken)) return c.mod_revision;
    }
    return std::nullopt;
  };
  std::optional<StateCall> lost = next_write();  // the periodic load record
  ASSERT_TRUE(lost);
  EXPECT_EQ(fence_in(*lost), 0u);
  // Like every write of an owner it also has the ownership as a condition.
  const auto& conditions = std::get<Transaction>(lost->request).conditions;
  EXPECT_TRUE(std::any_of(conditions.begin(), conditions.end(),
                          [](const Condition& condition) {
                            return condition.key == keys::Partition(0) &&
                                   condition.mod_revision == kFencingToken;
                          }));
  answer(*lost, 0, 0);
  std::optional<StateCall> fence = next_write();
  ASSERT_TRUE(fence);
  const auto& raised = std::get<Transaction>(fence->request);
  ASSERT_EQ(raised.writes.size(), 1u);
  EXPECT_EQ(raised.writes[0].key, keys::WriteFence(0, kFencingToken));
  // The answer to the advance is lost too, so it is repeated.
  answer(*fence, 0, 0);
  fence = next_write();
  ASSERT_TRUE(fence);
  ASSERT_EQ(std::get<Transaction>(fence->request).writes[0].key,
            keys::WriteFence(0, kFencingToken));
  answer(*fence, 200, 150);
  std::optional<StateCall> next = next_write();
  ASSERT_TRUE(next);
  EXPECT_EQ(fence_in(*next), 150u);
}

// ---- Direct stops, and starts ----

// The state has the job run-1, whose only task is assigned to the machine m-1.
class DirectStops : public AnswerBound {
 protected:
  DirectStops() {
    JobSpec spec;
    spec.id = "run-1";
    spec.team = "red";
    spec.tasks = 1;
    spec.resources = Resources::FromDecimals(1, 0, 1);
    JobRecord job;
    job.spec = spec;
    job.chunk_size = 8;
    state_cache_.Apply({keys::Job("run-1"), job, 201});
    ChunkRecord chunk;
    chunk.assigned.push_back({0, 1, "m-1", "a"});
    chunk.next_attempt = 2;
    state_cache_.Apply(
        {keys::Segment(0, 0), SegmentRecord{{{"run-1", 0, chunk}}}, 202});
  }

  // The calls among the last effects that carry commands to a worker.
  std::vector<WorkerCall> StopCalls() {
    std::vector<WorkerCall> calls;
    for (const Effect& effect : effects_) {
      const auto* call = std::get_if<WorkerCall>(&effect);
      if (call == nullptr) continue;
      const auto* command = std::get_if<CommandWorker>(&call->request);
      if (command != nullptr && !command->commands.empty()) {
        calls.push_back(*call);
      }
    }
    return calls;
  }
  // The number of start commands in the last effects' replies to heartbeats.
  size_t StartsSent() const {
    size_t count = 0;
    for (const Effect& effect : effects_) {
      const auto* reply = std::get_if<Reply>(&effect);
      if (reply == nullptr) continue;
      if (const auto* commands = std::get_if<WorkerCommands>(&reply->body)) {
        for (const WorkerCommand& command : commands->commands) {
          count += command.op == WorkerCommand::Op::kStart;
        }
      }
    }
    return count;
  }
  // Lets the partition run after `by`, and returns the calls that stop tasks.
  std::vector<WorkerCall> StopCallsAfter(Duration by) {
    Advance(by);
    partition_->RunDueWork();
    effects_ = outbox_.TakeEffects();
    return StopCalls();
  }
};

// A start is sent in the answer to a heartbeat, and the job is cancelled before
// the next heartbeat shows the task.
TEST_F(DirectStops, AreSentForAStartThatNoHeartbeatShowsYet) {
  BoundAttempt own;
  own.job = state_cache_.FindJob("run-1");
  own.attempt = 1;
  own.start_sent = HeartbeatId{1, 2};
  Machine machine;
  machine.bound[{"run-1", 0}] = own;
  CommandPolicy policy;
  policy.job_active = [](const BoundAttempt&) { return false; };
  ASSERT_EQ(BuildDirectStops(machine, policy).size(), 1u);
  EXPECT_TRUE(BuildDirectStops(machine, policy).empty());  // sent only once
  // A start that has not been sent needs no stop.
  machine.bound.begin()->second.start_sent.reset();
  machine.bound.begin()->second.stop_sent = false;
  EXPECT_TRUE(BuildDirectStops(machine, policy).empty());
}

// Assigned tasks are started only while the last read of the state is less than
// two seconds old.
TEST_F(DirectStops, NothingStartsWhileTheLastReadIsOld) {
  writes_.Drain(now_.steady);  // no write can be sent meanwhile
  StatusOfHeartbeat(1);        // the first after a silence may be an old copy
  Advance(Millis(2000));
  ASSERT_EQ(StatusOfHeartbeat(2), 200);
  EXPECT_EQ(StartsSent(), 0u);
}

// A machine that reports again after a silence takes no task at first, and
// tasks that are bound to it but not started are unbound. If its next heartbeat
// comes while that is being stored, the task must not start on it, because it
// may start on another machine as soon as the write is stored.
TEST_F(DirectStops, NoTaskStartsWhileItsEndIsBeingStored) {
  auto storing = [this]() -> const StateCall* {
    for (const Effect& effect : effects_) {
      const auto* call = std::get_if<StateCall>(&effect);
      if (call != nullptr && std::holds_alternative<Transaction>(call->request))
        return call;
    }
    return nullptr;
  };
  StatusOfHeartbeat(1);
  const StateCall* call = storing();
  ASSERT_NE(call, nullptr);
  CallId id = call->call;
  Advance(Millis(600));
  ASSERT_EQ(StatusOfHeartbeat(2), 200);
  EXPECT_EQ(StartsSent(), 0u);
  // The write is refused: the task is bound as before, and starts with the next
  // heartbeat.
  StateReply refused;
  refused.call = id;
  refused.status = 503;
  outbox_.Handle(refused);
  Advance(Millis(500));
  partition_->RunDueWork();
  Advance(Millis(100));
  ASSERT_EQ(StatusOfHeartbeat(3), 200);
  EXPECT_EQ(StartsSent(), 1u);
}

// A direct stop that failed is sent again until the worker confirms one,
// because the machine may send no heartbeat that a stop could answer.
TEST_F(DirectStops, AreRepeatedUntilOneIsCarriedOut) {
  ReportedTask running{"run-1", 0, 1, TaskState::kRunning, ExitCause::kNone};
  StatusOfHeartbeat(1, {running});
  Advance(Millis(600));
  ASSERT_EQ(StatusOfHeartbeat(2, {running}), 200);
  EXPECT_TRUE(StopCalls().empty());
  // Another controller has reported that it stored the cancellation.
  context_.cancelled_by_peers.insert("run-1");
  std::vector<WorkerCall> first = StopCallsAfter(Millis(50));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_TRUE(StopCallsAfter(Millis(50)).empty());  // call in progress
  for (int status : {0, 409, 503}) {
    WorkerReply failed;
    failed.call = first[0].call;
    failed.status = status;
    outbox_.Handle(failed);
    EXPECT_TRUE(StopCallsAfter(Millis(50)).empty());  // not retried at once
    first = StopCallsAfter(Millis(1000));
    ASSERT_EQ(first.size(), 1u) << status;
  }
  WorkerReply done;
  done.call = first[0].call;
  done.status = 200;
  outbox_.Handle(done);
  EXPECT_TRUE(StopCallsAfter(Millis(2000)).empty());
}

// ---- The list of cancellations in heartbeats to peers ----

TEST(CancelledSince, ReturnsACompleteListOrNone) {
  StateCache state_cache;
  auto apply = [&](const std::string& id, uint64_t mod_revision,
                   JobState state) {
    JobRecord record;
    record.spec.id = id;
    record.spec.tasks = 1;
    record.state = state;
    state_cache.Apply({keys::Job(id), record, mod_revision});
  };
  apply("run-1", 1, JobState::kAccepted);
  apply("run-2", 2, JobState::kDone);
  apply("run-1", 3, JobState::kCancelled);
  apply("run-3", 5, JobState::kCancelled);
  using Ids = std::vector<std::string>;
  EXPECT_EQ(state_cache.CancelledSince(0, 10), (Ids{"run-1", "run-3"}));
  EXPECT_EQ(state_cache.CancelledSince(3, 10), (Ids{"run-3"}));
  EXPECT_EQ(state_cache.CancelledSince(5, 10), Ids{});
  EXPECT_EQ(state_cache.CancelledSince(0, 1), std::nullopt);
  // Only the newest cancellations are kept. A list that would lack older ones
  // must not be returned as if it were complete.
  for (uint64_t n = 10; n < 3010; ++n) {
    apply("run-9" + std::to_string(n), n, JobState::kCancelled);
  }
  EXPECT_EQ(state_cache.CancelledSince(5, 10000), std::nullopt);
  EXPECT_EQ(state_cache.CancelledSince(3000, 10000)->size(), 9u);
}

}  // namespace
}  // namespace pitchfall
