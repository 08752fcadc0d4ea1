// What pitchfall keeps in the state service. These records are the truth; all
// that a process holds besides is a cache of them or can be learned again.
#ifndef PITCHFALL_CORE_MODEL_RECORDS_H_
#define PITCHFALL_CORE_MODEL_RECORDS_H_

#include <algorithm>
#include <boost/icl/interval_set.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/base/resources.h"
#include "core/base/time.h"
#include "core/base/version.h"

namespace pitchfall {

// Sets of task numbers, kept as ranges.
using TaskSet = boost::icl::interval_set<uint32_t>;

inline void AddTask(TaskSet& set, uint32_t task) {
  set += TaskSet::interval_type::right_open(task, task + 1);
}
inline bool HasTask(const TaskSet& set, uint32_t task) {
  return boost::icl::contains(set, task);
}
inline uint32_t CountTasks(const TaskSet& set) {
  return static_cast<uint32_t>(boost::icl::cardinality(set));
}

enum class Priority : uint8_t { kLow = 0, kNormal, kHigh, kProduction };

enum class Shape : uint8_t {
  kArray = 0,  // independent tasks, each runs to completion
  kGang,       // tasks that run at the same time
  kService,    // tasks that run until the job is cancelled
};

// A job as its user described it.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  Shape shape = Shape::kArray;
  Priority priority = Priority::kNormal;
  uint32_t tasks = 0;
  Resources resources;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  // none: any
  std::string zone;                               // empty: any
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  Duration estimate{0};
  Duration checkpoint{0};
  Duration save{0};
  std::optional<Duration> deadline;
  friend bool operator==(const JobSpec&, const JobSpec&) = default;

  bool AllowsType(const std::string& type) const {
    return !types ||
           std::find(types->begin(), types->end(), type) != types->end();
  }
};

enum class JobState : uint8_t { kAccepted = 0, kDone, kCancelled };

// The partition that runs a chunk. Only it starts the chunk's tasks, and only
// it transfers the chunk, while nothing of it is bound to a machine.
struct ChunkOwner {
  uint32_t partition = 0;
  uint32_t epoch = 0;
  friend bool operator==(const ChunkOwner&, const ChunkOwner&) = default;
};

struct JobRecord {
  JobSpec spec;
  JobState state = JobState::kAccepted;
  WallTime submitted;
  uint32_t chunk_size = 8;  // tasks in one ChunkRecord
  uint32_t home = 0;        // partition that takes the first chunk
  uint32_t spread_over =
      1;  // partitions that take chunks in turn, from `home` on
  // By chunk, once one has been given to another partition; until then empty.
  std::vector<ChunkOwner> owners;
  friend bool operator==(const JobRecord&, const JobRecord&) = default;

  bool final() const { return state != JobState::kAccepted; }
  uint32_t chunk_count() const {
    return (spec.tasks + chunk_size - 1) / chunk_size;
  }
};

// An attempt of a task bound to a machine, from before its start is sent until
// it is proven to be gone.
struct Assignment {
  uint32_t task = 0;
  uint32_t attempt = 0;
  std::string machine;
  std::string zone;  // of the machine
  friend bool operator==(const Assignment&, const Assignment&) = default;
};

// The tasks [n * chunk_size, (n + 1) * chunk_size) of a job. A chunk has no
// record until the first of its tasks is assigned.
struct ChunkRecord {
  // How often the chunk had been transferred when this was written.
  uint32_t epoch = 0;
  TaskSet done;
  std::vector<Assignment> assigned;
  uint32_t next_attempt = 1;
  friend bool operator==(const ChunkRecord&, const ChunkRecord&) = default;
};

// Chunk records that were stored together; see core/segments.h.
struct SegmentRecord {
  struct Entry {
    std::string job;
    uint32_t chunk = 0;
    ChunkRecord record;
    friend bool operator==(const Entry&, const Entry&) = default;
  };
  std::vector<Entry> entries;
  friend bool operator==(const SegmentRecord&, const SegmentRecord&) = default;
};

