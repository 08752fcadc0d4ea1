// A machine as the owner of its partition knows it: the stored assignments to
// it, and what its worker has reported.
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

// A stored assignment to a machine, with the progress of the attempt as the
// worker's heartbeats show it.
struct BoundAttempt {
  const Job* job = nullptr;
  uint32_t attempt = 0;
  // Whether an earlier owner of the partition bound the attempt. That owner may
  // have sent the start command.
  bool bound_by_previous_owner = false;

  // What the worker has reported to this owner.
  bool reported = false;  // whether any heartbeat has shown the attempt
  // The state in the newest heartbeat that shows the attempt.
  std::optional<TaskState> state;
  // When a heartbeat first showed the attempt as running.
  std::optional<SteadyTime> running_since;
  // Whether this is a replica that has run long enough to count as healthy.
  bool is_proven_replica = false;

  // The heartbeat whose answer last contained the start command; empty if none
  // was sent.
  std::optional<HeartbeatId> start_sent;
  // Whether a stop was sent by a direct command that has not failed.
  bool stop_sent = false;

  // The reasons to stop the task. Several may hold at the same time.
  bool drain_requested = false;  // its machine is to be deleted or preempted
  bool preempted = false;        // for work of its team with a higher priority
  bool displaced = false;        // to make room for a replica
  bool StopRequested() const {
    return drain_requested || preempted || displaced;
  }
  // Whether the task should stop at once, without saving a checkpoint.
  bool stop_without_saving = false;

  // Whether a write that removes the assignment is in progress or its outcome
  // is unknown. The task may be started on another machine at any moment, so
  // the attempt must not be started here any more.
  bool end_pending = false;
};

// Evidence from a worker's heartbeats on whether it receives the answers that
// are sent to it.
struct InboundReachability {
  // Since when the worker has seemed not to receive answers: it does not show
  // the fencing token, does not carry out starts, or ends its agent epoch
  // although its heartbeats are answered. Empty if it is not suspected.
  std::optional<SteadyTime> suspect_since;
  // When the first heartbeat of the worker's present agent epoch arrived.
  SteadyTime agent_epoch_since{};
  int answers_in_epoch = 0;  // answers sent in the present agent epoch
  // Whether an agent epoch ended although it was answered in time. It stays set
  // until an agent epoch has lasted long enough.
  bool epoch_ended_while_answered = false;
};

// What the starts in the transaction that is being built add to a machine.
struct PlannedUse {
  Resources resources;
  std::set<std::string> images;
  // Identifiers of the jobs whose replicas start here.
  std::set<std::string> services;
};

// A machine of a partition. Only the owner of the partition keeps this state.
struct Machine {
  // As the worker's newest heartbeat describes it.
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources capacity;  // zero until the machine type is known

  // What uses its capacity.
  std::map<TaskKey, BoundAttempt> bound;
  Resources used;         // by bound attempts
  Resources unbound_use;  // by reported tasks that are not bound here
  PlannedUse planned;

  // Images that the machine has, because a task with the image has run on it.
  std::set<std::string> images;
  // The number of bound attempts by image. The machine has these images or will
  // fetch them.
  std::map<std::string, int> bound_images;

  // Heartbeats and answers.
  std::optional<WorkerHeartbeat> heartbeat;  // the newest; empty: none yet
  SteadyTime last_heartbeat_time{};  // when the newest heartbeat arrived
  RequestId pending_request = 0;     // of the unanswered heartbeat; 0: none
  SteadyTime pending_since{};        // when the unanswered heartbeat arrived
  // Whether the worker has shown this owner's fencing token. Until it has, its
  // lease cannot be assumed to expire when this owner does not answer, because
  // an earlier owner may still answer the worker.
  bool fencing_token_seen = false;
  // When this owner last answered a heartbeat, or first saw its fencing token
  // in one. The worker's lease may have been renewed until then.
  SteadyTime last_answer{};
  // The expected time until the next heartbeat. Starts are sent in answers, so
  // that they have to wait for it.
  Duration until_heartbeat{0};
  // Whether the last heartbeat was the first one, or the first one after a long
  // silence. It may be a copy that the network delayed, which only the next
  // heartbeat shows.
  bool awaits_second_heartbeat = true;
  InboundReachability inbound;

  // The reasons not to start tasks on the machine. Several may hold at the same
  // time.
  bool cordoned = false;     // chosen by the leader to be scaled in
  bool quarantined = false;  // tasks fail on it
  // Its worker has begun anew while this owner knew it: messages of the former
  // run may still arrive and seem to be newer.
  bool restarted = false;
  bool deleting = false;  // deletion requested; it may happen at any time
  // Its lease has expired or the cloud has confirmed its deletion: no task runs
  // on it any more.
  bool gone = false;
  std::optional<SteadyTime> preemption_at;  // when the cloud reclaims it
  SteadyTime paused_until{};                // set after it refused a start

  std::optional<SteadyTime> idle_since;  // empty: not known to be idle
  // No direct stops are sent before this time. Set after a direct command
  // failed.
  SteadyTime next_stop{};

  // Whether a task of the job is bound to the machine, or a replica of the job
  // will be by the transaction that is being built.
  bool HasTaskOf(const std::string& job) const {
    auto first = bound.lower_bound({job, 0});
    return (first != bound.end() && first->first.first == job) ||
           planned.services.contains(job);
  }
  // Whether a bound or planned attempt uses the image, so that the machine has
  // it or will fetch it in any case.
  bool WillHaveImage(const std::string& image) const {
    return bound_images.contains(image) || planned.images.contains(image);
  }
  // Returns the free capacity; components may be negative.
  Resources Free() const {
    return capacity - used - unbound_use - planned.resources;
  }
  // Whether tasks may be started on the machine.
  bool AcceptsTasks(SteadyTime now) const {
    bool heard_well = heartbeat && fencing_token_seen &&
                      !awaits_second_heartbeat && !inbound.suspect_since;
    bool stays = !cordoned && !quarantined && !restarted && !deleting &&
                 !gone && !preemption_at;
    return heard_well && stays && now >= paused_until;
  }
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_MACHINE_H_
