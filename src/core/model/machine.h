// A machine as its partition's owner knows it: what is bound to it in the state
// service, and what its worker has reported.
#ifndef PITCHFALL_CORE_MODEL_MACHINE_H_
#define PITCHFALL_CORE_MODEL_MACHINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "core/base/time.h"
#include "core/model/job.h"
#include "core/model/messages.h"

namespace pitchfall {

using TaskKey = std::pair<std::string, uint32_t>;  // job, task

// A stored assignment to this machine, and what the worker has shown of it.
struct BoundAttempt {
  const Job* job = nullptr;
  uint32_t attempt = 0;
  // Bound by an earlier owner of the partition, who may have sent the start.
  bool bound_by_previous_owner = false;

  // What the worker has shown to this owner.
  bool reported = false;  // in any heartbeat
  std::optional<TaskState> state;
  std::optional<SteadyTime> running_since;
  bool proven = false;  // a replica that has run for a while

  // What has been sent. The start: the heartbeat whose answer last carried it.
  std::optional<HeartbeatId> start_sent;
  bool stop_sent = false;  // by a direct command that has not failed

  // Why the task should stop; any of these may hold at a time.
  bool drain_requested = false;  // its machine is about to go
  bool preempted = false;        // for more important work of its team
  bool displaced = false;        // for a replica that needs its place
  bool StopRequested() const {
    return drain_requested || preempted || displaced;
  }
  // It should stop at once, without saving a checkpoint.
  bool stop_without_saving = false;

  // That it is not bound here any more is being stored, or was, for all that
  // is known: it may be started elsewhere at any moment, so never here now.
  bool ending = false;
};

// Whether the worker receives what is sent to it, by what its heartbeats show.
struct InboundReachability {
  // Since when it has shown no sign of receiving answers, although it should
  // have: no fencing token, starts that are not carried out, agent epochs that
  // end.
  std::optional<SteadyTime> suspect_since;
  SteadyTime agent_epoch_since{};  // when its agent epoch was first heard of
  int answers_in_epoch = 0;
  bool epoch_ended_while_answered = false;
};

// What the transaction being built adds to a machine.
struct PlannedUse {
  Resources resources;
  std::set<std::string> images;
  // Jobs whose replicas start here.
  std::set<std::string> services;
};

struct Machine {
  // As the worker describes it.
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources capacity;  // zero until the type is known

  // What uses its capacity.
  std::map<TaskKey, BoundAttempt> bound;
  Resources used;         // by what is bound
  Resources unbound_use;  // by reported tasks that are not bound
  PlannedUse planned;

  // Images that are surely there, and those of bound attempts (how many), which
  // will be.
  std::set<std::string> images;
  std::map<std::string, int> bound_images;

  // Heartbeats and answers.
  std::optional<WorkerHeartbeat> heartbeat;  // the newest
  SteadyTime heard{};                        // when it came
  RequestId pending_request = 0;             // the heartbeat to answer; 0: none
  SteadyTime pending_since{};
  // Whether the worker is known to have seen this owner's fencing token, and
  // the last answer that it can have taken since. Without the former nothing
  // follows from silence: an earlier owner may still answer.
  bool fencing_token_seen = false;
  SteadyTime last_answer{};
  // Until its next heartbeat, as far as can be expected: starts travel in
  // answers.
  Duration until_heartbeat{0};
  // Heard for the first time or after a silence: that may be a copy of a
  // heartbeat that the network held back. The next heartbeat tells.
  bool awaits_second_heartbeat = true;
  InboundReachability inbound;

  // Reasons not to give it tasks; any of these may hold at a time.
  bool cordoned = false;     // chosen by the leader to be returned
  bool quarantined = false;  // fails what it starts
  bool deleting = false;     // deletion asked for; it may come any time now
  bool gone = false;         // proven: nothing runs on it any more
  std::optional<SteadyTime> preemption_at;  // when a spot machine is taken
  SteadyTime paused_until{};                // refused a start a moment ago

  std::optional<SteadyTime> idle_since;
  SteadyTime next_stop{};  // a direct command failed a moment ago

  // Whether a task of the job is bound to it, or will be by the transaction
  // being built.
  bool HasTaskOf(const std::string& job) const {
    auto first = bound.lower_bound({job, 0});
    return (first != bound.end() && first->first.first == job) ||
           planned.services.contains(job);
  }
  // Whether the image is to be fetched anyhow.
  bool WillHaveImage(const std::string& image) const {
    return bound_images.contains(image) || planned.images.contains(image);
  }
  Resources Free() const {
    return capacity - used - unbound_use - planned.resources;
  }
  bool TakesTasks(SteadyTime now) const {
    bool heard_well = heartbeat && fencing_token_seen &&
                      !awaits_second_heartbeat && !inbound.suspect_since;
    bool stays =
        !cordoned && !quarantined && !deleting && !gone && !preemption_at;
    return heard_well && stays && now >= paused_until;
  }
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_MACHINE_H_
