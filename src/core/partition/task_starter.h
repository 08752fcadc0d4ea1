// Assigns waiting tasks to machines, for the transaction being built.
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
// and the job's placement rules. Chunks of jobs that find no machine are
// transferred to other partitions. If a service finds none and no transfer is
// likely, tasks of lower priority are displaced for it.
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
        displacer_(context.outbox),
        sizes_(context.state_limits) {}

  // Adds starts and transfers for `jobs`, which come in the order in which they
  // should get capacity.
  void AddStarts(PendingTransaction& pending,
                 const std::vector<const Job*>& jobs);

 private:
  // The reason why no more tasks of a job or chunk were added.
  enum class Placement : uint8_t {
    kAll,           // every task that may start now has been added
    kNoMachine,     // no machine has capacity and is allowed
    kLimitReached,  // the team's quota or the transaction's budget is used up
  };
  // The state of one job while starts of its tasks are added.
  struct JobPlacement {
    const Job& job;
    SteadyTime waiting_since;
    ZoneUse zone_use;
  };
  // The state of one chunk while starts of its tasks are added.
  struct ChunkPlacement {
    uint32_t chunk = 0;
    uint32_t size = 0;           // the number of its tasks
    size_t bound = 0;            // the number of its tasks that are on machines
    TaskSet completed_or_bound;  // tasks that are completed or on a machine
    // The record as it will be stored: the stored one, or the one in the
    // pending transaction once the chunk changes.
    const ChunkRecord* record = nullptr;
    uint32_t attempt = 1;         // the attempt number of all starts added now
    std::set<std::string> avoid;  // machines that must not be used
    // Whether machines are compared by how soon the task can start there.
    bool urgent = false;
  };

  // Finds the machines that accept tasks now.
  void CollectSchedulableMachines();
  void FindMaxWaitingTaskCpus(const std::vector<const Job*>& jobs);
  // Adds the starts of one job. Transfers or displaces for the tasks that find
  // no machine, and reserves quota for all that still wait.
  void AddStartsOf(PendingTransaction& pending, const Job& job,
                   SteadyTime waiting_since);
  Placement StartInOwnedChunks(PendingTransaction& pending,
                               JobPlacement& placement);
  Placement StartInChunk(PendingTransaction& pending, JobPlacement& placement,
                         uint32_t chunk);
  ChunkPlacement PrepareChunk(const PendingTransaction& pending, const Job& job,
                              uint32_t chunk) const;
  // Whether the transaction has room for one more start in the chunk.
  bool TransactionAllowsStart(const PendingTransaction& pending, const Job& job,
                              uint32_t chunk) const;
  void AddStart(PendingTransaction& pending, JobPlacement& placement,
                ChunkPlacement& chunk, uint32_t task, Machine& machine);
  // Whether all tasks of a gang can start now: none of them may still be on a
  // machine, and the machines must have capacity for all of them together.
  bool GangFits(const Job& job) const;
  // Makes a replica wait a moment for a machine that has its image, instead of
  // starting on `machine`, which would have to fetch the image first: tells
  // tasks of lower priority on such a machine to stop. Returns false, and stops
  // nothing, if the replica should start on `machine`.
  bool DisplaceForImage(const JobPlacement& placement, const Machine& machine);
  // Whether the starts of the job's tasks must be stored in a total order with
  // those of other partitions, because their placement depends on each other.
  bool NeedsOrderedStarts(const Job& job) const;
  bool Owns(const Job& job, uint32_t chunk) const;
  // How many tasks of one chunk may be on machines at the same time, so that
  // all live controllers can read its record.
  size_t MaxBoundInChunk() const;

  Context& context_;
  const OwnershipTerm& term_;
  MachineRegistry& machines_;
  TeamQuota& quota_;
  const FailureTracker& failures_;
  ChunkTransfer transfer_;
  Displacer displacer_;
  RecordSizes sizes_;
  // Since when tasks of a job have been waiting here, by job.
  std::map<std::string, SteadyTime> waiting_since_;
  // The machines that accept tasks, for the transaction being built.
  std::vector<Machine*> schedulable_machines_;
  // The most processors that a waiting task needs, in the unit of
  // Resources::cpus.
  int64_t max_waiting_task_cpus_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_TASK_STARTER_H_
