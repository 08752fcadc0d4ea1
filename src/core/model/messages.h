// Commands that the core takes in and effects that it asks for. The core never
// touches a socket or a clock; src/io does that.
#ifndef PITCHFALL_CORE_MODEL_MESSAGES_H_
#define PITCHFALL_CORE_MODEL_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/base/time.h"
#include "core/model/free_capacity.h"
#include "core/model/records.h"

namespace pitchfall {

using RequestId = uint64_t;  // an incoming request that waits for its answer
using CallId = uint64_t;     // an outgoing request

// ---- Workers ----

enum class TaskState : uint8_t { kFetching, kRunning, kSaving, kExited };
enum class ExitCause : uint8_t {
  kNone,
  kDone,
  kStopped,
  kError,
  kNoCapacity,
  kBusy,
  kUnknownTask,
};

struct ReportedTask {
  std::string job;
  uint32_t task = 0;
  uint32_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitCause cause = ExitCause::kNone;
};

// Orders the heartbeats of one machine: a worker's agent counts them anew in
// each of its epochs.
struct HeartbeatId {
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  friend auto operator<=>(const HeartbeatId&, const HeartbeatId&) = default;
};

// What a worker says of its machine, periodically and when something changes.
struct WorkerHeartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;
  uint64_t seq = 0;
  uint64_t fencing_token = 0;
  std::optional<Duration> preemption_notice;  // until the machine is taken
  std::vector<ReportedTask> tasks;

  HeartbeatId id() const { return {agent_epoch, seq}; }
};

struct WorkerCommand {
  enum class Op : uint8_t { kStart, kStop, kAcknowledge };
  Op op = Op::kStart;
  std::string job;
  uint32_t task = 0;
  uint32_t attempt = 0;
  Duration grace{0};
};

struct WorkerCommands {
  uint64_t fencing_token = 0;
  std::vector<WorkerCommand> commands;
};

// ---- State service ----

struct Condition {
  std::string key;
  uint64_t mod_revision = 0;  // 0: the key does not exist
};

struct Write {
  std::string key;
  std::optional<Record> value;  // none: delete
  uint64_t lease = 0;           // 0: none
};

struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

struct Grant {
  Duration ttl{0};
};
struct Renew {
  uint64_t lease = 0;
};
struct WatchRead {  // answers at once with all changes since `from`
  uint64_t from = 0;
};
struct ListRead {
  std::string after;
};

using StateRequest =
    std::variant<Transaction, Grant, Renew, WatchRead, ListRead>;

struct Change {
  std::string key;
  std::optional<Record> value;  // none: deleted
  uint64_t mod_revision = 0;
  // Not written by this version of pitchfall. Such a change is passed over, so
  // that writes that would build on it fail.
  bool unreadable = false;
};

// `status` 0: no answer; the request may have been carried out or may yet be.
struct StateReply {
  CallId call = 0;
  int status = 0;
  uint64_t revision = 0;
  uint64_t lease = 0;
  std::vector<std::string> failed;
  std::vector<Change> changes;  // of a watch read or a list
  bool more = false;
  bool no_lease = false;  // 400 with "no such lease"
};

// ---- Cloud ----

struct GetTypes {};
struct CreateInstances {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  uint32_t count = 0;
};
struct DeleteMachines {
  std::vector<std::string> machines;
};
struct ListMachines {
  std::string after;
};
using CloudRequest =
    std::variant<GetTypes, CreateInstances, DeleteMachines, ListMachines>;

enum class MachineStatus : uint8_t { kBooting, kRunning, kFailed };
struct ListedMachine {
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  MachineStatus status = MachineStatus::kBooting;
  Duration age{0};
};

struct CloudReply {
  CallId call = 0;
  int status = 0;
  bool no_capacity = false;
  std::vector<MachineType> types;
  std::vector<std::string> created;
  std::vector<ListedMachine> listed;
  bool more = false;
};

// ---- Workers, called directly ----

struct CommandWorker {
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;
  std::vector<WorkerCommand> commands;
};
struct InspectWorker {};
using WorkerRequest = std::variant<CommandWorker, InspectWorker>;
struct WorkerReply {
  CallId call = 0;
  int status = 0;
  std::optional<WorkerHeartbeat> heartbeat;
};

// ---- Other controllers ----

struct PeerHeartbeat {
  std::string label;
  std::string incarnation;
  WallTime sent;
  Duration state_age{0};  // since this controller last read the state
  // Per partition: workers that came here in the last seconds because they
  // could not reach its owner.
  std::vector<uint32_t> misrouted_workers;
  // Of the partitions that I own.
  std::map<uint32_t, FreeCapacity> free;
  // What this controller has lately used of the shared rates, a second.
  double requests = 0;
  double writes = 0;

  // The rest bounds how long owners may answer without the state service (see
  // core/state/cancellation_watermark.h).
  Duration uptime{0};        // of this process
  uint64_t revision = 0;     // up to which this controller knows everything
  SteadyTime sender_time{};  // the sender's clock; nobody else reads it
  // The newest mark heard from each controller for which `cancelled` is whole.
  struct Echo {
    std::string label;
    std::string incarnation;
    SteadyTime sender_time{};
  };
  std::vector<Echo> echoes;
  // Jobs known to be cancelled since the revisions of those echoed.
  std::vector<std::string> cancelled;
  std::map<uint32_t, uint64_t> tokens;  // of the partitions that I own
};

// ---- Commands ----

struct SubmitJob {
  RequestId request = 0;
  JobSpec spec;
};
struct PollJob {
  RequestId request = 0;
  std::string job;
};
struct CancelJob {
  RequestId request = 0;
  std::string job;
};
struct HealthCheck {
  RequestId request = 0;
};
struct ReceiveWorkerHeartbeat {
  RequestId request = 0;
  WorkerHeartbeat heartbeat;
};
struct Tick {};

using Command = std::variant<SubmitJob, PollJob, CancelJob, HealthCheck,
                             ReceiveWorkerHeartbeat, StateReply, CloudReply,
                             WorkerReply, PeerHeartbeat, Tick>;

// ---- Effects ----

struct JobAnswer {
  std::string id;
  enum class Status : uint8_t { kQueued, kRunning, kDone, kCancelled };
  Status status = Status::kQueued;
  bool counts = false;  // with the numbers of tasks, as a poll wants them
  uint32_t done = 0;
  uint32_t running = 0;
};
struct Redirect {
  std::string owner;  // empty: nobody known
};
struct Problem {
  std::string message;
};
using ReplyBody =
    std::variant<std::monostate, JobAnswer, WorkerCommands, Redirect, Problem>;

struct Reply {
  RequestId request = 0;
  int status = 200;
  ReplyBody body;
  std::optional<Duration> retry_after;
  // The client is better served elsewhere: its next request should not come
  // over this connection.
  bool close = false;
};
struct StateCall {
  CallId call = 0;
  StateRequest request;
  Duration timeout{0};
};
struct CloudCall {
  CallId call = 0;
  CloudRequest request;
  Duration timeout{0};
};
struct WorkerCall {
  CallId call = 0;
  std::string address;
  WorkerRequest request;
  Duration timeout{0};
};
struct SendPeerHeartbeat {
  PeerHeartbeat heartbeat;
};
enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };
struct LogLine {
  LogLevel level = LogLevel::kInfo;
  std::string text;
};

using Effect = std::variant<Reply, StateCall, CloudCall, WorkerCall,
                            SendPeerHeartbeat, LogLine>;

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_MESSAGES_H_
