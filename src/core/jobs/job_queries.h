// Answers questions about jobs after a linearizable read.
#ifndef PITCHFALL_CORE_JOBS_JOB_QUERIES_H_
#define PITCHFALL_CORE_JOBS_JOB_QUERIES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/model/job.h"
#include "core/model/messages.h"
#include "core/model/outbox.h"
#include "core/state/state_cache.h"
#include "core/state/state_watcher.h"

namespace pitchfall {

// Whether an answer carries the numbers of tasks that are done and running.
// Polls ask for them; answers to submissions and cancellations leave them out.
enum class TaskCounts : uint8_t { kOmit, kInclude };

// Tells clients about jobs. A final state never changes, so it is answered at
// once from the state cache. Any other is answered after a read of the state
// service that starts after the question arrived, since another controller may
// have changed the job in the meantime. All questions that wait share one read.
class JobQueries {
 public:
  JobQueries(Outbox& out, const StateCache& state_cache,
             StateWatcher& state_watcher)
      : out_(out), state_cache_(state_cache), state_watcher_(state_watcher) {}

  // Answers `request` with the job's state: 200, 404 if no such job is stored,
  // or 503 with Retry-After if the state service does not answer in time or too
  // many questions wait already.
  void Answer(RequestId request, const std::string& job, TaskCounts counts);

  // Starts the read for the questions that wait, and refuses those that waited
  // too long. To be called once per batch of commands.
  void Step();

 private:
  struct WaitingQuery {
    RequestId request = 0;
    std::string job;
    TaskCounts counts = TaskCounts::kOmit;
    SteadyTime since;
  };

  void AnswerFromCache(const WaitingQuery& query, bool read_succeeded);
  void AnswerWith(RequestId request, const Job& job, TaskCounts counts);
  void RefuseAll();
  void RefuseOverdue();
  void StartRead();

  Outbox& out_;
  const StateCache& state_cache_;
  StateWatcher& state_watcher_;
  std::vector<WaitingQuery> waiting_;  // for the next read
  bool reading_ = false;               // for queries no longer in `waiting_`
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_JOB_QUERIES_H_
