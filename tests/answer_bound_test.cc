// How long an owner may answer its workers without the state service, and what
// other controllers' words are worth for it. docs/proofs.md has the
// inequality.
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

Deployment HuntSized() {
  Deployment d;
  d.label = "node-0";
  d.peers = {{"node-1", ""}, {"node-2", ""}};
  d.worker_lease = Seconds(26.5);
  d.cancel = Seconds(46.5);
  d.heartbeat_interval = Seconds(5);
  return d;
}

// An owner by itself: its reads and its workers are played by hand.
class AnswerBound : public ::testing::Test {
 protected:
  AnswerBound()
      : deployment_(HuntSized()),
        requests_(1000, 1000),
        writes_(1000, 1000),
        cloud_(1000, 1000),
        state_watcher_(tuning_, out_, state_cache_, requests_),
        context_{deployment_,
                 tuning_,
                 out_,
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
    Read();  // the list
    Read();  // what came since: everything is known as of here
    current_as_of_ = now_.steady;
    partition_ = std::make_unique<Partition>(context_, 0, kFencingToken);
  }

  void SetNow(Duration at) {
    now_ = {SteadyTime(at), WallTime(at)};
    out_.set_now(now_);
  }
  void Advance(Duration by) { SetNow(now_.steady.time_since_epoch() + by); }

  // One read of the state watcher's that succeeds at once.
  void Read() {
    Advance(Millis(500));
    state_watcher_.Step();
    for (const Effect& effect : out_.TakeEffects()) {
      const auto* call = std::get_if<StateCall>(&effect);
      if (call == nullptr) continue;
      StateReply reply;
      reply.call = call->call;
      reply.status = 200;
      reply.revision = 100;
      out_.Handle(reply);
    }
  }

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

