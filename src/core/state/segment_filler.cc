#include "core/state/segment_filler.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace pitchfall {
namespace {

// Brackets, quotes and commas of an entry, of a group of tasks and of a
// machine.
constexpr size_t kEntryBytes = 12;
constexpr size_t kGroupBytes = 3;
constexpr size_t kPlaceBytes = 8;
// The index of a machine in the segment's table, with the comma behind it.
constexpr size_t kPlaceIndexBytes = 6;

// Tasks are stored together if they are bound to one machine in one attempt.
using GroupKey =
    std::tuple<std::string, std::string, uint32_t>;  // machine, zone, attempt

// A number with the comma or bracket behind it.
size_t CostOfNumber(uint64_t number) {
  size_t digits = 2;
  for (; number >= 10; number /= 10) ++digits;
  return digits;
}

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
  // Each end may split a range of tasks on machines and begin a range of tasks
  // that are done: two ranges of two numbers.
  constexpr size_t kNumbersPerEnd = 4;
  size_t ends = entry.record.assigned.size();
  return filler.size() + ends * kNumbersPerEnd * CostOfNumber(highest_task);
}

}  // namespace pitchfall
