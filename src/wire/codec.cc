#include "wire/codec.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/model/http_status.h"
#include "core/model/limits.h"
#include "wire/pack.h"
#include "wire/records.h"
#include "wire/row_reader.h"

namespace pitchfall::wire {
namespace {

// Bounds on the items of a list or map and on the nesting of a message. A few
// bytes of MessagePack can announce billions of items, and the decoder
// allocates memory for them. Users and workers are not trusted; the platform's
// services send long lists.
constexpr size_t kMaxClientItems = 8192;
constexpr size_t kMaxServiceItems = 200000;
constexpr size_t kMaxDepth = 16;

// Upper bounds on numbers and texts in messages; larger ones are refused.
constexpr double kMaxAmount = 1e6;
constexpr double kMaxSeconds = 1e9;
constexpr uint64_t kMaxTasks = 100000;
constexpr size_t kMaxNameBytes = 200;

constexpr std::string_view kJobIdPrefix = "run-";

// An enumerator and its name on the wire.
template <typename Enum>
struct EnumName {
  std::string_view text;
  Enum value;
};

constexpr EnumName<Priority> kPriorityNames[] = {
    {"production", Priority::kProduction},
    {"high", Priority::kHigh},
    {"standard", Priority::kNormal},
    {"best_effort", Priority::kLow}};
constexpr EnumName<Shape> kShapeNames[] = {{"sweep", Shape::kArray},
                                           {"gang", Shape::kGang},
                                           {"standing", Shape::kService}};
constexpr EnumName<TaskState> kTaskStateNames[] = {
    {"pulling", TaskState::kFetching},
    {"waiting", TaskState::kFetching},
    {"running", TaskState::kRunning},
    {"flushing", TaskState::kSaving},
    {"exited", TaskState::kExited}};
constexpr EnumName<ExitCause> kExitCauseNames[] = {
    {"done", ExitCause::kDone},   {"halted", ExitCause::kStopped},
    {"error", ExitCause::kError}, {"no_room", ExitCause::kNoCapacity},
    {"busy", ExitCause::kBusy},   {"no_such", ExitCause::kUnknownTask}};
constexpr EnumName<MachineStatus> kMachineStatusNames[] = {
    {"starting", MachineStatus::kBooting},
    {"running", MachineStatus::kRunning},
    {"failed", MachineStatus::kFailed}};

template <typename Enum, size_t n>
Enum ReadEnum(const Fields& in, std::string_view key,
              const EnumName<Enum> (&names)[n]) {
  std::string text = in.Text(key);
  for (const auto& name : names) {
    if (name.text == text) return name.value;
  }
  Fields::Fail(key, "has an unknown value");
}

std::string ReadName(const Fields& in, std::string_view key) {
  std::string text = in.Text(key);
  if (text.empty() || text.size() > kMaxNameBytes) {
    Fields::Fail(key, "is empty or too long");
  }
  return text;
}

// Splits the id of a task, such as "run-12/3", into its job and its number.
void ReadTaskId(std::string_view text, std::string& job, uint32_t& task) {
  size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) Fields::Fail("leg", "is not JOB/NUMBER");
  const char* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data() + slash + 1, end, task);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    Fields::Fail("leg", "is not JOB/NUMBER");
  }
  job = text.substr(0, slash);
}

std::string TaskId(const WorkerCommand& command) {
  return command.job + "/" + std::to_string(command.task);
}

Duration ReadSeconds(const Fields& in, std::string_view key) {
  return Seconds(in.Amount(key, kMaxSeconds));
}

// A service runs until it is cancelled, so it has neither a run time nor a
// deadline. Throws Malformed if it names one.
void RequireEndless(const JobSpec& spec) {
  if (spec.estimate != Duration(0)) Fields::Fail("expected_s", "is not 0");
  if (spec.deadline) Fields::Fail("due_s", "is given for a standing job");
}

