#include "core/state/state_cache.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace pitchfall {
namespace {

// More than controllers tell each other of at once.
constexpr size_t kMaxCancellations = 1000;

bool TakePrefix(std::string_view& key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return false;
  key.remove_prefix(prefix.size());
  return true;
}

}  // namespace

template <typename T>
void StateCache::ApplyTo(Table<T>& table, const std::string& name,
                         const Change& change) {
  auto it = table.find(name);
  if (it != table.end() && it->second.mod_revision >= change.mod_revision)
    return;
  const T* value = change.value ? std::get_if<T>(&*change.value) : nullptr;
  if (value != nullptr) {
    table.insert_or_assign(name, Versioned<T>{*value, change.mod_revision});
  } else if (it != table.end()) {
    table.erase(it);
  }
}

template <typename T>
void StateCache::ApplyTo(std::optional<Versioned<T>>& slot,
                         const Change& change) {
  if (slot && slot->mod_revision >= change.mod_revision) return;
  const T* value = change.value ? std::get_if<T>(&*change.value) : nullptr;
  slot.reset();
  if (value != nullptr) slot = Versioned<T>{*value, change.mod_revision};
}

void StateCache::Apply(const Change& change) {
  // What a reading up to `revision_` has shown cannot be news, and could bring
  // back a key that has been deleted since.
  if (change.mod_revision <= revision_ || change.unreadable) return;
  auto buried = tombstones_.find(change.key);
  if (buried != tombstones_.end() && buried->second >= change.mod_revision)
    return;
  if (!change.value) tombstones_[change.key] = change.mod_revision;
  std::string_view rest = change.key;
  if (TakePrefix(rest, keys::kJobs)) {
    ApplyJob(std::string(rest), change);
  } else if (TakePrefix(rest, keys::kSegments)) {
    ApplySegment(rest, change);
  } else if (TakePrefix(rest, keys::kNodes)) {
    ApplyTo(nodes_, std::string(rest), change);
  } else if (TakePrefix(rest, keys::kPartitions)) {
    ApplyTo(partitions_, std::string(rest), change);
  } else if (TakePrefix(rest, keys::kInstanceRequests)) {
    ApplyTo(instance_requests_, std::string(rest), change);
  } else if (TakePrefix(rest, keys::kTeams)) {
    ApplyTo(teams_, std::string(rest), change);
  } else if (change.key == keys::kTypes) {
    ApplyTo(types_, change);
  } else if (change.key == keys::kDrain) {
    ApplyTo(drain_, change);
    draining_.clear();
    if (drain_) {
      draining_.insert(drain_->value.machines.begin(),
                       drain_->value.machines.end());
    }
  } else if (TakePrefix(rest, keys::kLoads)) {
    ApplyTo(loads_, std::string(rest), change);
  } else if (change.key == keys::kSizing) {
    ApplyTo(sizing_, change);
  }
}

void StateCache::AdvanceTo(uint64_t revision) {
  if (revision <= revision_) return;
  revision_ = revision;
  std::erase_if(tombstones_,
                [&](const auto& entry) { return entry.second <= revision; });
  Settle();
}

void StateCache::ApplyJob(const std::string& id, const Change& change) {
  const JobRecord* record =
      change.value ? std::get_if<JobRecord>(&*change.value) : nullptr;
  if (record == nullptr) return;  // job records are never deleted
  auto& slot = jobs_[id];
  if (slot && slot->mod_revision >= change.mod_revision) return;
  if (!slot) slot = std::make_unique<Job>();
  slot->record = *record;
  slot->mod_revision = change.mod_revision;
  if (record->state == JobState::kCancelled) {
    cancellations_.insert({change.mod_revision, id});
    if (cancellations_.size() > kMaxCancellations) {
      cancellations_from_ = cancellations_.begin()->first;
      cancellations_.erase(cancellations_.begin());
    }
  }
  Refresh(*slot);
}

std::optional<std::vector<std::string>> StateCache::CancelledSince(
    uint64_t revision, size_t most) const {
  if (revision < cancellations_from_) return std::nullopt;
  std::vector<std::string> cancelled;
  for (auto it = cancellations_.lower_bound({revision + 1, ""});
       it != cancellations_.end(); ++it) {
    if (cancelled.size() >= most) return std::nullopt;
    cancelled.push_back(it->second);
  }
  return cancelled;
}

void StateCache::ApplySegment(std::string_view partition_and_slot,
                              const Change& change) {
  size_t slash = partition_and_slot.find('/');
  if (slash == std::string_view::npos) return;
  auto number = [](std::string_view text, uint32_t& out) {
    const char* end = text.data() + text.size();
    return std::from_chars(text.data(), end, out).ptr == end;
  };
  uint32_t partition = 0;
  uint32_t slot = 0;
  if (!number(partition_and_slot.substr(0, slash), partition) ||
      !number(partition_and_slot.substr(slash + 1), slot)) {
    return;
  }
  const SegmentRecord* record =
      change.value ? std::get_if<SegmentRecord>(&*change.value) : nullptr;
  Segment& segment = segments_[{partition, slot}];
  // The same again may name jobs that were unknown the first time.
  if (record == nullptr || segment.mod_revision > change.mod_revision) return;
  segment.mod_revision = change.mod_revision;
  segment.chunks.clear();
  for (const SegmentRecord::Entry& entry : record->entries) {
    auto job = jobs_.find(entry.job);
    if (job == jobs_.end()) continue;
    segment.chunks.push_back({entry.job, entry.chunk});
    SetChunk(*job->second, entry.chunk,
             {entry.record, change.mod_revision, partition, slot});
  }
}

