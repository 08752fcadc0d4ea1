// The stored form of the records. Field names are short because the state
// service limits the size of a value and of a transaction in bytes.
#include "wire/records.h"

#include <map>
#include <utility>

#include "core/model/limits.h"

namespace pitchfall::wire {
namespace {

constexpr double kMaxAmount = 1e12;
// The largest number of pages of a snapshot.
constexpr uint64_t kMaxPages = 100000;

void PackResources(Packer& out, const Resources& r) {
  out.List(3).Value(r.cpus).Value(r.gpus).Value(r.memory);
}

int64_t AsInteger(const msgpack::object& value, std::string_view key) {
  if (value.type == msgpack::type::POSITIVE_INTEGER) {
    if (value.via.u64 > INT64_MAX) Fields::Fail(key, "is too large");
    return static_cast<int64_t>(value.via.u64);
  }
  if (value.type == msgpack::type::NEGATIVE_INTEGER) return value.via.i64;
  Fields::Fail(key, "is not an integer");
}

Resources ReadResources(const Fields& in, std::string_view key) {
  const auto& list = in.List(key);
  if (list.size != 3) Fields::Fail(key, "is not a list of three numbers");
  return {AsInteger(list.ptr[0], key), AsInteger(list.ptr[1], key),
          AsInteger(list.ptr[2], key)};
}

Duration ReadDuration(const Fields& in, std::string_view key) {
  return Duration(AsInteger(in.Get(key), key));
}

void PackTexts(Packer& out, const std::vector<std::string>& texts) {
  out.List(texts.size());
  for (const std::string& text : texts) out.Value(text);
}

std::vector<std::string> ReadTexts(const Fields& in, std::string_view key) {
  std::vector<std::string> texts;
  const auto& list = in.List(key);
  for (uint32_t i = 0; i < list.size; ++i) {
    texts.push_back(Fields::AsText(list.ptr[i], key));
  }
  return texts;
}

void Pack(Packer& out, const JobRecord& job) {
  const JobSpec& spec = job.spec;
  out.Map(25);
  out.Pair("id", spec.id).Pair("class", spec.job_class).Pair("team", spec.team);
  out.Pair("prio", static_cast<int>(spec.priority)).Pair("tasks", spec.tasks);
  PackResources(out.Key("need"), spec.resources);
  out.Pair("image", spec.image).Pair("image_gb", spec.image_gb);
  out.Key("types");
  if (spec.types) {
    PackTexts(out, *spec.types);
  } else {
    out.Null();
  }
  out.Pair("zone", spec.zone).Pair("one", spec.one_zone);
  out.Pair("spread", spec.spread).Pair("spot", spec.spot);
  out.Pair("est", spec.estimate.count());
  out.Pair("ckpt", spec.checkpoint.count()).Pair("save", spec.save.count());
  out.Key("due");
  if (spec.deadline) {
    out.Value(spec.deadline->count());
  } else {
    out.Null();
  }
  out.Pair("state", static_cast<int>(job.state));
  out.Pair("at", job.submitted.time_since_epoch().count());
  out.Pair("chunk", job.chunk_size).Pair("home", job.home);
  out.Pair("over", job.spread_over).Pair("v", 1);
  out.Pair("shape", static_cast<int>(spec.shape));
  // Consecutive chunks with the same owner are stored as one run of three
  // numbers: count, partition, epoch.
  size_t runs = 0;
  const auto& owners = job.owners;
  for (size_t i = 0; i < owners.size(); ++i) {
    if (i == 0 || owners[i] != owners[i - 1]) ++runs;
  }
  out.Key("owners").List(runs * 3);
  for (size_t i = 0; i < owners.size();) {
    size_t end = i + 1;
    while (end < owners.size() && owners[end] == owners[i]) ++end;
    out.Value(end - i).Value(owners[i].partition).Value(owners[i].epoch);
    i = end;
  }
}

JobRecord ReadJob(const Fields& in) {
  JobRecord job;
  JobSpec& spec = job.spec;
  spec.id = in.Text("id");
  spec.job_class = in.Text("class");
  spec.team = in.Text("team");
  spec.priority = static_cast<Priority>(in.Count("prio", 3));
  spec.tasks = static_cast<uint32_t>(in.Count("tasks", UINT32_MAX));
  spec.shape = static_cast<Shape>(in.Count("shape", 2));
  spec.resources = ReadResources(in, "need");
  spec.image = in.Text("image");
  spec.image_gb = in.Amount("image_gb", kMaxAmount);
  if (in.Find("types") != nullptr) spec.types = ReadTexts(in, "types");
  spec.zone = in.Text("zone");
  spec.one_zone = in.Flag("one");
  spec.spread = in.Flag("spread");
  spec.spot = in.Flag("spot");
  spec.estimate = ReadDuration(in, "est");
  spec.checkpoint = ReadDuration(in, "ckpt");
  spec.save = ReadDuration(in, "save");
  if (in.Find("due") != nullptr) spec.deadline = ReadDuration(in, "due");
  job.state = static_cast<JobState>(in.Count("state", 2));
  job.submitted = WallTime(ReadDuration(in, "at"));
  job.chunk_size = static_cast<uint32_t>(in.Count("chunk", UINT32_MAX));
  if (job.chunk_size == 0) Fields::Fail("chunk", "is 0");
  job.home = static_cast<uint32_t>(in.Count("home", UINT32_MAX));
  job.spread_over = static_cast<uint32_t>(in.Count("over", UINT32_MAX));
  const auto& runs = in.List("owners");
  if (runs.size % 3 != 0) Fields::Fail("owners", "is not a list of triples");
  for (uint32_t i = 0; i < runs.size; i += 3) {
    uint64_t count = Fields::AsCount(runs.ptr[i], "owners", kMaxChunks);
    ChunkOwner owner;
    owner.partition = static_cast<uint32_t>(
        Fields::AsCount(runs.ptr[i + 1], "owners", UINT32_MAX));
    owner.epoch = static_cast<uint32_t>(
        Fields::AsCount(runs.ptr[i + 2], "owners", UINT32_MAX));
    if (job.owners.size() + count > kMaxChunks) {
      Fields::Fail("owners", "names too many chunks");
    }
    job.owners.insert(job.owners.end(), count, owner);
  }
  return job;
}

void Pack(Packer& out, const OpenJobsSnapshot& snapshot) {
  out.Map(3).Pair("at", snapshot.revision).Pair("set", snapshot.set);
  out.Pair("pages", snapshot.page_count);
}
OpenJobsSnapshot ReadSnapshot(const Fields& in) {
  OpenJobsSnapshot snapshot;
  snapshot.revision = in.Count("at");
  snapshot.set = static_cast<uint32_t>(in.Count("set", 1));
  snapshot.page_count = static_cast<uint32_t>(in.Count("pages", kMaxPages));
  return snapshot;
}

void Pack(Packer& out, const OpenJobsPage& page) {
  out.Map(2).Pair("at", page.revision);
  out.Key("jobs").List(page.jobs.size());
  for (const OpenJobsPage::Entry& job : page.jobs) {
    out.Map(2).Pair("stamp", job.mod_revision);
    Pack(out.Key("job"), job.record);
  }
}
OpenJobsPage ReadSnapshotPage(const Fields& in) {
  OpenJobsPage page;
  page.revision = in.Count("at");
  const auto& list = in.List("jobs");
  for (uint32_t i = 0; i < list.size; ++i) {
    Fields row(list.ptr[i]);
    page.jobs.push_back({ReadJob(Fields(row.Get("job"))), row.Count("stamp")});
  }
  return page;
}

void PackRanges(Packer& out, const TaskSet& tasks) {
  for (const auto& range : tasks) {
    out.Value(boost::icl::first(range)).Value(boost::icl::last(range));
  }
}

using MachineAndZone = std::pair<std::string, std::string>;

// Assignments with the same machine and attempt number form one group, stored
// as ranges of tasks. A group refers to its machine by index in the segment's
// `table`.
void PackEntry(Packer& out, const SegmentRecord::Entry& entry,
               const std::map<MachineAndZone, uint32_t>& table) {
  const ChunkRecord& record = entry.record;
  std::map<std::pair<uint32_t, uint32_t>, TaskSet> groups;
  for (const Assignment& a : record.assigned) {
    AddTask(groups[{table.at({a.machine, a.zone}), a.attempt}], a.task);
  }
  out.List(6).Value(entry.job).Value(entry.chunk).Value(record.epoch);
  out.Value(record.next_attempt);
  out.List(record.done.iterative_size() * 2);
  PackRanges(out, record.done);
  out.List(groups.size());
  for (const auto& [group, tasks] : groups) {
    out.List(2 + tasks.iterative_size() * 2);
    out.Value(group.first).Value(group.second);
    PackRanges(out, tasks);
  }
}

void Pack(Packer& out, const SegmentRecord& segment) {
  std::map<MachineAndZone, uint32_t> table;
  for (const auto& entry : segment.entries) {
    for (const Assignment& a : entry.record.assigned) {
      table.emplace(MachineAndZone{a.machine, a.zone}, 0);
    }
  }
  uint32_t count = 0;
  for (auto& [machine, index] : table) index = count++;
  out.Map(2).Key("on").List(table.size() * 2);
  for (const auto& [machine, index] : table) {
    out.Value(machine.first).Value(machine.second);
  }
  out.Key("chunks").List(segment.entries.size());
  for (const auto& entry : segment.entries) PackEntry(out, entry, table);
}

// Reads the ranges from index `from` of the list on. A range is stored as its
// first and last task, both included.
TaskSet ReadRanges(const msgpack::object_array& list, uint32_t from,
                   std::string_view key) {
  TaskSet tasks;
  if ((list.size - from) % 2 != 0)
    Fields::Fail(key, "has a range without an end");
  for (uint32_t i = from; i + 1 < list.size; i += 2) {
    auto first = Fields::AsCount(list.ptr[i], key, UINT32_MAX - 1);
    auto last = Fields::AsCount(list.ptr[i + 1], key, UINT32_MAX - 1);
    tasks += TaskSet::interval_type::right_open(
        static_cast<uint32_t>(first), static_cast<uint32_t>(last + 1));
  }
  return tasks;
}

// Throws Malformed unless the value is a list of at least `min_size` items.
const msgpack::object_array& AsList(const msgpack::object& value,
                                    std::string_view key, uint32_t min_size) {
  if (value.type != msgpack::type::ARRAY || value.via.array.size < min_size) {
    Fields::Fail(key, "is not a list or has too few items");
  }
  return value.via.array;
}

uint32_t AsNumber(const msgpack::object& value, std::string_view key) {
  return static_cast<uint32_t>(Fields::AsCount(value, key, UINT32_MAX));
}

SegmentRecord::Entry ReadEntry(const msgpack::object& value,
                               const std::vector<MachineAndZone>& table) {
  constexpr std::string_view kKey = "chunks";
  const auto& list = AsList(value, kKey, 6);
  SegmentRecord::Entry entry;
  entry.job = Fields::AsText(list.ptr[0], kKey);
  entry.chunk = AsNumber(list.ptr[1], kKey);
  ChunkRecord& record = entry.record;
  record.epoch = AsNumber(list.ptr[2], kKey);
  record.next_attempt = AsNumber(list.ptr[3], kKey);
  record.done = ReadRanges(AsList(list.ptr[4], kKey, 0), 0, kKey);
  const auto& groups = AsList(list.ptr[5], kKey, 0);
  for (uint32_t i = 0; i < groups.size; ++i) {
    const auto& group = AsList(groups.ptr[i], kKey, 2);
    uint64_t machine = AsNumber(group.ptr[0], kKey);
    if (machine >= table.size())
      Fields::Fail(kKey, "refers to a machine that is not in the table");
    uint32_t attempt = AsNumber(group.ptr[1], kKey);
    TaskSet tasks = ReadRanges(group, 2, kKey);
    if (record.assigned.size() + boost::icl::cardinality(tasks) >
        kMaxBoundPerChunk) {
      Fields::Fail(kKey, "assigns too many tasks");
    }
    for (const auto& range : tasks) {
      for (uint32_t t = boost::icl::first(range); t <= boost::icl::last(range);
           ++t) {
        record.assigned.push_back(
            {t, attempt, table[machine].first, table[machine].second});
      }
    }
  }
  return entry;
}

SegmentRecord ReadSegment(const Fields& in) {
  const auto& machines = in.List("on");
  if (machines.size % 2 != 0)
    Fields::Fail("on", "has a machine without a zone");
  std::vector<MachineAndZone> table;
  for (uint32_t i = 0; i < machines.size; i += 2) {
    table.push_back({Fields::AsText(machines.ptr[i], "on"),
                     Fields::AsText(machines.ptr[i + 1], "on")});
  }
  SegmentRecord segment;
  const auto& chunks = in.List("chunks");
  for (uint32_t i = 0; i < chunks.size; ++i) {
    segment.entries.push_back(ReadEntry(chunks.ptr[i], table));
  }
  return segment;
}

void Pack(Packer& out, const NodeRecord& node) {
  out.Map(3).Pair("label", node.label).Pair("life", node.incarnation);
  out.Pair("version", node.version);
}
NodeRecord ReadNode(const Fields& in) {
  return {in.Text("label"), in.Text("life"),
          static_cast<uint32_t>(in.CountOr("version", kFirstVersion))};
}

void Pack(Packer& out, const PartitionRecord& owner) {
  out.Map(3).Pair("label", owner.label).Pair("life", owner.incarnation);
  out.Pair("shun", owner.unreachable_owner);
}
PartitionRecord ReadPartition(const Fields& in) {
  return {in.Text("label"), in.Text("life"), in.TextOr("shun", "")};
}

void Pack(Packer& out, const InstanceRequestRecord& instance_request) {
  out.Map(6)
      .Pair("type", instance_request.type)
      .Pair("zone", instance_request.zone);
  out.Pair("spot", instance_request.spot).Pair("count", instance_request.count);
  out.Pair("at", instance_request.asked.time_since_epoch().count());
  PackTexts(out.Key("got"), instance_request.machines);
}
InstanceRequestRecord ReadInstanceRequest(const Fields& in) {
  InstanceRequestRecord instance_request;
  instance_request.type = in.Text("type");
  instance_request.zone = in.Text("zone");
  instance_request.spot = in.Flag("spot");
  instance_request.count = static_cast<uint32_t>(in.Count("count", UINT32_MAX));
  instance_request.asked = WallTime(ReadDuration(in, "at"));
  instance_request.machines = ReadTexts(in, "got");
  return instance_request;
}

void Pack(Packer& out, const TypesRecord& types) {
  out.Map(1).Key("types").List(types.types.size());
  for (const MachineType& type : types.types) {
    out.Map(8).Pair("name", type.name);
    PackResources(out.Key("size"), type.capacity);
    out.Pair("cache", type.cache_gb).Pair("fetch", type.fetch_gb_per_s);
    out.Pair("price", type.price).Pair("spot", type.spot_price);
    out.Pair("boot", type.boot.count());
    PackTexts(out.Key("zones"), type.zones);
  }
}
TypesRecord ReadTypes(const Fields& in) {
  TypesRecord types;
  const auto& list = in.List("types");
  for (uint32_t i = 0; i < list.size; ++i) {
    Fields row(list.ptr[i]);
    MachineType type;
    type.name = row.Text("name");
    type.capacity = ReadResources(row, "size");
    type.cache_gb = row.Amount("cache", kMaxAmount);
    type.fetch_gb_per_s = row.Amount("fetch", kMaxAmount);
    type.price = row.Amount("price", kMaxAmount);
    type.spot_price = row.Amount("spot", kMaxAmount);
    type.boot = ReadDuration(row, "boot");
    type.zones = ReadTexts(row, "zones");
    types.types.push_back(std::move(type));
  }
  return types;
}

void Pack(Packer& out, const TeamRecord& team) {
  out.Map(1).Key("parts").List(team.shares.size());
  for (const auto& share : team.shares) {
    out.List(2).Value(share.cpus).Value(share.gpus);
  }
}
TeamRecord ReadTeam(const Fields& in) {
  TeamRecord team;
  const auto& list = in.List("parts");
  for (uint32_t i = 0; i < list.size; ++i) {
    const msgpack::object& row = list.ptr[i];
    if (row.type != msgpack::type::ARRAY || row.via.array.size != 2) {
      Fields::Fail("parts", "is not a list of pairs");
    }
    team.shares.push_back({AsInteger(row.via.array.ptr[0], "parts"),
                           AsInteger(row.via.array.ptr[1], "parts")});
  }
  return team;
}

void Pack(Packer& out, const LoadRecord& load) {
  out.Map(7).Pair("period", load.period);
  PackResources(out.Key("room"), load.requested);
  PackResources(out.Key("used"), load.used);
  out.Pair("waiting", load.waiting).Pair("started", load.started);
  out.Pair("waited", load.waited.count());
  PackTexts(out.Key("failing"), load.failing);
}
LoadRecord ReadLoad(const Fields& in) {
  LoadRecord load;
  load.period = in.Count("period");
  load.requested = ReadResources(in, "room");
  load.used = ReadResources(in, "used");
  load.waiting = static_cast<uint32_t>(in.Count("waiting", UINT32_MAX));
  load.started = static_cast<uint32_t>(in.Count("started", UINT32_MAX));
  load.waited = ReadDuration(in, "waited");
  load.failing = ReadTexts(in, "failing");
  return load;
}

void Pack(Packer& out, const SizingRecord& sizing) {
  out.Map(5).Pair("period", sizing.period).Pair("target", sizing.target);
  out.Pair("count", sizing.count).Pair("reason", sizing.reason);
  out.Key("history").List(sizing.history.size());
  for (const auto& point : sizing.history) {
    out.Map(3);
    PackResources(out.Key("room"), point.requested);
    out.Pair("u", point.utilisation);
    out.Key("d");
    if (point.delay < 0) {
      out.Null();
    } else {
      out.Value(point.delay);
    }
  }
}
SizingRecord ReadSizing(const Fields& in) {
  SizingRecord sizing;
  sizing.period = in.Count("period");
  sizing.target = static_cast<uint32_t>(in.Count("target", UINT32_MAX));
  sizing.count = static_cast<uint32_t>(in.Count("count", UINT32_MAX));
  sizing.reason = in.Text("reason");
  const auto& list = in.List("history");
  for (uint32_t i = 0; i < list.size; ++i) {
    Fields row(list.ptr[i]);
    SizingRecord::Point point;
    point.requested = ReadResources(row, "room");
    point.utilisation = row.Amount("u", kMaxAmount);
    point.delay = row.AmountOr("d", kMaxAmount, -1);
    sizing.history.push_back(point);
  }
  return sizing;
}

void Pack(Packer& out, const DrainRecord& drain) {
  PackTexts(out.Map(1).Key("machines"), drain.machines);
}
DrainRecord ReadDrain(const Fields& in) { return {ReadTexts(in, "machines")}; }

}  // namespace

void PackRecord(Packer& out, const Record& record) {
  std::visit([&](const auto& r) { Pack(out, r); }, record);
}

bool IsFinalJob(const msgpack::object& value) {
  if (value.type != msgpack::type::MAP) return false;
  const msgpack::object* state = Fields(value).Find("state");
  if (state == nullptr || state->type != msgpack::type::POSITIVE_INTEGER) {
    return false;
  }
  return state->via.u64 == static_cast<uint64_t>(JobState::kDone) ||
         state->via.u64 == static_cast<uint64_t>(JobState::kCancelled);
}

std::optional<Record> ReadRecord(std::string_view key,
                                 const msgpack::object& value) {
  Fields in(value);
  if (key.starts_with(keys::kJobs)) return ReadJob(in);
  if (key.starts_with(keys::kSegments)) return ReadSegment(in);
  if (key.starts_with(keys::kNodes)) return ReadNode(in);
  if (key.starts_with(keys::kPartitions)) return ReadPartition(in);
  if (key.starts_with(keys::kInstanceRequests)) return ReadInstanceRequest(in);
  if (key.starts_with(keys::kTeams)) return ReadTeam(in);
  if (key == keys::kTypes) return ReadTypes(in);
  if (key == keys::kDrain) return ReadDrain(in);
  if (key.starts_with(keys::kLoads)) return ReadLoad(in);
  if (key == keys::kSizing) return ReadSizing(in);
  if (key == keys::kOpenJobsSnapshot) return ReadSnapshot(in);
  if (key.starts_with(keys::kOpenJobsPages)) return ReadSnapshotPage(in);
  return std::nullopt;
}

}  // namespace pitchfall::wire
