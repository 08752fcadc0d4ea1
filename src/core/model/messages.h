// The commands that the core receives and the effects that it requests. The
// core uses neither sockets nor clocks; src/io does.
#ifndef PITCHFALL_CORE_MODEL_MESSAGES_H_
#define PITCHFALL_CORE_MODEL_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/base/time.h"
#include "core/model/free_capacity.h"
#include "core/model/records.h"

namespace pitchfall {

using RequestId = uint64_t;  // identifies an incoming request until its answer
using CallId = uint64_t;     // identifies an outgoing request

// ---- Workers ----

enum class TaskState : uint8_t {
  kFetching,  // fetches its image or waits to start
  kRunning,
  kSaving,  // saves a checkpoint after a stop command
  kExited   // kept by the worker until acknowledged
};
// Why a task has exited. The last three mean that the worker refused to start
// it.
enum class ExitCause : uint8_t {
  kNone,  // has not exited
  kDone,
  kStopped,
  kError,
  kNoCapacity,   // the machine's capacity is in use
  kBusy,         // the machine runs a task of the same job already
  kUnknownTask,  // the worker does not know the job
};

// An attempt of a task on a worker, as the worker reports it.
struct ReportedTask {
  std::string job;
  uint32_t task = 0;
  uint32_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitCause cause = ExitCause::kNone;  // set if the state is kExited
};

// Orders the heartbeats of one machine. A worker's agent begins a new epoch
// when its lease has expired, and numbers the heartbeats of each epoch from the
// start.
struct HeartbeatId {
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  friend auto operator<=>(const HeartbeatId&, const HeartbeatId&) = default;
};

// The state of a machine, which its worker sends periodically and when
// something changes.
struct WorkerHeartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;
  uint64_t seq = 0;  // number of the heartbeat within the agent epoch
  // The newest fencing token that the worker has received; 0 if none.
  uint64_t fencing_token = 0;
  // The time until the cloud reclaims the spot machine; empty: no notice.
  std::optional<Duration> preemption_notice;
  std::vector<ReportedTask> tasks;

  HeartbeatId id() const { return {agent_epoch, seq}; }
};

// A command to a worker about one attempt of a task.
struct WorkerCommand {
  enum class Op : uint8_t {
    kStart,
    kStop,
    kAcknowledge  // the task's end is stored: the worker may forget the task
  };
  Op op = Op::kStart;
  std::string job;
  uint32_t task = 0;
  uint32_t attempt = 0;
  Duration grace{0};  // of a stop: time to save a checkpoint; 0: stop at once
};

// The answer to a worker's heartbeat, which also renews the worker's lease.
struct WorkerCommands {
  uint64_t fencing_token = 0;
  std::vector<WorkerCommand> commands;
};

// ---- State service ----

// Holds if the key's modification revision is the given one.
struct Condition {
  std::string key;
  uint64_t mod_revision = 0;  // 0: the key does not exist
};

struct Write {
  std::string key;
  std::optional<Record> value;  // empty: the key is deleted
  uint64_t lease = 0;           // lease that the key is attached to; 0: none
};

// Carries out all writes if all conditions hold, and otherwise none.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

// Requests a new lease.
struct Grant {
  Duration ttl{0};
};
// Renews a lease for its full time to live.
struct Renew {
  uint64_t lease = 0;
};
// Reads all changes of keys with the prefix after the revision `from`. The
// answer comes at once, even if there are none.
struct WatchRead {
  uint64_t from = 0;
  std::string prefix = keys::kPrefix;
};
// Reads one page of the keys with the prefix, and their values.
struct ListRead {
  std::string after;  // last key of the previous page; empty: the first page
  std::string prefix = keys::kPrefix;
  // If set, the reply leaves out the records of jobs that are final and not in
  // this set.
  std::shared_ptr<const std::set<std::string>> final_jobs_wanted{};
};

// Reads the present value of one key. The reply's status is 404 only if the
// service has said that the key does not exist.
struct KeyRead {
  std::string key;
};

using StateRequest =
    std::variant<Transaction, Grant, Renew, WatchRead, ListRead, KeyRead>;

// A change of a key or, in a list, its present value.
struct Change {
  std::string key;
  std::optional<Record> value;  // empty: the key was deleted
  uint64_t mod_revision = 0;
  // Whether the value cannot be read by this version of pitchfall. Such a
  // change is ignored, so that later writes with a condition on the key fail.
  bool unreadable = false;
};

// In this and the other replies, `status` is an HTTP status code, or 0 if no
// answer arrived; then the request may have been carried out or may still be
// (http_status::kNoAnswer).
struct StateReply {
  CallId call = 0;
  int status = 0;
  uint64_t revision = 0;  // of a successful transaction, or of what was read
  uint64_t lease = 0;     // of a grant
  std::vector<std::string> failed_keys;  // keys whose conditions are not met
  // Of a WatchRead, a ListRead or a KeyRead.
  std::vector<Change> changes;
  // Of a ListRead: whether there is another page, and the last key of this one,
  // even if its record is left out.
  bool more = false;
  std::string last_key;
  bool no_lease = false;  // status 400 with "no such lease"
};

