// Free processors of partitions, counted separately for each task size: eight
// machines with one free processor each cannot run a task that needs four.
#ifndef PITCHFALL_CORE_MODEL_FREE_CAPACITY_H_
#define PITCHFALL_CORE_MODEL_FREE_CAPACITY_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "core/base/resources.h"
#include "core/base/time.h"
#include "core/model/records.h"

namespace pitchfall {

// The free processors of one partition, counted in whole slots of 1, 2, 4 ...
// processors. All amounts are in millionths of a processor, as in Resources.
struct FreeCapacity {
  static constexpr size_t kSizes = 6;  // slots of up to 32 processors
  // The free processors in slots of each size, indexed by size: the slots of
  // size n have 2^n processors. The same processors count for every size.
  using Slots = std::array<int64_t, kSizes>;
  Slots any{};       // on all machines
  Slots ordinary{};  // on those that are not spot machines

  // Returns the smallest size whose slots a task with this need fits into, or
  // the largest size if the task is larger than all slots.
  static size_t SizeFor(int64_t task_cpus) {
    size_t size = 0;
    while (size + 1 < kSizes && SlotCpus(size) < task_cpus) ++size;
    return size;
  }

  // Returns the processors of one slot of this size.
  static int64_t SlotCpus(size_t size) {
    return Resources::FromDecimal(static_cast<double>(1 << size));
  }

  // Adds the whole slots of a machine with `free_cpus` free processors, which
  // may be negative and then adds nothing.
  void AddMachine(int64_t free_cpus, bool spot) {
    for (size_t size = 0; size < kSizes && free_cpus > 0; ++size) {
      int64_t cpus = free_cpus / SlotCpus(size) * SlotCpus(size);
      any[size] += cpus;
      if (!spot) ordinary[size] += cpus;
    }
  }

  friend bool operator==(const FreeCapacity&, const FreeCapacity&) = default;
};

// The free capacity of every partition as its owner last announced it, minus
// what this controller has reserved there since. A partition whose owner has
// not announced its capacity recently counts as full.
class CapacityTable {
 public:
  explicit CapacityTable(uint32_t partition_count)
      : partitions_(partition_count) {}

  // Replaces the free capacity of a partition and drops all reservations there.
  // Does nothing if the partition's number is out of range.
  void Update(uint32_t partition, const FreeCapacity& free, SteadyTime now) {
    if (partition < partitions_.size()) partitions_[partition] = {free, now};
  }

  // Returns how many of the job's tasks fit into the partition's free
  // processors; 0 if the partition's number is out of range or its last
  // announcement is too old.
  int64_t TaskCapacity(uint32_t partition, const JobSpec& spec,
                       SteadyTime now) const {
    if (partition >= partitions_.size() ||
        now - partitions_[partition].announced > kMaxAge)
      return 0;
    const FreeCapacity& free = partitions_[partition].free;
    size_t size = FreeCapacity::SizeFor(spec.resources.cpus);
    int64_t cpus = spec.spot ? free.any[size] : free.ordinary[size];
    return std::max<int64_t>(0, cpus / CpusPerTask(spec));
  }

  // Subtracts the need of this many tasks of the job, until the partition's
  // next announcement.
  void Reserve(uint32_t partition, const JobSpec& spec, int64_t tasks) {
    if (partition >= partitions_.size()) return;
    FreeCapacity& free = partitions_[partition].free;
    for (int64_t& cpus : free.any) cpus -= CpusPerTask(spec) * tasks;
    for (int64_t& cpus : free.ordinary) cpus -= CpusPerTask(spec) * tasks;
  }

  // Returns the partition other than `excluded` that has capacity for the
  // largest number of the job's tasks, with that number. Returns `fallback` and
  // 0 if no partition has capacity.
  std::pair<uint32_t, int64_t> MostFreeCapacity(
      const JobSpec& spec, uint32_t fallback, std::optional<uint32_t> excluded,
      SteadyTime now) const {
    std::pair<uint32_t, int64_t> best{fallback, 0};
    for (uint32_t partition = 0; partition < partitions_.size(); ++partition) {
      int64_t tasks =
          partition == excluded ? 0 : TaskCapacity(partition, spec, now);
      if (tasks > best.second) best = {partition, tasks};
    }
    return best;
  }

  // Returns the first partition after `partition`, in numerical order with
  // wrap-around, that has capacity for any of the job's tasks, with the number
  // of tasks. Returns `partition` itself and 0 if there is none.
  std::pair<uint32_t, int64_t> NextWithCapacity(const JobSpec& spec,
                                                uint32_t partition,
                                                SteadyTime now) const {
    auto count = static_cast<uint32_t>(partitions_.size());
    for (uint32_t n = 1; n < count; ++n) {
      uint32_t next = (partition + n) % count;
      if (int64_t tasks = TaskCapacity(next, spec, now)) return {next, tasks};
    }
    return {partition, 0};
  }

 private:
  // Returns the processors that one task is counted with: a whole slot, or its
  // own need if it is larger than all slots.
  static int64_t CpusPerTask(const JobSpec& spec) {
    return std::max(
        spec.resources.cpus,
        FreeCapacity::SlotCpus(FreeCapacity::SizeFor(spec.resources.cpus)));
  }

  // The age at which an announcement is no longer used. Owners announce twice a
  // second.
  static constexpr Duration kMaxAge = Millis(2500);
  struct Entry {
    FreeCapacity free;
    SteadyTime announced{};
  };
  std::vector<Entry> partitions_;  // indexed by partition
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_FREE_CAPACITY_H_
