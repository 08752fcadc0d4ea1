// Jobs and the newest versions of their chunks, put together from job records
// and segments.
//
// A chunk may stand in several segments: in the one that was written last for
// it, and in older ones that have not been overwritten yet. Segments arrive in
// any order, so every version names the chunk's epoch and carries its segment's
// modification revision; the higher pair of both counts.
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

// Is told of every change of a chunk, with the job still in place, so that
// users of machines and teams can be counted without looking at everything
// again.
class ChunkListener {
 public:
  virtual ~ChunkListener() = default;
  // `before` is null for a new chunk, `after` for one that is removed.
  virtual void OnChunk(const Job& job, uint32_t chunk, const Job::Chunk* before,
                       const Job::Chunk* after) = 0;
};

// Whether `candidate` is a newer version of a chunk than `current`. A chunk
// that has been transferred is newer in the new owner's segments, even when the
// old owner copies its last version forward afterwards.
bool Supersedes(const Job::Chunk& candidate, const Job::Chunk& current);

// Owns the jobs and tells listeners of what changes in their chunks. Movable;
// pointers to jobs stay valid when it is moved.
class JobTable {
 public:
  using ChunkKey = std::pair<std::string, uint32_t>;  // job, chunk
  using Listeners = std::vector<ChunkListener*>;
  // What a slot of a partition's ring held when it was written last.
  struct Segment {
    uint64_t mod_revision = 0;
    std::vector<ChunkKey> chunks;  // of jobs that are known
  };

  // Applies a job record. False, and nothing changed, if it is not newer than
  // the present one or is no job record.
  bool ApplyJob(const std::string& id, const Change& change);
  // Applies a segment. `partition_and_slot` is the end of its key; a malformed
  // one is ignored, as are chunks of jobs that are not known.
  void ApplySegment(std::string_view partition_and_slot, const Change& change);
  // Drops the chunks and most of the description of jobs that are over.
  // `revision`: everything up to it has been applied.
  void ForgetFinished(uint64_t revision);

  const Job* Find(const std::string& id) const;
  // Jobs that are not final, or still have tasks bound to machines.
  const std::map<std::string, Job*>& open_jobs() const { return open_jobs_; }
  // Null if the slot was never written.
  const Segment* FindSegment(uint32_t partition, uint32_t slot) const;
  // One more than the number of the partition's last slot ever written.
  uint32_t SlotCount(uint32_t partition) const;
  // About how many bytes the newest versions of the partition's chunks take.
  size_t LiveBytesIn(uint32_t partition) const {
    return live_bytes_.In(partition);
  }

  // A listener must be removed before it is destroyed.
  void AddListener(ChunkListener* listener) { listeners_.push_back(listener); }
  void RemoveListener(ChunkListener* listener) {
    std::erase(listeners_, listener);
  }
  // Hands over all listeners, and leaves none.
  Listeners TakeListeners() { return std::exchange(listeners_, {}); }
  void SetListeners(Listeners listeners) { listeners_ = std::move(listeners); }
  // Tells these listeners of all chunks of open jobs that they are removed, or
  // that they have come.
  void AnnounceRemovals(const Listeners& listeners) const;
  void AnnounceArrivals(const Listeners& listeners) const;

 private:
  // Partition and slot.
  using SegmentKey = std::pair<uint32_t, uint32_t>;

  void ApplyChunk(Job& job, uint32_t chunk, Job::Chunk version);
  // Replaces `current`, which is empty if the chunk is new.
  void ReplaceChunk(Job& job, uint32_t chunk, Job::Chunk& current, bool is_new,
                    Job::Chunk version);
  // Calls `visit` with the job, number and version of each chunk of open jobs.
  template <typename Visitor>
  void ForEachOpenChunk(Visitor visit) const;
  // Files the job among the open ones or those that are over.
  void UpdateOpenJobs(Job& job);

  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, Job*> open_jobs_;
  // Jobs that are over with nothing bound, of which older segments may still
  // come.
  std::set<Job*> closing_;
  std::map<SegmentKey, Segment> segments_;
  LiveBytes live_bytes_;
  Listeners listeners_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_JOB_TABLE_H_
