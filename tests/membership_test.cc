// Tests the components by which controllers know of each other, each alone:
// registration, ownership of partitions, heartbeats between peers, shared rate
// limits and misrouted workers.
#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/token_bucket.h"
#include "core/membership/misrouted_workers.h"
#include "core/membership/node_registration.h"
#include "core/membership/ownership.h"
#include "core/membership/peers.h"
#include "core/membership/shared_rate_limits.h"

namespace pitchfall {
namespace {

constexpr char kIncarnation[] = "incarnation-0";
constexpr uint32_t kPartitionCount = 3;

Deployment ThreeControllers() {
  Deployment deployment;
  deployment.label = "node-0";
  deployment.peers = {{"node-1", ""}, {"node-2", ""}};
  return deployment;
}

// The environment of one component. Tests fill the state cache directly and
// read what the component does from the outbox.
class MembershipTest : public ::testing::Test {
 protected:
  MembershipTest()
      : deployment_(ThreeControllers()),
        requests_(1000, 1000),
        writes_(1000, 1000),
        cloud_(1000, 1000),
        state_watcher_(tuning_, outbox_, state_cache_, requests_),
        context_{.deployment = deployment_,
                 .tuning = tuning_,
                 .outbox = outbox_,
                 .state_cache = state_cache_,
                 .state_watcher = state_watcher_,
                 .state_request_bucket = requests_,
                 .state_write_bucket = writes_,
                 .cloud_call_bucket = cloud_,
                 .incarnation = kIncarnation,
                 .partition_count = kPartitionCount,
                 .capacity_table = CapacityTable(kPartitionCount),
                 .cancellation_watermark = CancellationWatermark(
                     deployment_, deployment_.label, kIncarnation),
                 .state_limits = StateLimits(deployment_)} {
    now_ = {SteadyTime(Seconds(1000)), WallTime(Seconds(5000))};
    outbox_.set_now(now_);
  }

  void Advance(Duration by) {
    now_.steady += by;
    now_.wall += by;
    outbox_.set_now(now_);
  }

  // Performs a read that succeeds at once and returns no changes. The first two
  // such reads load the state.
  void ReadState() {
    Advance(Millis(500));
    state_watcher_.RunDueWork();
    std::vector<StateCall> calls = TakeAll<StateCall>();
    ASSERT_EQ(calls.size(), 1u);
    outbox_.Handle(StateReply{.call = calls[0].call, .status = 200});
  }
  void LoadState() {
    ReadState();
    ReadState();
  }

  // Stores a record in the state cache, or deletes the key if `value` is null,
  // and returns the revision of the change.
  uint64_t Store(const std::string& key, std::optional<Record> value) {
    state_cache_.Apply(Change{key, std::move(value), ++last_revision_});
    return last_revision_;
  }
  uint64_t StoreNode(const std::string& label, const std::string& incarnation) {
    return Store(keys::Node(label, incarnation),
                 NodeRecord{label, incarnation});
  }
  uint64_t StoreOwner(uint32_t partition, const std::string& label,
                      const std::string& incarnation) {
    return Store(keys::Partition(partition),
                 PartitionRecord{label, incarnation});
  }
  uint64_t StoreCancelledJob(const std::string& id) {
    JobRecord job;
    job.spec.id = id;
    job.spec.tasks = 1;
    job.state = JobState::kCancelled;
    uint64_t revision = Store(keys::Job(id), job);
    state_cache_.AdvanceTo(revision);
    return revision;
  }

  // Returns the effects of type T since the last call and drops all others.
  template <typename T>
  std::vector<T> TakeAll() {
    std::vector<T> found;
    for (Effect& effect : outbox_.TakeEffects()) {
      if (auto* wanted = std::get_if<T>(&effect)) {
        found.push_back(std::move(*wanted));
      }
    }
    return found;
  }

