// Reads the state service into a new state cache, at the start of a process or
// when the change log no longer reaches back far enough.
//
// The first page of a listing holds everything in a small deployment. If there
// is more, most of it are the records of jobs that ended long ago, so these are
// left out:
//
// 1. All other records are listed, segments included.
// 2. The snapshot of the open jobs is read, and the changes of jobs since.
// 3. Without a usable snapshot the records of all jobs are listed, but only
// open
//    jobs, and those to which a segment binds tasks, are kept. As that takes
//    long, the change log is read in between.
//
// The pages show different points in time. The log from `revision()` on shows
// all later changes once more, in order.
#ifndef PITCHFALL_CORE_STATE_STATE_LISTING_H_
#define PITCHFALL_CORE_STATE_STATE_LISTING_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/model/messages.h"
#include "core/state/state_cache.h"

namespace pitchfall {

// One listing. The caller sends the requests, one at a time. A request that
// fails is made again: if the whole listing were, a process might never finish
// it while the state service is slow or busy.
class StateListing {
 public:
  explicit StateListing(SteadyTime started) : log_read_(started) {}

  // What follows from a reply.
  enum class Progress : uint8_t {
    kContinues,  // NextRequest() is to be sent at once
    kFailed,     // NextRequest() is to be sent after a pause
    kComplete
  };

  // Returns the next request. Precondition: the listing is not complete.
  StateRequest NextRequest(SteadyTime now);
  // Processes the reply to the last request, which was sent at `sent`.
  Progress OnReply(const StateReply& reply, SteadyTime sent);
  // Whether the listing has become so old that the change log may no longer
  // contain all changes since. Then a new one has to be made.
  bool IsTooOld(SteadyTime now) const { return now - log_read_ > kMaxLogAge; }

  // The revision from which on the change log is to be read. Precondition for
  // this and the next function: the listing is complete.
  uint64_t revision() const { return revision_; }
  // Returns the records, and leaves the listing empty.
  StateCache TakeCache();

 private:
  // The change log contains everything that was stored in this time.
  static constexpr Duration kMaxLogAge = Millis(30000);
  // How often the change log is read while all jobs are listed.
  static constexpr Duration kLogReadInterval = Millis(5000);

  enum class Stage : uint8_t {
    kFirstPage,
    kOtherRecords,
    kSnapshotPages,
    kJobChanges,  // since the snapshot
    kAllJobs,
    kComplete
  };

  Progress OnFirstPage(const StateReply& reply);
  Progress OnOtherRecords(const StateReply& reply);
  Progress OnSnapshotPages(const StateReply& reply);
  Progress OnJobChanges(const StateReply& reply);
  Progress OnJobs(const StateReply& reply);
  // Processes a read of the change log between two pages of jobs.
  Progress OnLog(const StateReply& reply, SteadyTime sent);
  Progress StartSnapshot();
  Progress ListAllJobs();
  Progress Complete();

  void Keep(const Change& row);
  // Whether the change may be left out because the job is over and nothing that
  // has been read refers to it.
  bool IsOverAndUnknown(const Change& change) const;
  // The jobs to which a segment binds tasks.
  std::set<std::string> BoundJobs() const;

  Stage stage_ = Stage::kFirstPage;
  StateCache cache_;
  uint64_t revision_ = 0;
  SteadyTime log_read_;        // when `revision_` was read
  bool reading_log_ = false;   // instead of the next page of jobs
  std::string last_key_;       // of the present stage; empty: none
  std::string first_job_key_;  // after which the list of all jobs begins
  // The newest versions of segments by key. They are applied at the end,
  // because chunks of jobs that are not known yet would be ignored.
  std::map<std::string, Change> segments_;
  std::vector<Change> snapshot_jobs_;
  uint32_t snapshot_pages_read_ = 0;
  // While all jobs are listed, the final ones to be kept.
  std::shared_ptr<const std::set<std::string>> bound_jobs_;
  // Cancellations up to this revision may be missing.
  uint64_t cancellations_missing_up_to_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_STATE_LISTING_H_
