// Tests the components of the autoscaler, each alone, through the calls that it
// makes to the state service and the cloud.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/autoscaler/instance_inventory.h"
#include "core/autoscaler/instance_requests.h"
#include "core/autoscaler/leader_state_writer.h"
#include "core/autoscaler/machine_type_catalog.h"
#include "core/autoscaler/machine_use.h"
#include "core/autoscaler/scale_in.h"
#include "core/autoscaler/scale_out.h"
#include "core/autoscaler/sizing_history.h"
#include "core/base/lifetime_guard.h"

namespace pitchfall {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::SizeIs;

constexpr uint64_t kFencingToken = 50;
const Offer kSmallOrdinary{"small", "a", false};
const Offer kSmallSpot{"small", "a", true};

MachineType MakeType(const std::string& name, double cpus, double price,
                     std::vector<std::string> zones) {
  MachineType type;
  type.name = name;
  type.capacity = Resources::FromDecimals(cpus, 0, cpus);
  type.price = price;
  type.spot_price = price / 2;
  type.boot = Seconds(20);
  type.zones = std::move(zones);
  return type;
}

// The environment of one component: a state cache, rate budgets that do not run
// out, a clock that the test advances, and the calls that the component has
// made.
class AutoscalerComponentTest : public ::testing::Test {
 protected:
  AutoscalerComponentTest()
      : limits_(deployment_),
        watcher_(tuning_, outbox_, cache_, requests_),
        writer_(outbox_, tuning_, requests_, writes_, watcher_, kFencingToken),
        types_(outbox_, tuning_, cache_, cloud_, writer_),
        inventory_(outbox_, deployment_, tuning_, cache_, types_, cloud_),
        instance_requests_(outbox_, deployment_, tuning_, cache_, limits_,
                           cloud_, writer_, inventory_, kFencingToken),
        scale_out_(cache_, types_, inventory_, instance_requests_),
        scale_in_(outbox_, tuning_, cache_, limits_, types_, inventory_,
                  writer_),
        history_(outbox_, tuning_, cache_, limits_, types_, writer_) {
    outbox_.set_now(now_);
    Apply(keys::kTypes, TypesRecord{{MakeType("small", 4, 1, {"a", "b"}),
                                     MakeType("large", 16, 4, {"a", "b"})}});
  }

  void Advance(Duration by) {
    now_.steady += by;
    now_.wall += by;
    outbox_.set_now(now_);
  }

  void Apply(const std::string& key, std::optional<Record> value) {
    cache_.Apply({key, std::move(value), ++revision_});
  }

  // Stores a job with these assignments in the state cache.
  void ApplyJob(const JobSpec& spec, const std::vector<Assignment>& assigned) {
    JobRecord record;
    record.spec = spec;
    Apply(keys::Job(spec.id), record);
    ChunkRecord chunk;
    chunk.assigned = assigned;
    Apply(keys::Segment(0, next_slot_++), SegmentRecord{{{spec.id, 0, chunk}}});
  }

  // Replaces the collected calls by those made since the last time.
  void CollectCalls() {
    state_calls_.clear();
    cloud_calls_.clear();
    for (Effect& effect : outbox_.TakeEffects()) {
      if (auto* state = std::get_if<StateCall>(&effect)) {
        state_calls_.push_back(std::move(*state));
      } else if (auto* cloud = std::get_if<CloudCall>(&effect)) {
        cloud_calls_.push_back(std::move(*cloud));
      }
    }
  }
  const Transaction& StoredTransaction(size_t index = 0) const {
    return std::get<Transaction>(state_calls_.at(index).request);
  }
  template <typename T>
  const T& StoredRecord(size_t index = 0) const {
    return std::get<T>(*StoredTransaction().writes.at(index).value);
  }
  template <typename T>
  const T& SentCloudRequest(size_t index = 0) const {
    return std::get<T>(cloud_calls_.at(index).request);
  }
  void AnswerCloud(CloudReply reply) {
    reply.call = cloud_calls_.at(0).call;
    outbox_.Handle(reply);
    CollectCalls();
  }
  void AnswerState(int status) {
    StateReply reply;
    reply.call = state_calls_.at(0).call;
    reply.status = status;
    reply.revision = revision_;
    outbox_.Handle(reply);
    CollectCalls();
  }