JobSpec ReadSubmission(const Fields& in) {
  JobSpec spec;
  spec.id = in.Text("uid");
  if (!ValidJobId(spec.id))
    Fields::Fail("uid", "is not \"run-\" followed by 1 to 20 digits");
  spec.job_class = ReadName(in, "lane");
  spec.team = ReadName(in, "crew");
  spec.shape = ReadEnum(in, "shape", kShapeNames);
  spec.priority = ReadEnum(in, "urgency", kPriorityNames);
  spec.tasks = static_cast<uint32_t>(in.Count("legs", kMaxTasks));
  if (spec.tasks == 0) Fields::Fail("legs", "is 0");
  spec.resources = Resources::FromDecimals(
      in.Amount("vcpus", kMaxAmount), in.Amount("accelerators", kMaxAmount),
      in.Amount("mem_gb", kMaxAmount));
  if (spec.resources.cpus == 0) Fields::Fail("vcpus", "is 0");
  spec.image = ReadName(in, "kit");
  spec.image_gb = in.Amount("pull_gb", kMaxAmount);
  if (in.Find("rigs") != nullptr) {
    const auto& list = in.List("rigs");
    spec.types.emplace();
    for (uint32_t i = 0; i < list.size; ++i) {
      spec.types->push_back(Fields::AsText(list.ptr[i], "rigs"));
    }
  }
  spec.zone = in.TextOr("yard", "");
  spec.one_zone = in.FlagOr("together", false);
  spec.spread = in.FlagOr("scatter", false);
  spec.spot = in.FlagOr("loaners", false);
  spec.estimate = ReadSeconds(in, "expected_s");
  spec.checkpoint = ReadSeconds(in, "waypoint_s");
  spec.save = ReadSeconds(in, "stow_s");
  if (spec.shape == Shape::kGang && spec.tasks > kMaxBoundPerChunkVersion1) {
    Fields::Fail("legs", "is too large for a gang");
  }
  if (in.Find("due_s") != nullptr) spec.deadline = ReadSeconds(in, "due_s");
  if (spec.shape == Shape::kService) RequireEndless(spec);
  return spec;
}

WorkerHeartbeat ReadWorkerHeartbeat(const Fields& in) {
  WorkerHeartbeat heartbeat;
  heartbeat.machine = ReadName(in, "tine");
  heartbeat.address = in.TextOr("addr", "");
  heartbeat.type = ReadName(in, "rig");
  heartbeat.zone = ReadName(in, "yard");
  heartbeat.spot = in.FlagOr("loaners", false);
  heartbeat.agent_epoch = in.Count("shift");
  heartbeat.seq = in.Count("tally");
  heartbeat.fencing_token = in.CountOr("baton", 0);
  if (in.Find("recall_s") != nullptr) {
    heartbeat.preemption_notice = ReadSeconds(in, "recall_s");
  }
  if (in.Find("legs") == nullptr) return heartbeat;
  const auto& list = in.List("legs");
  for (uint32_t i = 0; i < list.size; ++i) {
    Fields row(list.ptr[i]);
    ReportedTask task;
    ReadTaskId(row.Text("leg"), task.job, task.task);
    task.attempt = static_cast<uint32_t>(row.Count("try", UINT32_MAX));
    task.state = ReadEnum(row, "status", kTaskStateNames);
    if (task.state == TaskState::kExited) {
      task.cause = ReadEnum(row, "cause", kExitCauseNames);
    }
    heartbeat.tasks.push_back(std::move(task));
  }
  return heartbeat;
}

// Decodes a message of a user or worker with `read`, which gets its fields.
template <typename T, typename Read>
Decoded<T> DecodeClientMessage(std::string_view body, Read read) {
  try {
    Message message(body, kMaxClientItems, kMaxDepth);
    return {read(Fields(message.root())), ""};
  } catch (const Malformed& problem) {
    return {std::nullopt, problem.what()};
  }
}

void PackCommands(Packer& out, const std::vector<WorkerCommand>& commands) {
  out.Key("orders").List(commands.size());
  for (const WorkerCommand& command : commands) {
    bool stop = command.op == WorkerCommand::Op::kStop;
    out.Map(stop ? 4 : 3);
    out.Pair("verb", command.op == WorkerCommand::Op::kStart  ? "launch"
                     : command.op == WorkerCommand::Op::kStop ? "kill"
                                                              : "forget");
    out.Pair("leg", TaskId(command)).Pair("try", command.attempt);
    if (stop) out.Pair("wind_down_s", ToSeconds(command.grace));
  }
}

std::string_view StatusName(JobAnswer::Status status) {
  switch (status) {
    case JobAnswer::Status::kQueued:
      return "queued";
    case JobAnswer::Status::kRunning:
      return "running";
    case JobAnswer::Status::kDone:
      return "done";
    case JobAnswer::Status::kCancelled:
      return "withdrawn";
  }
  return "queued";
}

void PackBody(Packer& out, const std::monostate&) { out.Map(0); }
void PackBody(Packer& out, const JobAnswer& answer) {
  out.Map(answer.counts ? 4 : 2).Pair("uid", answer.id);
  out.Pair("status", StatusName(answer.status));
  if (answer.counts) {
    out.Pair("done", answer.done).Pair("running", answer.running);
  }
}
void PackBody(Packer& out, const WorkerCommands& commands) {
  out.Map(2).Pair("baton", commands.fencing_token);
  PackCommands(out, commands.commands);
}
void PackBody(Packer& out, const Redirect& redirect) {
  if (redirect.owner.empty()) {
    out.Map(0);
  } else {
    out.Map(1).Pair("foreman", redirect.owner);
  }
}
void PackBody(Packer& out, const Problem& problem) {
  out.Map(1).Pair("error", problem.message);
}

