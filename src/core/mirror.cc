#include "core/mirror.h"

#include <charconv>
#include <utility>

namespace pitchfall {
namespace {

bool TakePrefix(std::string_view& key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return false;
  key.remove_prefix(prefix.size());
  return true;
}

}  // namespace

template <typename T>
void Mirror::ApplyTo(Table<T>& table, const std::string& name,
                     const Change& change) {
  auto it = table.find(name);
  if (it != table.end() && it->second.stamp >= change.stamp) return;
  const T* value = change.value ? std::get_if<T>(&*change.value) : nullptr;
  if (value != nullptr) {
    table.insert_or_assign(name, Versioned<T>{*value, change.stamp});
  } else if (it != table.end()) {
    table.erase(it);
  }
}

template <typename T>
void Mirror::ApplyTo(std::optional<Versioned<T>>& slot, const Change& change) {
  if (slot && slot->stamp >= change.stamp) return;
  const T* value = change.value ? std::get_if<T>(&*change.value) : nullptr;
  slot.reset();
  if (value != nullptr) slot = Versioned<T>{*value, change.stamp};
}

void Mirror::Apply(const Change& change) {
  // What a reading up to `revision_` has shown cannot be news, and could bring
  // back a key that has been deleted since.
  if (change.stamp <= revision_ || change.unreadable) return;
  auto buried = tombstones_.find(change.key);
  if (buried != tombstones_.end() && buried->second >= change.stamp) return;
  if (!change.value) tombstones_[change.key] = change.stamp;
  std::string_view rest = change.key;
  if (TakePrefix(rest, keys::kJobs)) {
    ApplyJob(std::string(rest), change);
  } else if (TakePrefix(rest, keys::kRuns)) {
    ApplyChunk(std::string(rest), change);
  } else if (TakePrefix(rest, keys::kNodes)) {
    ApplyTo(nodes_, std::string(rest), change);
  } else if (TakePrefix(rest, keys::kParts)) {
    ApplyTo(parts_, std::string(rest), change);
  } else if (TakePrefix(rest, keys::kRentals)) {
    ApplyTo(rentals_, std::string(rest), change);
  } else if (TakePrefix(rest, keys::kTeams)) {
    ApplyTo(teams_, std::string(rest), change);
  } else if (change.key == keys::kTypes) {
    ApplyTo(types_, change);
  } else if (change.key == keys::kDrain) {
    ApplyTo(drain_, change);
  } else if (TakePrefix(rest, keys::kLoads)) {
    ApplyTo(loads_, std::string(rest), change);
  } else if (change.key == keys::kSizing) {
    ApplyTo(sizing_, change);
  }
}

void Mirror::AdvanceTo(uint64_t revision) {
  if (revision <= revision_) return;
  revision_ = revision;
  std::erase_if(tombstones_,
                [&](const auto& entry) { return entry.second <= revision; });
}

void Mirror::ApplyJob(const std::string& id, const Change& change) {
  const JobRecord* record =
      change.value ? std::get_if<JobRecord>(&*change.value) : nullptr;
  if (record == nullptr) return;  // job records are never deleted
  auto& slot = jobs_[id];
  if (slot && slot->stamp >= change.stamp) return;
  if (!slot) slot = std::make_unique<Job>();
  slot->record = *record;
  slot->stamp = change.stamp;
  Refresh(*slot);
}

void Mirror::ApplyChunk(const std::string& id_and_chunk, const Change& change) {
  size_t slash = id_and_chunk.rfind('/');
  if (slash == std::string::npos) return;
  auto job = jobs_.find(id_and_chunk.substr(0, slash));
  if (job == jobs_.end()) return;
  uint32_t chunk = 0;
  const char* end = id_and_chunk.data() + id_and_chunk.size();
  if (std::from_chars(id_and_chunk.data() + slash + 1, end, chunk).ptr != end) {
    return;
  }
  const ChunkRecord* record =
      change.value ? std::get_if<ChunkRecord>(&*change.value) : nullptr;
  SetChunk(*job->second, chunk,
           record ? std::optional<ChunkRecord>(*record) : std::nullopt,
           change.stamp);
}

void Mirror::SetChunk(Job& job, uint32_t chunk,
                      std::optional<ChunkRecord> record, uint64_t stamp) {
  auto it = job.chunks.find(chunk);
  if (it != job.chunks.end() && it->second.stamp >= stamp) return;
  if (it == job.chunks.end() && !record) return;
  std::optional<ChunkRecord> before;
  if (it != job.chunks.end()) {
    before = std::move(it->second.record);
    job.done -= CountTasks(before->done);
    job.assigned -= static_cast<uint32_t>(before->assigned.size());
  }
  const ChunkRecord* after = nullptr;
  if (record) {
    Job::Chunk& slot = job.chunks[chunk];
    slot = {std::move(*record), stamp};
    job.done += CountTasks(slot.record.done);
    job.assigned += static_cast<uint32_t>(slot.record.assigned.size());
    after = &slot.record;
  } else {
    job.chunks.erase(it);
  }
  for (ChunkListener* listener : listeners_) {
    listener->OnChunk(job, chunk, before ? &*before : nullptr, after);
  }
  Refresh(job);
}

void Mirror::Refresh(Job& job) {
  if (job.open()) {
    open_jobs_[job.spec().id] = &job;
    return;
  }
  open_jobs_.erase(job.spec().id);
  // Of a job that is over only its end is still asked for.
  JobSpec spec;
  spec.id = job.spec().id;
  spec.tasks = job.spec().tasks;
  job.record.spec = std::move(spec);
}

void Mirror::Replace(Mirror fresh) {
  std::vector<ChunkListener*> listeners = std::move(listeners_);
  for (const auto& [id, job] : open_jobs_) {
    for (const auto& [number, chunk] : job->chunks) {
      for (ChunkListener* listener : listeners) {
        listener->OnChunk(*job, number, &chunk.record, nullptr);
      }
    }
  }
  *this = std::move(fresh);
  listeners_ = std::move(listeners);
  for (const auto& [id, job] : open_jobs_) {
    for (const auto& [number, chunk] : job->chunks) {
      for (ChunkListener* listener : listeners_) {
        listener->OnChunk(*job, number, nullptr, &chunk.record);
      }
    }
  }
}

const Job* Mirror::FindJob(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const Mirror::Versioned<PartRecord>* Mirror::FindPart(uint32_t part) const {
  auto it = parts_.find(std::to_string(part));
  return it == parts_.end() ? nullptr : &it->second;
}

const Mirror::Versioned<LoadRecord>* Mirror::FindLoad(uint32_t part) const {
  auto it = loads_.find(std::to_string(part));
  return it == loads_.end() ? nullptr : &it->second;
}

const MachineType* Mirror::FindType(const std::string& name) const {
  if (!types_) return nullptr;
  for (const MachineType& type : types_->value.types) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

bool Mirror::NodeAlive(const PartRecord& owner) const {
  return nodes_.contains(owner.label + "." + owner.life);
}

}  // namespace pitchfall
