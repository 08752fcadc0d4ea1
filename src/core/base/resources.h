// Amounts of processors, accelerators and memory as integers (millionths):
// floating-point rounding errors in sums could exceed the capacity of a machine
// or the limit of a team.
#ifndef PITCHFALL_CORE_BASE_RESOURCES_H_
#define PITCHFALL_CORE_BASE_RESOURCES_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace pitchfall {

// The resources of a machine, task or team. A difference may have negative
// components.
struct Resources {
  // The integer amount that stands for one processor, accelerator or gigabyte.
  static constexpr double kScale = 1e6;

  int64_t cpus = 0;    // millionths of a processor
  int64_t gpus = 0;    // millionths of an accelerator
  int64_t memory = 0;  // millionths of a gigabyte

  // Converts whole and decimal amounts, rounded to the nearest millionth.
  static int64_t FromDecimal(double amount) {
    return std::llround(amount * kScale);
  }
  static Resources FromDecimals(double cpus, double gpus, double memory_gb) {
    return {FromDecimal(cpus), FromDecimal(gpus), FromDecimal(memory_gb)};
  }

  Resources& operator+=(const Resources& o) {
    cpus += o.cpus;
    gpus += o.gpus;
    memory += o.memory;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus;
    gpus -= o.gpus;
    memory -= o.memory;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, int64_t n) {
    return {a.cpus * n, a.gpus * n, a.memory * n};
  }
  friend bool operator==(const Resources&, const Resources&) = default;

  // Whether no component exceeds that of `available`.
  bool FitsIn(const Resources& available) const {
    return cpus <= available.cpus && gpus <= available.gpus &&
           memory <= available.memory;
  }
  // Returns how many tasks that each need these resources fit into `available`,
  // but at most `max_count`, and never less than 0.
  int64_t CountFittingIn(const Resources& available, int64_t max_count) const {
    auto limit = [&](int64_t need, int64_t have) {
      if (need > 0) max_count = std::min(max_count, have < 0 ? 0 : have / need);
    };
    limit(cpus, available.cpus);
    limit(gpus, available.gpus);
    limit(memory, available.memory);
    return std::max<int64_t>(max_count, 0);
  }
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_RESOURCES_H_