// ---- State service ----

std::string EncodeTransaction(const Transaction& txn) {
  Packer out;
  out.Map(2).Key("if").List(txn.conditions.size());
  for (const Condition& condition : txn.conditions) {
    out.Map(2).Pair("key", condition.key).Pair("stamp", condition.mod_revision);
  }
  out.Key("writes").List(txn.writes.size());
  for (const Write& write : txn.writes) {
    if (!write.value) {
      out.Map(1).Pair("drop", write.key);
      continue;
    }
    out.Map(write.lease != 0 ? 3 : 2).Pair("put", write.key);
    PackRecord(out.Key("v"), *write.value);
    if (write.lease != 0) out.Pair("hold", write.lease);
  }
  return out.Take();
}

// Reads the change of one key. A row without a value is a deletion. A value
// that this version cannot read, or under a key of no known kind, is marked as
// unreadable.
Change ReadChange(const Fields& row, std::string_view key_field) {
  Change change;
  change.key = row.Text(key_field);
  change.mod_revision = row.Count("stamp");
  if (const msgpack::object* value = row.Find("v")) {
    try {
      change.value = ReadRecord(change.key, *value);
    } catch (const Malformed&) {
      change.unreadable = true;
    }
    if (!change.value) change.unreadable = true;
  }
  return change;
}

// Each overload of ReadInto fills in what the response to one kind of request
// holds; `reply.status` is already set.

void ReadInto(StateReply& reply, const Transaction&, const Fields& in) {
  reply.revision = reply.status == 200 ? in.Count("ledger") : 0;
  if (in.Find("failed") != nullptr) {
    const auto& list = in.List("failed");
    for (uint32_t i = 0; i < list.size; ++i) {
      reply.failed_keys.push_back(Fields::AsText(list.ptr[i], "failed"));
    }
  }
  reply.no_lease =
      reply.status == 400 && in.TextOr("error", "") == "no such lease";
}
void ReadInto(StateReply& reply, const Grant&, const Fields& in) {
  reply.lease = in.CountOr("hold", 0);
}
void ReadInto(StateReply&, const Renew&, const Fields&) {}  // no content
void ReadInto(StateReply& reply, const KeyRead& request, const Fields& in) {
  if (reply.status == http_status::kNotFound) {
    reply.revision = in.Count("ledger");
    return;
  }
  if (in.Text("key") != request.key) Fields::Fail("key", "is another one");
  reply.changes.push_back(ReadChange(in, "key"));
  reply.revision = reply.changes.back().mod_revision;
}

// The fields of a reply besides its rows.
struct RowsFooter {
  std::optional<uint64_t> revision;
  std::optional<bool> more;
};

// Calls `on_row` for each row of a reply.
RowsFooter ReadRows(std::string_view body, std::string_view rows_key,
                    const RowReader::RowHandler& on_row) {
  RowsFooter footer;
  auto on_field = [&](std::string_view key, const msgpack::object& value) {
    if (key == "ledger") {
      footer.revision = Fields::AsCount(value, key, UINT64_MAX);
    } else if (key == "has_next") {
      footer.more = Fields::AsFlag(value, key);
    }
  };
  RowReader(body, {kMaxServiceItems, kMaxDepth})
      .Read(rows_key, on_row, on_field);
  if (!footer.revision) Fields::Fail("ledger", "is missing");
  return footer;
}

// Whether the request wants the row left out.
bool IsUnwanted(const ListRead& request, std::string_view key,
                const Fields& row) {
  if (!request.final_jobs_wanted || !key.starts_with(keys::kJobs)) return false;
  key.remove_prefix(std::string_view(keys::kJobs).size());
  return IsFinalJob(row.Get("v")) &&
         !request.final_jobs_wanted->contains(std::string(key));
}

void ReadRowsInto(StateReply& reply, const WatchRead&, std::string_view body) {
  auto on_row = [&reply](const Fields& row) {
    bool put = row.Find("put") != nullptr;
    std::string_view key_field = put ? "put" : "drop";
    // Only a listing uses these.
    bool page = row.Text(key_field).starts_with(keys::kOpenJobsPages);
    if (!page) reply.changes.push_back(ReadChange(row, key_field));
  };
  reply.revision = *ReadRows(body, "log", on_row).revision;
}
void ReadRowsInto(StateReply& reply, const ListRead& request,
                  std::string_view body) {
  auto on_row = [&](const Fields& row) {
    reply.last_key = row.Text("key");
    if (IsUnwanted(request, reply.last_key, row)) return;
    reply.changes.push_back(ReadChange(row, "key"));
  };
  RowsFooter footer = ReadRows(body, "rows", on_row);
  if (!footer.more) Fields::Fail("has_next", "is missing");
  reply.revision = *footer.revision;
  reply.more = *footer.more;
}

