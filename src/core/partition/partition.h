// One partition of the cluster as its owner runs it: the machines that hash
// into it, the chunks of jobs that it owns.
//
// Everything is decided by comparing what is stored with the machines' newest
// reports. One transaction at a time carries the outcome: ends, new
// assignments, finished jobs; it depends on the partition's fencing token, on
// the modification revisions of the segments that it overwrites and on those of
// the jobs whose tasks start. Nobody else writes what the partition owns, so
// nothing else can have changed. Reports are answered after it, so that starts
// and acknowledgements follow what is stored.
#ifndef PITCHFALL_CORE_PARTITION_PARTITION_H_
#define PITCHFALL_CORE_PARTITION_PARTITION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/membership/fencing_token_announcer.h"
#include "core/model/machine.h"
#include "core/partition/failure_tracker.h"
#include "core/scheduling/displacement.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/team_quota.h"
#include "core/state/context.h"

namespace pitchfall {

class Partition : public ChunkListener {
 public:
  Partition(Context& context, uint32_t number, uint64_t fencing_token);
  ~Partition() override;
  Partition(const Partition&) = delete;
  Partition& operator=(const Partition&) = delete;

  void OnWorkerHeartbeat(RequestId request, const WorkerHeartbeat& heartbeat);
  void Step();
  // Another controller says that it owns the partition, and by which fencing
  // token.
  void OnPeerClaim(const std::string& label, uint64_t fencing_token);

  void OnChunk(const Job& job, uint32_t chunk, const Job::Chunk* before,
               const Job::Chunk* after) override;

