#include "core/state/state_watcher.h"

#include <utility>

namespace pitchfall {

void StateWatcher::Step() {
  if (reading_) return;
  SteadyTime now = out_.now().steady;
  if (now < next_) return;
  bool wanted = read_requested_ || !waiting_.empty() || !loaded_;
  if (!wanted && now - started_ < kIdleInterval) return;
  if (!requests_.Take(now, 1)) return;
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
                 [this](const StateReply& reply) {
                   if (reply.status == 410) {
                     // Too far behind: read everything again.
                     loaded_ = false;
                     out_.Log(LogLevel::kWarning,
                              "event=state_reread reason=log_too_old");
                     Finish(false);
                     return;
                   }
                   if (reply.status == 200) {
                     for (const Change& change : reply.changes) {
                       state_cache_.Apply(change);
                     }
                     state_cache_.AdvanceTo(reply.revision);
                   }
                   Finish(reply.status == 200);
                 });
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
  if (reply.status != 200) {
    Finish(false);
    return;
  }
  for (const Change& row : reply.changes) listing_->fresh.Apply(row);
  // Later pages may be newer than the first: the watch goes on from the first
  // page's revision and brings the rest again, in order.
  if (listing_->revision == 0) listing_->revision = reply.revision;
  if (reply.more && !reply.changes.empty()) {
    listing_->after = reply.changes.back().key;
    requests_.Take(out_.now().steady, 1, -1e9);
    StartList();
    return;
  }
  listing_->fresh.AdvanceTo(listing_->revision);
  state_cache_.Replace(std::move(listing_->fresh));
  listing_.reset();
  loaded_ = true;
  // The pages are of different moments: a segment may name jobs that the page
  // before did not have yet. Nothing is known for sure before what changed
  // since has been read.
  read_requested_ = true;
  out_.Log(LogLevel::kInfo, "event=state_loaded revision={} open_jobs={}",
           state_cache_.revision(), state_cache_.open_jobs().size());
  Finish(false);
  next_ = out_.now().steady;
}

void StateWatcher::Finish(bool ok) {
  SteadyTime now = out_.now().steady;
  reading_ = false;
  if (ok) current_as_of_ = started_;
  next_ = now + (ok ? kBusyInterval : kFailureInterval);
  for (ReadCallback& waiter : std::exchange(served_, {})) waiter(ok);
}

}  // namespace pitchfall