// The other replies have few items.
template <typename Request>
void ReadBody(StateReply& reply, const Request& request,
              std::string_view body) {
  Message message(body, kMaxServiceItems, kMaxDepth);
  Fields in(message.root());
  ReadInto(reply, request, in);
}
void ReadBody(StateReply& reply, const WatchRead& request,
              std::string_view body) {
  if (reply.status == http_status::kOk) ReadRowsInto(reply, request, body);
}
void ReadBody(StateReply& reply, const ListRead& request,
              std::string_view body) {
  if (reply.status == http_status::kOk) ReadRowsInto(reply, request, body);
}

// Whether the body of a reply with this status is read. A 404 says that a key
// does not exist only if the service's own body comes with it.
bool HasStateBody(const StateRequest& request, int status) {
  if (status == http_status::kNotFound) {
    return std::holds_alternative<KeyRead>(request);
  }
  return status == http_status::kOk || status == http_status::kConflict ||
         status == http_status::kBadRequest;
}

// ---- Cloud ----

MachineType ReadType(const Fields& in) {
  MachineType type;
  type.name = ReadName(in, "name");
  type.capacity =
      Resources::FromDecimals(in.Amount("vcpus", kMaxAmount),
                              in.AmountOr("accelerators", kMaxAmount, 0),
                              in.Amount("mem_gb", kMaxAmount));
  type.cache_gb = in.AmountOr("local_gb", kMaxAmount, 0);
  type.fetch_gb_per_s = in.AmountOr("fetch_gb_per_s", kMaxAmount, 0);
  type.price = in.Amount("hourly", kMaxAmount);
  type.spot_price = in.AmountOr("market_price", kMaxAmount, type.price);
  type.boot = ReadSeconds(in, "startup_s");
  const auto& zones = in.List("yards");
  for (uint32_t i = 0; i < zones.size; ++i) {
    type.zones.push_back(Fields::AsText(zones.ptr[i], "yards"));
  }
  return type;
}

ListedMachine ReadListed(const Fields& in) {
  ListedMachine machine;
  machine.name = ReadName(in, "uid");
  machine.address = in.TextOr("addr", "");
  machine.type = ReadName(in, "rig");
  machine.zone = ReadName(in, "yard");
  machine.spot = in.FlagOr("loaners", false);
  machine.status = ReadEnum(in, "status", kMachineStatusNames);
  machine.age = ReadSeconds(in, "age_s");
  return machine;
}

void ReadInto(CloudReply& reply, const GetTypes&, const Fields& in) {
  const auto& list = in.List("rigs");
  for (uint32_t i = 0; i < list.size; ++i) {
    reply.types.push_back(ReadType(Fields(list.ptr[i])));
  }
}
void ReadInto(CloudReply& reply, const CreateInstances&, const Fields& in) {
  if (reply.status != 200) {
    reply.no_capacity = in.TextOr("error", "") == "no capacity";
    return;
  }
  const auto& list = in.List("tines");
  for (uint32_t i = 0; i < list.size; ++i) {
    reply.created.push_back(Fields::AsText(list.ptr[i], "tines"));
  }
}
void ReadInto(CloudReply&, const DeleteMachines&, const Fields&) {}
void ReadInto(CloudReply& reply, const ListMachines&, const Fields& in) {
  const auto& list = in.List("tines");
  for (uint32_t i = 0; i < list.size; ++i) {
    reply.listed.push_back(ReadListed(Fields(list.ptr[i])));
  }
  reply.more = in.FlagOr("has_next", false);
}

}  // namespace