// A live controller process; its key hangs on a lease.
struct NodeRecord {
  std::string label;
  std::string incarnation;
  uint32_t version = kFirstVersion;
  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

// Names the owner of a partition. The modification revision of this key is the
// partition's fencing token.
struct PartitionRecord {
  std::string label;
  std::string incarnation;
  // The owner before, if it gave the partition up because its workers could not
  // reach it: it should not get it back at once.
  std::string unreachable_owner;
  friend bool operator==(const PartitionRecord&,
                         const PartitionRecord&) = default;
};

// A instance request request, stored before it is sent.
struct InstanceRequestRecord {
  std::string type;
  std::string zone;
  bool spot = false;
  uint32_t count = 0;
  WallTime asked;
  std::vector<std::string> machines;  // once the cloud has answered
  friend bool operator==(const InstanceRequestRecord&,
                         const InstanceRequestRecord&) = default;
};

// How much of a limited team's capacity each partition may use. The sum stays
// within the team's limit; a partition gives back only what no task of its can
// hold.
struct TeamRecord {
  struct QuotaShare {
    int64_t cpus = 0;
    int64_t gpus = 0;
    friend bool operator==(const QuotaShare&, const QuotaShare&) = default;
  };
  std::vector<QuotaShare> shares;
  friend bool operator==(const TeamRecord&, const TeamRecord&) = default;
};

// Machines that the leader wants returned; the partitions' owners empty and
// delete them.
struct DrainRecord {
  std::vector<std::string> machines;
  friend bool operator==(const DrainRecord&, const DrainRecord&) = default;
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

struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;       // an hour
  double spot_price = 0;  // an hour
  Duration boot{0};
  std::vector<std::string> zones;
  friend bool operator==(const MachineType&, const MachineType&) = default;
};

// The cloud's machine types, so that a restarted controller can judge
// submissions while the cloud's interface is down.
struct TypesRecord {
  std::vector<MachineType> types;
  friend bool operator==(const TypesRecord&, const TypesRecord&) = default;
};

using Record = std::variant<JobRecord, SegmentRecord, NodeRecord,
                            PartitionRecord, InstanceRequestRecord, TypesRecord,
                            TeamRecord, DrainRecord, LoadRecord, SizingRecord>;

// Keys. Everything lies under one prefix, so that one watch sees it all in
// order.
namespace keys {
inline constexpr char kPrefix[] = "pf/";
inline constexpr char kJobs[] = "pf/jobs/";
inline constexpr char kSegments[] = "pf/segments/";
inline constexpr char kNodes[] = "pf/nodes/";
inline constexpr char kPartitions[] = "pf/parts/";
inline constexpr char kInstanceRequests[] = "pf/rentals/";
inline constexpr char kTeams[] = "pf/teams/";
inline constexpr char kTypes[] = "pf/types";
inline constexpr char kDrain[] = "pf/drain";
inline constexpr char kLoads[] = "pf/loads/";
inline constexpr char kSizing[] = "pf/sizing";

inline std::string Job(const std::string& id) { return kJobs + id; }
inline std::string Segment(uint32_t partition, uint32_t slot) {
  return kSegments + std::to_string(partition) + "/" + std::to_string(slot);
}
inline std::string Node(const std::string& label,
                        const std::string& incarnation) {
  return kNodes + label + "." + incarnation;
}
inline std::string Partition(uint32_t partition) {
  return kPartitions + std::to_string(partition);
}
// Changed after a write whose outcome stays unknown, so that a late copy of it
// finds a condition unmet.
inline std::string WriteFence(uint32_t partition, uint64_t fencing_token) {
  return "pf/fences/" + std::to_string(partition) + "." +
         std::to_string(fencing_token);
}
inline std::string Team(const std::string& name) { return kTeams + name; }
inline std::string Load(uint32_t partition) {
  return kLoads + std::to_string(partition);
}
inline std::string InstanceRequest(const std::string& name) {
  return kInstanceRequests + name;
}
}  // namespace keys

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_RECORDS_H_
