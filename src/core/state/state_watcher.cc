#include "core/state/state_watcher.h"

#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {

bool StateWatcher::ReadDue(SteadyTime now) const {
  if (reading_ || now < next_read_) return false;
  bool requested = read_requested_ || !waiting_.empty() || !loaded_;
  return requested || now - started_ >= kIdleInterval;
}

void StateWatcher::Step() {
  SteadyTime now = out_.now().steady;
  if (!ReadDue(now) || !requests_.Take(now, 1)) return;
  reading_ = true;
  read_requested_ = false;
  started_ = now;
  served_ = std::exchange(waiting_, {});
  if (loaded_) {
    StartWatch();
  } else {
    StartList();
  }
}

void StateWatcher::StartWatch() {
  out_.CallState(WatchRead{state_cache_.revision()}, tuning_.state_timeout,
                 [this](const StateReply& reply) { OnWatchReply(reply); });
}

void StateWatcher::OnWatchReply(const StateReply& reply) {
  if (reply.status == http_status::kGone) {
    loaded_ = false;  // all records are listed again
    out_.Log(LogLevel::kWarning, "event=state_reread reason=log_too_old");
    Finish(false);
    return;
  }
  if (reply.status != http_status::kOk) {
    Finish(false);
    return;
  }
  for (const Change& change : reply.changes) state_cache_.Apply(change);
  state_cache_.AdvanceTo(reply.revision);
  Finish(true);
}

void StateWatcher::StartList() {
  SteadyTime now = out_.now().steady;
  if (listing_ && now - listing_->begun > kMaxListingAge) listing_.reset();
  if (!listing_) {
    listing_ = Listing{};
    listing_->begun = now;
  }
  out_.CallState(ListRead{listing_->after}, tuning_.state_timeout,
                 [this](const StateReply& reply) { OnPage(reply); });
}

void StateWatcher::OnPage(const StateReply& reply) {
  if (reply.status != http_status::kOk) {
    Finish(false);
    return;
  }
  for (const Change& row : reply.changes) listing_->fresh.Apply(row);
  // Later pages may be newer than the first. Watch reads continue from the
  // first page's revision and return all changes since then again, in order.
  if (listing_->revision == 0) listing_->revision = reply.revision;
  if (reply.more && !reply.changes.empty()) {
    listing_->after = reply.changes.back().key;
    // Further pages of a list count as requests, but do not wait for tokens.
    requests_.TakeOnCredit(out_.now().steady, 1);
    StartList();
    return;
  }
  FinishList();
}

void StateWatcher::FinishList() {
  listing_->fresh.AdvanceTo(listing_->revision);
  state_cache_.Replace(std::move(listing_->fresh));
  listing_.reset();
  loaded_ = true;
  // The pages show different points in time: a segment may name jobs that an
  // earlier page did not contain yet. The state is consistent only after the
  // changes since the first page have been read, so this does not count as a
  // successful read.
  read_requested_ = true;
  out_.Log(LogLevel::kInfo, "event=state_loaded revision={} open_jobs={}",
           state_cache_.revision(), state_cache_.open_jobs().size());
  Finish(false);
  next_read_ = out_.now().steady;
}

void StateWatcher::Finish(bool succeeded) {
  SteadyTime now = out_.now().steady;
  reading_ = false;
  if (succeeded) current_as_of_ = started_;
  next_read_ = now + (succeeded ? kBusyInterval : kFailureInterval);
  for (ReadCallback& waiter : std::exchange(served_, {})) waiter(succeeded);
}

}  // namespace pitchfall
