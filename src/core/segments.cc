#include "core/segments.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace pitchfall {
namespace {

// A number with the comma or bracket behind it.
size_t CostOf(uint64_t number) {
  size_t digits = 2;
  for (; number >= 10; number /= 10) ++digits;
  return digits;
}

size_t CostOf(const TaskSet& tasks) {
  size_t cost = 0;
  for (const auto& range : tasks) {
    cost += CostOf(boost::icl::first(range)) + CostOf(boost::icl::last(range));
  }
  return cost;
}

constexpr size_t kMachineIndex = 6;

// Whether this is the chunk's newest version and still says something.
const Job* LiveIn(const Mirror& mirror, const Mirror::ChunkKey& key,
                  uint32_t part, uint32_t slot) {
  const Job* job = mirror.FindJob(key.first);
  if (job == nullptr) return nullptr;
  const Job::Chunk* chunk = job->FindChunk(key.second);
  if (chunk == nullptr || chunk->part != part || chunk->slot != slot) {
    return nullptr;
  }
  bool over = job->record.final() && chunk->record.assigned.empty();
  return over ? nullptr : job;
}

// A ring has room for this many times what is in use in it.
constexpr size_t kSpareRing = 4;

// How many slots the part's ring has or should get. It never shrinks: slots
// that were written are read again after a takeover.
uint32_t RingSlots(const Mirror& mirror, uint32_t part, size_t value_bytes) {
  size_t wanted = kSpareRing * mirror.LiveBytes(part) / value_bytes;
  wanted = std::clamp<size_t>(wanted, kLeastSlots, kMostSlots);
  return std::max(static_cast<uint32_t>(wanted), mirror.SlotCount(part));
}

// Oldest first: the order in which the ring is overwritten. Slots that were
// never written come before all others.
std::vector<std::pair<uint64_t, uint32_t>> SlotsByAge(const Mirror& mirror,
                                                      uint32_t part,
                                                      uint32_t count) {
  std::vector<std::pair<uint64_t, uint32_t>> slots;
  slots.reserve(count);
  for (uint32_t slot = 0; slot < count; ++slot) {
    const Mirror::Segment* segment = mirror.FindSegment(part, slot);
    slots.push_back({segment == nullptr ? 0 : segment->stamp, slot});
  }
  std::sort(slots.begin(), slots.end());
  return slots;
}

std::optional<std::vector<SegmentRecord>> Fill(
    const std::vector<SegmentRecord::Entry>& entries,
    const SegmentLimits& limits) {
  std::vector<SegmentFiller> fillers;
  for (const SegmentRecord::Entry& entry : entries) {
    bool placed = std::any_of(fillers.begin(), fillers.end(),
                              [&](SegmentFiller& f) { return f.Add(entry); });
    if (placed) continue;
    if (fillers.size() >= limits.writes) return std::nullopt;
    fillers.emplace_back(limits.value_bytes);
    if (!fillers.back().Add(entry)) return std::nullopt;
  }
  size_t total = 0;
  for (const SegmentFiller& filler : fillers) total += filler.size();
  if (total > limits.total_bytes) return std::nullopt;
  std::vector<SegmentRecord> segments;
  segments.reserve(fillers.size());
  for (const SegmentFiller& filler : fillers) {
    segments.push_back(filler.segment());
  }
  return segments;
}

}  // namespace

size_t SegmentFiller::CostOf(
    const SegmentRecord::Entry& entry,
    std::set<std::pair<std::string, std::string>>& machines) const {
  using pitchfall::CostOf;
  const ChunkRecord& record = entry.record;
  size_t cost = 12 + entry.job.size() + CostOf(entry.chunk) +
                CostOf(record.epoch) + CostOf(record.next_attempt) +
                CostOf(record.done);
  std::map<std::tuple<std::string, std::string, uint32_t>, TaskSet> groups;
  for (const Assignment& a : record.assigned) {
    AddTask(groups[{a.machine, a.zone, a.attempt}], a.task);
  }
  for (const auto& [group, tasks] : groups) {
    const auto& [machine, zone, attempt] = group;
    cost += 3 + kMachineIndex + CostOf(attempt) + CostOf(tasks);
    if (!machines_.contains({machine, zone}) &&
        machines.insert({machine, zone}).second) {
      cost += machine.size() + zone.size() + 8;
    }
  }
  return cost;
}

bool SegmentFiller::Add(const SegmentRecord::Entry& entry) {
  std::set<std::pair<std::string, std::string>> machines;
  size_t cost = CostOf(entry, machines);
  if (size_ + cost > limit_) return false;
  size_ += cost;
  machines_.merge(machines);
  segment_.entries.push_back(entry);
  return true;
}

std::optional<std::vector<SegmentWrite>> PlanSegments(
    const Mirror& mirror, uint32_t part,
    std::vector<SegmentRecord::Entry> changed, const SegmentLimits& limits) {
  std::set<Mirror::ChunkKey> here;
  for (const auto& entry : changed) here.insert({entry.job, entry.chunk});
  auto slots =
      SlotsByAge(mirror, part, RingSlots(mirror, part, limits.value_bytes));
  std::vector<SegmentWrite> writes;
  while (writes.size() < std::min(limits.writes, slots.size())) {
    const auto& [stamp, slot] = slots[writes.size()];
    if (const Mirror::Segment* old = mirror.FindSegment(part, slot)) {
      for (const Mirror::ChunkKey& key : old->chunks) {
        const Job* job = LiveIn(mirror, key, part, slot);
        if (job == nullptr || !here.insert(key).second) continue;
        changed.push_back(
            {key.first, key.second, job->FindChunk(key.second)->record});
      }
    }
    writes.push_back({slot, stamp, {}});
    SegmentLimits here_limits = limits;
    here_limits.writes = writes.size();
    auto filled = Fill(changed, here_limits);
    if (!filled) continue;
    for (size_t i = 0; i < filled->size(); ++i) {
      writes[i].segment = std::move((*filled)[i]);
    }
    return writes;
  }
  return std::nullopt;
}

}  // namespace pitchfall
