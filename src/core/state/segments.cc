#include "core/state/segments.h"

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
const Job* LiveIn(const StateCache& state_cache,
                  const StateCache::ChunkKey& key, uint32_t partition,
                  uint32_t slot) {
  const Job* job = state_cache.FindJob(key.first);
  if (job == nullptr) return nullptr;
  const Job::Chunk* chunk = job->FindChunk(key.second);
  if (chunk == nullptr || chunk->partition != partition ||
      chunk->slot != slot) {
    return nullptr;
  }
  bool over = job->record.final() && chunk->record.assigned.empty();
  return over ? nullptr : job;
}

// Adds to `changed` what the slot holds that is still needed and not in
// `included` yet.
void AddLiveEntries(const StateCache& state_cache, uint32_t partition,
                    uint32_t slot, std::set<StateCache::ChunkKey>& included,
                    std::vector<SegmentRecord::Entry>& changed) {
  const StateCache::Segment* segment = state_cache.FindSegment(partition, slot);
  if (segment == nullptr) return;
  for (const StateCache::ChunkKey& key : segment->chunks) {
    const Job* job = LiveIn(state_cache, key, partition, slot);
    if (job == nullptr || !included.insert(key).second) continue;
    changed.push_back(
        {key.first, key.second, job->FindChunk(key.second)->record});
  }
}

// Entries of old slots that one transaction may move to new ones; more do not
// fit into it anyhow.
constexpr size_t kMaxMovedEntries = 500;

// A ring has capacity for this many times what is in use in it.
constexpr size_t kSpareRing = 4;

// How many slots the partition's ring has or should get. It never shrinks:
// slots that were written are read again after a takeover.
uint32_t RingSlots(const StateCache& state_cache, uint32_t partition,
                   size_t value_bytes) {
  size_t wanted = kSpareRing * state_cache.LiveBytes(partition) / value_bytes;
  wanted = std::clamp<size_t>(wanted, kMinSlots, kMaxSlots);
  return std::max(static_cast<uint32_t>(wanted),
                  state_cache.SlotCount(partition));
}

// Oldest first: the order in which the ring is overwritten. Slots that were
// never written come before all others.
std::vector<std::pair<uint64_t, uint32_t>> SlotsByAge(
    const StateCache& state_cache, uint32_t partition, uint32_t count) {
  std::vector<std::pair<uint64_t, uint32_t>> slots;
  slots.reserve(count);
  for (uint32_t slot = 0; slot < count; ++slot) {
    const StateCache::Segment* segment =
        state_cache.FindSegment(partition, slot);
    slots.push_back({segment == nullptr ? 0 : segment->mod_revision, slot});
  }
  std::sort(slots.begin(), slots.end());
  return slots;
}

// Puts the entry into the first segment with capacity for it, or into a new one
// if the limits allow.
bool Place(const SegmentRecord::Entry& entry, const SegmentLimits& limits,
           std::vector<SegmentFiller>& fillers) {
  size_t total = 0;
  for (const SegmentFiller& filler : fillers) total += filler.size();
  for (SegmentFiller& filler : fillers) {
    size_t others = total - filler.size();
    size_t available =
        limits.total_bytes - std::min(limits.total_bytes, others);
    if (filler.Add(entry, available)) return true;
  }
  if (fillers.size() >= limits.writes || total >= limits.total_bytes) {
    return false;
  }
  SegmentFiller fresh(limits.value_bytes);
  if (!fresh.Add(entry, limits.total_bytes - total)) return false;
  fillers.push_back(std::move(fresh));
  return true;
}

std::optional<std::vector<SegmentFiller>> Fill(
    const std::vector<SegmentRecord::Entry>& entries,
    const SegmentLimits& limits) {
  std::vector<SegmentFiller> fillers;
  for (const SegmentRecord::Entry& entry : entries) {
    if (!Place(entry, limits, fillers)) return std::nullopt;
  }
  return fillers;
}

// Overwrites the oldest slots, as many as it takes, with the changes and what
// these slots hold.
std::optional<std::vector<SegmentWrite>> OverwriteOldest(
    const StateCache& state_cache, uint32_t partition,
    std::vector<SegmentRecord::Entry> changed, const SegmentLimits& limits) {
  std::set<StateCache::ChunkKey> included;
  for (const auto& entry : changed) included.insert({entry.job, entry.chunk});
  auto slots =
      SlotsByAge(state_cache, partition,
                 RingSlots(state_cache, partition, limits.value_bytes));
  std::vector<SegmentWrite> writes;
  while (writes.size() < std::min(limits.writes, slots.size())) {
    const auto& [mod_revision, slot] = slots[writes.size()];
    AddLiveEntries(state_cache, partition, slot, included, changed);
    writes.push_back({slot, mod_revision, {}});
    SegmentLimits slots_so_far = limits;
    slots_so_far.writes = writes.size();
    auto filled = Fill(changed, slots_so_far);
    if (!filled) continue;
    for (size_t i = 0; i < filled->size(); ++i) {
      writes[i].segment = (*filled)[i].segment();
    }
    return writes;
  }
  return std::nullopt;
}

// Adds slots to the ring for the changes and as much as fits of what the oldest
// slots hold.
std::optional<std::vector<SegmentWrite>> ExtendRing(
    const StateCache& state_cache, uint32_t partition,
    const std::vector<SegmentRecord::Entry>& changed,
    const SegmentLimits& limits) {
  auto fillers = Fill(changed, limits);
  uint32_t end = state_cache.SlotCount(partition);
  if (!fillers || end + limits.writes > kMaxSlots) return std::nullopt;
  std::set<StateCache::ChunkKey> included;
  for (const auto& entry : changed) included.insert({entry.job, entry.chunk});
  std::vector<SegmentRecord::Entry> older;
  for (const auto& [mod_revision, slot] :
       SlotsByAge(state_cache, partition, end)) {
    AddLiveEntries(state_cache, partition, slot, included, older);
    if (older.size() > kMaxMovedEntries) break;
  }
  for (const SegmentRecord::Entry& entry : older) {
    if (!Place(entry, limits, *fillers)) break;
  }
  std::vector<SegmentWrite> writes;
  for (const SegmentFiller& filler : *fillers) {
    writes.push_back({end++, 0, filler.segment()});
  }
  return writes;
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

bool SegmentFiller::Add(const SegmentRecord::Entry& entry, size_t max_bytes) {
  std::set<std::pair<std::string, std::string>> machines;
  size_t cost = CostOf(entry, machines);
  if (size_ + cost > std::min(limit_, max_bytes)) return false;
  size_ += cost;
  machines_.merge(machines);
  segment_.entries.push_back(entry);
  return true;
}

size_t MaxEntryBytes(const SegmentRecord::Entry& entry) {
  SegmentFiller filler(SIZE_MAX);
  filler.Add(entry);
  // Each end may split a range of tasks on machines and begin a range of tasks
  // that are done; a range is two numbers.
  size_t ends = entry.record.assigned.size();
  uint32_t highest = 0;
  for (const Assignment& assignment : entry.record.assigned) {
    highest = std::max(highest, assignment.task);
  }
  return filler.size() + 2 * ends * 2 * CostOf(highest);
}

std::optional<std::vector<SegmentWrite>> PlanSegments(
    const StateCache& state_cache, uint32_t partition,
    const std::vector<SegmentRecord::Entry>& changed,
    const SegmentLimits& limits) {
  auto writes = OverwriteOldest(state_cache, partition, changed, limits);
  if (writes) return writes;
  return ExtendRing(state_cache, partition, changed, limits);
}

}  // namespace pitchfall
