// Jobs and the newest versions of their chunks, assembled from job records and
// segments.
//
// A chunk's record may be present in several segments: in the one that was
// written last for it, and in older ones that have not been overwritten yet.
// Segments arrive in any order. Every version therefore has the chunk's epoch
// and its segment's modification revision, and the version with the higher pair
// (epoch, modification revision) is the newer one.
#ifndef PITCHFALL_CORE_STATE_JOB_TABLE_H_
#define PITCHFALL_CORE_STATE_JOB_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/model/job.h"
#include "core/model/messages.h"
#include "core/model/records.h"
#include "core/state/live_bytes.h"

namespace pitchfall {

// Is notified of every change of a chunk. This allows the use of machines and
// of team quotas to be counted incrementally, without a pass over all jobs.
class ChunkListener {
 public:
  virtual ~ChunkListener() = default;
  // `before` is null for a new chunk, `after` for one that is removed. The job
  // is still in the table during the call.
  virtual void OnChunkChanged(const Job& job, uint32_t chunk,
                              const Job::Chunk* before,
                              const Job::Chunk* after) = 0;
};

// Returns whether `candidate` is a newer version of a chunk than `current`. For
// a chunk that has been transferred, the new owner's versions are newer, even
// when the old owner copies its last version forward afterwards.
bool Supersedes(const Job::Chunk& candidate, const Job::Chunk& current);

// Owns the jobs and notifies listeners of changes in their chunks. The table is
// movable; pointers to jobs stay valid when it is moved.
class JobTable {
 public:
  using ChunkKey = std::pair<std::string, uint32_t>;  // job, chunk
  using Listeners = std::vector<ChunkListener*>;
  // What a slot of a partition's ring of segments contains since its last
  // write.
  struct Segment {
    uint64_t mod_revision = 0;
    std::vector<ChunkKey> chunks;  // only those of known jobs
  };

  // Applies a job record. Returns false, and changes nothing, if it is not
  // newer than the present one or is not a job record.
  bool ApplyJob(const std::string& id, const Change& change);
  // Applies a segment. `partition_and_slot` is the last part of its key, as in
  // "3/17". A segment with a malformed key is ignored, as are chunks of unknown
  // jobs.
  void ApplySegment(std::string_view partition_and_slot, const Change& change);
  // Removes the jobs that are final without bound tasks, and returns their
  // outcomes, ordered by identifier. Precondition: everything up to `revision`
  // has been applied. Jobs whose record or chunks are newer are kept for a
  // later call: a change that has not been read yet could otherwise add them
  // again as they were before.
  std::vector<JobOutcome> RemoveFinished(uint64_t revision);

  // Null if there is no such job.
  const Job* Find(const std::string& id) const;
  // Jobs that are not final or still have tasks bound to machines, by id.
  const std::map<std::string, Job*>& open_jobs() const { return open_jobs_; }
  // How many jobs the table holds, open or not.
  size_t size() const { return jobs_.size(); }
  // Null if no segment of this slot is known.
  const Segment* FindSegment(uint32_t partition, uint32_t slot) const;
  // One more than the highest slot of the partition that was ever written; 0 if
  // none was.
  uint32_t SlotCount(uint32_t partition) const;
  // An estimate of how many bytes the newest versions of the partition's chunks
  // take.
  size_t LiveBytesIn(uint32_t partition) const {
    return live_bytes_.In(partition);
  }

  // A listener must be removed before it is destroyed.
  void AddListener(ChunkListener* listener) { listeners_.push_back(listener); }
  void RemoveListener(ChunkListener* listener) {
    std::erase(listeners_, listener);
  }
  // Removes all listeners and returns them.
  Listeners TakeListeners() { return std::exchange(listeners_, {}); }
  void SetListeners(Listeners listeners) { listeners_ = std::move(listeners); }
  // Reports all chunks of open jobs to these listeners as removed, or as new.
  void NotifyChunksRemoved(const Listeners& listeners) const;
  void NotifyChunksAdded(const Listeners& listeners) const;

 private:
  using SegmentKey = std::pair<uint32_t, uint32_t>;  // partition, slot

  // Makes `version` the chunk's current one if it is newer.
  void ApplyChunk(Job& job, uint32_t chunk, Job::Chunk version);
  // Replaces `current`, updates all counts and notifies the listeners.
  // `current` is empty if the chunk is new.
  void ReplaceChunk(Job& job, uint32_t chunk, Job::Chunk& current, bool is_new,
                    Job::Chunk version);
  // Calls `visit` with the job, number and version of each chunk of open jobs.
  template <typename Visitor>
  void ForEachOpenChunk(Visitor visit) const;
  // Moves the job to the open or to the finished ones, according to its state.
  void UpdateOpenJobs(Job& job);

  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, Job*> open_jobs_;
  // Jobs that are final without bound tasks, but of which older changes may
  // still arrive from the state service.
  std::set<Job*, OrderById> finished_jobs_;
  std::map<SegmentKey, Segment> segments_;
  LiveBytes live_bytes_;
  Listeners listeners_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_JOB_TABLE_H_
