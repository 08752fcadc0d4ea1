// Decides when users may be told that a job is cancelled: not before every
// owner that could still start one of its tasks knows of the cancellation, or
// is no longer allowed to start tasks (docs/proofs.md, "No start after a
// confirmed cancellation").
//
// An owner sends starts only while its last read of the state service is recent
// (StateWatcher::IsFresh). So a cancellation that was stored longer ago is
// known to all owners that may start tasks. A more recent one may be confirmed
// once the heartbeats of the other controllers show that they know it.
#ifndef PITCHFALL_CORE_STATE_CANCELLATION_ACKNOWLEDGEMENTS_H_
#define PITCHFALL_CORE_STATE_CANCELLATION_ACKNOWLEDGEMENTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/base/time.h"
#include "core/model/job.h"
#include "core/model/messages.h"
#include "core/model/settings.h"
#include "core/state/revision_ages.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// Keeps what each of the deployment's other controllers has shown to know.
class CancellationAcknowledgements {
 public:
  // Both must outlive this object.
  CancellationAcknowledgements(const Deployment& deployment,
                               const StateCache& state_cache);

  // Notes what the sender knows. Heartbeats of controllers outside the
  // deployment have no effect. A late heartbeat may be passed too: a process
  // that has known a cancellation never takes the job for open again, and later
  // processes of the same controller read it.
  void OnPeerHeartbeat(const PeerHeartbeat& heartbeat);

  // Notes that a reply of the state service that was received by `now` shows
  // this revision.
  void OnStoredRevision(uint64_t revision, SteadyTime now) {
    revision_ages_.Add(revision, now);
  }

  // Returns whether no controller can send a start of the cancelled job any
  // more, so that users may be told of the cancellation. The state cache may
  // show the cancellation, or lack the job because it has ended or because the
  // cancellation has not been read yet.
  bool MayConfirm(const JobOutcome& cancellation, SteadyTime now) const;

 private:
  // What the newest heartbeat of a controller shows.
  struct Knowledge {
    uint64_t revision = 0;            // knows everything up to here
    std::set<std::string> cancelled;  // further cancelled jobs that it knows

    bool Includes(const JobOutcome& cancellation) const {
      return revision >= cancellation.mod_revision ||
             cancelled.contains(cancellation.id);
    }
  };

  bool AllPeersKnow(const JobOutcome& cancellation) const;
  // Whether the owners of all partitions in which tasks of the job are bound
  // are known and know the cancellation.
  bool OwnersKnow(const JobOutcome& cancellation, SteadyTime now) const;
  // Whether the owner of the partition is known and knows the cancellation, and
  // no earlier owner can act any more.
  bool OwnerKnows(uint32_t partition, const JobOutcome& cancellation,
                  SteadyTime now) const;

  const std::string own_label_;
  const StateCache& state_cache_;
  std::map<std::string, Knowledge> peers_;  // by label; all of the deployment
  RevisionAges revision_ages_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_CANCELLATION_ACKNOWLEDGEMENTS_H_
