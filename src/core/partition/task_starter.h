// Drafts the starts of waiting tasks: which job next, and on which machine.
#ifndef PITCHFALL_CORE_PARTITION_TASK_STARTER_H_
#define PITCHFALL_CORE_PARTITION_TASK_STARTER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine.h"
#include "core/partition/chunk_transfer.h"
#include "core/partition/failure_tracker.h"
#include "core/partition/machine_registry.h"
#include "core/partition/ownership_term.h"
#include "core/partition/pending_transaction.h"
#include "core/partition/record_sizes.h"
#include "core/scheduling/displacement.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/team_quota.h"
#include "core/state/context.h"

namespace pitchfall {

// Starts only tasks of chunks that this partition owns, within the team's quota
// and the job's rules. Jobs that find no machine are transferred to other
// partitions, or, if they are services, have less important tasks displaced.
class TaskStarter {
 public:
  TaskStarter(Context& context, const OwnershipTerm& term,
              MachineRegistry& machines, TeamQuota& quota,
              const FailureTracker& failures)
      : context_(context),
        term_(term),
        machines_(machines),
        quota_(quota),
        failures_(failures),
        transfer_(context, term),
        displacer_(context.out),
        sizes_(context.state_limits) {}

  // Adds starts and transfers for the jobs, which come in the order in which
  // they should get capacity.
  void AddStarts(PendingTransaction& pending,
                 const std::vector<const Job*>& jobs);

 private:
  // Why no more of a job's or a chunk's tasks were added.
  enum class Placement : uint8_t {
    kAll,        // every task that may start now has a machine
    kNoMachine,  // no machine fits
    kNoQuota,    // the team's quota or the transaction is used up
  };
  // One job's tasks, while starts are added for them.
  struct JobPlacement {
    const Job& job;
    SteadyTime waiting_since;
    ZoneUse zone_use;
  };
  // One chunk's tasks.
  struct ChunkPlacement {
    uint32_t chunk = 0;
    uint32_t size = 0;
    size_t bound = 0;
    TaskSet taken;  // completed, or on a machine
    // As it will be stored: with the first start it is the draft's.
    const ChunkRecord* record = nullptr;
    uint32_t attempt = 1;
    std::set<std::string> avoid;  // machines
    bool urgent = false;
  };

  void CollectOpenMachines();
  void FindWidestTask(const std::vector<const Job*>& jobs);
  void AddStartsOf(PendingTransaction& pending, const Job& job,
                   SteadyTime waiting_since);
  Placement StartInOwnedChunks(PendingTransaction& pending,
                               JobPlacement& placement);
  Placement StartInChunk(PendingTransaction& pending, JobPlacement& placement,
                         uint32_t chunk);
  ChunkPlacement PrepareChunk(const PendingTransaction& pending, const Job& job,
                              uint32_t chunk) const;
  // Whether the transaction takes one more start in the chunk.
  bool TransactionTakes(const PendingTransaction& pending, const Job& job,
                        uint32_t chunk) const;
  void AddStart(PendingTransaction& pending, JobPlacement& placement,
                ChunkPlacement& chunk, uint32_t task, Machine& machine);
  bool GangFits(const Job& job) const;
  bool AwaitsImage(const JobPlacement& placement, const Machine& machine);
  // Whether a start of the job's tasks must not overlap with another
  // partition's.
  bool NeedsOrderedStarts(const Job& job) const;
  bool Owns(const Job& job, uint32_t chunk) const;
  size_t MaxBoundInChunk() const;

  Context& context_;
  const OwnershipTerm& term_;
  MachineRegistry& machines_;
  TeamQuota& quota_;
  const FailureTracker& failures_;
  ChunkTransfer transfer_;
  Displacer displacer_;
  RecordSizes sizes_;
  std::map<std::string, SteadyTime> waiting_since_;  // by job
  // For the transaction being built:
  std::vector<Machine*> open_machines_;
  int64_t widest_task_cpus_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_TASK_STARTER_H_
