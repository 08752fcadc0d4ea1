// Free processors of partitions, counted by the size of tasks: eight machines
// with one free processor each have no capacity for a task of four.
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

// Free processors of one partition in whole slots of 1, 2, 4 ... processors.
// All amounts are in millionths of a processor, as in Resources.
struct FreeCapacity {
  static constexpr size_t kSizes = 6;  // slots of up to 32 processors
  using Slots = std::array<int64_t, kSizes>;
  Slots any{};       // on all machines
  Slots ordinary{};  // on those that are not spot machines

  // The smallest size whose slot a task fits into; larger tasks than the last
  // size count among that one.
  static size_t SizeFor(int64_t task_cpus) {
    size_t size = 0;
    while (size + 1 < kSizes && SlotOf(size) < task_cpus) ++size;
    return size;
  }

  // How much a slot of this size has.
  static int64_t SlotOf(size_t size) {
    return Resources::FromDecimal(static_cast<double>(1 << size));
  }

  // Counts a machine with so much free, which may be negative.
  void AddMachine(int64_t free_cpus, bool spot) {
    for (size_t size = 0; size < kSizes && free_cpus > 0; ++size) {
      int64_t cpus = free_cpus / SlotOf(size) * SlotOf(size);
      any[size] += cpus;
      if (!spot) ordinary[size] += cpus;
    }
  }

  friend bool operator==(const FreeCapacity&, const FreeCapacity&) = default;
};

// The free capacity of every partition, as its owner last announced it, less
// what this controller has reserved there since. A partition whose owner has
// not announced any lately counts as full.
class CapacityTable {
 public:
  explicit CapacityTable(uint32_t partition_count)
      : partitions_(partition_count) {}

  // Replaces what is known of a partition, and with it all reservations there.
  // Unknown partitions are ignored.
  void Update(uint32_t partition, const FreeCapacity& free, SteadyTime now) {
    if (partition < partitions_.size()) partitions_[partition] = {free, now};
  }

  // How many of the job's tasks fit; 0 if the partition is unknown or its last
  // announcement is too old.
  int64_t Tasks(uint32_t partition, const JobSpec& spec, SteadyTime now) const {
    if (partition >= partitions_.size() ||
        now - partitions_[partition].announced > kMaxAge)
      return 0;
    const FreeCapacity& free = partitions_[partition].free;
    size_t size = FreeCapacity::SizeFor(spec.resources.cpus);
    int64_t cpus = spec.spot ? free.any[size] : free.ordinary[size];
    return std::max<int64_t>(0, cpus / SlotFor(spec));
  }

  // Deducts tasks of the job until the next announcement of the partition.
  void Reserve(uint32_t partition, const JobSpec& spec, int64_t tasks) {
    if (partition >= partitions_.size()) return;
    FreeCapacity& free = partitions_[partition].free;
    for (int64_t& cpus : free.any) cpus -= SlotFor(spec) * tasks;
    for (int64_t& cpus : free.ordinary) cpus -= SlotFor(spec) * tasks;
  }

  // The partition other than `except` with capacity for the most of the job's
  // tasks, and for how many; `otherwise` and 0 if none has any.
  std::pair<uint32_t, int64_t> MostFreeCapacity(const JobSpec& spec,
                                                uint32_t otherwise,
                                                std::optional<uint32_t> except,
                                                SteadyTime now) const {
    std::pair<uint32_t, int64_t> best{otherwise, 0};
    for (uint32_t partition = 0; partition < partitions_.size(); ++partition) {
      int64_t tasks = partition == except ? 0 : Tasks(partition, spec, now);
      if (tasks > best.second) best = {partition, tasks};
    }
    return best;
  }

  // The next partition after `partition`, in the order of their numbers and
  // round, that has capacity for any of the job's tasks, and for how many;
  // `partition` itself and 0 if there is none.
  std::pair<uint32_t, int64_t> NextWithCapacity(const JobSpec& spec,
                                                uint32_t partition,
                                                SteadyTime now) const {
    auto count = static_cast<uint32_t>(partitions_.size());
    for (uint32_t n = 1; n < count; ++n) {
      uint32_t next = (partition + n) % count;
      if (int64_t tasks = Tasks(next, spec, now)) return {next, tasks};
    }
    return {partition, 0};
  }

 private:
  // What one task takes away: a whole slot, or more if it is larger than all.
  static int64_t SlotFor(const JobSpec& spec) {
    return std::max(
        spec.resources.cpus,
        FreeCapacity::SlotOf(FreeCapacity::SizeFor(spec.resources.cpus)));
  }

  // Owners announce twice a second.
  static constexpr Duration kMaxAge = Millis(2500);
  struct Entry {
    FreeCapacity free;
    SteadyTime announced{};
  };
  std::vector<Entry> partitions_;  // by number
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_FREE_CAPACITY_H_
