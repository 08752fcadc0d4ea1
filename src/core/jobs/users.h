// What users ask for: submissions, polls and cancellations. Any controller
// serves any user; nothing is acknowledged before it is stored.
#ifndef PITCHFALL_CORE_JOBS_USERS_H_
#define PITCHFALL_CORE_JOBS_USERS_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/state/context.h"

namespace pitchfall {

class Users {
 public:
  explicit Users(Context& context) : context_(context) {}

  void Submit(RequestId request, const JobSpec& spec);
  void Poll(RequestId request, const std::string& job);
  void Cancel(RequestId request, const std::string& job);
  void Step();
  // How many cancellations this process has stored.
  uint64_t cancelled() const { return cancelled_; }

 private:
  struct Change {
    bool cancel = false;
    std::string job;
    JobSpec spec;  // of a submission
    std::vector<RequestId> requests;
    SteadyTime since;
  };

  void AnswerWith(RequestId request, const Job& job, bool counts);
  // Answers from the state cache once it is known to be current.
  void AnswerAfterNextRead(RequestId request, const std::string& job,
                           bool counts);
  void ServePolls();
  void Enqueue(Change change);
  void Flush();
  void OnStored(std::vector<Change> batch, const Transaction& txn,
                const StateReply& reply);
  void Refuse(const Change& change, Duration retry_after);
  JobRecord MakeRecord(const JobSpec& spec);
  uint32_t HomeOfService(const JobSpec& spec, uint32_t otherwise) const;
  Duration RetryAfter() const;

  struct WaitingPoll {
    RequestId request;
    std::string job;
    bool counts;
    SteadyTime since;
  };

  Context& context_;
  std::deque<Change> queue_;  // cancellations first
  bool storing_ = false;
  SteadyTime next_store_{};
  std::vector<WaitingPoll> polls_;  // for the next reading
  bool serving_polls_ = false;
  uint64_t cancelled_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_USERS_H_
