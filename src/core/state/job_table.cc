#include "core/state/job_table.h"

#include <charconv>
#include <iterator>
#include <optional>
#include <tuple>

#include "core/state/versioned.h"

namespace pitchfall {
namespace {

// Returns nullopt if the text is not entirely a decimal number.
std::optional<uint32_t> ParseNumber(std::string_view text) {
  uint32_t number = 0;
  const char* end = text.data() + text.size();
  if (std::from_chars(text.data(), end, number).ptr != end) return std::nullopt;
  return number;
}

bool HasChunkNewerThan(const Job& job, uint64_t revision) {
  for (const auto& [number, chunk] : job.chunks) {
    if (chunk.mod_revision > revision) return true;
  }
  return false;
}

}  // namespace

bool Supersedes(const Job::Chunk& candidate, const Job::Chunk& current) {
  return std::tie(candidate.record.epoch, candidate.mod_revision) >
         std::tie(current.record.epoch, current.mod_revision);
}

bool JobTable::ApplyJob(const std::string& id, const Change& change) {
  const auto* record = RecordOf<JobRecord>(change);
  if (record == nullptr) return false;  // job records are never deleted
  std::unique_ptr<Job>& job = jobs_[id];
  if (job && job->mod_revision >= change.mod_revision) return false;
  if (!job) job = std::make_unique<Job>();
  job->record = *record;
  job->record.spec.id = id;  // by which the job is found again
  job->mod_revision = change.mod_revision;
  UpdateOpenJobs(*job);
  return true;
}

void JobTable::ApplySegment(std::string_view partition_and_slot,
                            const Change& change) {
  size_t slash = partition_and_slot.find('/');
  if (slash == std::string_view::npos) return;
  auto partition = ParseNumber(partition_and_slot.substr(0, slash));
  auto slot = ParseNumber(partition_and_slot.substr(slash + 1));
  if (!partition || !slot) return;
  const auto* record = RecordOf<SegmentRecord>(change);
  Segment& segment = segments_[{*partition, *slot}];
  // The same version is applied again, because it may contain jobs that were
  // unknown the first time.
  if (record == nullptr || segment.mod_revision > change.mod_revision) return;
  segment.mod_revision = change.mod_revision;
  segment.chunks.clear();
  for (const SegmentRecord::Entry& entry : record->entries) {
    auto job = jobs_.find(entry.job);
    if (job == jobs_.end()) continue;
    segment.chunks.push_back({entry.job, entry.chunk});
    ApplyChunk(*job->second, entry.chunk,
               {entry.record, change.mod_revision, *partition, *slot});
  }
}

void JobTable::ApplyChunk(Job& job, uint32_t chunk, Job::Chunk version) {
  // Replicas of a service are never done, but an earlier version of pitchfall
  // may have stored them as done.
  if (job.spec().shape == Shape::kService) version.record.done.clear();
  auto [it, is_new] = job.chunks.try_emplace(chunk);
  Job::Chunk& current = it->second;
  if (!is_new && !Supersedes(version, current)) return;
  bool copied_forward = !is_new && current.partition == version.partition &&
                        current.record == version.record;
  if (copied_forward) {
    current.mod_revision = version.mod_revision;
    current.slot = version.slot;
    return;
  }
  ReplaceChunk(job, chunk, current, is_new, std::move(version));
}

void JobTable::ReplaceChunk(Job& job, uint32_t chunk, Job::Chunk& current,
                            bool is_new, Job::Chunk version) {
  if (!is_new) live_bytes_.Remove(current);
  Job::Chunk before = std::exchange(current, std::move(version));
  live_bytes_.Add(current);
  job.done += CountTasks(current.record.done) - CountTasks(before.record.done);
  job.assigned += static_cast<uint32_t>(current.record.assigned.size()) -
                  static_cast<uint32_t>(before.record.assigned.size());
  for (ChunkListener* listener : listeners_) {
    listener->OnChunkChanged(job, chunk, is_new ? nullptr : &before, &current);
  }
  UpdateOpenJobs(job);
}

void JobTable::UpdateOpenJobs(Job& job) {
  if (job.open()) {
    open_jobs_[job.spec().id] = &job;
    finished_jobs_.erase(&job);
  } else {
    open_jobs_.erase(job.spec().id);
    finished_jobs_.insert(&job);
  }
}

std::vector<JobOutcome> JobTable::RemoveFinished(uint64_t revision) {
  std::vector<JobOutcome> outcomes;
  std::erase_if(finished_jobs_, [&](Job* job) {
    bool newer =
        job->mod_revision > revision || HasChunkNewerThan(*job, revision);
    if (newer) return false;
    for (const auto& [number, chunk] : job->chunks) live_bytes_.Remove(chunk);
    outcomes.push_back(OutcomeOf(*job));
    return true;
  });
  for (const JobOutcome& outcome : outcomes) jobs_.erase(outcome.id);
  return outcomes;
}

const Job* JobTable::Find(const std::string& id) const {
  auto job = jobs_.find(id);
  return job == jobs_.end() ? nullptr : job->second.get();
}

const JobTable::Segment* JobTable::FindSegment(uint32_t partition,
                                               uint32_t slot) const {
  auto segment = segments_.find({partition, slot});
  return segment == segments_.end() ? nullptr : &segment->second;
}

uint32_t JobTable::SlotCount(uint32_t partition) const {
  auto next = segments_.lower_bound({partition + 1, 0});
  if (next == segments_.begin()) return 0;
  const auto& [last_partition, last_slot] = std::prev(next)->first;
  return last_partition == partition ? last_slot + 1 : 0;
}

template <typename Visitor>
void JobTable::ForEachOpenChunk(Visitor visit) const {
  for (const auto& [id, job] : open_jobs_) {
    for (const auto& [number, chunk] : job->chunks) visit(*job, number, chunk);
  }
}

void JobTable::NotifyChunksRemoved(const Listeners& listeners) const {
  ForEachOpenChunk([&](const Job& job, uint32_t number, const auto& chunk) {
    for (ChunkListener* listener : listeners) {
      listener->OnChunkChanged(job, number, &chunk, nullptr);
    }
  });
}

void JobTable::NotifyChunksAdded(const Listeners& listeners) const {
  ForEachOpenChunk([&](const Job& job, uint32_t number, const auto& chunk) {
    for (ChunkListener* listener : listeners) {
      listener->OnChunkChanged(job, number, nullptr, &chunk);
    }
  });
}

}  // namespace pitchfall
