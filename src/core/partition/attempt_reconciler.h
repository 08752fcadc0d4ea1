// Compares the stored assignments with the machines' heartbeats, and adds ended
// attempts and completed jobs to a pending transaction.
#ifndef PITCHFALL_CORE_PARTITION_ATTEMPT_RECONCILER_H_
#define PITCHFALL_CORE_PARTITION_ATTEMPT_RECONCILER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/model/machine.h"
#include "core/partition/attempt_outcome.h"
#include "core/partition/machine_registry.h"
#include "core/partition/ownership_term.h"
#include "core/partition/pending_transaction.h"
#include "core/partition/record_sizes.h"
#include "core/scheduling/team_quota.h"
#include "core/state/context.h"

namespace pitchfall {

// An attempt counts as ended only if that is proven (see ClassifyAttempt).
// Until its end is stored it occupies capacity of its machine and quota of its
// team. The only class that writes `BoundAttempt::end_pending`.
class AttemptReconciler {
 public:
  AttemptReconciler(Context& context, const OwnershipTerm& term,
                    MachineRegistry& machines, TeamQuota& quota)
      : context_(context),
        term_(term),
        machines_(machines),
        quota_(quota),
        sizes_(context.state_limits) {}

  // Adds the ends of as many attempts as fit into the transaction, and deducts
  // their resources from the planned use of machine and team, so that the same
  // transaction can assign them to other tasks.
  void AddEndedAttempts(PendingTransaction& pending);
  // Adds the completion of jobs of which all tasks are done once `pending` is
  // stored. To be called after AddEndedAttempts. Services never complete.
  void AddFinishedJobs(PendingTransaction& pending) const;

 private:
  // An attempt that has ended although the stored record still assigns it.
  struct AttemptEnd {
    Machine* machine = nullptr;
    BoundAttempt* attempt = nullptr;
    uint32_t task = 0;
    AttemptOutcome outcome = AttemptOutcome::kGone;
  };
  using EndsByChunk =
      std::map<PendingTransaction::ChunkKey, std::vector<AttemptEnd>>;

  // Classifies every bound attempt of machines that have sent a heartbeat to
  // this owner or are gone, and returns those that have ended. Resets
  // `BoundAttempt::end_pending` of all of them.
  EndsByChunk FindEnds();
  // Returns the chunk's record without these attempts and with the tasks that
  // completed marked as done. `ends` holds at least one.
  ChunkRecord RecordAfterEnds(const std::vector<AttemptEnd>& ends,
                              uint32_t chunk) const;
  // Adds what the end says about the job and the machine; nothing for an
  // attempt that was stopped or lost.
  void AddReport(PendingTransaction& pending, const AttemptEnd& end) const;
  // Adds the job's completion unless it has open tasks, is final already or is
  // a service, or the transaction has no put left.
  void AddIfFinished(PendingTransaction& pending, const Job& job) const;

  Context& context_;
  const OwnershipTerm& term_;
  MachineRegistry& machines_;
  TeamQuota& quota_;
  RecordSizes sizes_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_ATTEMPT_RECONCILER_H_