  PeerHeartbeat HeartbeatFrom(const std::string& label) const {
    PeerHeartbeat heartbeat;
    heartbeat.label = label;
    heartbeat.incarnation = "incarnation-of-" + label;
    heartbeat.sent = now_.wall;
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
  Now now_{};
  uint64_t last_revision_ = 0;
};

// ---- Token bucket ----

TEST(TokenBucketOnCredit, GoesIntoDebtThatLaterTakesWaitFor) {
  TokenBucket bucket(10, 5);
  SteadyTime now{Seconds(1)};
  bucket.TakeOnCredit(now, 8);
  EXPECT_DOUBLE_EQ(bucket.Available(now), -3);
  EXPECT_DOUBLE_EQ(bucket.taken(), 8);
  EXPECT_FALSE(bucket.Take(now + Millis(390), 1));
  EXPECT_TRUE(bucket.Take(now + Millis(410), 1));
}

// ---- Shared rate limits ----

class SharedRateLimitsTest : public ::testing::Test {
 protected:
  static Deployment WithLimits() {
    Deployment deployment = ThreeControllers();
    deployment.state.rps = 100;
    deployment.state.write_rps = 15;
    deployment.cloud_rps = 4;
    return deployment;
  }

  SharedRateLimits limits_{WithLimits()};
};

TEST_F(SharedRateLimitsTest, TakesWhatTheOthersLeave) {
  limits_.UpdateShares({RateUsage{10, 1}, RateUsage{5, 2}}, 3, false);
  EXPECT_DOUBLE_EQ(limits_.requests().rate(), 95 - 15);
  EXPECT_DOUBLE_EQ(limits_.writes().rate(), 0.95 * 15 - 3);
}

TEST_F(SharedRateLimitsTest, KeepsMostOfAnEvenShareHoweverMuchOthersUse) {
  limits_.UpdateShares({RateUsage{90, 15}, RateUsage{90, 15}}, 4, false);
  EXPECT_DOUBLE_EQ(limits_.requests().rate(), 0.8 * 100 / 4);
  EXPECT_DOUBLE_EQ(limits_.writes().rate(), 0.8 * 15 / 4);
}

TEST_F(SharedRateLimitsTest, TakesSilentPeersToUseAnEvenShare) {
  limits_.UpdateShares({std::nullopt, RateUsage{0, 0}}, 4, false);
  EXPECT_DOUBLE_EQ(limits_.requests().rate(), 95 - 25);
}

TEST_F(SharedRateLimitsTest, SavesUpTokensForLessThanASecond) {
  SteadyTime now{Seconds(1000)};
  limits_.UpdateShares({RateUsage{55, 14}}, 2, false);
  EXPECT_DOUBLE_EQ(limits_.requests().rate(), 40);
  EXPECT_DOUBLE_EQ(limits_.requests().Available(now), 0.7 * 40);
  EXPECT_DOUBLE_EQ(limits_.writes().Available(now), 0.7 * 0.8 * 15 / 2);
  // However small the share, one token can be accumulated.
  limits_.UpdateShares({RateUsage{55, 14}}, 100, false);
  EXPECT_DOUBLE_EQ(limits_.writes().Available(now), 1);
}

TEST_F(SharedRateLimitsTest, GivesTheLeaderMostOfTheCloudsRate) {
  limits_.UpdateShares({}, 2, true);
  EXPECT_DOUBLE_EQ(limits_.cloud().rate(), 4 * 0.6);
  limits_.UpdateShares({}, 2, false);
  EXPECT_DOUBLE_EQ(limits_.cloud().rate(), 4 * 0.4 / 2);
}

TEST_F(SharedRateLimitsTest, SmoothsTheMeasuredUsage) {
  SteadyTime now{Seconds(1000)};
  EXPECT_DOUBLE_EQ(limits_.MeasureUsage(now).requests, 0);
  limits_.requests().TakeOnCredit(now, 10);
  limits_.writes().TakeOnCredit(now, 4);
  RateUsage usage = limits_.MeasureUsage(now + Millis(500));
  EXPECT_DOUBLE_EQ(usage.requests, 20 * 0.25);
  EXPECT_DOUBLE_EQ(usage.writes, 8 * 0.25);
  usage = limits_.MeasureUsage(now + Millis(1000));
  EXPECT_DOUBLE_EQ(usage.requests, 5 * 0.75);
}

// ---- Peers ----

class PeersTest : public MembershipTest {
 protected:
  std::optional<PeerHeartbeat> Send(const LocalStatus& status = {}) {
    peers_.SendHeartbeat(status);
    std::vector<SendPeerHeartbeat> sent = TakeAll<SendPeerHeartbeat>();
    if (sent.size() != 1) return {};
    return sent[0].heartbeat;
  }

