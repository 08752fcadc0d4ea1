// Compares what is stored with what machines have shown, and drafts the ends of
// attempts and the completion of jobs.
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

// An attempt ends only on proof (ClassifyAttempt). Until its end is stored it
// keeps its capacity and its team's quota. The only writer of
// `BoundAttempt::ending`.
class AttemptReconciler {
 public:
  AttemptReconciler(Context& context, const OwnershipTerm& term,
                    MachineRegistry& machines, TeamQuota& quota)
      : context_(context),
        term_(term),
        machines_(machines),
        quota_(quota),
        sizes_(context.state_limits) {}

  // Adds the ends of attempts, as many as fit, and frees in advance what they
  // use.
  void AddEnds(PendingTransaction& pending);
  // Adds the completion of jobs whose tasks are all done, by what is stored and
  // by `pending`.
  void AddFinishedJobs(PendingTransaction& pending) const;

 private:
  // An attempt whose end has been seen and is not stored yet.
  struct AttemptEnd {
    Machine* machine = nullptr;
    BoundAttempt* attempt = nullptr;
    uint32_t task = 0;
    AttemptOutcome outcome = AttemptOutcome::kGone;
  };
  using EndsByChunk =
      std::map<PendingTransaction::ChunkKey, std::vector<AttemptEnd>>;

  EndsByChunk FindEnds();
  // What the chunk's record says once these attempts have ended.
  ChunkRecord RecordAfter(const std::vector<AttemptEnd>& ends,
                          uint32_t chunk) const;
  void AddReport(PendingTransaction& pending, const AttemptEnd& end) const;
  void AddIfFinished(PendingTransaction& pending, const Job& job) const;

  Context& context_;
  const OwnershipTerm& term_;
  MachineRegistry& machines_;
  TeamQuota& quota_;
  RecordSizes sizes_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_ATTEMPT_RECONCILER_H_
