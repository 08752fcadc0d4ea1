#include "core/state/recent_outcomes.h"

namespace pitchfall {
namespace {

// What an outcome takes besides the text of its identifier, which is stored
// three times: the fields, and the nodes of the containers.
constexpr size_t kFixedBytes = 220;
constexpr size_t kIdCopies = 3;

size_t BytesOf(const std::string& job) {
  return kFixedBytes + kIdCopies * job.size();
}

}  // namespace

void RecentOutcomes::Add(const JobOutcome& outcome) {
  if (!outcomes_.try_emplace(outcome.id, outcome).second) return;
  bytes_ += BytesOf(outcome.id);
  by_age_.push_back(outcome.id);
  while (bytes_ > kMaxBytes) {
    bytes_ -= BytesOf(by_age_.front());
    outcomes_.erase(by_age_.front());
    by_age_.pop_front();
  }
}

const JobOutcome* RecentOutcomes::Find(const std::string& job) const {
  auto found = outcomes_.find(job);
  return found == outcomes_.end() ? nullptr : &found->second;
}

}  // namespace pitchfall