  Peers peers_{context_};
};

TEST_F(PeersTest, IgnoresADelayedHeartbeat) {
  PeerHeartbeat heartbeat = HeartbeatFrom("node-1");
  heartbeat.cancelled = {"job-1"};
  Advance(Millis(2501));
  EXPECT_FALSE(peers_.OnHeartbeat(heartbeat));
  EXPECT_TRUE(context_.cancelled_by_peers.empty());
  EXPECT_TRUE(peers_.RateUsages().empty());
}

TEST_F(PeersTest, RemembersCancellationsUntilTheStateCacheShowsThem) {
  PeerHeartbeat heartbeat = HeartbeatFrom("node-1");
  heartbeat.cancelled = {"job-1", "job-2"};
  StoreCancelledJob("job-2");
  EXPECT_TRUE(peers_.OnHeartbeat(heartbeat));
  EXPECT_EQ(context_.cancelled_by_peers, std::set<std::string>{"job-1"});
  peers_.ForgetStoredCancellations();
  EXPECT_EQ(context_.cancelled_by_peers, std::set<std::string>{"job-1"});
  StoreCancelledJob("job-1");
  peers_.ForgetStoredCancellations();
  EXPECT_TRUE(context_.cancelled_by_peers.empty());
}

TEST_F(PeersTest, SendsAtTheIntervalAndSoonAfterACancellation) {
  EXPECT_TRUE(peers_.HeartbeatDue());
  ASSERT_TRUE(Send());
  EXPECT_FALSE(peers_.HeartbeatDue());
  Advance(Millis(50));
  EXPECT_FALSE(peers_.HeartbeatDue());
  Advance(Millis(449));
  EXPECT_FALSE(peers_.HeartbeatDue());
  Advance(Millis(1));
  EXPECT_TRUE(peers_.HeartbeatDue());
  ASSERT_TRUE(Send());
  StoreCancelledJob("job-1");
  Advance(Millis(49));
  EXPECT_FALSE(peers_.HeartbeatDue());
  Advance(Millis(1));
  EXPECT_TRUE(peers_.HeartbeatDue());
  ASSERT_TRUE(Send());
  // One that it hears of is due as soon; that the cache shows it then is not.
  Advance(Millis(50));
  PeerHeartbeat heartbeat = HeartbeatFrom("node-1");
  heartbeat.cancelled = {"job-2"};
  EXPECT_TRUE(peers_.OnHeartbeat(heartbeat));
  EXPECT_TRUE(peers_.HeartbeatDue());
  ASSERT_TRUE(Send());
  Advance(Millis(50));
  StoreCancelledJob("job-2");
  peers_.ForgetStoredCancellations();
  EXPECT_FALSE(peers_.HeartbeatDue());
}

TEST_F(PeersTest, HeartbeatCarriesTheLocalStatus) {
  ASSERT_TRUE(Send());
  Advance(Seconds(3));
  FreeCapacity free;
  free.AddMachine(FreeCapacity::SlotCpus(2), false);
  LocalStatus status;
  status.usage = {7, 2};
  status.misrouted_workers = {0, 4, 0};
  status.partitions = {{1, 77, free}};
  std::optional<PeerHeartbeat> heartbeat = Send(status);
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->label, "node-0");
  EXPECT_EQ(heartbeat->incarnation, kIncarnation);
  EXPECT_EQ(heartbeat->sent, now_.wall);
  EXPECT_EQ(heartbeat->sender_time, now_.steady);
  EXPECT_EQ(heartbeat->uptime, Seconds(3));
  EXPECT_EQ(heartbeat->state_age, Seconds(3600));  // the state was never read
  EXPECT_DOUBLE_EQ(heartbeat->requests, 7);
  EXPECT_DOUBLE_EQ(heartbeat->writes, 2);
  EXPECT_EQ(heartbeat->misrouted_workers, status.misrouted_workers);
  EXPECT_EQ(heartbeat->tokens, (std::map<uint32_t, uint64_t>{{1, 77}}));
  EXPECT_EQ(heartbeat->free, (std::map<uint32_t, FreeCapacity>{{1, free}}));
  JobSpec spec;
  spec.resources.cpus = FreeCapacity::SlotCpus(0);
  EXPECT_EQ(context_.capacity_table.TaskCapacity(1, spec, now_.steady), 4);
}

TEST_F(PeersTest, EchoesLivePeersAndSendsCancellationsThatOneOfThemLacks) {
  uint64_t before = StoreCancelledJob("job-1");
  StoreCancelledJob("job-2");
  PeerHeartbeat ahead = HeartbeatFrom("node-1");
  ahead.revision = last_revision_;
  ahead.sender_time = SteadyTime(Seconds(11));
  PeerHeartbeat behind = HeartbeatFrom("node-2");
  behind.revision = before;
  behind.sender_time = SteadyTime(Seconds(22));
  peers_.OnHeartbeat(behind);
  peers_.OnHeartbeat(ahead);
  std::optional<PeerHeartbeat> sent = Send();
  ASSERT_TRUE(sent);
  ASSERT_EQ(sent->echoes.size(), 2u);
  EXPECT_EQ(sent->echoes[0].label, "node-1");
  EXPECT_EQ(sent->echoes[0].sender_time, ahead.sender_time);
  EXPECT_EQ(sent->echoes[1].label, "node-2");
  EXPECT_EQ(sent->echoes[1].incarnation, behind.incarnation);
  EXPECT_EQ(sent->cancelled, std::vector<std::string>{"job-2"});
  Advance(Millis(2500));
  sent = Send();
  ASSERT_TRUE(sent);
  EXPECT_TRUE(sent->echoes.empty());
}

// If the peer got an echo without all cancellations, it would go on running
// tasks of cancelled jobs.
TEST_F(PeersTest, DoesNotEchoAPeerThatIsTooFarBehind) {
  for (int i = 0; i < 501; ++i) StoreCancelledJob("job-" + std::to_string(i));
  PeerHeartbeat behind = HeartbeatFrom("node-1");
  PeerHeartbeat ahead = HeartbeatFrom("node-2");
  ahead.revision = last_revision_;
  peers_.OnHeartbeat(behind);
  peers_.OnHeartbeat(ahead);
  std::optional<PeerHeartbeat> sent = Send();
  ASSERT_TRUE(sent);
  ASSERT_EQ(sent->echoes.size(), 1u);
  EXPECT_EQ(sent->echoes[0].label, "node-2");
  EXPECT_TRUE(sent->cancelled.empty());
}

TEST_F(PeersTest, IsUnhealthyIfItAloneCannotReadTheState) {
  EXPECT_FALSE(peers_.Healthy());  // not loaded
  LoadState();
  EXPECT_TRUE(peers_.Healthy());
  Advance(Millis(1200));
  EXPECT_FALSE(peers_.Healthy());  // and no peer is heard
  PeerHeartbeat heartbeat = HeartbeatFrom("node-1");
  heartbeat.state_age = Millis(1200);
  peers_.OnHeartbeat(heartbeat);
  EXPECT_TRUE(peers_.Healthy());  // no controller can read
  heartbeat = HeartbeatFrom("node-2");
  heartbeat.state_age = Millis(1199);
  peers_.OnHeartbeat(heartbeat);
  EXPECT_FALSE(peers_.Healthy());
}

TEST_F(PeersTest, KnowsTheUsageOfLivePeersOnly) {
  PeerHeartbeat heartbeat = HeartbeatFrom("node-1");
  heartbeat.requests = 3;
  heartbeat.writes = 2;
  peers_.OnHeartbeat(heartbeat);
  std::vector<std::optional<RateUsage>> usages = peers_.RateUsages();
  ASSERT_EQ(usages.size(), 1u);
  ASSERT_TRUE(usages[0]);
  EXPECT_DOUBLE_EQ(usages[0]->requests, 3);
  EXPECT_DOUBLE_EQ(usages[0]->writes, 2);
  Advance(Millis(2500));
  usages = peers_.RateUsages();
  ASSERT_EQ(usages.size(), 1u);
  EXPECT_FALSE(usages[0]);
}

TEST_F(PeersTest, FindsTheFirstLivePeerThatHearsAPartitionsWorkers) {
  PeerHeartbeat heartbeat = HeartbeatFrom("node-2");
  heartbeat.misrouted_workers = {0, 2};
  peers_.OnHeartbeat(heartbeat);
  EXPECT_EQ(peers_.FindMisroutedWorkers(0), std::nullopt);
  EXPECT_EQ(peers_.FindMisroutedWorkers(1), "node-2");
  // The heartbeat does not report this partition.
  EXPECT_EQ(peers_.FindMisroutedWorkers(2), std::nullopt);
  heartbeat.label = "node-1";
  peers_.OnHeartbeat(heartbeat);
  EXPECT_EQ(peers_.FindMisroutedWorkers(1), "node-1");
  Advance(Millis(2500));
  EXPECT_EQ(peers_.FindMisroutedWorkers(1), "node-1");
  Advance(Millis(1));
  EXPECT_EQ(peers_.FindMisroutedWorkers(1), std::nullopt);
}

// ---- Misrouted workers ----

class MisroutedWorkersTest : public MembershipTest {
 protected:
  struct Answer {
    int status = 0;
    // Set only in a redirect; empty if the redirect names no owner.
    std::optional<std::string> owner;
  };

