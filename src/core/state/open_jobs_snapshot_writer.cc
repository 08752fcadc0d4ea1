#include "core/state/open_jobs_snapshot_writer.h"

#include <algorithm>
#include <utility>

#include "core/model/http_status.h"
#include "core/model/job.h"

namespace pitchfall {
namespace {

// A snapshot is due after this many changes, or after this many for each of its
// pages if that is more: so it takes at most one write in twenty. The change
// log holds 10,000 changes.
constexpr uint64_t kMinChanges = 2000;
constexpr uint64_t kChangesPerPage = 20;
constexpr uint64_t kMaxChanges = 6000;
// Once a snapshot is so old, its pages no longer leave a write token to others.
constexpr uint64_t kUrgentChanges = 5000;
constexpr double kReservedWrites = 1;
// More pages could not be written as often as they have to be.
constexpr size_t kMaxPages = kMaxChanges / kChangesPerPage;
// The delay after a write that failed or had no reply.
constexpr Duration kRetryDelay = Millis(2000);
// The bytes of a page besides its jobs' records, and of an entry besides the
// record.
constexpr size_t kPageBytes = 60;
constexpr size_t kEntryBytes = 40;

}  // namespace

void OpenJobsSnapshotWriter::RunDueWork() {
  SteadyTime now = context_.now();
  if (write_in_flight_ || now < next_write_) return;
  if (!context_.state_watcher.IsFresh()) return;
  if (!draft_) {
    if (!IsDue()) return;
    draft_ = MakeDraft();
    if (!draft_) {
      next_write_ = now + kRetryDelay;
      return;
    }
  }
  bool urgent = ChangesSinceSnapshot() >= kUrgentChanges;
  double reserve = urgent ? 0 : kReservedWrites;
  if (context_.state_write_bucket.Take(now, 1, reserve)) WriteNext();
}

uint64_t OpenJobsSnapshotWriter::ChangesSinceSnapshot() const {
  if (changes_read_at_last_) {
    return context_.state_watcher.changes_read() - *changes_read_at_last_;
  }
  const auto& stored = context_.state_cache.open_jobs_snapshot();
  uint64_t from = stored ? stored->value.revision : 0;
  uint64_t revisions = context_.state_cache.revision() - from;
  return revisions * context_.state_limits.Operations();
}

bool OpenJobsSnapshotWriter::IsDue() const {
  uint64_t interval =
      std::clamp(kChangesPerPage * last_page_count_, kMinChanges, kMaxChanges);
  return ChangesSinceSnapshot() >= interval;
}

std::optional<OpenJobsSnapshotWriter::Draft> OpenJobsSnapshotWriter::MakeDraft()
    const {
  Draft draft;
  const auto& stored = context_.state_cache.open_jobs_snapshot();
  draft.snapshot.set = stored ? 1 - stored->value.set : 0;
  draft.snapshot.revision = context_.state_cache.revision();
  draft.changes_read = context_.state_watcher.changes_read();
  size_t value_bytes = context_.state_limits.UsableValueBytes();
  size_t bytes =
      value_bytes;  // of the last page; the first job needs a new one
  for (const auto& [id, job] : context_.state_cache.open_jobs()) {
    size_t entry_bytes = RecordBytes(job->record) + kEntryBytes;
    if (kPageBytes + entry_bytes > value_bytes) return std::nullopt;
    if (bytes + entry_bytes > value_bytes) {
      if (draft.pages.size() == kMaxPages) return std::nullopt;
      draft.pages.push_back({draft.snapshot.revision, {}});
      bytes = kPageBytes;
    }
    draft.pages.back().jobs.push_back({job->record, job->mod_revision});
    bytes += entry_bytes;
  }
  draft.snapshot.page_count = static_cast<uint32_t>(draft.pages.size());
  return draft;
}

Write OpenJobsSnapshotWriter::NextWrite() const {
  if (draft_->pages_stored == draft_->pages.size()) {
    return {keys::kOpenJobsSnapshot, draft_->snapshot};
  }
  auto page = static_cast<uint32_t>(draft_->pages_stored);
  return {keys::OpenJobsPage(draft_->snapshot.set, page),
          draft_->pages[draft_->pages_stored]};
}

// The condition on the record that names the pages makes a late copy of a
// page's write fail once a newer snapshot is complete.
void OpenJobsSnapshotWriter::WriteNext() {
  const auto& stored = context_.state_cache.open_jobs_snapshot();
  Write write = NextWrite();
  Transaction transaction;
  transaction.conditions.push_back({keys::Partition(0), fencing_token_});
  transaction.conditions.push_back(
      {keys::kOpenJobsSnapshot, stored ? stored->mod_revision : 0});
  transaction.writes.push_back(write);
  context_.state_request_bucket.TakeOnCredit(context_.now(), 1);
  write_in_flight_ = true;
  context_.outbox.CallState(
      std::move(transaction), context_.tuning.state_timeout,
      guard_.Wrap([this, write = std::move(write)](const StateReply& reply) {
        OnReply(write, reply);
      }));
}

void OpenJobsSnapshotWriter::OnReply(const Write& write,
                                     const StateReply& reply) {
  write_in_flight_ = false;
  switch (reply.status) {
    case http_status::kOk:
      OnStored(write, reply.revision);
      return;
    case http_status::kTooManyRequests:
      context_.state_write_bucket.Drain(context_.now());
      return;
    default:
      GiveUpDraft();
      return;
  }
}

void OpenJobsSnapshotWriter::OnStored(const Write& write, uint64_t revision) {
  if (write.key != keys::kOpenJobsSnapshot) {
    ++draft_->pages_stored;
    return;
  }
  context_.state_cache.Apply({write.key, write.value, revision});
  changes_read_at_last_ = draft_->changes_read;
  last_page_count_ = draft_->pages.size();
  context_.outbox.Log(LogLevel::kInfo,
                      "event=snapshot_stored revision={} pages={}",
                      draft_->snapshot.revision, last_page_count_);
  draft_.reset();
}

// A write of unknown outcome may still be carried out. The next draft has
// another revision, so that a page of this one is recognised.
void OpenJobsSnapshotWriter::GiveUpDraft() {
  draft_.reset();
  next_write_ = context_.now() + kRetryDelay;
}

}  // namespace pitchfall