bool ValidJobId(std::string_view id) {
  if (!id.starts_with(kJobIdPrefix)) return false;
  id.remove_prefix(kJobIdPrefix.size());
  return !id.empty() && id.size() <= 20 &&
         std::all_of(id.begin(), id.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

Decoded<JobSpec> DecodeSubmission(std::string_view body) {
  return DecodeClientMessage<JobSpec>(body, ReadSubmission);
}

Decoded<WorkerHeartbeat> DecodeWorkerHeartbeat(std::string_view body) {
  return DecodeClientMessage<WorkerHeartbeat>(body, ReadWorkerHeartbeat);
}

std::string EncodeReplyBody(const ReplyBody& body) {
  Packer out;
  std::visit([&](const auto& b) { PackBody(out, b); }, body);
  return out.Take();
}

HttpRequest EncodeState(const StateRequest& request) {
  HttpRequest http;
  if (const auto* txn = std::get_if<Transaction>(&request)) {
    http.post = true;
    http.path = "/txn";
    http.body = EncodeTransaction(*txn);
  } else if (const auto* grant = std::get_if<Grant>(&request)) {
    http.post = true;
    http.path = "/grants";
    Packer out;
    out.Map(1).Pair("ttl_ms", grant->ttl.count() / 1000);
    http.body = out.Take();
  } else if (const auto* renew = std::get_if<Renew>(&request)) {
    http.post = true;
    http.path = "/grants/" + std::to_string(renew->lease) + "/renew";
    http.body = Packer().Map(0).Take();
  } else if (const auto* watch = std::get_if<WatchRead>(&request)) {
    http.path = "/watch?starts=" + watch->prefix +
                "&from=" + std::to_string(watch->from) + "&wait_ms=0";
  } else if (const auto* list = std::get_if<ListRead>(&request)) {
    http.path = "/keys?starts=" + list->prefix + "&most=1000";
    if (!list->after.empty()) http.path += "&from=" + list->after;
  } else if (const auto* key = std::get_if<KeyRead>(&request)) {
    http.path = "/keys/" + key->key;
  }
  return http;
}

StateReply DecodeState(const StateRequest& request, int status,
                       std::string_view body) {
  StateReply reply;
  reply.status = status;
  if (status == 0 || std::holds_alternative<Renew>(request)) return reply;
  try {
    if (HasStateBody(request, status)) {
      std::visit([&](const auto& r) { ReadBody(reply, r, body); }, request);
    }
  } catch (const Malformed&) {
    // A response that cannot be read counts as none if its status is 200 or
    // 404: whether the request took effect, or the key exists, is unknown.
    if (status == http_status::kOk || status == http_status::kNotFound) {
      reply.status = http_status::kNoAnswer;
    }
  }
  return reply;
}

HttpRequest EncodeCloud(const CloudRequest& request) {
  HttpRequest http;
  if (std::holds_alternative<GetTypes>(request)) {
    http.path = "/flavors";
  } else if (const auto* creation = std::get_if<CreateInstances>(&request)) {
    http.post = true;
    http.path = "/rentals";
    Packer out;
    out.Map(5).Pair("hire", creation->name).Pair("rig", creation->type);
    out.Pair("yard", creation->zone).Pair("loaners", creation->spot);
    out.Pair("count", creation->count);
    http.body = out.Take();
  } else if (const auto* deletion = std::get_if<DeleteMachines>(&request)) {
    http.post = true;
    http.path = "/rentals/delete";
    Packer out;
    out.Map(1).Key("tines").List(deletion->machines.size());
    for (const std::string& name : deletion->machines) out.Value(name);
    http.body = out.Take();
  } else if (const auto* list = std::get_if<ListMachines>(&request)) {
    http.path = "/rentals?most=500";
    if (!list->after.empty()) http.path += "&from=" + list->after;
  }
  return http;
}

CloudReply DecodeCloud(const CloudRequest& request, int status,
                       std::string_view body) {
  CloudReply reply;
  reply.status = status;
  if (status == 0 || std::holds_alternative<DeleteMachines>(request)) {
    return reply;
  }
  try {
    Message message(body, kMaxServiceItems, kMaxDepth);
    if (status == 200 || status == 503) {
      Fields in(message.root());
      std::visit([&](const auto& r) { ReadInto(reply, r, in); }, request);
    }
  } catch (const Malformed&) {
    // As in DecodeState.
    if (status == 200) reply.status = 0;
  }
  return reply;
}

HttpRequest EncodeWorker(const WorkerRequest& request) {
  HttpRequest http;
  if (const auto* command = std::get_if<CommandWorker>(&request)) {
    http.post = true;
    http.path = "/commands";
    Packer out;
    out.Map(3)
        .Pair("baton", command->fencing_token)
        .Pair("shift", command->agent_epoch);
    PackCommands(out, command->commands);
    http.body = out.Take();
  } else {
    http.path = "/inspect";
  }
  return http;
}

WorkerReply DecodeWorker(int status, std::string_view body) {
  WorkerReply reply;
  reply.status = status;
  if (status == 200 || status == 409) {
    reply.heartbeat = DecodeWorkerHeartbeat(body).value;
  }
  return reply;
}

}  // namespace pitchfall::wire
