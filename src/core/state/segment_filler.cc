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
constexpr size_t kMachineBytes = 8;
// Bytes of the index of a machine in the segment's table, with the comma after
// it.
constexpr size_t kMachineIndexBytes = 6;

// Tasks are stored together, as ranges, if they are bound to the same machine
// and have the same attempt number.
using GroupKey =
    std::tuple<std::string, std::string, uint32_t>;  // machine, zone, attempt

// Bytes of a number with the comma or bracket after it.
size_t NumberBytes(uint64_t number) {
  size_t digits = 2;
  for (; number >= 10; number /= 10) ++digits;
  return digits;
}

// Bytes of the tasks, stored as the first and last number of each range.
size_t TaskSetBytes(const TaskSet& tasks) {
  size_t bytes = 0;
  for (const auto& range : tasks) {
    bytes += NumberBytes(boost::icl::first(range));
    bytes += NumberBytes(boost::icl::last(range));
  }
  return bytes;
}

std::map<GroupKey, TaskSet> GroupTasks(const ChunkRecord& record) {
  std::map<GroupKey, TaskSet> groups;
  for (const Assignment& assignment : record.assigned) {
    GroupKey key(assignment.machine, assignment.zone, assignment.attempt);
    AddTask(groups[key], assignment.task);
  }
  return groups;
}

}  // namespace

size_t SegmentFiller::EntryBytes(const SegmentRecord::Entry& entry,
                                 std::set<MachineKey>& new_machines) const {
  const ChunkRecord& record = entry.record;
  size_t bytes = kEntryBytes + entry.job.size() + NumberBytes(entry.chunk) +
                 NumberBytes(record.epoch) + NumberBytes(record.next_attempt) +
                 TaskSetBytes(record.done);
  for (const auto& [group, tasks] : GroupTasks(record)) {
    const auto& [machine, zone, attempt] = group;
    bytes += kGroupBytes + kMachineIndexBytes + NumberBytes(attempt);
    bytes += TaskSetBytes(tasks);
    MachineKey key(machine, zone);
    if (machines_.contains(key) || !new_machines.insert(key).second) continue;
    bytes += machine.size() + zone.size() + kMachineBytes;
  }
  return bytes;
}

bool SegmentFiller::Add(const SegmentRecord::Entry& entry, size_t max_bytes) {
  std::set<MachineKey> new_machines;
  size_t bytes = EntryBytes(entry, new_machines);
  if (size_ + bytes > std::min(limit_, max_bytes)) return false;
  size_ += bytes;
  machines_.merge(new_machines);
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
  constexpr size_t kNumbersPerEndedTask = 4;
  size_t ended_tasks = entry.record.assigned.size();
  return filler.size() +
         ended_tasks * kNumbersPerEndedTask * NumberBytes(highest_task);
}

}  // namespace pitchfall
