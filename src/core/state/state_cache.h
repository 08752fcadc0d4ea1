// This process's copy of what the state service holds, kept by watch reads.
#ifndef PITCHFALL_CORE_STATE_STATE_CACHE_H_
#define PITCHFALL_CORE_STATE_STATE_CACHE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/model/job.h"
#include "core/model/messages.h"
#include "core/model/records.h"

namespace pitchfall {

// Told of every change of a chunk, with the job still in place, so that users
// of machines and teams can be counted without looking at everything again.
class ChunkListener {
 public:
  virtual ~ChunkListener() = default;
  virtual void OnChunk(const Job& job, uint32_t chunk, const Job::Chunk* before,
                       const Job::Chunk* after) = 0;
};

class StateCache {
 public:
  template <typename T>
  struct Versioned {
    T value;
    uint64_t mod_revision = 0;
  };
  template <typename T>
  using Table = std::map<std::string, Versioned<T>>;
  using ChunkKey = std::pair<std::string, uint32_t>;  // job, chunk
  struct Segment {
    uint64_t mod_revision = 0;
    std::vector<ChunkKey> chunks;
  };

  // Applies changes in order of revision, or the rows of a list. A change older
  // than what is here is passed over: replies can overtake each other.
  void Apply(const Change& change);
  // Everything up to this revision has been applied.
  void AdvanceTo(uint64_t revision);
  // Takes over what a fresh reading found; listeners see the differences as a
  // removal of all chunks and an arrival of the new ones.
  void Replace(StateCache fresh);

  uint64_t revision() const { return revision_; }

  const Job* FindJob(const std::string& id) const;
  // Jobs that are not final, or still have tasks bound to machines.
  const std::map<std::string, Job*>& open_jobs() const { return open_jobs_; }

  // Jobs that were cancelled after the revision, up to `most` of them; none if
  // there may be more.
  std::optional<std::vector<std::string>> CancelledSince(uint64_t revision,
                                                         size_t most) const;

  const Table<NodeRecord>& nodes() const { return nodes_; }
  const Table<InstanceRequestRecord>& instance_requests() const {
    return instance_requests_;
  }
  const Table<TeamRecord>& teams() const { return teams_; }
  const Versioned<PartitionRecord>* FindPartition(uint32_t partition) const;
  // One more than the highest number of a partition that ever had an owner.
  uint32_t PartitionCount() const;
  const Segment* FindSegment(uint32_t partition, uint32_t slot) const;
  // One more than the number of the partition's last slot ever written.
  uint32_t SlotCount(uint32_t partition) const;
  // How many bytes the newest versions of the partition's chunks take, about.
  size_t LiveBytes(uint32_t partition) const;
  const std::optional<Versioned<TypesRecord>>& types() const { return types_; }
  const std::optional<Versioned<DrainRecord>>& drain() const { return drain_; }
  bool Draining(const std::string& machine) const {
    return draining_.contains(machine);
  }
  const Versioned<LoadRecord>* FindLoad(uint32_t partition) const;
  const std::optional<Versioned<SizingRecord>>& sizing() const {
    return sizing_;
  }
  const MachineType* FindType(const std::string& name) const;
  bool NodeAlive(const PartitionRecord& owner) const;
  // Whether every live controller is of this version or a later one. One that
  // is gone or cannot reach the state service loses its lease, and counts no
  // more.
  bool AllNodesSupport(uint32_t version) const;

  void AddListener(ChunkListener* listener) { listeners_.push_back(listener); }
  void RemoveListener(ChunkListener* listener) {
    std::erase(listeners_, listener);
  }

 private:
  void ApplyJob(const std::string& id, const Change& change);
  void ApplySegment(std::string_view partition_and_slot, const Change& change);
  void SetChunk(Job& job, uint32_t chunk, Job::Chunk version);
  void Refresh(Job& job);
  void Settle();
  void CountLive(const Job::Chunk& chunk, int sign);
  template <typename T>
  static void ApplyTo(Table<T>& table, const std::string& name,
                      const Change& change);
  template <typename T>
  static void ApplyTo(std::optional<Versioned<T>>& slot, const Change& change);

  uint64_t revision_ = 0;
  // Deletions ahead of `revision_`: our own, applied before a reading shows
  // them. A reading on the way may still bring the key's last value.
  std::map<std::string, uint64_t> tombstones_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, Job*> open_jobs_;
  // Jobs that are over with nothing bound, of which older news may still come.
  std::set<Job*> closing_;
  // The newest cancellations by modification revision, and up to where older
  // ones are left out.
  std::set<std::pair<uint64_t, std::string>> cancellations_;
  uint64_t cancellations_from_ = 0;
  std::map<std::pair<uint32_t, uint32_t>, Segment>
      segments_;                            // partition, slot
  std::map<uint32_t, int64_t> live_bytes_;  // by partition
  Table<NodeRecord> nodes_;
  Table<PartitionRecord> partitions_;
  Table<InstanceRequestRecord> instance_requests_;
  Table<TeamRecord> teams_;
  std::optional<Versioned<TypesRecord>> types_;
  std::optional<Versioned<DrainRecord>> drain_;
  std::unordered_set<std::string> draining_;
  Table<LoadRecord> loads_;
  std::optional<Versioned<SizingRecord>> sizing_;
  std::vector<ChunkListener*> listeners_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MIRROR_H_