  // Lets 10 s pass and the inventory read a list with these machines in one
  // page.
  void ReadInstanceList(std::vector<ListedMachine> listed) {
    Advance(Seconds(10));
    inventory_.ListIfDue();
    CollectCalls();
    CloudReply reply;
    reply.status = 200;
    reply.listed = std::move(listed);
    AnswerCloud(std::move(reply));
  }
  static ListedMachine MakeListedMachine(const std::string& name,
                                         const Offer& offer,
                                         Duration age = Seconds(1000)) {
    ListedMachine machine;
    machine.name = name;
    machine.type = offer.type;
    machine.zone = offer.zone;
    machine.spot = offer.spot;
    machine.status = MachineStatus::kRunning;
    machine.age = age;
    return machine;
  }

  static JobSpec MakeSpec(const std::string& id, double cpus) {
    JobSpec spec;
    spec.id = id;
    spec.tasks = 4;
    spec.resources = Resources::FromDecimals(cpus, 0, 1);
    spec.spot = true;
    return spec;
  }
  static Demand DemandOf(const Job& job) {
    Demand demand;
    demand.requested = job.spec().resources;
    demand.waiting_jobs.push_back(&job);
    return demand;
  }

  Now now_{SteadyTime(Seconds(10000)), WallTime(Seconds(10000))};
  Deployment deployment_;
  Tuning tuning_;
  Outbox outbox_;
  StateCache cache_;
  StateLimits limits_;
  TokenBucket requests_{1000, 1000};
  TokenBucket writes_{1000, 1000};
  TokenBucket cloud_{1000, 1000};
  StateWatcher watcher_;
  LeaderStateWriter writer_;
  MachineTypeCatalog types_;
  InstanceInventory inventory_;
  InstanceRequests instance_requests_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
  SizingHistory history_;
  SizingDecision decision_;
  uint64_t revision_ = 0;
  uint32_t next_slot_ = 0;
  std::vector<StateCall> state_calls_;
  std::vector<CloudCall> cloud_calls_;
};

// ---- Callbacks ----

TEST(LifetimeGuard, CallbackDoesNothingOnceTheGuardIsGone) {
  int calls = 0;
  auto guard = std::make_unique<LifetimeGuard>();
  auto callback = guard->Wrap([&calls](int by) { calls += by; });
  callback(2);
  guard.reset();
  callback(3);
  EXPECT_EQ(calls, 2);
}

// ---- Transactions ----

using LeaderStateWriterTest = AutoscalerComponentTest;

TEST_F(LeaderStateWriterTest, EveryTransactionRequiresTheFencingToken) {
  Transaction transaction;
  transaction.conditions.push_back({keys::kDrain, 7});
  writer_.Write(std::move(transaction), [](const StateReply&) {});
  CollectCalls();
  ASSERT_THAT(StoredTransaction().conditions, SizeIs(2));
  EXPECT_EQ(StoredTransaction().conditions[1].key, keys::Partition(0));
  EXPECT_EQ(StoredTransaction().conditions[1].mod_revision, kFencingToken);
}

TEST_F(LeaderStateWriterTest, WritesEvenIfTheRateIsUsedUp) {
  writes_.Take(now_.steady, 1000);
  requests_.Take(now_.steady, 1000);
  Transaction transaction;
  transaction.writes.push_back({keys::kDrain, DrainRecord{}, 0});
  writer_.Write(std::move(transaction), [](const StateReply&) {});
  CollectCalls();
  EXPECT_THAT(state_calls_, SizeIs(1));
  EXPECT_LT(writes_.Available(now_.steady), 0);
}

TEST_F(LeaderStateWriterTest, WriteIsPendingUntilAReadAfterTheAnswerHasEnded) {
  int status = 0;
  writer_.Write({}, [&](const StateReply& reply) { status = reply.status; });
  EXPECT_TRUE(writer_.write_pending());
  CollectCalls();
  AnswerState(503);
  EXPECT_EQ(status, 503);
  EXPECT_TRUE(writer_.write_pending());
  watcher_.RunDueWork();
  CollectCalls();
  AnswerState(200);
  EXPECT_FALSE(writer_.write_pending());
}

// ---- Machine types ----

using MachineTypeCatalogTest = AutoscalerComponentTest;

TEST_F(MachineTypeCatalogTest, ChangedTypesAreStored) {
  types_.FetchIfDue();
  types_.FetchIfDue();  // one call at a time
  CollectCalls();
  ASSERT_THAT(cloud_calls_, SizeIs(1));
  CloudReply reply;
  reply.status = 200;
  reply.types = {MakeType("new", 8, 2, {"a"})};
  AnswerCloud(reply);
  EXPECT_EQ(StoredRecord<TypesRecord>().types, reply.types);
}

TEST_F(MachineTypeCatalogTest, UnchangedTypesAreNotStored) {
  types_.FetchIfDue();
  CollectCalls();
  CloudReply reply;
  reply.status = 200;
  reply.types = cache_.types()->value.types;
  AnswerCloud(reply);
  EXPECT_THAT(state_calls_, IsEmpty());
}

TEST_F(MachineTypeCatalogTest, AFailedFetchIsRetriedSoonerThanAGoodOne) {
  types_.FetchIfDue();
  CollectCalls();
  AnswerCloud({});
  Advance(Millis(999));
  types_.FetchIfDue();
  CollectCalls();
  EXPECT_THAT(cloud_calls_, IsEmpty());
  Advance(Millis(1));
  types_.FetchIfDue();
  CollectCalls();
  EXPECT_THAT(cloud_calls_, SizeIs(1));
}

TEST_F(MachineTypeCatalogTest, OffersAreOrderedByPriceAndThenAsListed) {
  EXPECT_THAT(
      types_.OffersByPrice(),
      ElementsAre(Offer{"small", "a", true}, Offer{"small", "b", true},
                  Offer{"small", "a", false}, Offer{"small", "b", false},
                  Offer{"large", "a", true}, Offer{"large", "b", true},
                  Offer{"large", "a", false}, Offer{"large", "b", false}));
}

TEST_F(MachineTypeCatalogTest, JobsRunOnlyWhereTheirRulesAllow) {
  JobSpec spec = MakeSpec("run-1", 4);
  EXPECT_TRUE(types_.CanRun(spec, kSmallSpot));
  EXPECT_FALSE(types_.CanRun(spec, {"unlisted", "a", false}));
  spec.zone = "b";
  EXPECT_FALSE(types_.CanRun(spec, kSmallSpot));
  spec = MakeSpec("run-1", 5);
  EXPECT_FALSE(types_.CanRun(spec, kSmallSpot));
  spec = MakeSpec("run-1", 1);
  spec.spot = false;
  EXPECT_FALSE(types_.CanRun(spec, kSmallSpot));
  EXPECT_TRUE(types_.CanRun(spec, kSmallOrdinary));
}

TEST_F(MachineTypeCatalogTest, ASpreadJobHasAtMostHalfOfItsTasksInAZone) {
  JobSpec spec = MakeSpec("run-1", 1);
  spec.spread = true;
  ApplyJob(spec, {{0, 1, "m-1", "a"}, {1, 1, "m-2", "a"}});
  EXPECT_THAT(types_.OpenZones(*cache_.FindJob("run-1")), ElementsAre("b"));
}

// ---- Inventory ----

using InstanceInventoryTest = AutoscalerComponentTest;

TEST_F(InstanceInventoryTest, KnowsTheListOnceAllPagesAreRead) {
  inventory_.ListIfDue();
  CollectCalls();
  CloudReply page;
  page.status = 200;
  page.listed = {MakeListedMachine("m-1", kSmallSpot)};
  page.more = true;
  AnswerCloud(page);
  EXPECT_FALSE(inventory_.listed_once());
  EXPECT_EQ(SentCloudRequest<ListMachines>().after, "m-1");
  page.listed = {MakeListedMachine("m-2", kSmallOrdinary)};
  page.more = false;
  AnswerCloud(page);
  EXPECT_TRUE(inventory_.listed_once());
  EXPECT_THAT(inventory_.instances(), SizeIs(2));
  EXPECT_EQ(inventory_.Find("m-2")->offer, kSmallOrdinary);
}

TEST_F(InstanceInventoryTest, AMachineThatRanDoesNotBootAgainInAnOlderList) {
  ReadInstanceList({MakeListedMachine("m-1", kSmallSpot)});
  ListedMachine older = MakeListedMachine("m-1", kSmallSpot);
  older.status = MachineStatus::kBooting;
  ReadInstanceList({older});
  EXPECT_EQ(inventory_.Find("m-1")->status, MachineStatus::kRunning);
}

TEST_F(InstanceInventoryTest, OnlyALongAbsenceFromTheListRemovesAMachine) {
  ReadInstanceList({MakeListedMachine("m-1", kSmallSpot)});
  ReadInstanceList({});  // after 10 s, less than twice the list's lag and 5 s
  EXPECT_NE(inventory_.Find("m-1"), nullptr);
  ReadInstanceList({});
  EXPECT_EQ(inventory_.Find("m-1"), nullptr);
}

TEST_F(InstanceInventoryTest, FailedAndOverdueMachinesAreDeletedNotCounted) {
  ListedMachine failed = MakeListedMachine("m-failed", kSmallSpot);
  failed.status = MachineStatus::kFailed;
  ListedMachine overdue =
      MakeListedMachine("m-overdue", kSmallSpot, Seconds(71));
  overdue.status = MachineStatus::kBooting;
  ListedMachine booting =
      MakeListedMachine("m-booting", kSmallSpot, Seconds(70));
  booting.status = MachineStatus::kBooting;
  ReadInstanceList({failed, overdue, booting});
  EXPECT_EQ(inventory_.CountUsable(), 1);
  inventory_.DeleteBroken();
  CollectCalls();
  EXPECT_THAT(SentCloudRequest<DeleteMachines>().machines,
              ElementsAre("m-failed", "m-overdue"));
  CloudReply reply;
  reply.status = 200;
  AnswerCloud(reply);
  EXPECT_THAT(inventory_.instances(), SizeIs(1));
}

TEST_F(InstanceInventoryTest, AMachineWithTasksIsNeverOverdue) {
  ListedMachine booting = MakeListedMachine("m-1", kSmallSpot);
  booting.status = MachineStatus::kBooting;
  ReadInstanceList({booting});
  EXPECT_EQ(inventory_.CountUsable(), 0);
  inventory_.RecordUse({{"m-1", {}}});
  EXPECT_EQ(inventory_.CountUsable(), 1);
}

// ---- Instance requests ----

using InstanceRequestsTest = AutoscalerComponentTest;

TEST_F(InstanceRequestsTest, TheLargestCountIsRequestedFirst) {
  instance_requests_.Create({{kSmallOrdinary, 2}, {kSmallSpot, 60}},
                            ScalingReason::kTarget, decision_);
  CollectCalls();
  ASSERT_THAT(StoredTransaction().writes, SizeIs(3));
  EXPECT_EQ(StoredTransaction().writes[0].key, keys::InstanceRequest("r-50-1"));
  EXPECT_EQ(OfferOf(StoredRecord<InstanceRequestRecord>(0)), kSmallSpot);
  EXPECT_EQ(StoredRecord<InstanceRequestRecord>(0).count, 50u);
  EXPECT_EQ(StoredRecord<InstanceRequestRecord>(1).count, 10u);
  EXPECT_EQ(OfferOf(StoredRecord<InstanceRequestRecord>(2)), kSmallOrdinary);
}

TEST_F(InstanceRequestsTest, RequestOfAPreviousLeaderIsSentAgain) {
  Apply(keys::InstanceRequest("r-49-1"),
        InstanceRequestRecord{"small", "a", true, 3, now_.wall, {}});
  instance_requests_.Reconcile();
  instance_requests_.Reconcile();  // one call at a time
  CollectCalls();
  ASSERT_THAT(cloud_calls_, SizeIs(1));
  EXPECT_EQ(SentCloudRequest<CreateInstances>().name, "r-49-1");
  EXPECT_EQ(SentCloudRequest<CreateInstances>().count, 3u);
  ASSERT_THAT(instance_requests_.Pending(), SizeIs(1));
  EXPECT_EQ(instance_requests_.Pending()[0].count, 3);
}

TEST_F(InstanceRequestsTest, PartialAnswerIsStoredAndTheOfferAvoidedForAWhile) {
  Apply(keys::InstanceRequest("r-50-1"),
        InstanceRequestRecord{"small", "a", true, 3, now_.wall, {}});
  instance_requests_.Reconcile();
  CollectCalls();
  CloudReply reply;
  reply.status = 200;
  reply.created = {"m-1", "m-2"};
  AnswerCloud(reply);
  EXPECT_THAT(StoredRecord<InstanceRequestRecord>().machines,
              ElementsAre("m-1", "m-2"));
  EXPECT_NE(inventory_.Find("m-2"), nullptr);
  EXPECT_TRUE(instance_requests_.RecentlyRefused(kSmallSpot));
  EXPECT_FALSE(instance_requests_.RecentlyRefused(kSmallOrdinary));
  Advance(Seconds(12));
  EXPECT_FALSE(instance_requests_.RecentlyRefused(kSmallSpot));
}

TEST_F(InstanceRequestsTest, ARejectedRequestIsDeleted) {
  Apply(keys::InstanceRequest("r-50-1"),
        InstanceRequestRecord{"small", "a", true, 3, now_.wall, {}});
  instance_requests_.Reconcile();
  CollectCalls();
  CloudReply reply;
  reply.status = 503;
  reply.no_capacity = true;
  AnswerCloud(reply);
  ASSERT_THAT(StoredTransaction().writes, SizeIs(1));
  EXPECT_FALSE(StoredTransaction().writes[0].value.has_value());
  EXPECT_TRUE(instance_requests_.RecentlyRefused(kSmallSpot));
}

TEST_F(InstanceRequestsTest, ARequestWithoutAnAnswerIsSentAgainLater) {
  Apply(keys::InstanceRequest("r-50-1"),
        InstanceRequestRecord{"small", "a", true, 3, now_.wall, {}});
  instance_requests_.Reconcile();
  CollectCalls();
  AnswerCloud({});
  EXPECT_THAT(state_calls_, IsEmpty());
  instance_requests_.Reconcile();
  CollectCalls();
  EXPECT_THAT(cloud_calls_, IsEmpty());
  Advance(Millis(1500));
  instance_requests_.Reconcile();
  CollectCalls();
  EXPECT_THAT(cloud_calls_, SizeIs(1));
}

TEST_F(InstanceRequestsTest, AnAnsweredRequestIsDeletedOnceAllAreListed) {
  Apply(keys::InstanceRequest("r-49-1"),
        InstanceRequestRecord{"small", "a", true, 1, now_.wall, {"m-1"}});
  instance_requests_.Reconcile();
  CollectCalls();
  EXPECT_THAT(state_calls_, IsEmpty());
  // A new leader learns of the machine from the stored request.
  ASSERT_NE(inventory_.Find("m-1"), nullptr);
  instance_requests_.Reconcile();
  CollectCalls();
  EXPECT_THAT(state_calls_, IsEmpty());
  ReadInstanceList({MakeListedMachine("m-1", kSmallSpot)});
  instance_requests_.Reconcile();
  CollectCalls();
  ASSERT_THAT(StoredTransaction().writes, SizeIs(1));
  EXPECT_FALSE(StoredTransaction().writes[0].value.has_value());
}

// ---- Scale-out ----

using ScaleOutTest = AutoscalerComponentTest;

TEST_F(ScaleOutTest, ZonesAtTheLowestPriceShareWhatIsRequested) {
  ReadInstanceList({MakeListedMachine("m-1", kSmallSpot)});
  Demand demand;
  demand.requested = Resources::FromDecimals(8, 0, 8);
  EXPECT_TRUE(scale_out_.RequestCheapest(3, demand, decision_));
  CollectCalls();
  ASSERT_THAT(StoredTransaction().writes, SizeIs(2));
  // Zone a has one machine already.
  EXPECT_EQ(OfferOf(StoredRecord<InstanceRequestRecord>(0)),
            (Offer{"small", "b", true}));
  EXPECT_EQ(StoredRecord<InstanceRequestRecord>(0).count, 2u);
  EXPECT_EQ(StoredRecord<InstanceRequestRecord>(1).count, 1u);
}

TEST_F(ScaleOutTest, NoSpotInstancesIfNoJobMayRunOnThem) {
  Demand demand;
  demand.requested = Resources::FromDecimals(8, 0, 8);
  demand.ordinary_only = demand.requested;
  EXPECT_TRUE(scale_out_.RequestCheapest(1, demand, decision_));
  CollectCalls();
  EXPECT_FALSE(StoredRecord<InstanceRequestRecord>().spot);
}

TEST_F(ScaleOutTest, AJobThatNoMachineCanRunIsUnserved) {
  ReadInstanceList({MakeListedMachine("m-1", kSmallSpot)});
  ApplyJob(MakeSpec("run-small", 4), {});
  ApplyJob(MakeSpec("run-large", 16), {});
  const Job* small = cache_.FindJob("run-small");
  const Job* large = cache_.FindJob("run-large");
  EXPECT_EQ(scale_out_.FindUnservedJob(DemandOf(*small), {}), nullptr);
  EXPECT_EQ(scale_out_.FindUnservedJob(DemandOf(*large), {}), large);
  EXPECT_TRUE(scale_out_.RequestFor(*large, decision_));
  CollectCalls();
  EXPECT_EQ(OfferOf(StoredRecord<InstanceRequestRecord>()),
            (Offer{"large", "a", true}));
}

TEST_F(ScaleOutTest, OnlyLessImportantTasksMakeCapacityForAReplica) {
  ReadInstanceList({MakeListedMachine("m-1", kSmallSpot)});
  JobSpec service = MakeSpec("run-service", 2);
  service.shape = Shape::kService;
  service.priority = Priority::kNormal;
  ApplyJob(service, {});
  const Job* job = cache_.FindJob("run-service");
  MachineUseTable use;
  const Resources all = Resources::FromDecimals(4, 0, 1);
  use["m-1"].by_priority[Priority::kLow] = all;
  EXPECT_EQ(scale_out_.FindUnservedJob(DemandOf(*job), use), nullptr);
  use["m-1"].by_priority[Priority::kNormal] = all;
  EXPECT_EQ(scale_out_.FindUnservedJob(DemandOf(*job), use), job);
  // A pending instance that can run the job is enough.
  Apply(keys::InstanceRequest("r-50-1"),
        InstanceRequestRecord{"small", "b", true, 1, now_.wall, {}});
  EXPECT_EQ(scale_out_.FindUnservedJob(DemandOf(*job), use), nullptr);
}

// ---- Scale-in ----

class ScaleInTest : public AutoscalerComponentTest {
 protected:
  // Calls CordonSurplus when the surplus begins and again once it has lasted
  // for `idle_before_return`. Returns whether the second call cordoned
  // machines.
  bool CordonAfterAWhile(const Surplus& surplus, const MachineUseTable& use) {
    inventory_.RecordUse(use);
    EXPECT_FALSE(scale_in_.CordonSurplus(surplus, use, decision_));
    Advance(tuning_.idle_before_return);
    bool cordoned = scale_in_.CordonSurplus(surplus, use, decision_);
    CollectCalls();
    return cordoned;
  }
};

TEST_F(ScaleInTest, IdleMachinesAreCordonedFirstTheMostExpensiveBeforeOthers) {
  ReadInstanceList({MakeListedMachine("m-busy", kSmallOrdinary),
                    MakeListedMachine("m-dear", kSmallOrdinary),
                    MakeListedMachine("m-spot", kSmallSpot)});
  MachineUseTable use;
  use["m-busy"].resources = Resources::FromDecimals(1, 0, 1);
  ASSERT_TRUE(CordonAfterAWhile({2, 2}, use));
  EXPECT_THAT(StoredRecord<DrainRecord>().machines,
              ElementsAre("m-dear", "m-spot"));
}

TEST_F(ScaleInTest, OrdinaryMachinesThatAreNeededStay) {
  ReadInstanceList({MakeListedMachine("m-dear", kSmallOrdinary),
                    MakeListedMachine("m-spot", kSmallSpot)});
  ASSERT_TRUE(CordonAfterAWhile({2, 0}, {}));
  EXPECT_THAT(StoredRecord<DrainRecord>().machines, ElementsAre("m-spot"));
}

TEST_F(ScaleInTest, AMachineWithinItsMinimumChargeStays) {
  ReadInstanceList({MakeListedMachine("m-1", kSmallSpot, Seconds(30))});
  EXPECT_FALSE(CordonAfterAWhile({1, 1}, {}));
}

TEST_F(ScaleInTest, AtMostFourReplicasDrainAtATime) {
  ReadInstanceList({MakeListedMachine("m-1", kSmallSpot),
                    MakeListedMachine("m-2", kSmallSpot),
                    MakeListedMachine("m-3", kSmallSpot)});
  MachineUseTable use;
  for (const char* name : {"m-1", "m-2", "m-3"}) use[name].replicas = 2;
  ASSERT_TRUE(CordonAfterAWhile({3, 3}, use));
  EXPECT_THAT(StoredRecord<DrainRecord>().machines, ElementsAre("m-1", "m-2"));
}

TEST_F(ScaleInTest, ASurplusThatEndedHasToLastAgain) {
  ReadInstanceList({MakeListedMachine("m-1", kSmallSpot)});
  inventory_.RecordUse({});
  EXPECT_FALSE(scale_in_.CordonSurplus({1, 1}, {}, decision_));
  Advance(tuning_.idle_before_return);
  scale_in_.ResetSurplus();
  EXPECT_FALSE(scale_in_.CordonSurplus({1, 1}, {}, decision_));
}

TEST_F(ScaleInTest, OnlyMachinesWithTasksAreUncordoned) {
  ReadInstanceList({MakeListedMachine("m-1", kSmallSpot),
                    MakeListedMachine("m-2", kSmallSpot),
                    MakeListedMachine("m-3", kSmallSpot)});
  Apply(keys::kDrain, DrainRecord{{"m-1", "m-2", "m-3", "m-gone"}});
  inventory_.RecordUse({{"m-2", {}}, {"m-3", {}}});
  EXPECT_EQ(scale_in_.Uncordon(1), 1);
  CollectCalls();
  EXPECT_THAT(StoredRecord<DrainRecord>().machines, ElementsAre("m-1", "m-3"));
}

// ---- Sizing history ----

class SizingHistoryTest : public AutoscalerComponentTest {
 protected:
  uint64_t Period() const {
    return static_cast<uint64_t>(now_.wall.time_since_epoch() /
                                 tuning_.sizing_period);
  }
  void Report(uint32_t partition, double cpus) {
    LoadRecord load;
    load.period = Period();
    load.requested = Resources::FromDecimals(cpus, 0, 0);
    load.used = load.requested;
    load.started = 2;
    load.waited = Seconds(3);
    Apply(keys::Load(partition), load);
  }
};

TEST_F(SizingHistoryTest, OnePointAPeriodSumsThePartitions) {
  Report(0, 4);
  Report(1, 8);
  decision_.count = 6;
  history_.RecordPeriod(decision_, 2);
  history_.RecordPeriod(decision_, 2);
  CollectCalls();
  ASSERT_THAT(state_calls_, SizeIs(1));
  const auto& record = StoredRecord<SizingRecord>();
  EXPECT_EQ(record.period, Period());
  EXPECT_EQ(record.count, 6u);
  EXPECT_EQ(record.reason, "start");
  ASSERT_THAT(record.history, SizeIs(1));
  EXPECT_EQ(record.history[0].requested, Resources::FromDecimals(12, 0, 0));
  EXPECT_DOUBLE_EQ(record.history[0].utilisation, 0.5);
  EXPECT_DOUBLE_EQ(record.history[0].delay, 1.5);
}

TEST_F(SizingHistoryTest, LateReportsAreWaitedForAThirdOfThePeriod) {
  Report(0, 4);
  history_.RecordPeriod(decision_, 2);
  CollectCalls();
  EXPECT_THAT(state_calls_, IsEmpty());
  Advance(tuning_.sizing_period / 3);
  history_.RecordPeriod(decision_, 2);
  CollectCalls();
  EXPECT_THAT(state_calls_, SizeIs(1));
}

TEST_F(SizingHistoryTest, ANewLeaderGoesOnFromTheStoredPoints) {
  SizingRecord stored;
  stored.period = Period() - 1;
  stored.history.resize(3);
  Apply(keys::kSizing, stored);
  Report(0, 4);
  history_.RecordPeriod(decision_, 1);
  CollectCalls();
  EXPECT_THAT(StoredRecord<SizingRecord>().history, SizeIs(4));
}

TEST_F(SizingHistoryTest, TargetsCoverWhatIsRequestedNow) {
  Demand demand;
  demand.requested = Resources::FromDecimals(20, 0, 4);
  const SizingTargets targets = history_.TargetsFor(demand);
  EXPECT_DOUBLE_EQ(targets.requested_machines, 5);
  ASSERT_THAT(targets.by_period, SizeIs(tuning_.horizon));
  EXPECT_GE(targets.by_period[0], 5);
}

// ---- Use ----

using MachineUseTest = AutoscalerComponentTest;

TEST_F(MachineUseTest, SumsTasksByMachineAndPriority) {
  JobSpec service = MakeSpec("run-1", 2);
  service.shape = Shape::kService;
  ApplyJob(service, {{0, 1, "m-1", "a"}, {1, 1, "m-1", "a"}});
  const MachineUseTable use = MeasureMachineUse(cache_);
  ASSERT_THAT(use, SizeIs(1));
  const MachineUse& machine = use.at("m-1");
  EXPECT_EQ(machine.resources, Resources::FromDecimals(4, 0, 2));
  EXPECT_EQ(machine.by_priority.at(Priority::kNormal), machine.resources);
  EXPECT_EQ(machine.replicas, 2u);
}

}  // namespace
}  // namespace pitchfall
