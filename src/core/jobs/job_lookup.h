// Reads the stored records of jobs that the state cache does not hold, because
// they ended long ago or do not exist.
#ifndef PITCHFALL_CORE_JOBS_JOB_LOOKUP_H_
#define PITCHFALL_CORE_JOBS_JOB_LOOKUP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "core/model/messages.h"
#include "core/model/outbox.h"
#include "core/model/records.h"
#include "core/model/settings.h"

namespace pitchfall {

// What a lookup has found. The state service has said that there is no such
// job:
struct JobAbsent {};
// The job's record could not be read in time:
struct JobUnreadable {};
// The job's record, as stored at some time after the lookup was requested:
struct StoredJob {
  JobRecord record;
  uint64_t mod_revision = 0;
};
using LookupResult = std::variant<JobAbsent, JobUnreadable, StoredJob>;

// Reads one key for each job that is asked for. Anyone can ask about any number
// of jobs, so these reads get a bounded share of this controller's requests to
// the state service. Lookups wait for it in the order of their arrival.
class JobLookup {
 public:
  using Callback = std::function<void(const LookupResult&)>;

  // `requests` limits all requests of this process to the state service.
  JobLookup(const Tuning& tuning, Outbox& outbox, TokenBucket& requests)
      : tuning_(tuning),
        outbox_(outbox),
        requests_(requests),
        share_(requests.rate() * kRequestShare, kShareBurst) {}

  // Calls `callback` once, with what a read that starts after this call shows,
  // or with JobUnreadable if there is no such read until `deadline`. Lookups of
  // the same job that wait share one read.
  void Find(const std::string& job, SteadyTime deadline, Callback callback);

  // How many lookups wait for their read or for its reply.
  size_t waiting() const { return waiting_count_; }

  // Gives up overdue lookups and starts the reads that the share allows. To be
  // called once per batch of commands.
  void RunDueWork();

 private:
  // The fraction of this controller's requests that lookups may make.
  static constexpr double kRequestShare = 1.0 / 3;
  // How many lookups may be made at once, in tokens.
  static constexpr double kShareBurst = 4;
  // Lookups leave so many tokens to other requests.
  static constexpr double kReservedRequests = 1;
  // Leaves connections to the state service for other requests while replies
  // are slow.
  static constexpr size_t kMaxReads = 3;

  struct Waiter {
    SteadyTime deadline;
    Callback callback;
  };
  // The lookups of one job that share a read.
  struct Lookup {
    std::string job;
    std::vector<Waiter> waiters;
  };

  void GiveUpOverdue();
  // Calls back and removes the overdue waiters.
  void GiveUpOverdue(std::vector<Waiter>& waiters);
  void StartRead();
  void OnReply(uint64_t read, const StateReply& reply);

  const Tuning& tuning_;
  Outbox& outbox_;
  TokenBucket& requests_;
  TokenBucket share_;  // of `requests_`
  std::deque<Lookup> queue_;
  std::map<uint64_t, Lookup> reads_;  // in progress, by number
  uint64_t last_read_ = 0;
  size_t waiting_count_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_JOB_LOOKUP_H_