// ---- Cloud ----

struct GetTypes {};
struct CreateInstances {
  std::string name;  // idempotency key of the request
  std::string type;
  std::string zone;
  bool spot = false;
  uint32_t count = 0;
};
struct DeleteMachines {
  std::vector<std::string> machines;
};
// Reads one page of the list of machines.
struct ListMachines {
  std::string after;  // last name on the previous page; empty: the first page
};
using CloudRequest =
    std::variant<GetTypes, CreateInstances, DeleteMachines, ListMachines>;

enum class MachineStatus : uint8_t { kBooting, kRunning, kFailed };
// A machine in the cloud's list.
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
  bool no_capacity = false;           // of CreateInstances: "no capacity"
  std::vector<MachineType> types;     // of GetTypes
  std::vector<std::string> created;   // of CreateInstances: the machines' names
  std::vector<ListedMachine> listed;  // of ListMachines
  bool more = false;                  // of ListMachines: there is another page
};

// ---- Workers, called directly ----

// Sends commands outside of an answer to a heartbeat, or none to announce the
// fencing token only.
struct CommandWorker {
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;
  std::vector<WorkerCommand> commands;
};
// Requests the worker's present heartbeat.
struct InspectWorker {};
using WorkerRequest = std::variant<CommandWorker, InspectWorker>;
struct WorkerReply {
  CallId call = 0;
  int status = 0;
  std::optional<WorkerHeartbeat> heartbeat;  // empty: the reply has none
};

// ---- Other controllers ----

// What a controller tells the others about itself and its partitions.
struct PeerHeartbeat {
  std::string label;        // of the sender
  std::string incarnation;  // of the sender
  WallTime sent;            // by the sender's wall clock
  Duration state_age{0};    // since the sender last read the state
  // The number of workers, indexed by partition, that recently sent their
  // heartbeats to the sender because they could not reach the owner.
  std::vector<uint32_t> misrouted_workers;
  // The free capacity of the partitions that the sender owns.
  std::map<uint32_t, FreeCapacity> free;
  // The sender's recent use of the shared rates of the state service, per
  // second.
  double requests = 0;
  double writes = 0;

  // The remaining fields determine how long partition owners may answer workers
  // without the state service (see core/state/cancellation_watermark.h).
  Duration uptime{0};     // since the sender's process sent its first heartbeat
  uint64_t revision = 0;  // up to which the sender knows all changes
  // The sender's steady clock. Receivers do not interpret it but echo it.
  SteadyTime sender_time{};
  // The newest sender time received from each controller for which the list
  // `cancelled` is complete.
  struct Echo {
    std::string label;
    std::string incarnation;
    SteadyTime sender_time{};
  };
  std::vector<Echo> echoes;
  // Jobs that the sender knows to have been cancelled after the lowest revision
  // among the controllers that get an echo, and after its own revision.
  std::vector<std::string> cancelled;
  std::map<uint32_t, uint64_t> tokens;  // fencing tokens by owned partition
};

// ---- Commands ----

// Requests of users and workers arrive as the following commands.
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
// Arrives at regular intervals, so that time-driven work is done.
struct Tick {};

using Command = std::variant<SubmitJob, PollJob, CancelJob, HealthCheck,
                             ReceiveWorkerHeartbeat, StateReply, CloudReply,
                             WorkerReply, PeerHeartbeat, Tick>;

// ---- Effects ----

// The state of a job as its user sees it.
struct JobAnswer {
  std::string id;
  enum class Status : uint8_t { kQueued, kRunning, kDone, kCancelled };
  Status status = Status::kQueued;
  // Whether the body shows the numbers of tasks, as the answer to a poll does.
  bool counts = false;
  uint32_t done = 0;
  uint32_t running = 0;
};
// Directs a worker to the owner of its partition.
struct Redirect {
  std::string owner;  // label of the owner; empty: none is known
};
// An error message for the client.
struct Problem {
  std::string message;
};
using ReplyBody =
    std::variant<std::monostate, JobAnswer, WorkerCommands, Redirect, Problem>;

// The answer to an incoming request.
struct Reply {
  RequestId request = 0;
  int status = 200;
  ReplyBody body;
  std::optional<Duration> retry_after;  // empty: no Retry-After header
  // Whether to close the connection, because another controller can serve the
  // client better.
  bool close = false;
};
// Outgoing requests. Each gets a reply with the same `call`; without an answer
// within `timeout`, the reply has status 0.
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
// Sends the heartbeat to all other controllers.
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