  uint32_t number() const { return number_; }
  uint64_t fencing_token() const { return fencing_token_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  FreeCapacity Free() const;
  // Since when no worker has been heard; owners that their workers cannot
  // reach give the partition away.
  SteadyTime last_heard() const { return last_heard_; }
  // When it last sent a transaction; before any, when it was taken over.
  SteadyTime last_write() const { return last_write_; }

 private:
  using ChunkKey = StateCache::ChunkKey;
  static constexpr size_t kAnyNumber = SIZE_MAX;

  // Changes to be stored together.
  struct Draft {
    struct ChunkChange {
      const Job* job = nullptr;
      ChunkRecord record;
    };
    std::map<ChunkKey, ChunkChange> chunks;
    std::set<const Job*, OrderById> starting;
    // Those of them whose tasks' places depend on what other partitions start:
    // the job's record is written anew, so that of two such starts that do not
    // know of each other the second fails.
    std::set<const Job*, OrderById> ordered_starts;
    // New owners of these jobs' chunks.
    std::map<std::string, std::vector<ChunkOwner>> transfers;
    std::map<std::string, TeamRecord> teams;
    std::set<std::string> done_jobs;
    std::optional<LoadRecord> load;
    Duration waited{0};  // of the tasks that start
    // What to remember of machines and jobs once it is stored.
    std::vector<std::pair<std::string, std::string>> failures;  // machine, job
    std::vector<std::pair<std::string, std::string>> successes;
    std::vector<std::pair<std::string, std::string>> refusals;
    std::vector<std::pair<std::string, std::string>> ended_replicas;
    uint32_t starts = 0;
    // Puts beside those of the segments.
    size_t others() const {
      return teams.size() + done_jobs.size() + transfers.size() +
             ordered_starts.size() + (load ? 1 : 0);
    }
    bool empty() const { return chunks.empty() && others() == 0; }
  };

  // How many puts the next transaction may have beside one segment.
  size_t draft_limit_ = 0;
  size_t max_starting_ = 0;  // jobs whose tasks it may start
  int64_t widest_ = 0;       // processors of the largest task that waits
  // Chunks that it may change. Thousands of tasks may end at one moment, more
  // than a transaction takes: the rest is left to the next.
  size_t max_chunks_ = kAnyNumber;
  bool last_write_refused_ = false;  // the last one was too large

  Machine& GetMachine(const std::string& name);
  // Whether the heartbeat is an old copy that says nothing about the machine
  // now.
  bool IsStale(const WorkerHeartbeat& heartbeat) const;
  void UpdateMachine(Machine& machine);
  // What a newer heartbeat says about whether the machine hears answers.
  void UpdateInboundReachability(Machine& machine,
                                 const std::optional<WorkerHeartbeat>& before);
  bool InboundUnreachable(const Machine& machine) const;
  bool Wanted(const BoundAttempt& task) const;
  void LogReplicaUp(const Machine& machine,
                    const std::pair<const TaskKey, BoundAttempt>& entry) const;
  void NoteProvenReplica(const Machine& machine, BoundAttempt& task);
  bool MayAnswer() const;
  void AnswerHeartbeat(Machine& machine);
  void AnswerHeartbeats(SteadyTime before);
  void RefuseHeartbeat(Machine& machine);

  CommandPolicy Policy(const Machine& machine) const;
  // Stops go to the workers at once.
  void SendStops();
  void OnStopped(const std::string& name,
                 const std::vector<WorkerCommand>& stops,
                 const WorkerReply& reply);
  void CheckMachines();
  void DrainCheckpointed(Machine& machine);
  void DrainReplicas(Machine& machine);
  bool HasCapacityElsewhere(const Machine& machine, const JobSpec& spec) const;
  void DeleteMachines();

  void ReconcileMachines();
  void ScheduleTasks();
  // What should be stored next.
  Draft MakeDraft(const std::vector<const Job*>& jobs);
  void ForgetPlanned();
  void AdvanceWriteFence();
  // Adds this period's report to what is stored next.
  void DraftLoad(Draft& draft);
  void LogLoad(const LoadRecord& load) const;
  // A task whose end is seen and not stored yet.
  struct TaskEnd {
    Machine* machine = nullptr;
    BoundAttempt* bound = nullptr;
    uint32_t task = 0;
    AttemptOutcome outcome = AttemptOutcome::kGone;
  };
  using EndsByChunk = std::map<ChunkKey, std::vector<TaskEnd>>;
  EndsByChunk FindEnds();
  ChunkRecord RecordAfter(const std::vector<TaskEnd>& ends,
                          uint32_t chunk) const;
  void RecordEnd(Draft& draft, const Job& job, const TaskEnd& end);
  Draft::ChunkChange& ChangeOf(Draft& draft, const Job& job, uint32_t chunk);
  bool MayChange(const Draft& draft, const Job& job, uint32_t chunk) const;
  void DraftEnds(Draft& draft);
  void DraftFinishedJobs(Draft& draft);
  void DraftStarts(Draft& draft, const std::vector<const Job*>& jobs);
  void Preempt(const std::vector<const Job*>& jobs);
  bool AwaitsImage(const Job& job, const Machine& machine, const ZoneUse& use,
                   const std::vector<Machine*>& open);
  bool MayTransferSoon(const Job& job) const;
  bool GangFits(const Job& job, const std::vector<Machine*>& open) const;
  bool Owns(const Job& job, uint32_t chunk) const {
    return job.owner_of(chunk, context_.partition_count).partition == number_;
  }
  // Whether a start of the job's tasks must not pass by another partition's.
  bool NeedsOrderedStarts(const Job& job) const {
    return job.constrained() && job.shared(context_.partition_count);
  }
  // Gives chunks that wait here for capacity to partitions that have some.
  void DraftTransfers(Draft& draft, const Job& job);
  enum class Placed : uint8_t { kAll, kNoMachine, kNoQuota };
  Placed StartsInChunk(Draft& draft, const Job& job, uint32_t chunk,
                       ZoneUse& use, const std::vector<Machine*>& open);
  bool FitsValue(const JobRecord& record) const;
  bool FitsSegment(const std::string& job, uint32_t chunk,
                   const ChunkRecord& record) const;
  bool FitsWithOneMore(const std::string& job, uint32_t chunk,
                       const ChunkRecord& record) const;
  // None if the partition's segments have no capacity for so much at once.
  std::optional<Transaction> MakeTransaction(const Draft& draft) const;
  void Store(Draft draft, Transaction txn);
  void OnStored(const Draft& draft, const Transaction& txn, SteadyTime started,
                const StateReply& reply);

  void RecordOutcomes(const Draft& draft);
  void RecordFailure(const std::string& machine, const std::string& job);
  void Quarantine(const std::string& name);

  Context& context_;
  // Replies that come after this partition was transferred find it expired.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  const uint32_t number_;
  const uint64_t fencing_token_;
  bool loading_chunks_ =
      true;  // while the chunks of earlier owners are read in
  // A later owner is known of, though the state does not show it here yet.
  bool deposed_ = false;
  std::string successor_;  // if it has told so itself
  SteadyTime owned_since_;
  SteadyTime last_heard_;
  SteadyTime last_write_;
  TeamQuota quota_;
  Displacer displacer_;

  std::map<std::string, Machine> machines_;
  // Machines whose deletion was confirmed. Names are never used again.
  std::set<std::string> deleted_;
  FailureTracker failures_;
  std::set<std::string> proven_services_;  // of which a replica has run well
  std::map<std::string, SteadyTime> waiting_since_;  // by job

  // Since the last report.
  uint64_t reported_period_ = 0;
  uint32_t started_ = 0;
  Duration waited_{0};

  uint64_t write_fence_ =
      0;  // modification revision of this ownership's write fence key
  bool outcome_unknown_ = false;
  bool storing_ = false;
  bool short_of_write_tokens_ =
      false;  // for the transaction to be planned next
  bool schedule_needed_ = true;
  SteadyTime next_schedule_{};
  SteadyTime next_reconcile_{};
  bool deleting_ = false;
  SteadyTime next_delete_{};
  FencingTokenAnnouncer announcer_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PART_H_
