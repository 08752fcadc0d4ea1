#include "core/state/segment_filler.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace pitchfall {
namespace {

// Bytes of the brackets, quotes and commas of an entry, of a group of tasks and
// of a machine.
constexpr size_t kEntryBytes = 12;
constexpr size_t kGroupBytes = 3;
constexpr size_t kPlaceBytes = 8;
// Bytes of the index of a machine in the segment's table, with the comma after
// it.
constexpr size_t kPlaceIndexBytes = 6;

// Tasks are stored together, as ranges, if they are bound to the same machine
// and have the same attempt number.
using GroupKey =
    std::tuple<std::string, std::string, uint32_t>;  // machine, zone, attempt

// Bytes of a number with the comma or bracket after it.
size_t CostOfNumber(uint64_t number) {
  size_t digits = 2;
  for (; number >= 10; number /= 10) ++digits;
  return digits;
}

// Bytes of the tasks, stored as the first and last number of each range.
size_t CostOfTasks(const TaskSet& tasks) {
  size_t cost = 0;
  for (const auto& range : tasks) {
    cost += CostOfNumber(boost::icl::first(range));
    cost += CostOfNumber(boost::icl::last(range));
  }
  return cost;
}

std::map<GroupKey, TaskSet> GroupsOf(const ChunkRecord& record) {
  std::map<GroupKey, TaskSet> groups;
  for (const Assignment& assignment : record.assigned) {
    GroupKey key(assignment.machine, assignment.zone, assignment.attempt);
    AddTask(groups[key], assignment.task);
  }
  return groups;
}

}  // namespace

size_t SegmentFiller::CostOf(const SegmentRecord::Entry& entry,
                             std::set<Place>& new_places) const {
  const ChunkRecord& record = entry.record;
  size_t cost = kEntryBytes + entry.job.size() + CostOfNumber(entry.chunk) +
                CostOfNumber(record.epoch) + CostOfNumber(record.next_attempt) +
                CostOfTasks(record.done);
  for (const auto& [group, tasks] : GroupsOf(record)) {
    const auto& [machine, zone, attempt] = group;
    cost += kGroupBytes + kPlaceIndexBytes + CostOfNumber(attempt);
    cost += CostOfTasks(tasks);
    Place place(machine, zone);
    if (places_.contains(place) || !new_places.insert(place).second) continue;
    cost += machine.size() + zone.size() + kPlaceBytes;
  }
  return cost;
}

bool SegmentFiller::Add(const SegmentRecord::Entry& entry, size_t max_bytes) {
  std::set<Place> new_places;
  size_t cost = CostOf(entry, new_places);
  if (size_ + cost > std::min(limit_, max_bytes)) return false;
  size_ += cost;
  places_.merge(new_places);
  segment_.entries.push_back(entry);
  return true;
}

size_t MaxEntryBytes(const SegmentRecord::Entry& entry) {
  SegmentFiller filler(SIZE_MAX);
  filler.Add(entry);
  uint32_t highest_task = 0;
  for (const Assignment& assignment : entry.record.assigned) {
    highest_task = std::max(highest_task, assignment.task);
  }
  // Each task that ends may split a range of bound tasks in two and add a range
  // of completed tasks: two more ranges of two numbers each.
  constexpr size_t kNumbersPerEnd = 4;
  size_t ends = entry.record.assigned.size();
  return filler.size() + ends * kNumbersPerEnd * CostOfNumber(highest_task);
}

}  // namespace pitchfall