  Answer HeartbeatOf(const std::string& machine, uint32_t partition,
                     uint64_t fencing_token = 0) {
    WorkerHeartbeat heartbeat;
    heartbeat.machine = machine;
    heartbeat.fencing_token = fencing_token;
    misrouted_.AnswerHeartbeat(1, heartbeat, partition);
    std::vector<Reply> replies = TakeAll<Reply>();
    if (replies.size() != 1) return {};
    Answer answer{replies[0].status, {}};
    if (const auto* redirect = std::get_if<Redirect>(&replies[0].body)) {
      answer.owner = redirect->owner;
    }
    return answer;
  }

  Ownership ownership_{context_};
  Peers peers_{context_};
  MisroutedWorkers misrouted_{context_, ownership_, peers_};
};

TEST_F(MisroutedWorkersTest, RedirectsAWorkerToTheOwnerIfOneIsKnown) {
  LoadState();
  EXPECT_EQ(HeartbeatOf("m-1", 1).status, 503);
  StoreNode("node-1", "b");
  StoreOwner(1, "node-1", "b");
  Answer answer = HeartbeatOf("m-1", 1);
  EXPECT_EQ(answer.status, 421);
  EXPECT_EQ(answer.owner, "node-1");
  // State that was read too long ago may be wrong by now.
  Advance(Seconds(2));
  EXPECT_EQ(HeartbeatOf("m-1", 1).status, 503);
}

TEST_F(MisroutedWorkersTest, RedirectNamesNoOwnerIfManyWorkersHaveLostIt) {
  LoadState();
  StoreNode("node-1", "b");
  uint64_t fencing_token = StoreOwner(1, "node-1", "b");
  EXPECT_EQ(HeartbeatOf("m-1", 1, fencing_token).owner, "node-1");
  EXPECT_EQ(HeartbeatOf("m-2", 1, fencing_token).owner, "node-1");
  EXPECT_EQ(HeartbeatOf("m-3", 1, fencing_token).owner, "");
  // A worker that was never served by this owner may still reach it.
  EXPECT_EQ(HeartbeatOf("m-4", 1, fencing_token - 1).owner, "node-1");
}

TEST_F(MisroutedWorkersTest, CountsWorkersThatComeAgainUntilTheyStayAway) {
  HeartbeatOf("m-1", 2);
  EXPECT_EQ(misrouted_.CountByPartition(), (std::vector<uint32_t>{0, 0, 0}));
  Advance(deployment_.heartbeat_interval + Millis(1));
  HeartbeatOf("m-1", 2);
  EXPECT_EQ(misrouted_.CountByPartition(), (std::vector<uint32_t>{0, 0, 1}));
  Advance(Seconds(11));
  EXPECT_EQ(misrouted_.CountByPartition(), (std::vector<uint32_t>{0, 0, 1}));
  Advance(Millis(1));
  EXPECT_EQ(misrouted_.CountByPartition(), (std::vector<uint32_t>{0, 0, 0}));
}

TEST_F(MisroutedWorkersTest, ForgetsAWorkerThatIsServedHere) {
  uint64_t fencing_token = StoreOwner(0, "node-1", "b");
  HeartbeatOf("m-1", 0, fencing_token);
  EXPECT_EQ(misrouted_.CountByPartition(), (std::vector<uint32_t>{1, 0, 0}));
  misrouted_.Forget("m-1");
  EXPECT_EQ(misrouted_.CountByPartition(), (std::vector<uint32_t>{0, 0, 0}));
}

TEST_F(MisroutedWorkersTest, HandsASilentPartitionToThePeerThatHearsIt) {
  StoreNode("node-0", kIncarnation);
  StoreNode("node-1", "b");
  StoreOwner(0, "node-0", kIncarnation);
  SteadyTime last_heard = now_.steady;
  Advance(Millis(3500));
  misrouted_.HandOverIfUnreachable(0, last_heard);
  EXPECT_TRUE(TakeAll<StateCall>().empty());  // no peer hears its workers
  PeerHeartbeat heartbeat = HeartbeatFrom("node-1");
  heartbeat.misrouted_workers = {1, 0, 0};
  peers_.OnHeartbeat(heartbeat);
  misrouted_.HandOverIfUnreachable(0, last_heard + Millis(1));
  EXPECT_TRUE(TakeAll<StateCall>().empty());  // heard too recently
  misrouted_.HandOverIfUnreachable(0, last_heard);
  std::vector<StateCall> calls = TakeAll<StateCall>();
  ASSERT_EQ(calls.size(), 1u);
  const auto& txn = std::get<Transaction>(calls[0].request);
  ASSERT_EQ(txn.writes.size(), 1u);
  EXPECT_EQ(txn.writes[0].key, keys::Partition(0));
  const auto& record = std::get<PartitionRecord>(*txn.writes[0].value);
  EXPECT_EQ(record.label, "node-1");
  EXPECT_EQ(record.incarnation, "b");
  EXPECT_EQ(record.unreachable_owner, "node-0");
}

// ---- Registration ----

class NodeRegistrationTest : public MembershipTest {
 protected:
  // Returns the call to the state service since the last check if there is
  // exactly one, else null.
  std::optional<StateCall> TakeCall() {
    std::vector<StateCall> calls = TakeAll<StateCall>();
    if (calls.size() != 1) return {};
    return calls[0];
  }
  void GrantLease(uint64_t lease) {
    registration_.KeepLease();
    std::optional<StateCall> call = TakeCall();
    ASSERT_TRUE(call);
    ASSERT_TRUE(std::holds_alternative<Grant>(call->request));
    outbox_.Handle(
        StateReply{.call = call->call, .status = 200, .lease = lease});
  }