// A chunk that has been transferred is newer in the new owner's segments,
// whenever the old owner copies its last version forward.
void StateCache::SetChunk(Job& job, uint32_t chunk, Job::Chunk version) {
  auto order = [](const Job::Chunk& c) {
    return std::pair(c.record.epoch, c.mod_revision);
  };
  // Replicas are never done, whatever an earlier version has noted.
  if (job.spec().shape == Shape::kService) version.record.done.clear();
  auto [it, is_new] = job.chunks.try_emplace(chunk);
  Job::Chunk& slot = it->second;
  if (!is_new && order(slot) >= order(version)) return;
  if (!is_new && slot.partition == version.partition &&
      slot.record == version.record) {
    // Copied forward.
    slot.mod_revision = version.mod_revision;
    slot.slot = version.slot;
    return;
  }
  if (!is_new) CountLive(slot, -1);
  Job::Chunk before = std::exchange(slot, std::move(version));
  CountLive(slot, 1);
  job.done += CountTasks(slot.record.done) - CountTasks(before.record.done);
  job.assigned += static_cast<uint32_t>(slot.record.assigned.size()) -
                  static_cast<uint32_t>(before.record.assigned.size());
  for (ChunkListener* listener : listeners_) {
    listener->OnChunk(job, chunk, is_new ? nullptr : &before, &slot);
  }
  Refresh(job);
}

void StateCache::CountLive(const Job::Chunk& chunk, int sign) {
  constexpr int64_t kChunk = 40;
  constexpr int64_t kAssignment = 20;
  auto assigned = static_cast<int64_t>(chunk.record.assigned.size());
  live_bytes_[chunk.partition] += sign * (kChunk + kAssignment * assigned);
}

void StateCache::Refresh(Job& job) {
  if (job.open()) {
    open_jobs_[job.spec().id] = &job;
    closing_.erase(&job);
  } else {
    open_jobs_.erase(job.spec().id);
    closing_.insert(&job);
  }
}

// Of a job that is over only its end is still asked for. It is forgotten only
// once everything up to the newest change has been read: an older segment that
// is read later would otherwise bind its tasks again, and what they need would
// be unknown.
void StateCache::Settle() {
  std::erase_if(closing_, [this](Job* job) {
    for (const auto& [number, chunk] : job->chunks) {
      if (chunk.mod_revision > revision_) return false;
    }
    for (const auto& [number, chunk] : job->chunks) CountLive(chunk, -1);
    job->chunks.clear();
    JobSpec spec;
    spec.id = job->spec().id;
    spec.tasks = job->spec().tasks;
    job->record.spec = std::move(spec);
    job->record.owners = {};
    return true;
  });
}

void StateCache::Replace(StateCache fresh) {
  std::vector<ChunkListener*> listeners = std::move(listeners_);
  for (const auto& [id, job] : open_jobs_) {
    for (const auto& [number, chunk] : job->chunks) {
      for (ChunkListener* listener : listeners) {
        listener->OnChunk(*job, number, &chunk, nullptr);
      }
    }
  }
  *this = std::move(fresh);
  listeners_ = std::move(listeners);
  for (const auto& [id, job] : open_jobs_) {
    for (const auto& [number, chunk] : job->chunks) {
      for (ChunkListener* listener : listeners_) {
        listener->OnChunk(*job, number, nullptr, &chunk);
      }
    }
  }
}

const Job* StateCache::FindJob(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const StateCache::Versioned<PartitionRecord>* StateCache::FindPartition(
    uint32_t partition) const {
  auto it = partitions_.find(std::to_string(partition));
  return it == partitions_.end() ? nullptr : &it->second;
}

const StateCache::Versioned<LoadRecord>* StateCache::FindLoad(
    uint32_t partition) const {
  auto it = loads_.find(std::to_string(partition));
  return it == loads_.end() ? nullptr : &it->second;
}

uint32_t StateCache::PartitionCount() const {
  uint32_t count = 0;
  for (const auto& [name, partition] : partitions_) {
    uint32_t number = 0;
    std::from_chars(name.data(), name.data() + name.size(), number);
    count = std::max(count, number + 1);
  }
  return count;
}

const StateCache::Segment* StateCache::FindSegment(uint32_t partition,
                                                   uint32_t slot) const {
  auto it = segments_.find({partition, slot});
  return it == segments_.end() ? nullptr : &it->second;
}

uint32_t StateCache::SlotCount(uint32_t partition) const {
  auto next = segments_.lower_bound({partition + 1, 0});
  if (next == segments_.begin()) return 0;
  const auto& [key, segment] = *std::prev(next);
  return key.first == partition ? key.second + 1 : 0;
}

size_t StateCache::LiveBytes(uint32_t partition) const {
  auto live = live_bytes_.find(partition);
  return live == live_bytes_.end() ? 0 : static_cast<size_t>(live->second);
}

const MachineType* StateCache::FindType(const std::string& name) const {
  if (!types_) return nullptr;
  for (const MachineType& type : types_->value.types) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

bool StateCache::NodeAlive(const PartitionRecord& owner) const {
  return nodes_.contains(owner.label + "." + owner.incarnation);
}

bool StateCache::AllNodesSupport(uint32_t version) const {
  return std::ranges::all_of(nodes_, [version](const auto& node) {
    return node.second.value.version >= version;
  });
}

}  // namespace pitchfall
