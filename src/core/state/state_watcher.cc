#include "core/state/state_watcher.h"

#include <algorithm>
#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {

bool StateWatcher::ReadDue(SteadyTime now) const {
  if (read_in_progress_ || now < earliest_next_read_) return false;
  bool requested = read_requested_ || !next_read_waiters_.empty() || !loaded_;
  return requested || now - read_started_ >= kIdleInterval;
}

void StateWatcher::RunDueWork() {
  SteadyTime now = outbox_.now().steady;
  if (!ReadDue(now) || !request_bucket_.Take(now, 1)) return;
  read_in_progress_ = true;
  read_requested_ = false;
  read_started_ = now;
  current_read_waiters_ = std::exchange(next_read_waiters_, {});
  if (loaded_) {
    StartWatch();
  } else {
    ContinueListing();
  }
}

void StateWatcher::StartWatch() {
  outbox_.CallState(WatchRead{state_cache_.revision()}, tuning_.state_timeout,
                    [this](const StateReply& reply) { OnWatchReply(reply); });
}

void StateWatcher::OnWatchReply(const StateReply& reply) {
  if (reply.status == http_status::kGone) {
    loaded_ = false;  // all records are listed again
    outbox_.Log(LogLevel::kWarning, "event=state_reread reason=log_too_old");
    FinishRead(false);
    return;
  }
  if (reply.status != http_status::kOk) {
    FinishRead(false);
    return;
  }
  ApplyChanges(reply.changes);
  state_cache_.AdvanceTo(reply.revision);
  FinishRead(true);
}

void StateWatcher::ApplyChanges(const std::vector<Change>& changes) {
  changes_read_ += changes.size();
  bool in_order = std::ranges::is_sorted(changes, {}, &Change::mod_revision);
  size_t applied = 0;
  for (const Change& change : changes) {
    if (in_order && ++applied % kChangesPerAdvance == 0) {
      state_cache_.AdvanceTo(change.mod_revision - 1);
    }
    state_cache_.Apply(change);
  }
}

void StateWatcher::ContinueListing() {
  SteadyTime now = outbox_.now().steady;
  if (listing_ && listing_->IsTooOld(now)) listing_.reset();
  if (!listing_) listing_.emplace(now);
  outbox_.CallState(
      listing_->NextRequest(now), tuning_.state_timeout,
      [this, now](const StateReply& reply) { OnListingReply(reply, now); });
}

void StateWatcher::OnListingReply(const StateReply& reply, SteadyTime sent) {
  switch (listing_->OnReply(reply, sent)) {
    case StateListing::Progress::kContinues:
      // Further requests of a listing count, but do not wait for tokens.
      request_bucket_.TakeOnCredit(outbox_.now().steady, 1);
      ContinueListing();
      return;
    case StateListing::Progress::kFailed:
      FinishRead(false);
      return;
    case StateListing::Progress::kComplete:
      FinishListing();
      return;
  }
}

void StateWatcher::FinishListing() {
  state_cache_.Replace(listing_->TakeCache());
  listing_.reset();
  loaded_ = true;
  read_since_listing_ = false;
  // The replies show different points in time: a segment may name jobs that
  // were not listed yet. The state is consistent only after the changes since
  // the first page have been read, so this does not count as a successful read.
  read_requested_ = true;
  outbox_.Log(LogLevel::kInfo, "event=state_loaded revision={} open_jobs={}",
              state_cache_.revision(), state_cache_.open_jobs().size());
  FinishRead(false);
  earliest_next_read_ = outbox_.now().steady;
}

void StateWatcher::FinishRead(bool succeeded) {
  SteadyTime now = outbox_.now().steady;
  read_in_progress_ = false;
  if (succeeded) {
    current_as_of_ = read_started_;
    read_since_listing_ = true;
  }
  earliest_next_read_ = now + (succeeded ? kMinReadPause : kRetryDelay);
  for (ReadCallback& waiter : std::exchange(current_read_waiters_, {})) {
    waiter(succeeded);
  }
}

}  // namespace pitchfall
