// Free processors of every partition, as its owner last told, less what this
// controller has given to it since. They are told by the size of tasks: eight
// machines with one free processor each have no capacity for a task of four.
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

// Free processors in whole slots of 1, 2, 4 ... processors.
struct FreeCapacity {
  static constexpr size_t kSizes = 6;
  using Slots = std::array<int64_t, kSizes>;
  Slots any{};       // on all machines
  Slots ordinary{};  // on those that are not spot machines

  // The smallest size in which a task fits; the largest holds all beyond.
  static size_t SizeFor(int64_t task_cpus) {
    size_t size = 0;
    while (size + 1 < kSizes && SlotOf(size) < task_cpus) ++size;
    return size;
  }
  static int64_t SlotOf(size_t size) {
    return Resources::FromDecimal(static_cast<double>(1 << size));
  }
  void AddMachine(int64_t free_cpus, bool spot) {
    for (size_t size = 0; size < kSizes && free_cpus > 0; ++size) {
      int64_t cpus = free_cpus / SlotOf(size) * SlotOf(size);
      any[size] += cpus;
      if (!spot) ordinary[size] += cpus;
    }
  }
  friend bool operator==(const FreeCapacity&, const FreeCapacity&) = default;
};

class CapacityTable {
 public:
  explicit CapacityTable(uint32_t partition_count)
      : partitions_(partition_count) {}

  void Update(uint32_t partition, const FreeCapacity& free, SteadyTime now) {
    if (partition < partitions_.size()) partitions_[partition] = {free, now};
  }
  // How many of the job's tasks fit; none if the owner has not been heard for a
  // while.
  int64_t Tasks(uint32_t partition, const JobSpec& spec, SteadyTime now) const {
    if (partition >= partitions_.size() ||
        now - partitions_[partition].heard > kFresh)
      return 0;
    const FreeCapacity& free = partitions_[partition].free;
    size_t size = FreeCapacity::SizeFor(spec.resources.cpus);
    int64_t cpus = spec.spot ? free.any[size] : free.ordinary[size];
    return std::max<int64_t>(0, cpus / Slot(spec));
  }
  void Reserve(uint32_t partition, const JobSpec& spec, int64_t tasks) {
    if (partition >= partitions_.size()) return;
    FreeCapacity& free = partitions_[partition].free;
    for (int64_t& cpus : free.any) cpus -= Slot(spec) * tasks;
    for (int64_t& cpus : free.ordinary) cpus -= Slot(spec) * tasks;
  }
  // The partition with capacity for the most of the job's tasks, and for how
  // many; `otherwise` if none has any. Passes over `except`.
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
  // The next partition after `partition` that has capacity for any of them.
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
  static int64_t Slot(const JobSpec& spec) {
    return std::max(
        spec.resources.cpus,
        FreeCapacity::SlotOf(FreeCapacity::SizeFor(spec.resources.cpus)));
  }

  static constexpr Duration kFresh = Millis(2500);
  struct Entry {
    FreeCapacity free;
    SteadyTime heard{};
  };
  std::vector<Entry> partitions_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_ROOM_H_
