#include "core/jobs/job_lookup.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {
namespace {

// A record that this version cannot decode may be of a job that exists, so it
// never counts as absent.
LookupResult ResultOf(const StateReply& reply) {
  if (reply.status == http_status::kNotFound) return JobAbsent{};
  if (reply.status != http_status::kOk || reply.changes.size() != 1) {
    return JobUnreadable{};
  }
  const Change& change = reply.changes.front();
  if (!change.value) return JobUnreadable{};
  const auto* record = std::get_if<JobRecord>(&*change.value);
  if (record == nullptr) return JobUnreadable{};
  return StoredJob{*record, change.mod_revision};
}

}  // namespace

void JobLookup::Find(const std::string& job, SteadyTime deadline,
                     Callback callback) {
  ++waiting_count_;
  auto same = std::ranges::find(queue_, job, &Lookup::job);
  if (same == queue_.end()) same = queue_.insert(queue_.end(), Lookup{job, {}});
  same->waiters.push_back({deadline, std::move(callback)});
}

void JobLookup::RunDueWork() {
  GiveUpOverdue();
  SteadyTime now = outbox_.now().steady;
  share_.SetRate(requests_.rate() * kRequestShare, kShareBurst);
  while (!queue_.empty() && reads_.size() < kMaxReads) {
    if (share_.Available(now) < 1) return;
    if (!requests_.Take(now, 1, kReservedRequests)) return;
    share_.TakeOnCredit(now, 1);
    StartRead();
  }
}

void JobLookup::GiveUpOverdue() {
  for (Lookup& lookup : queue_) GiveUpOverdue(lookup.waiters);
  std::erase_if(queue_,
                [](const Lookup& lookup) { return lookup.waiters.empty(); });
  for (auto& [read, lookup] : reads_) GiveUpOverdue(lookup.waiters);
}

void JobLookup::GiveUpOverdue(std::vector<Waiter>& waiters) {
  SteadyTime now = outbox_.now().steady;
  auto overdue = std::stable_partition(
      waiters.begin(), waiters.end(),
      [now](const Waiter& waiter) { return now < waiter.deadline; });
  std::vector<Waiter> given_up(std::make_move_iterator(overdue),
                               std::make_move_iterator(waiters.end()));
  waiters.erase(overdue, waiters.end());
  waiting_count_ -= given_up.size();
  for (const Waiter& waiter : given_up) waiter.callback(JobUnreadable{});
}

void JobLookup::StartRead() {
  uint64_t read = ++last_read_;
  Lookup& lookup =
      reads_.emplace(read, std::move(queue_.front())).first->second;
  queue_.pop_front();
  outbox_.CallState(
      KeyRead{keys::Job(lookup.job)}, tuning_.state_timeout,
      [this, read](const StateReply& reply) { OnReply(read, reply); });
}

void JobLookup::OnReply(uint64_t read, const StateReply& reply) {
  Lookup lookup = std::move(reads_.extract(read).mapped());
  if (reply.status == http_status::kTooManyRequests) {
    requests_.Drain(outbox_.now().steady);
  }
  waiting_count_ -= lookup.waiters.size();
  LookupResult result = ResultOf(reply);
  for (const Waiter& waiter : lookup.waiters) waiter.callback(result);
}

}  // namespace pitchfall
