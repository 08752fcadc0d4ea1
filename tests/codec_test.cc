// Tests the decoders with valid, invalid and random input, and that records and
// peer heartbeats survive encoding and decoding.
#include "wire/codec.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <sstream>
#include <string>

#include "core/model/limits.h"
#include "core/state/segments.h"
#include "wire/pack.h"
#include "wire/peer.h"
#include "wire/records.h"

namespace pitchfall::wire {
namespace {

// Returns a valid submission, with `field` set by `value`, or left out if
// `value` is empty. An empty `field` changes nothing.
std::string Submission(const std::string& field = "",
                       const std::function<void(Packer&)>& value = {}) {
  Packer out;
  out.Map(field.empty() || value ? 14 : 13);
  auto put = [&](const char* key, auto v) {
    if (field == key) {
      if (value) value(out.Key(key));
    } else {
      out.Pair(key, v);
    }
  };
  put("uid", "run-000412");
  put("lane", "train");
  put("crew", "vision");
  put("shape", "sweep");
  put("urgency", "high");
  put("legs", 16);
  put("vcpus", 2.7);
  put("accelerators", 0);
  put("mem_gb", 5.8);
  put("kit", "img-07");
  put("pull_gb", 6.2);
  put("expected_s", 240.0);
  put("waypoint_s", 30.0);
  put("stow_s", 4.0);
  return out.Take();
}

TEST(Submission, ValidOneIsDecoded) {
  auto spec = DecodeSubmission(Submission()).value;
  ASSERT_TRUE(spec);
  EXPECT_EQ(spec->id, "run-000412");
  EXPECT_EQ(spec->tasks, 16u);
  EXPECT_EQ(spec->resources.cpus, 2700000);
  EXPECT_EQ(spec->resources.memory, 5800000);
  EXPECT_EQ(spec->priority, Priority::kHigh);
  EXPECT_FALSE(spec->types);
  EXPECT_FALSE(spec->deadline);
  EXPECT_EQ(spec->checkpoint, Seconds(30));
}

TEST(Submission, EachFieldIsChecked) {
  using Value = std::function<void(Packer&)>;
  Value text = [](Packer& p) { p.Value("x"); };
  Value negative = [](Packer& p) { p.Value(-1); };
  Value nan = [](Packer& p) { p.Value(std::nan("")); };
  Value infinity = [](Packer& p) {
    p.Value(std::numeric_limits<double>::infinity());
  };
  Value huge = [](Packer& p) { p.Value(1e300); };
  Value zero = [](Packer& p) { p.Value(0); };
  Value many = [](Packer& p) { p.Value(100001); };
  Value number = [](Packer& p) { p.Value(7); };
  Value decimal = [](Packer& p) { p.Value(16.5); };
  const std::pair<const char*, Value> bad[] = {{"uid", text},
                                               {"uid", number},
                                               {"uid", {}},
                                               {"lane", {}},
                                               {"lane", number},
                                               {"crew", {}},
                                               {"shape", text},
                                               {"urgency", text},
                                               {"legs", zero},
                                               {"legs", many},
                                               {"legs", negative},
                                               {"legs", decimal},
                                               {"vcpus", negative},
                                               {"vcpus", nan},
                                               {"vcpus", infinity},
                                               {"vcpus", huge},
                                               {"vcpus", text},
                                               {"mem_gb", negative},
                                               {"mem_gb", {}},
                                               {"accelerators", nan},
                                               {"kit", number},
                                               {"pull_gb", negative},
                                               {"expected_s", {}},
                                               {"expected_s", nan},
                                               {"waypoint_s", negative},
                                               {"stow_s", text}};
  for (const auto& [field, value] : bad) {
    auto decoded = DecodeSubmission(Submission(field, value));
    EXPECT_FALSE(decoded.value) << field;
    EXPECT_NE(decoded.error.find(field), std::string::npos) << decoded.error;
  }
}

// A standing job has neither a run time nor a deadline. The fields for run time
// and checkpoints are required all the same.
TEST(Submission, StandingJobsAreChecked) {
  using Fields = std::map<std::string, double>;
  auto submit = [](uint32_t legs, const Fields& times) {
    Packer out;
    out.Map(11 + times.size()).Pair("uid", "run-000412").Pair("lane", "portal");
    out.Pair("crew", "vision").Pair("shape", "standing");
    out.Pair("urgency", "production").Pair("legs", legs).Pair("vcpus", 2.0);
    out.Pair("accelerators", 0).Pair("mem_gb", 6.4).Pair("kit", "img-07");
    out.Pair("pull_gb", 1.0);
    for (const auto& [field, value] : times) out.Pair(field, value);
    return DecodeSubmission(out.Take());
  };
  const Fields good{{"expected_s", 0}, {"waypoint_s", 0}, {"stow_s", 0}};
  auto spec = submit(3, good).value;
  ASSERT_TRUE(spec);
  EXPECT_EQ(spec->shape, Shape::kService);
  EXPECT_EQ(spec->estimate, Duration(0));
  EXPECT_FALSE(submit(0, good).value);
  for (const auto& [field, value] : good) {
    Fields lacking = good;
    lacking.erase(field);
    EXPECT_NE(submit(3, lacking).error.find(field), std::string::npos);
  }
  Fields with_run_time = good;
  with_run_time["expected_s"] = 60;
  EXPECT_EQ(submit(3, with_run_time).error, "expected_s is not 0");
  Fields with_due_time = good;
  with_due_time["due_s"] = 600;
  EXPECT_EQ(submit(3, with_due_time).error,
            "due_s is given for a standing job");
}

TEST(Submission, NullEqualsAbsentAndUnknownIsIgnored) {
  Packer extra;
  std::string body = Submission();
  body[0] = static_cast<char>(0x80 | 15);  // the map holds one more pair
  extra.Raw(body).Key("rigs").Null();
  EXPECT_TRUE(DecodeSubmission(extra.Take()).value);
  Packer unknown;
  unknown.Raw(body).Key("colour").List(1).Value("red");
  EXPECT_TRUE(DecodeSubmission(unknown.Take()).value);
}

TEST(Submission, GarbageAndOtherTypesThanMapsAreRefused) {
  EXPECT_FALSE(DecodeSubmission("").value);
  EXPECT_FALSE(DecodeSubmission("\x93\x01\x02\x03").value);
  EXPECT_FALSE(DecodeSubmission("{\"uid\":1}").value);
  EXPECT_FALSE(DecodeSubmission(Submission() + "x").value);
}

// A header may announce more elements than the body holds, and must not be
// trusted.
TEST(Submission, HugeCountsAndDeepNestingAreRefused) {
  EXPECT_FALSE(DecodeSubmission(std::string("\xdf\xff\xff\xff\xff", 5)).value);
  EXPECT_FALSE(DecodeSubmission(std::string("\xdd\xff\xff\xff\xff", 5)).value);
  EXPECT_FALSE(DecodeSubmission(std::string(60000, '\x91')).value);
  EXPECT_FALSE(DecodeSubmission(std::string(60000, '\x81')).value);
}

TEST(JobIds, OnlyTheRunFormIsValid) {
  EXPECT_TRUE(ValidJobId("run-000412"));
  EXPECT_TRUE(ValidJobId("run-12345678"));
  for (const char* id : {"", "run-", "run-00x", "job-000412", "run-0004/2",
                         "RUN-000412", "run-000000000000000000000000"}) {
    EXPECT_FALSE(ValidJobId(id)) << id;
  }
}

TEST(Heartbeat, IsDecoded) {
  Packer out;
  out.Map(9).Pair("tine", "m-000231").Pair("addr", "10.1.0.232:9000");
  out.Pair("rig", "g8").Pair("yard", "a").Pair("loaners", true);
  out.Pair("shift", 1).Pair("tally", 88).Pair("baton", 41);
  out.Key("legs").List(2);
  out.Map(3).Pair("leg", "run-000412/3").Pair("try", 2);
  out.Pair("status", "running");
  out.Map(4).Pair("leg", "run-000398/0").Pair("try", 1);
  out.Pair("status", "exited").Pair("cause", "done");
  auto heartbeat = DecodeWorkerHeartbeat(out.Take()).value;
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->fencing_token, 41u);
  ASSERT_EQ(heartbeat->tasks.size(), 2u);
  EXPECT_EQ(heartbeat->tasks[0].job, "run-000412");
  EXPECT_EQ(heartbeat->tasks[0].task, 3u);
  EXPECT_EQ(heartbeat->tasks[1].cause, ExitCause::kDone);
}

// ---- Records ----

std::string Packed(const Record& record) {
  Packer out;
  PackRecord(out, record);
  return out.Take();
}

std::optional<Record> Unpacked(const std::string& key,
                               const std::string& body) {
  Message message(body, 10000, 12);
  return ReadRecord(key, message.root());
}

ChunkRecord RandomChunk(std::mt19937& random) {
  ChunkRecord chunk;
  chunk.epoch = random() % 3;
  chunk.next_attempt = 1 + random() % 9;
  for (uint32_t task = 0; task < kMaxBoundPerChunkVersion1; ++task) {
    if (random() % 3 == 0) AddTask(chunk.done, task);
    if (random() % 3 == 0) {
      chunk.assigned.push_back({task, static_cast<uint32_t>(random() % 3),
                                "m-" + std::to_string(random() % 5), "a"});
    }
  }
  return chunk;
}

// Returns the size of the record as JSON, the form in which the state service
// counts.
size_t JsonSize(const std::string& packed) {
  std::ostringstream text;
  text << msgpack::unpack(packed.data(), packed.size()).get();
  return text.str().size();
}

TEST(Records, SegmentsRoundTrip) {
  std::mt19937 random(5);
  for (int round = 0; round < 100; ++round) {
    SegmentFiller filler(100000);
    for (uint32_t n = random() % 5; n > 0; --n) {
      EXPECT_TRUE(
          filler.Add({"run-" + std::to_string(n), n, RandomChunk(random)}));
    }
    std::string packed = Packed(filler.segment());
    EXPECT_LE(JsonSize(packed), filler.size());
    auto back = Unpacked("pf/segments/1/2", packed);
    ASSERT_TRUE(back);
    auto& read = std::get<SegmentRecord>(*back);
    ASSERT_EQ(read.entries.size(), filler.segment().entries.size());
    for (size_t i = 0; i < read.entries.size(); ++i) {
      auto& got = read.entries[i];
      const auto& put = filler.segment().entries[i];
      EXPECT_EQ(got.job, put.job);
      EXPECT_EQ(got.chunk, put.chunk);
      auto order = [](const Assignment& a, const Assignment& b) {
        return a.task < b.task;
      };
      std::sort(got.record.assigned.begin(), got.record.assigned.end(), order);
      EXPECT_EQ(got.record, put.record);
    }
  }
}

TEST(Records, JobsRoundTrip) {
  JobRecord job;
  job.spec = *DecodeSubmission(Submission()).value;
  job.spec.types = std::vector<std::string>{"g8", "g9"};
  job.spec.deadline = Seconds(12.5);
  job.submitted = WallTime(Seconds(1e9));
  job.home = 2;
  job.owners = {{1, 0}, {1, 0}, {0, 2}};
  auto back = Unpacked("pf/jobs/run-000412", Packed(job));
  ASSERT_TRUE(back);
  const auto& read = std::get<JobRecord>(*back);
  EXPECT_EQ(Packed(read), Packed(job));
  EXPECT_EQ(read.spec.types, job.spec.types);
  EXPECT_EQ(read.owners, job.owners);
  EXPECT_EQ(read.spec.deadline, job.spec.deadline);
}

// The largest chunk, with each task on a machine of its own, must fit the
// smallest value limit of the state service (8 KiB in the deployments so far).
TEST(Records, LargestChunkFitsASegment) {
  ChunkRecord chunk;
  for (uint32_t task = 0; task < kMaxBoundPerChunkVersion1; ++task) {
    chunk.assigned.push_back({99000 + task, 1000000 + task,
                              "m-1234" + std::to_string(100 + task),
                              "a-rather-long-zone"});
  }
  SegmentFiller filler(8 * 1024 * 9 / 10);
  EXPECT_TRUE(filler.Add({"run-12345678901234567890", 63, chunk}));
}

// Size bounds computed in advance hold for what is stored: a job's record in
// any state, and a chunk's entry while its tasks end in any order.
TEST(Records, SizesAreBoundedInAdvance) {
  JobRecord job;
  job.spec = *DecodeSubmission(Submission()).value;
  job.spec.tasks = 100000;
  job.spec.resources = {1000000000000, 1000000000000, 1000000000000};
  job.spec.image_gb = 123456.789012345;
  job.spec.estimate = job.spec.checkpoint = job.spec.save = Seconds(999999999);
  job.spec.deadline = Seconds(999999999);
  job.submitted = WallTime(Seconds(1e10));
  job.chunk_size = 1563;
  for (uint32_t chunk = 0; chunk < kMaxChunks; ++chunk) {
    job.owners.push_back({10 + chunk % 7, 10000 + chunk});
  }
  EXPECT_LE(JsonSize(Packed(job)), RecordBytes(job));
  EXPECT_LE(RecordBytes(job), MaxRecordBytes(job.spec));
  job.spec.types = std::vector<std::string>(200, "a-long-type-name");
  EXPECT_GT(RecordBytes(job), 2048u);
  EXPECT_LE(RecordBytes(FinalRecord(job, JobState::kCancelled, 2048)), 2048u);

  std::mt19937 random(7);
  SegmentRecord::Entry entry{"run-000412", 3, {}};
  for (uint32_t task = 0; task < 90; ++task) {
    entry.record.assigned.push_back(
        {2000 + task, 7, "m-" + std::to_string(100000 + task / 9), "zone"});
  }
  const size_t most = MaxEntryBytes(entry);
  while (!entry.record.assigned.empty()) {
    auto ended =
        entry.record.assigned.begin() +
        static_cast<ptrdiff_t>(random() % entry.record.assigned.size());
    AddTask(entry.record.done, ended->task);
    entry.record.assigned.erase(ended);
    SegmentFiller filler(most);
    ASSERT_TRUE(filler.Add(entry));
    ASSERT_LE(JsonSize(Packed(filler.segment())), most);
  }
}

// ---- Random bytes ----

// Returns `body` after one to four random changes, each of which replaces a
// byte, removes up to four bytes or inserts one.
std::string Mutate(std::string body, std::mt19937& random) {
  for (uint32_t n = 1 + random() % 4; n > 0 && !body.empty(); --n) {
    size_t at = random() % body.size();
    switch (random() % 3) {
      case 0:
        body[at] = static_cast<char>(random());
        break;
      case 1:
        body.erase(at, 1 + random() % 4);
        break;
      default:
        body.insert(at, 1, static_cast<char>(random()));
        break;
    }
  }
  return body;
}

TEST(Fuzz, DecodersWithstandMutatedInput) {
  std::mt19937 random(20261201);
  const std::string submission = Submission();
  PeerHeartbeat peer_heartbeat;
  peer_heartbeat.label = "node-0";
  peer_heartbeat.incarnation = "abc";
  peer_heartbeat.misrouted_workers = {1, 2, 3};
  peer_heartbeat.free[1].any = {5, 6};
  peer_heartbeat.echoes = {{"node-1", "0a", SteadyTime(Seconds(9))}};
  peer_heartbeat.cancelled = {"run-1", "run-2"};
  peer_heartbeat.tokens = {{0, 12}};
  const std::string peer = EncodePeerHeartbeat(peer_heartbeat);
  const std::string record =
      Packed(SegmentRecord{{{"run-1", 0, RandomChunk(random)}}});
  Packer heartbeat_out;
  heartbeat_out.Map(6).Pair("tine", "m-1").Pair("rig", "g").Pair("yard", "a");
  heartbeat_out.Pair("shift", 1).Pair("tally", 2).Key("legs").List(1);
  heartbeat_out.Map(3).Pair("leg", "run-1/0").Pair("try", 1);
  heartbeat_out.Pair("status", "running");
  const std::string heartbeat = heartbeat_out.Take();
  int accepted = 0;
  for (int round = 0; round < 20000; ++round) {
    auto spec = DecodeSubmission(Mutate(submission, random));
    if (spec.value) {
      ++accepted;
      EXPECT_TRUE(ValidJobId(spec.value->id));
      EXPECT_GE(spec.value->tasks, 1u);
      EXPECT_LE(spec.value->tasks, 100000u);
      EXPECT_GT(spec.value->resources.cpus, 0);
      EXPECT_GE(spec.value->resources.memory, 0);
    } else {
      EXPECT_FALSE(spec.error.empty());
    }
    DecodeWorkerHeartbeat(Mutate(heartbeat, random));
    std::string bytes = Mutate(peer, random);
    size_t size = PeerHeartbeatSize(bytes);
    if (size != 0 && size <= bytes.size()) {
      DecodePeerHeartbeat(std::string_view(bytes).substr(0, size));
    }
    try {
      Unpacked("pf/segments/0/0", Mutate(record, random));
    } catch (const Malformed&) {
    }
    DecodeState(WatchRead{}, 200, Mutate(record, random));
    DecodeCloud(ListMachines{}, 200, Mutate(heartbeat, random));
  }
  EXPECT_GT(accepted, 0);
}

TEST(PeerHeartbeat, RoundTrips) {
  PeerHeartbeat heartbeat;
  heartbeat.label = "node-1";
  heartbeat.incarnation = "00ff";
  heartbeat.sent = WallTime(Seconds(12));
  heartbeat.state_age = Millis(250);
  heartbeat.misrouted_workers = {0, 4};
  heartbeat.free[1].any = {16000000, 16000000, 8000000};
  heartbeat.free[1].ordinary = {8000000};
  heartbeat.writes = 2.5;
  heartbeat.uptime = Seconds(77);
  heartbeat.revision = 4711;
  heartbeat.sender_time = SteadyTime(Seconds(1234.5));
  heartbeat.echoes = {{"node-0", "0a", SteadyTime(Seconds(9))},
                      {"node-2", "0b", SteadyTime(Seconds(8))}};
  heartbeat.cancelled = {"run-1", "run-22"};
  heartbeat.tokens = {{0, 12}, {3, 1ull << 60}};
  std::string bytes = EncodePeerHeartbeat(heartbeat);
  ASSERT_EQ(PeerHeartbeatSize(bytes), bytes.size());
  auto back = DecodePeerHeartbeat(bytes);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->label, heartbeat.label);
  EXPECT_EQ(back->sent, heartbeat.sent);
  EXPECT_EQ(back->misrouted_workers, heartbeat.misrouted_workers);
  EXPECT_EQ(back->free, heartbeat.free);
  EXPECT_EQ(back->writes, heartbeat.writes);
  EXPECT_EQ(back->uptime, heartbeat.uptime);
  EXPECT_EQ(back->revision, heartbeat.revision);
  EXPECT_EQ(back->sender_time, heartbeat.sender_time);
  ASSERT_EQ(back->echoes.size(), 2u);
  EXPECT_EQ(back->echoes[1].label, "node-2");
  EXPECT_EQ(back->echoes[1].incarnation, "0b");
  EXPECT_EQ(back->echoes[1].sender_time, SteadyTime(Seconds(8)));
  EXPECT_EQ(back->cancelled, heartbeat.cancelled);
  EXPECT_EQ(back->tokens, heartbeat.tokens);
}

TEST(PeerHeartbeat, EmptyInputNeedsEightBytes) {
  EXPECT_EQ(PeerHeartbeatSize({}), 8u);
}

// An unreadable answer counts as no answer: whether the request was carried out
// is unknown.
TEST(StateReplies, UnreadableOneCountsAsNoAnswer) {
  EXPECT_EQ(DecodeState(Transaction{}, 200, "").status, 0);
  EXPECT_EQ(DecodeState(WatchRead{}, 200, "\xc1").status, 0);
  EXPECT_EQ(DecodeState(Renew{}, 200, "").status, 200);
  EXPECT_EQ(DecodeState(Transaction{}, 503, "").status, 503);
}

}  // namespace
}  // namespace pitchfall::wire
