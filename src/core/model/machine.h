// A machine as its partition's owner knows it: what is bound to it in the state
// service, what its worker has reported, and what may be concluded from both.
#ifndef PITCHFALL_CORE_MODEL_MACHINE_H_
#define PITCHFALL_CORE_MODEL_MACHINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/model/job.h"
#include "core/model/messages.h"

namespace pitchfall {

using TaskKey = std::pair<std::string, uint32_t>;  // job, task

// A stored assignment to this machine.
struct BoundAttempt {
  const Job* job = nullptr;
  uint32_t attempt = 0;
  // Bound by an earlier owner of the partition, who may have sent the start.
  bool bound_by_previous_owner = false;
  // Reported by the worker since this process owns the partition.
  bool reported = false;
  // Session and number of the heartbeat whose answer last carried the start.
  std::optional<std::pair<uint64_t, uint64_t>> start_sent;
  // To be stopped: before its machine is taken, or to make capacity.
  bool drain_requested = false;
  bool preempted = false;
  bool displaced = false;  // for a replica that needs its place
  bool at_once = false;    // without saving
  bool stop() const { return drain_requested || preempted || displaced; }
  bool stop_sent = false;  // by a direct command that has not failed
  // That it is not bound here any more is being stored, or was, for all that
  // is known: it may be started elsewhere at any moment, so never here now.
  bool ending = false;
  std::optional<TaskState> state;
  std::optional<SteadyTime> running_since;  // as far as this owner has seen
  bool proven = false;  // a replica that has run for a while
};

struct Machine {
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources capacity;  // zero until the type is known

  std::map<TaskKey, BoundAttempt> bound;
  Resources used;         // by what is held
  Resources unbound_use;  // by reported tasks that are not held
  Resources planned;      // by assignments of the transaction being built

  std::optional<WorkerHeartbeat> heartbeat;  // the newest
  SteadyTime heard{};
  // Since when the worker is known to have seen my fencing token, and the last
  // answer it can have taken since. Without the former nothing follows from
  // silence: an earlier owner may still answer.
  bool fencing_token_seen = false;
  SteadyTime last_answer{};
  RequestId pending_request = 0;  // the heartbeat to answer; 0: none
  // Until its next heartbeat, as far as can be expected: starts travel in
  // answers.
  Duration until_heartbeat{0};
  SteadyTime pending_since{};

  // Since when it has shown no sign of hearing answers, although it should
  // have: no fencing token, starts that are not carried out, agent epochs that
  // end.
  std::optional<SteadyTime> inbound_suspect_since;
  SteadyTime agent_epoch_since{};  // when its agent epoch was first heard of
  int answers = 0;                 // in this agent epoch
  // An agent epoch has ended although its heartbeats were answered.
  bool epoch_ended_while_answered = false;
  // Heard for the first time or after a silence: that may be a copy of a
  // heartbeat that was held back on the way. The next heartbeat tells.
  bool awaits_second_heartbeat = true;

  bool cordoned = false;     // chosen to be returned: gets no new tasks
  bool quarantined = false;  // fails what it starts: the same
  bool deleting = false;     // deletion asked for; it may come any time now
  bool gone = false;         // proven
  std::optional<SteadyTime> preemption_at;  // spot notice
  std::optional<SteadyTime> idle_since;
  SteadyTime paused_until{};  // refused a start a moment ago
  SteadyTime next_stop{};     // a direct command failed a moment ago
  // Images that are surely there, and those of bound tasks (how many) and of
  // tasks in the transaction being built, which will be.
  std::set<std::string> images;
  std::map<std::string, int> bound_images;
  std::set<std::string> planned_images;
  // Jobs whose replicas the transaction being built starts here.
  std::set<std::string> planned_services;
  bool HasTaskOf(const std::string& job) const {
    auto first = bound.lower_bound({job, 0});
    return (first != bound.end() && first->first.first == job) ||
           planned_services.contains(job);
  }
  bool Coming(const std::string& image) const {
    return bound_images.contains(image) || planned_images.contains(image);
  }

  Resources Free() const { return capacity - used - unbound_use - planned; }
  bool TakesTasks(SteadyTime now) const {
    return heartbeat && fencing_token_seen && !cordoned && !quarantined &&
           !deleting && !gone && !preemption_at && !inbound_suspect_since &&
           !awaits_second_heartbeat && now >= paused_until;
  }
};

// What a newer heartbeat (or its silence) says of a bound task.
enum class AttemptOutcome : uint8_t {
  kBound,    // there, or on its way
  kDone,     // completed
  kFailed,   // ended with an error
  kRefused,  // the worker had no capacity, or another attempt of the task
  kGone,     // stopped, lost, or never started and not to be started
};

// Judges one bound task by the machine's newest heartbeat. `wanted` is false if
// the task should not be started any more.
//
// A task that the heartbeat lacks is gone only if the worker had seen this
// owner's fencing token when it sent the heartbeat (no answer of an earlier
// owner can start it any more) and the heartbeat is newer than the one whose
// answer carried the start.
AttemptOutcome ClassifyAttempt(const Machine& machine, const TaskKey& key,
                               const BoundAttempt& task, uint64_t fencing_token,
                               bool wanted);

struct CommandPolicy {
  uint64_t fencing_token = 0;
  bool may_start = false;
  SteadyTime now{};
  // Whether a bound task should be running.
  std::function<bool(const BoundAttempt&)> wanted;
};

// The commands that answer the machine's newest heartbeat. Marks the starts as
// sent.
std::vector<WorkerCommand> BuildCommands(Machine& machine,
                                         const CommandPolicy& policy);

// Stops that need not wait for the next heartbeat, to be sent directly. Only
// stops: a late copy of one does nothing, as attempts are never used again.
std::vector<WorkerCommand> BuildDirectStops(Machine& machine,
                                            const CommandPolicy& policy);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_MACHINE_H_
