// Jobs as users describe them and as the state service holds them.
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

// In ascending order; the numbers are stored.
enum class Priority : uint8_t { kLow = 0, kNormal, kHigh, kProduction };

// How the tasks of a job relate to each other; the numbers are stored.
enum class Shape : uint8_t {
  kArray = 0,  // independent tasks, each runs to completion
  kGang,       // tasks that run at the same time
  kService,    // tasks that run until the job is cancelled
};

// A job as its user described it.
struct JobSpec {
  std::string id;  // chosen by the user, unique
  std::string job_class;
  std::string team;
  Shape shape = Shape::kArray;
  Priority priority = Priority::kNormal;
  uint32_t tasks = 0;
  Resources resources;  // requested by each task
  std::string image;
  double image_gb = 0;  // to fetch onto a machine that lacks the image
  std::optional<std::vector<std::string>> types;  // none: any
  std::string zone;                               // empty: any
  bool one_zone = false;                          // all tasks in the same zone
  bool spread = false;     // over zones: none runs more than half
  bool spot = false;       // may run on spot instances
  Duration estimate{0};    // expected run time of a task
  Duration checkpoint{0};  // interval between checkpoints; 0: none are made
  Duration save{0};        // time that saving a checkpoint takes
  std::optional<Duration> deadline;
  friend bool operator==(const JobSpec&, const JobSpec&) = default;

  // Whether the tasks may run on machines of this type.
  bool AllowsType(const std::string& type) const {
    return !types ||
           std::find(types->begin(), types->end(), type) != types->end();
  }
};

// The numbers are stored.
enum class JobState : uint8_t { kAccepted = 0, kDone, kCancelled };

// The partition that runs a chunk. Only it starts the chunk's tasks, and only
// it transfers the chunk, while nothing of it is bound to a machine.
struct ChunkOwner {
  uint32_t partition = 0;
  uint32_t epoch = 0;
  friend bool operator==(const ChunkOwner&, const ChunkOwner&) = default;
};

// A job as stored: its description, its state and how its chunks are divided
// among the partitions.
struct JobRecord {
  JobSpec spec;
  JobState state = JobState::kAccepted;
  WallTime submitted;
  uint32_t chunk_size = 8;  // tasks in one ChunkRecord
  uint32_t home = 0;        // partition that takes the first chunk
  // How many partitions take chunks in turn, from `home` on.
  uint32_t spread_over = 1;
  // By chunk, once one has been given to another partition; until then empty.
  std::vector<ChunkOwner> owners;
  friend bool operator==(const JobRecord&, const JobRecord&) = default;

  // Done or cancelled: no task is started any more.
  bool final() const { return state != JobState::kAccepted; }
  // Precondition: `chunk_size` is not 0, which the decoder refuses.
  uint32_t chunk_count() const {
    return (spec.tasks + chunk_size - 1) / chunk_size;
  }
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_JOB_RECORD_H_
