// Quota shares, the load of the partitions and the autoscaler's decisions.
#ifndef PITCHFALL_CORE_MODEL_CAPACITY_RECORDS_H_
#define PITCHFALL_CORE_MODEL_CAPACITY_RECORDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/resources.h"
#include "core/base/time.h"

namespace pitchfall {

// How much of a limited team's quota each partition may use. The sum stays
// within the team's quota; a partition gives back only what none of its tasks
// can use.
struct TeamRecord {
  // Of one partition, in millionths as in Resources.
  struct QuotaShare {
    int64_t cpus = 0;
    int64_t gpus = 0;
    friend bool operator==(const QuotaShare&, const QuotaShare&) = default;
  };
  std::vector<QuotaShare> shares;  // by partition
  friend bool operator==(const TeamRecord&, const TeamRecord&) = default;
};

// What a partition's owner reports once a period.
struct LoadRecord {
  uint64_t period = 0;
  Resources requested;   // by running and admissible waiting tasks
  Resources used;        // by what is bound to machines
  uint32_t waiting = 0;  // admissible waiting tasks
  // Of the tasks that started in this period.
  uint32_t started = 0;
  Duration waited{0};
  // Jobs that fail on every machine; they ask for no capacity.
  std::vector<std::string> failing;
  friend bool operator==(const LoadRecord&, const LoadRecord&) = default;
};

// The leader's last decision, and what its successor needs to go on.
struct SizingRecord {
  struct Point {
    Resources requested;
    double utilisation = 0;
    double delay = -1;  // seconds; negative: nothing started
    friend bool operator==(const Point&, const Point&) = default;
  };
  uint64_t period = 0;
  uint32_t target = 0;
  uint32_t count = 0;
  std::string reason;
  std::vector<Point> history;  // one a period, the newest last
  friend bool operator==(const SizingRecord&, const SizingRecord&) = default;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_CAPACITY_RECORDS_H_
