// Free processors of every part, as its owner last told, less what this
// controller has given to it since.
#ifndef PITCHFALL_CORE_ROOM_H_
#define PITCHFALL_CORE_ROOM_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "core/time.h"

namespace pitchfall {

class RoomBook {
 public:
  explicit RoomBook(uint32_t parts) : parts_(parts) {}

  void Hear(uint32_t part, int64_t free_cpus, SteadyTime now) {
    if (part < parts_.size()) parts_[part] = {free_cpus, now};
  }
  // Nothing if the owner has not been heard for a while.
  int64_t Free(uint32_t part, SteadyTime now) const {
    if (part >= parts_.size() || now - parts_[part].heard > kFresh) return 0;
    return std::max<int64_t>(0, parts_[part].free);
  }
  void Deal(uint32_t part, int64_t cpus) {
    if (part < parts_.size()) parts_[part].free -= cpus;
  }
  uint32_t parts() const { return static_cast<uint32_t>(parts_.size()); }

 private:
  static constexpr Duration kFresh = Millis(2500);
  struct Entry {
    int64_t free = 0;
    SteadyTime heard{};
  };
  std::vector<Entry> parts_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_ROOM_H_