  // The status of the answer to a heartbeat that comes now; its effects are
  // kept.
  int StatusOfHeartbeat(uint64_t seq, std::vector<ReportedTask> tasks = {}) {
    partition_->OnWorkerHeartbeat(seq, HeartbeatOf(seq, std::move(tasks)));
    partition_->Step();
    effects_ = out_.TakeEffects();
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
  Outbox out_;
  StateCache state_cache_;
  TokenBucket requests_;
  TokenBucket writes_;
  TokenBucket cloud_;
  StateWatcher state_watcher_;
  Context context_;
  std::unique_ptr<Partition> partition_;
  Now now_{};
  SteadyTime current_as_of_{};
  std::vector<Effect> effects_;
  std::string redirect_;
};

// cancel 46.5 - lease 26.5 with 0.1% for drift (26.5265) - 2 = 17.9735 s after
// the last read began. A second more, and a cancellation confirmed right after
// that read would not be carried out in time on a worker whose clock is slow.
TEST_F(AnswerBound, EndsWhereACancellationCouldComeTooLate) {
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
  // One of them says nothing: nothing is gained.
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
    // By its own clock, which may be fast, not before the read for sure.
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

TEST_F(AnswerBound, EchoesOfAnEarlierIncarnationOrFromStrangersDoNotCount) {
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

// A message that the network held back takes nothing away.
TEST_F(AnswerBound, OldEchoesAreNoNews) {
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

TEST_F(AnswerBound, AloneNobodyElseCanHaveToldAnything) {
  deployment_.peers.clear();
  CancellationWatermark alone(deployment_, "node-0", "life");
  SteadyTime later = current_as_of_ + Seconds(1000);
  EXPECT_EQ(alone.CancellationsKnownUntil(current_as_of_, later), later);
}

// Another controller that owns the partition says so: whatever the clock says,
// nothing is answered any more, and workers are sent there.
TEST_F(AnswerBound, EndsWhenALaterOwnerIsHeard) {
  partition_->OnPeerClaim("node-2", kFencingToken - 1);  // an earlier one
  EXPECT_EQ(StatusOfHeartbeat(1), 200);
  partition_->OnPeerClaim("node-2", kFencingToken + 1);
  EXPECT_EQ(StatusOfHeartbeat(2), 421);
  EXPECT_EQ(redirect_, "node-2");
}

// ---- Writes without an answer ----

// A write that got no answer may be carried out any time later. Before anything
// else is written the write fence changes, on which it depended, and what is
// written after depends on the new one.
TEST_F(AnswerBound, AfterAWriteWithoutAnAnswerTheFenceIsRaisedFirst) {
  auto write = [this]() -> std::optional<StateCall> {
    for (int step = 0; step < 100; ++step) {
      Advance(Millis(50));
      partition_->Step();
      state_watcher_.Step();
      std::optional<StateCall> found;
      for (const Effect& effect : out_.TakeEffects()) {
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
        out_.Handle(read);
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
    out_.Handle(reply);
  };
  auto fence_in = [](const StateCall& call) -> std::optional<uint64_t> {
    for (const auto& c : std::get<Transaction>(call.request).conditions) {
      if (c.key == keys::WriteFence(0, kFencingToken)) return c.mod_revision;
    }
    return std::nullopt;
  };
  std::optional<StateCall> lost = write();  // the period's report
  ASSERT_TRUE(lost);
  EXPECT_EQ(fence_in(*lost), 0u);
  // As every write of an owner it depends on the ownership too.
  const auto& conditions = std::get<Transaction>(lost->request).conditions;
  EXPECT_TRUE(std::any_of(conditions.begin(), conditions.end(),
                          [](const Condition& condition) {
                            return condition.key == keys::Partition(0) &&
                                   condition.mod_revision == kFencingToken;
                          }));
  answer(*lost, 0, 0);
  std::optional<StateCall> fence = write();
  ASSERT_TRUE(fence);
  const auto& raised = std::get<Transaction>(fence->request);
  ASSERT_EQ(raised.writes.size(), 1u);
  EXPECT_EQ(raised.writes[0].key, keys::WriteFence(0, kFencingToken));
  // Its own answer is lost too: again.
  answer(*fence, 0, 0);
  fence = write();
  ASSERT_TRUE(fence);
  ASSERT_EQ(std::get<Transaction>(fence->request).writes[0].key,
            keys::WriteFence(0, kFencingToken));
  answer(*fence, 200, 150);
  std::optional<StateCall> next = write();
  ASSERT_TRUE(next);
  EXPECT_EQ(fence_in(*next), 150u);
}

// ---- Stops sent directly, and starts ----

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
  std::vector<WorkerCall> StepLater(Duration by) {
    Advance(by);
    partition_->Step();
    effects_ = out_.TakeEffects();
    return StopCalls();
  }
};

// The start travels in the answer to a heartbeat; before another heartbeat
// shows it the job is called off.
TEST_F(DirectStops, ReachAStartThatNoHeartbeatShowsYet) {
  BoundAttempt own;
  own.job = state_cache_.FindJob("run-1");
  own.attempt = 1;
  own.start_sent = HeartbeatId{1, 2};
  Machine machine;
  machine.bound[{"run-1", 0}] = own;
  CommandPolicy policy;
  policy.job_active = [](const BoundAttempt&) { return false; };
  ASSERT_EQ(BuildDirectStops(machine, policy).size(), 1u);
  EXPECT_TRUE(BuildDirectStops(machine, policy).empty());  // once
  // One that has not been sent needs no stop.
  machine.bound.begin()->second.start_sent.reset();
  machine.bound.begin()->second.stop_sent = false;
  EXPECT_TRUE(BuildDirectStops(machine, policy).empty());
}

// What was assigned is started only while the state is known to be as of the
// last two seconds.
TEST_F(DirectStops, NothingStartsOnOldKnowledge) {
  writes_.Drain(now_.steady);  // nothing is stored meanwhile
  StatusOfHeartbeat(1);        // the first after a silence may be an old copy
  Advance(Millis(2000));
  ASSERT_EQ(StatusOfHeartbeat(2), 200);
  EXPECT_EQ(StartsSent(), 0u);
}

// A machine that is heard again after a silence takes nothing at first, and
// what is bound to it and was not started yet is taken back. While that is
// being stored the next heartbeat comes: the task must not start here now,
// since it may start elsewhere as soon as the write is through.
TEST_F(DirectStops, NothingStartsWhoseEndIsBeingStored) {
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
  // Refused: it is bound as before, and starts with the next heartbeat.
  StateReply refused;
  refused.call = id;
  refused.status = 503;
  out_.Handle(refused);
  Advance(Millis(500));
  partition_->Step();
  Advance(Millis(100));
  ASSERT_EQ(StatusOfHeartbeat(3), 200);
  EXPECT_EQ(StartsSent(), 1u);
}

// To a machine that reports to nobody a stop that failed is sent again until
// one is carried out.
TEST_F(DirectStops, AreRepeatedUntilOneIsCarriedOut) {
  ReportedTask running{"run-1", 0, 1, TaskState::kRunning, ExitCause::kNone};
  StatusOfHeartbeat(1, {running});
  Advance(Millis(600));
  ASSERT_EQ(StatusOfHeartbeat(2, {running}), 200);
  EXPECT_TRUE(StopCalls().empty());
  // Another controller tells that it has stored the cancellation.
  context_.cancelled_by_peers.insert("run-1");
  std::vector<WorkerCall> first = StepLater(Millis(50));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_TRUE(StepLater(Millis(50)).empty());  // under way
  for (int status : {0, 409, 503}) {
    WorkerReply failed;
    failed.call = first[0].call;
    failed.status = status;
    out_.Handle(failed);
    EXPECT_TRUE(StepLater(Millis(50)).empty());  // not at once
    first = StepLater(Millis(1000));
    ASSERT_EQ(first.size(), 1u) << status;
  }
  WorkerReply done;
  done.call = first[0].call;
  done.status = 200;
  out_.Handle(done);
  EXPECT_TRUE(StepLater(Millis(2000)).empty());
}

// ---- What is told ----

TEST(CancelledSince, IsWholeOrNothing) {
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
  // Of very many the oldest are left out, which has to show.
  for (uint64_t n = 10; n < 3010; ++n) {
    apply("run-9" + std::to_string(n), n, JobState::kCancelled);
  }
  EXPECT_EQ(state_cache.CancelledSince(5, 10000), std::nullopt);
  EXPECT_EQ(state_cache.CancelledSince(3000, 10000)->size(), 9u);
}

}  // namespace
}  // namespace pitchfall
