// Stored records of quota shares, partition load and autoscaler decisions.
#ifndef PITCHFALL_CORE_MODEL_CAPACITY_RECORDS_H_
#define PITCHFALL_CORE_MODEL_CAPACITY_RECORDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/resources.h"
#include "core/base/time.h"

namespace pitchfall {

// How much of a team's quota each partition may use, for a team that has a
// limit. The sum of the shares stays within the team's quota. A partition gives
// back only the part of its share that none of its tasks can use.
struct TeamRecord {
  // The share of one partition, in millionths as in Resources.
  struct QuotaShare {
    int64_t cpus = 0;
    int64_t gpus = 0;
    friend bool operator==(const QuotaShare&, const QuotaShare&) = default;
  };
  std::vector<QuotaShare> shares;  // indexed by partition
  friend bool operator==(const TeamRecord&, const TeamRecord&) = default;
};

// The load of a partition, which its owner reports once per sizing period
// (Tuning::sizing_period).
struct LoadRecord {
  uint64_t period = 0;   // the wall-clock time divided by the period's length
  Resources requested;   // by running tasks and admissible waiting tasks
  Resources used;        // by tasks that are bound to machines
  uint32_t waiting = 0;  // the number of admissible waiting tasks
  // The number of tasks that started since the last report, and the sum of
  // their waiting times.
  uint32_t started = 0;
  Duration waited{0};
  // Identifiers of jobs that fail on every machine. No capacity is requested
  // for them.
  std::vector<std::string> failing;
  friend bool operator==(const LoadRecord&, const LoadRecord&) = default;
};

// The leader's last sizing decision, and the measurements with which the next
// leader continues.
struct SizingRecord {
  // The measurements of one period, over all partitions.
  struct Point {
    Resources requested;
    double utilisation = 0;  // fraction of the capacity in use, 0 to 1
    // Mean waiting time of the tasks that started, in seconds; negative if none
    // started.
    double delay = -1;
    friend bool operator==(const Point&, const Point&) = default;
  };
  uint64_t period = 0;         // of the newest point, numbered as in LoadRecord
  uint32_t target = 0;         // number of machines to reach
  uint32_t count = 0;          // number of machines when the decision was made
  std::string reason;          // of the decision
  std::vector<Point> history;  // one point per period, the newest last
  friend bool operator==(const SizingRecord&, const SizingRecord&) = default;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_CAPACITY_RECORDS_H_
