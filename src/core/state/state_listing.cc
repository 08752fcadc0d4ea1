#include "core/state/state_listing.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {

StateRequest StateListing::NextRequest(SteadyTime now) {
  switch (stage_) {
    case Stage::kSnapshotPages: {
      uint32_t set = cache_.open_jobs_snapshot()->value.set;
      return ListRead{.after = last_key_, .prefix = keys::OpenJobsSet(set)};
    }
    case Stage::kJobChanges:
      return WatchRead{.from = cache_.open_jobs_snapshot()->value.revision,
                       .prefix = keys::kJobs};
    case Stage::kAllJobs:
      reading_log_ = now - log_read_ >= kLogReadInterval;
      if (reading_log_) return WatchRead{.from = revision_};
      return ListRead{.after = last_key_,
                      .prefix = keys::kJobs,
                      .final_jobs_wanted = bound_jobs_};
    case Stage::kFirstPage:
    case Stage::kOtherRecords:
    case Stage::kComplete:
      break;
  }
  return ListRead{.after = last_key_};
}

StateListing::Progress StateListing::OnReply(const StateReply& reply,
                                             SteadyTime sent) {
  if (stage_ == Stage::kJobChanges && reply.status == http_status::kGone) {
    return ListAllJobs();
  }
  if (reply.status != http_status::kOk) return Progress::kFailed;
  switch (stage_) {
    case Stage::kFirstPage:
      return OnFirstPage(reply);
    case Stage::kOtherRecords:
      return OnOtherRecords(reply);
    case Stage::kSnapshotPages:
      return OnSnapshotPages(reply);
    case Stage::kJobChanges:
      return OnJobChanges(reply);
    case Stage::kAllJobs:
      return reading_log_ ? OnLog(reply, sent) : OnJobs(reply);
    case Stage::kComplete:
      break;
  }
  return Progress::kComplete;
}

StateListing::Progress StateListing::OnFirstPage(const StateReply& reply) {
  revision_ = reply.revision;
  for (const Change& row : reply.changes) Keep(row);
  if (!reply.more) return Complete();
  first_job_key_ = std::max<std::string>(reply.last_key, keys::kJobs);
  last_key_ = std::max<std::string>(reply.last_key, keys::kJobsEnd);
  stage_ = Stage::kOtherRecords;
  // The first page held all jobs.
  if (reply.last_key >= keys::kJobsEnd) first_job_key_.clear();
  return Progress::kContinues;
}

StateListing::Progress StateListing::OnOtherRecords(const StateReply& reply) {
  for (const Change& row : reply.changes) Keep(row);
  last_key_ = reply.last_key;
  // The pages of the snapshots come last.
  bool at_end = !reply.more || reply.last_key >= keys::kOpenJobsPages;
  if (!at_end) return Progress::kContinues;
  return first_job_key_.empty() ? Complete() : StartSnapshot();
}

StateListing::Progress StateListing::StartSnapshot() {
  const auto& snapshot = cache_.open_jobs_snapshot();
  if (!snapshot) return ListAllJobs();
  last_key_.clear();
  bool has_pages = snapshot->value.page_count > 0;
  stage_ = has_pages ? Stage::kSnapshotPages : Stage::kJobChanges;
  return Progress::kContinues;
}

StateListing::Progress StateListing::OnSnapshotPages(const StateReply& reply) {
  const OpenJobsSnapshot& snapshot = cache_.open_jobs_snapshot()->value;
  for (const Change& row : reply.changes) {
    if (snapshot_pages_read_ == snapshot.page_count) break;
    const auto* page = RecordOf<OpenJobsPage>(row);
    bool expected =
        page != nullptr && page->revision == snapshot.revision &&
        row.key == keys::OpenJobsPage(snapshot.set, snapshot_pages_read_);
    // A later snapshot is being written to the same set.
    if (!expected) return ListAllJobs();
    for (const OpenJobsPage::Entry& job : page->jobs) {
      snapshot_jobs_.push_back(
          {keys::Job(job.record.spec.id), job.record, job.mod_revision});
    }
    ++snapshot_pages_read_;
  }
  last_key_ = reply.last_key;
  if (snapshot_pages_read_ == snapshot.page_count) {
    stage_ = Stage::kJobChanges;
    return Progress::kContinues;
  }
  return reply.more ? Progress::kContinues : ListAllJobs();
}

StateListing::Progress StateListing::OnJobChanges(const StateReply& reply) {
  for (const Change& job : snapshot_jobs_) cache_.Apply(job);
  for (const Change& change : reply.changes) cache_.Apply(change);
  cancellations_missing_up_to_ = cache_.open_jobs_snapshot()->value.revision;
  return Complete();
}

StateListing::Progress StateListing::ListAllJobs() {
  snapshot_jobs_.clear();
  last_key_ = first_job_key_;
  cancellations_missing_up_to_ = revision_;
  bound_jobs_ = std::make_shared<const std::set<std::string>>(BoundJobs());
  stage_ = Stage::kAllJobs;
  return Progress::kContinues;
}

StateListing::Progress StateListing::OnJobs(const StateReply& reply) {
  for (const Change& row : reply.changes) cache_.Apply(row);
  last_key_ = reply.last_key;
  return reply.more ? Progress::kContinues : Complete();
}

StateListing::Progress StateListing::OnLog(const StateReply& reply,
                                           SteadyTime sent) {
  for (const Change& change : reply.changes) {
    if (change.key.starts_with(keys::kSegments)) Keep(change);
  }
  bound_jobs_ = std::make_shared<const std::set<std::string>>(BoundJobs());
  for (const Change& change : reply.changes) {
    bool keep =
        !change.key.starts_with(keys::kSegments) && !IsOverAndUnknown(change);
    if (keep) cache_.Apply(change);
  }
  revision_ = std::max(revision_, reply.revision);
  log_read_ = sent;
  return Progress::kContinues;
}

StateListing::Progress StateListing::Complete() {
  for (const auto& [key, segment] : segments_) cache_.Apply(segment);
  segments_.clear();
  snapshot_jobs_.clear();
  cache_.MissCancellationsUpTo(cancellations_missing_up_to_);
  cache_.AdvanceTo(revision_);
  cache_.RemoveEndedJobs();
  stage_ = Stage::kComplete;
  return Progress::kComplete;
}

StateCache StateListing::TakeCache() { return std::move(cache_); }

void StateListing::Keep(const Change& row) {
  if (!row.key.starts_with(keys::kSegments)) {
    cache_.Apply(row);
    return;
  }
  Change& segment = segments_[row.key];
  if (row.mod_revision > segment.mod_revision) segment = row;
}

bool StateListing::IsOverAndUnknown(const Change& change) const {
  const auto* record = RecordOf<JobRecord>(change);
  if (record == nullptr || !record->final()) return false;
  const std::string& id = record->spec.id;
  return cache_.FindJob(id) == nullptr && !bound_jobs_->contains(id);
}

std::set<std::string> StateListing::BoundJobs() const {
  std::set<std::string> bound;
  for (const auto& [key, change] : segments_) {
    const auto* segment = RecordOf<SegmentRecord>(change);
    if (segment == nullptr) continue;
    for (const SegmentRecord::Entry& entry : segment->entries) {
      if (!entry.record.assigned.empty()) bound.insert(entry.job);
    }
  }
  return bound;
}

}  // namespace pitchfall
