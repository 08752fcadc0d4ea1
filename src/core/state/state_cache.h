// This process's copy of the records in the state service, kept up to date by
// reads of the service's change log.
#ifndef PITCHFALL_CORE_STATE_STATE_CACHE_H_
#define PITCHFALL_CORE_STATE_STATE_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/model/job.h"
#include "core/model/messages.h"
#include "core/model/records.h"
#include "core/state/job_table.h"
#include "core/state/recent_cancellations.h"
#include "core/state/recent_outcomes.h"
#include "core/state/tombstones.h"
#include "core/state/versioned.h"

namespace pitchfall {

// All stored records by type, except those of jobs that have ended: only the
// outcomes of the most recent ones are kept. The cache is modified only by
// applying changes of the state service: those read from its log, and those
// that this process made itself. Pointers and references into the cache are
// valid until the next modification.
class StateCache {
 public:
  template <typename T>
  using Versioned = pitchfall::Versioned<T>;
  template <typename T>
  using Table = VersionedTable<T>;
  using ChunkKey = JobTable::ChunkKey;
  using Segment = JobTable::Segment;

  // Applies a change from the log, a row of a list, or a change that this
  // process has made itself. Unreadable records are ignored. Changes that are
  // not newer than the cached state are ignored too, because replies can arrive
  // out of order.
  void Apply(const Change &change);
  // Sets revision(). Precondition: everything up to this revision has been
  // applied. A lower revision than the present one has no effect.
  void AdvanceTo(uint64_t revision);
  // Removes the jobs that have ended, also after revision(). To be called
  // before the cache is used, if the changes since revision() will be applied
  // in one go.
  void RemoveEndedJobs();
  // Replaces all records by those of a complete new listing; outcomes stay.
  // Listeners are notified that all chunks are removed and that the new ones
  // are added.
  void Replace(StateCache new_cache);

  // Everything up to this revision has been applied. 0 before the first call of
  // AdvanceTo.
  uint64_t revision() const { return revision_; }

  // Null if there is no such job, or if it is final, none of its tasks is bound
  // to a machine, and everything up to its end has been applied.
  const Job *FindJob(const std::string &id) const { return jobs_.Find(id); }
  // Jobs that are not final or still have tasks bound to machines, by id.
  const std::map<std::string, Job *> &open_jobs() const {
    return jobs_.open_jobs();
  }
  // How many jobs the cache holds, open ones and those that ended after
  // revision().
  size_t job_count() const { return jobs_.size(); }
  // The outcome of a job that has ended, or null if it is not known here: the
  // job may be open, may have ended long ago, or may not exist.
  std::optional<JobOutcome> FindOutcome(const std::string &id) const;
  // Keeps an outcome that was read from the state service.
  void AddOutcome(const JobOutcome &outcome) { recent_outcomes_.Add(outcome); }
  // Returns the jobs that were cancelled after the revision, oldest first.
  // Returns nullopt if there may be more than `max_count`.
  std::optional<std::vector<std::string>> CancelledSince(
      uint64_t revision, size_t max_count) const {
    return recent_cancellations_.Since(revision, max_count);
  }

  // Whether the cancellation of the job is known and was applied recently.
  bool IsRecentlyCancelled(const std::string &id) const {
    return recent_cancellations_.Contains(id);
  }

  // How many cancellations the cache has been shown.
  uint64_t cancellations_shown() const { return recent_cancellations_.added(); }

  // Null if no segment of this slot is known.
  const Segment *FindSegment(uint32_t partition, uint32_t slot) const {
    return jobs_.FindSegment(partition, slot);
  }
  // One more than the highest slot of the partition that was ever written; 0 if
  // none was.
  uint32_t SlotCount(uint32_t partition) const {
    return jobs_.SlotCount(partition);
  }
  // An estimate of how many bytes the newest versions of the partition's chunks
  // take.
  size_t LiveBytes(uint32_t partition) const {
    return jobs_.LiveBytesIn(partition);
  }

  // Null if the partition never had an owner.
  const Versioned<PartitionRecord> *FindPartition(uint32_t partition) const;
  // One more than the highest number of a partition that ever had an owner; 0
  // if none had.
  uint32_t PartitionCount() const;
  // Null if the partition's owner has not reported any load.
  const Versioned<LoadRecord> *FindLoad(uint32_t partition) const;

  // The live controllers, by "label.incarnation".
  const Table<NodeRecord> &nodes() const { return nodes_; }
  // Whether the process that the record names as owner still has its lease.
  bool IsOwnerAlive(const PartitionRecord &owner) const;
  // Whether every live controller has this version or a later one. A controller
  // that has ended or cannot reach the state service loses its lease and is
  // not taken into account.
  bool AllNodesSupport(uint32_t version) const;

  const Table<InstanceRequestRecord> &instance_requests() const {
    return instance_requests_;
  }
  const Table<TeamRecord> &teams() const { return teams_; }
  const std::optional<Versioned<TypesRecord>> &types() const { return types_; }
  // Null if the cloud's machine types are not known yet or do not include this
  // one.
  const MachineType *FindType(const std::string &name) const;
  const std::optional<Versioned<DrainRecord>> &drain() const { return drain_; }
  // Whether the machine is being scaled in.
  bool IsDraining(const std::string &machine) const {
    return draining_.contains(machine);
  }
  const std::optional<Versioned<SizingRecord>> &sizing() const {
    return sizing_;
  }

  // The newest complete snapshot of the open jobs; empty if there is none.
  const std::optional<Versioned<OpenJobsSnapshot>> &open_jobs_snapshot() const {
    return open_jobs_snapshot_;
  }
  // Notes that the cache has not been shown all cancellations up to this
  // revision.
  void MissCancellationsUpTo(uint64_t revision) {
    recent_cancellations_.MissUpTo(revision);
  }

  // A listener must be removed before it is destroyed.
  void AddListener(ChunkListener *listener) { jobs_.AddListener(listener); }
  void RemoveListener(ChunkListener *listener) {
    jobs_.RemoveListener(listener);
  }

 private:
  // Applies the change if its key belongs to one of the tables; returns false
  // if it does not.
  bool ApplyToTable(std::string_view key, const Change &change);
  void ApplyToSingleRecord(std::string_view key, const Change &change);
  void ApplyJob(const std::string &id, const Change &change);
  void RemoveJobsEndedUpTo(uint64_t revision);
  void ApplyDrain(const Change &change);

  uint64_t revision_ = 0;
  Tombstones tombstones_;  // of deletions newer than `revision_`
  JobTable jobs_;
  RecentOutcomes recent_outcomes_;
  RecentCancellations recent_cancellations_;
  Table<NodeRecord> nodes_;
  Table<PartitionRecord> partitions_;  // by number of the partition
  Table<InstanceRequestRecord> instance_requests_;
  Table<TeamRecord> teams_;
  Table<LoadRecord> loads_;  // by number of the partition
  std::optional<Versioned<TypesRecord>> types_;
  std::optional<Versioned<DrainRecord>> drain_;
  std::unordered_set<std::string> draining_;  // machines listed in `drain_`
  std::optional<Versioned<SizingRecord>> sizing_;
  std::optional<Versioned<OpenJobsSnapshot>> open_jobs_snapshot_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_STATE_CACHE_H_