  NodeRegistration registration_{context_};
};

TEST_F(NodeRegistrationTest, RenewsTheLeaseAfterAQuarterOfItsTime) {
  GrantLease(9);
  Advance(tuning_.node_lease / 4 - Millis(1));
  registration_.KeepLease();
  EXPECT_FALSE(TakeCall());
  Advance(Millis(1));
  registration_.KeepLease();
  std::optional<StateCall> call = TakeCall();
  ASSERT_TRUE(call);
  EXPECT_EQ(std::get<Renew>(call->request).lease, 9u);
  EXPECT_EQ(call->timeout, tuning_.node_lease / 4);
  registration_.KeepLease();
  EXPECT_FALSE(TakeCall());  // a renewal is under way
}

TEST_F(NodeRegistrationTest, RetriesAFailedRenewalAndReplacesALostLease) {
  GrantLease(9);
  Advance(tuning_.node_lease / 4);
  registration_.KeepLease();
  std::optional<StateCall> call = TakeCall();
  ASSERT_TRUE(call);
  outbox_.Handle(StateReply{.call = call->call, .status = 0});
  Advance(Millis(150));
  registration_.KeepLease();
  call = TakeCall();
  ASSERT_TRUE(call);
  ASSERT_TRUE(std::holds_alternative<Renew>(call->request));
  outbox_.Handle(StateReply{.call = call->call, .status = 404});
  Advance(Millis(150));
  registration_.KeepLease();
  call = TakeCall();
  ASSERT_TRUE(call);
  EXPECT_TRUE(std::holds_alternative<Grant>(call->request));
}

// Without the lease, other controllers would take over this controller's
// partitions.
TEST_F(NodeRegistrationTest, KeepsTheLeaseWhenTheBudgetIsUsedUp) {
  requests_.TakeOnCredit(now_.steady, 5000);
  registration_.KeepLease();
  EXPECT_TRUE(TakeCall());
  EXPECT_DOUBLE_EQ(requests_.taken(), 5001);
}

TEST_F(NodeRegistrationTest, WritesTheNodeKeyUnderTheLease) {
  registration_.Register();
  EXPECT_FALSE(TakeCall());  // no lease yet
  GrantLease(9);
  registration_.Register();
  std::optional<StateCall> call = TakeCall();
  ASSERT_TRUE(call);
  const auto& txn = std::get<Transaction>(call->request);
  const std::string key = keys::Node("node-0", kIncarnation);
  ASSERT_EQ(txn.conditions.size(), 1u);
  EXPECT_EQ(txn.conditions[0].key, key);
  EXPECT_EQ(txn.conditions[0].mod_revision, 0u);
  ASSERT_EQ(txn.writes.size(), 1u);
  EXPECT_EQ(txn.writes[0].key, key);
  EXPECT_EQ(txn.writes[0].lease, 9u);
  EXPECT_FALSE(registration_.registered_at());
  StoreNode("node-0", kIncarnation);
  registration_.Register();
  EXPECT_EQ(registration_.registered_at(), now_.steady);
  Store(key, std::nullopt);
  registration_.Register();
  EXPECT_FALSE(registration_.registered_at());
}

// ---- Ownership ----

class OwnershipTest : public MembershipTest {
 protected:
  // Runs the component once. Returns the change of the owner of `partition`
  // that it sends, or null if it sends none.
  std::optional<Transaction> RunAndTakeOwnerChange(uint32_t partition) {
    ownership_.RunDueWork();
    for (StateCall& call : TakeAll<StateCall>()) {
      auto* txn = std::get_if<Transaction>(&call.request);
      if (txn == nullptr || txn->writes[0].key != keys::Partition(partition)) {
        continue;
      }
      last_change_ = call.call;
      return std::move(*txn);
    }
    return {};
  }

