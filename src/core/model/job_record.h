// Jobs as users describe them and as the state service stores them.
#ifndef PITCHFALL_CORE_MODEL_JOB_RECORD_H_
#define PITCHFALL_CORE_MODEL_JOB_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/resources.h"
#include "core/base/time.h"

namespace pitchfall {

// The priorities in ascending order. The numeric values are stored and must not
// change.
enum class Priority : uint8_t { kLow = 0, kNormal, kHigh, kProduction };

// How the tasks of a job relate to each other. The numeric values are stored
// and must not change.
enum class Shape : uint8_t {
  kArray = 0,  // independent tasks that run to completion
  kGang,       // tasks that run at the same time
  kService,    // tasks that run until the job is cancelled
};

// The description of a job by its user.
struct JobSpec {
  std::string id;         // chosen by the user, unique
  std::string job_class;  // class that the deployment's objectives refer to
  std::string team;
  Shape shape = Shape::kArray;
  Priority priority = Priority::kNormal;
  uint32_t tasks = 0;
  Resources resources;  // requested by each task
  std::string image;
  double image_gb = 0;  // to fetch onto a machine without the image
  // The machine types that the tasks may run on. Without a list, any type is
  // allowed.
  std::optional<std::vector<std::string>> types;
  std::string zone;        // empty: any zone
  bool one_zone = false;   // all tasks must run in the same zone
  bool spread = false;     // no zone may run more than half of the tasks
  bool spot = false;       // tasks may run on spot instances
  Duration estimate{0};    // expected run time of a task
  Duration checkpoint{0};  // interval between checkpoints; 0: no checkpoints
  Duration save{0};        // time that saving a checkpoint takes
  // The time after submission by which the job should be done.
  std::optional<Duration> deadline;
  friend bool operator==(const JobSpec&, const JobSpec&) = default;

  // Whether the tasks may run on machines of this type.
  bool AllowsType(const std::string& type) const {
    return !types ||
           std::find(types->begin(), types->end(), type) != types->end();
  }
};

// The numeric values are stored and must not change.
enum class JobState : uint8_t { kAccepted = 0, kDone, kCancelled };

// The partition that runs a chunk. Only this partition starts the chunk's
// tasks. Only it may transfer the chunk to another partition, and only while
// none of the chunk's tasks is bound to a machine.
struct ChunkOwner {
  uint32_t partition = 0;
  uint32_t epoch = 0;  // how often the chunk has been transferred
  friend bool operator==(const ChunkOwner&, const ChunkOwner&) = default;
};

// A job as stored: its description, its state and how its chunks are divided
// among the partitions.
struct JobRecord {
  JobSpec spec;
  JobState state = JobState::kAccepted;
  WallTime submitted;
  uint32_t chunk_size = 8;  // tasks in one ChunkRecord
  uint32_t home = 0;        // partition that runs the first chunk at first
  // The number of partitions, counted from `home` on, that the chunks are
  // assigned to in rotation at first.
  uint32_t spread_over = 1;
  // The owners, indexed by chunk. Empty until the first transfer of a chunk.
  std::vector<ChunkOwner> owners;
  friend bool operator==(const JobRecord&, const JobRecord&) = default;

  // Whether the job is done or cancelled: none of its tasks is started any
  // more.
  bool final() const { return state != JobState::kAccepted; }
  // Precondition: `chunk_size` is not 0. The decoder rejects records where it
  // is.
  uint32_t chunk_count() const {
    return (spec.tasks + chunk_size - 1) / chunk_size;
  }
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_JOB_RECORD_H_
