#include "core/state/state_watcher.h"

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
    StartList();
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
  for (const Change& change : reply.changes) state_cache_.Apply(change);
  state_cache_.AdvanceTo(reply.revision);
  FinishRead(true);
}

void StateWatcher::StartList() {
  SteadyTime now = outbox_.now().steady;
  if (listing_ && now - listing_->started > kMaxListingAge) listing_.reset();
  if (!listing_) {
    listing_ = Listing{};
    listing_->started = now;
  }
  outbox_.CallState(ListRead{listing_->last_key}, tuning_.state_timeout,
                    [this](const StateReply& reply) { OnListPage(reply); });
}

void StateWatcher::OnListPage(const StateReply& reply) {
  if (reply.status != http_status::kOk) {
    FinishRead(false);
    return;
  }
  for (const Change& row : reply.changes) listing_->new_cache.Apply(row);
  // Later pages may be newer than the first. Watch reads continue from the
  // first page's revision and return all changes since then again, in order.
  if (listing_->revision == 0) listing_->revision = reply.revision;
  if (reply.more && !reply.changes.empty()) {
    listing_->last_key = reply.changes.back().key;
    // Further pages of a list count as requests, but do not wait for tokens.
    request_bucket_.TakeOnCredit(outbox_.now().steady, 1);
    StartList();
    return;
  }
  FinishList();
}

void StateWatcher::FinishList() {
  listing_->new_cache.AdvanceTo(listing_->revision);
  state_cache_.Replace(std::move(listing_->new_cache));
  listing_.reset();
  loaded_ = true;
  read_since_listing_ = false;
  // The pages show different points in time: a segment may name jobs that an
  // earlier page did not contain yet. The state is consistent only after the
  // changes since the first page have been read, so this does not count as a
  // successful read.
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
