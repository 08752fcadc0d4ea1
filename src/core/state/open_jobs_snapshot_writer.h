// Stores snapshots of the open jobs, from which controllers start.
#ifndef PITCHFALL_CORE_STATE_OPEN_JOBS_SNAPSHOT_WRITER_H_
#define PITCHFALL_CORE_STATE_OPEN_JOBS_SNAPSHOT_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/lifetime_guard.h"
#include "core/base/time.h"
#include "core/model/messages.h"
#include "core/model/records.h"
#include "core/state/context.h"

namespace pitchfall {

// Runs in the leader. A snapshot becomes due by the number of changes since the
// last one, so that the change log always contains these. Its pages are written
// one by one; the record that names them is written last.
class OpenJobsSnapshotWriter {
 public:
  // `context` must outlive the object. `fencing_token` is that of partition 0:
  // a deposed leader stores nothing.
  OpenJobsSnapshotWriter(Context& context, uint64_t fencing_token)
      : context_(context), fencing_token_(fencing_token) {}

  // Starts a snapshot if one is due, or writes its next part if the write
  // budget allows. To be called once per batch of commands.
  void RunDueWork();

 private:
  // A snapshot that is being written.
  struct Draft {
    OpenJobsSnapshot snapshot;
    std::vector<OpenJobsPage> pages;
    size_t pages_stored = 0;
    uint64_t changes_read = 0;  // of the state watcher, at its revision
  };

  // An upper bound of how many changes the change log has had since the newest
  // snapshot.
  uint64_t ChangesSinceSnapshot() const;
  bool IsDue() const;
  // Collects the open jobs. None if a job does not fit into a page, or if there
  // are too many.
  std::optional<Draft> MakeDraft() const;
  void WriteNext();
  // The page that is to be written next, or the record that names them.
  Write NextWrite() const;
  void OnReply(const Write& write, const StateReply& reply);
  void OnStored(const Write& write, uint64_t revision);
  void GiveUpDraft();

  Context& context_;
  const uint64_t fencing_token_;
  std::optional<Draft> draft_;
  // The page count of the last snapshot, and the state watcher's number of
  // changes at its revision; empty if this object has written none.
  size_t last_page_count_ = 0;
  std::optional<uint64_t> changes_read_at_last_;
  bool write_in_flight_ = false;
  SteadyTime next_write_{};  // nothing is written before
  LifetimeGuard guard_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_OPEN_JOBS_SNAPSHOT_WRITER_H_
