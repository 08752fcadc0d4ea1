// Amounts of processor, accelerator and memory as exact integers (millionths),
// so that sums of decimals cannot drift past a machine's or a team's size.
#ifndef PITCHFALL_CORE_BASE_RESOURCES_H_
#define PITCHFALL_CORE_BASE_RESOURCES_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace pitchfall {

struct Resources {
  static constexpr double kUnit = 1e6;

  int64_t cpus = 0;
  int64_t gpus = 0;
  int64_t memory = 0;

  static int64_t FromDecimal(double amount) {
    return std::llround(amount * kUnit);
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

  bool FitsIn(const Resources& available) const {
    return cpus <= available.cpus && gpus <= available.gpus &&
           memory <= available.memory;
  }
  // How many tasks of this need fit into `available`, at most `most`.
  int64_t CountIn(const Resources& available, int64_t most) const {
    auto limit = [&](int64_t need, int64_t have) {
      if (need > 0) most = std::min(most, have < 0 ? 0 : have / need);
    };
    limit(cpus, available.cpus);
    limit(gpus, available.gpus);
    limit(memory, available.memory);
    return std::max<int64_t>(most, 0);
  }
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_RESOURCES_H_
