#include "core/state/segments.h"

#include <algorithm>
#include <compare>
#include <set>
#include <utility>

namespace pitchfall {
namespace {

using Entries = std::vector<SegmentRecord::Entry>;
using ChunkKeys = std::set<StateCache::ChunkKey>;

// Returns the job of the chunk if the chunk's newest version is in this slot
// and still needed, otherwise null.
const Job* FindLiveJob(const StateCache& state_cache,
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

// Adds the live entries of the slot that are not in `included` to `entries`,
// and their keys to `included`.
void AddLiveEntries(const StateCache& state_cache, uint32_t partition,
                    uint32_t slot, ChunkKeys& included, Entries& entries) {
  const StateCache::Segment* segment = state_cache.FindSegment(partition, slot);
  if (segment == nullptr) return;
  for (const StateCache::ChunkKey& key : segment->chunks) {
    const Job* job = FindLiveJob(state_cache, key, partition, slot);
    if (job == nullptr || !included.insert(key).second) continue;
    const ChunkRecord& record = job->FindChunk(key.second)->record;
    entries.push_back({key.first, key.second, record});
  }
}

// The capacity of a ring as a multiple of the size of its live entries.
constexpr size_t kRingToLiveRatio = 4;

// Returns the number of slots that the partition's ring should have. It is
// never less than the present number, because a new owner reads all written
// slots after a failover.
uint32_t TargetSlotCount(const StateCache& state_cache, uint32_t partition,
                         size_t value_bytes) {
  size_t live_bytes = state_cache.LiveBytes(partition);
  size_t wanted = kRingToLiveRatio * live_bytes / value_bytes;
  wanted = std::clamp<size_t>(wanted, kMinSlots, kMaxSlots);
  return std::max(static_cast<uint32_t>(wanted),
                  state_cache.SlotCount(partition));
}

// A slot of the ring. Slots are ordered by age, because the ring is overwritten
// from the oldest slot on. Slots that were never written come first.
struct RingSlot {
  uint64_t mod_revision = 0;  // 0: never written
  uint32_t slot = 0;
  friend auto operator<=>(const RingSlot&, const RingSlot&) = default;
};

// Returns the first `count` slots of the partition's ring, the oldest first.
std::vector<RingSlot> SlotsByAge(const StateCache& state_cache,
                                 uint32_t partition, uint32_t count) {
  std::vector<RingSlot> slots;
  slots.reserve(count);
  for (uint32_t slot = 0; slot < count; ++slot) {
    const StateCache::Segment* segment =
        state_cache.FindSegment(partition, slot);
    slots.push_back({segment == nullptr ? 0 : segment->mod_revision, slot});
  }
  std::sort(slots.begin(), slots.end());
  return slots;
}

// Distributes entries over segments by the first-fit rule, within limits.
class SegmentPacker {
 public:
  explicit SegmentPacker(const SegmentLimits& limits) : limits_(limits) {}

  // Adds the entry to the first segment with space for it, or to a new one if
  // the limits allow. Returns false, and changes nothing, if neither is
  // possible.
  bool Add(const SegmentRecord::Entry& entry) {
    return AddToExisting(entry) || AddToNew(entry);
  }

  // Adds entries up to the first one that does not fit. Returns whether all
  // fit.
  bool AddAll(const Entries& entries) {
    return std::ranges::all_of(
        entries, [this](const auto& entry) { return Add(entry); });
  }

  const std::vector<SegmentFiller>& fillers() const { return fillers_; }

 private:
  bool AddToExisting(const SegmentRecord::Entry& entry) {
    for (SegmentFiller& filler : fillers_) {
      size_t size_before = filler.size();
      size_t others = total_bytes_ - size_before;
      size_t available =
          limits_.total_bytes - std::min(limits_.total_bytes, others);
      if (!filler.Add(entry, available)) continue;
      total_bytes_ += filler.size() - size_before;
      return true;
    }
    return false;
  }

  bool AddToNew(const SegmentRecord::Entry& entry) {
    if (fillers_.size() >= limits_.writes ||
        total_bytes_ >= limits_.total_bytes) {
      return false;
    }
    SegmentFiller filler(limits_.value_bytes);
    if (!filler.Add(entry, limits_.total_bytes - total_bytes_)) return false;
    total_bytes_ += filler.size();
    fillers_.push_back(std::move(filler));
    return true;
  }

  const SegmentLimits limits_;
  std::vector<SegmentFiller> fillers_;
  size_t total_bytes_ = 0;  // of all fillers
};

ChunkKeys KeysOf(const Entries& entries) {
  ChunkKeys keys;
  for (const auto& entry : entries) keys.insert({entry.job, entry.chunk});
  return keys;
}

// Distributes the entries over the slots in `writes`. Returns false, and
// changes nothing, if they do not fit.
bool FillSlots(const Entries& entries, const SegmentLimits& limits,
               std::vector<SegmentWrite>& writes) {
  SegmentLimits limits_of_writes = limits;
  limits_of_writes.writes = writes.size();
  SegmentPacker packer(limits_of_writes);
  if (!packer.AddAll(entries)) return false;
  for (size_t i = 0; i < packer.fillers().size(); ++i) {
    writes[i].segment = packer.fillers()[i].segment();
  }
  return true;
}

// Overwrites as many of the oldest slots as are needed to store the changes and
// the live entries of these slots. Returns nullopt if the limits do not allow
// that many.
std::optional<std::vector<SegmentWrite>> OverwriteOldest(
    const StateCache& state_cache, uint32_t partition, const Entries& changed,
    const SegmentLimits& limits) {
  Entries entries = changed;
  ChunkKeys included = KeysOf(changed);
  uint32_t slot_count =
      TargetSlotCount(state_cache, partition, limits.value_bytes);
  std::vector<SegmentWrite> writes;
  for (const RingSlot& oldest :
       SlotsByAge(state_cache, partition, slot_count)) {
    if (writes.size() >= limits.writes) break;
    AddLiveEntries(state_cache, partition, oldest.slot, included, entries);
    writes.push_back({oldest.slot, oldest.mod_revision, {}});
    if (FillSlots(entries, limits, writes)) return writes;
  }
  return std::nullopt;
}

// Returns live entries of the oldest slots, without the chunks in `changed`: at
// least as many as one transaction can move, or all there are.
Entries EntriesToMove(const StateCache& state_cache, uint32_t partition,
                      const Entries& changed) {
  // A transaction has no space for more entries.
  constexpr size_t kMaxMovedEntries = 500;
  ChunkKeys included = KeysOf(changed);
  uint32_t slot_count = state_cache.SlotCount(partition);
  Entries entries;
  for (const RingSlot& oldest :
       SlotsByAge(state_cache, partition, slot_count)) {
    AddLiveEntries(state_cache, partition, oldest.slot, included, entries);
    if (entries.size() > kMaxMovedEntries) break;
  }
  return entries;
}

// Returns writes of the segments to consecutive new slots, starting at
// `first_slot`.
std::vector<SegmentWrite> WritesToNewSlots(
    const std::vector<SegmentFiller>& fillers, uint32_t first_slot) {
  std::vector<SegmentWrite> writes;
  writes.reserve(fillers.size());
  uint32_t slot = first_slot;
  for (const SegmentFiller& filler : fillers) {
    writes.push_back({slot++, 0, filler.segment()});
  }
  return writes;
}

// Adds slots to the ring for the changes and for as many live entries of the
// oldest slots as fit. Returns nullopt if the changes alone do not fit, or if
// `limits.writes` new slots would exceed the ring's maximum size.
std::optional<std::vector<SegmentWrite>> ExtendRing(
    const StateCache& state_cache, uint32_t partition, const Entries& changed,
    const SegmentLimits& limits) {
  SegmentPacker packer(limits);
  if (!packer.AddAll(changed)) return std::nullopt;
  uint32_t slot_count = state_cache.SlotCount(partition);
  if (slot_count + limits.writes > kMaxSlots) return std::nullopt;
  // Stops at the first entry that does not fit, even if a smaller one after it
  // would: the purpose is to empty the oldest slot, which is overwritten next,
  // and moving entries of newer slots does not contribute to that.
  packer.AddAll(EntriesToMove(state_cache, partition, changed));
  return WritesToNewSlots(packer.fillers(), slot_count);
}

}  // namespace

std::optional<std::vector<SegmentWrite>> PlanSegments(
    const StateCache& state_cache, uint32_t partition,
    const std::vector<SegmentRecord::Entry>& changed,
    const SegmentLimits& limits) {
  auto writes = OverwriteOldest(state_cache, partition, changed, limits);
  if (writes) return writes;
  return ExtendRing(state_cache, partition, changed, limits);
}

}  // namespace pitchfall