  Ownership ownership_{context_};
  CallId last_change_ = 0;
};

TEST_F(OwnershipTest, TakesOverAtOnceOnlyWhatItShouldOwn) {
  LoadState();
  StoreNode("node-0", kIncarnation);
  StoreNode("node-1", "b");
  StoreNode("node-2", "c");
  StoreOwner(1, "node-1", "b");
  uint64_t dead = StoreOwner(0, "node-1", "earlier");
  std::optional<Transaction> change = RunAndTakeOwnerChange(0);
  ASSERT_TRUE(change);
  ASSERT_EQ(change->conditions.size(), 2u);
  EXPECT_EQ(change->conditions[0].mod_revision, dead);
  EXPECT_EQ(change->conditions[1].key, keys::Node("node-1", "earlier"));
  EXPECT_EQ(change->conditions[1].mod_revision, 0u);
  // node-2 is the preferred owner of partition 2, which never had an owner.
  // Other controllers leave it to node-2 for 1.5 s.
  Advance(Millis(1499));
  EXPECT_FALSE(RunAndTakeOwnerChange(2));
  Advance(Millis(1));
  EXPECT_TRUE(RunAndTakeOwnerChange(2));
}

TEST_F(OwnershipTest, WaitsForAReadBeforeItAsksAgain) {
  LoadState();
  StoreNode("node-0", kIncarnation);
  ASSERT_TRUE(RunAndTakeOwnerChange(0));
  EXPECT_FALSE(RunAndTakeOwnerChange(0));
  outbox_.Handle(StateReply{.call = last_change_, .status = 0});
  EXPECT_FALSE(RunAndTakeOwnerChange(0));
  ReadState();
  EXPECT_TRUE(RunAndTakeOwnerChange(0));
}

TEST_F(OwnershipTest, TakesNothingOverBeforeItIsRegistered) {
  LoadState();
  EXPECT_FALSE(RunAndTakeOwnerChange(0));
  Advance(Millis(1600));  // longer than any delay, and the state still fresh
  EXPECT_FALSE(RunAndTakeOwnerChange(0));
  StoreNode("node-0", kIncarnation);
  EXPECT_TRUE(RunAndTakeOwnerChange(0));
}

TEST_F(OwnershipTest, HandsBackToAControllerThatHasBeenUpForAWhile) {
  LoadState();
  StoreNode("node-0", kIncarnation);
  StoreNode("node-1", "b");
  uint64_t fencing_token = StoreOwner(1, "node-0", kIncarnation);
  EXPECT_EQ(ownership_.FencingTokenOf(1), fencing_token);
  EXPECT_EQ(ownership_.OwnerOf(1), "node-0");
  tuning_.handover_after = Seconds(1);
  EXPECT_FALSE(RunAndTakeOwnerChange(1));
  Advance(Seconds(1));
  std::optional<Transaction> change = RunAndTakeOwnerChange(1);
  ASSERT_TRUE(change);
  const auto& record = std::get<PartitionRecord>(*change->writes[0].value);
  EXPECT_EQ(record.label, "node-1");
  EXPECT_EQ(record.unreachable_owner, "");
  EXPECT_EQ(change->conditions[0].mod_revision, fencing_token);
}

TEST_F(OwnershipTest, WaitsAMinuteBeforeItHandsBackToAnUnreachableOwner) {
  LoadState();
  StoreNode("node-0", kIncarnation);
  StoreNode("node-1", "b");
  Store(keys::Partition(1), PartitionRecord{"node-0", kIncarnation, "node-1"});
  EXPECT_FALSE(RunAndTakeOwnerChange(1));
  Advance(Millis(59499));
  ReadState();
  EXPECT_FALSE(RunAndTakeOwnerChange(1));
  Advance(Millis(1));
  EXPECT_TRUE(RunAndTakeOwnerChange(1));
}

TEST_F(OwnershipTest, DoesNotHandOverWhatItDoesNotOwnOrToNobody) {
  LoadState();
  StoreNode("node-0", kIncarnation);
  StoreNode("node-1", "b");
  StoreOwner(0, "node-1", "b");
  StoreOwner(1, "node-0", kIncarnation);
  ownership_.HandOver(0, "node-2", HandoverReason::kUnreachable);
  ownership_.HandOver(1, "node-2", HandoverReason::kUnreachable);
  EXPECT_TRUE(TakeAll<StateCall>().empty());
  EXPECT_EQ(ownership_.FencingTokenOf(0), std::nullopt);
  EXPECT_EQ(ownership_.OwnerOf(2), "");
}

}  // namespace
}  // namespace pitchfall
