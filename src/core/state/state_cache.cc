#include "core/state/state_cache.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace pitchfall {
namespace {

// Removes the prefix from the key. Returns false, and changes nothing, if the
// key does not start with it.
bool ConsumePrefix(std::string_view &key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return false;
  key.remove_prefix(prefix.size());
  return true;
}

}  // namespace

void StateCache::Apply(const Change &change) {
  // Everything up to `revision_` has been applied already. Applying an older
  // change again could restore a key that has been deleted since.
  if (change.mod_revision <= revision_ || change.unreadable) return;
  if (tombstones_.Covers(change.key, change.mod_revision)) return;
  if (!change.value) tombstones_.Add(change.key, change.mod_revision);
  if (!ApplyToTable(change.key, change)) {
    ApplyToSingleRecord(change.key, change);
  }
}

bool StateCache::ApplyToTable(std::string_view key, const Change &change) {
  if (ConsumePrefix(key, keys::kJobs)) {
    ApplyJob(std::string(key), change);
  } else if (ConsumePrefix(key, keys::kSegments)) {
    jobs_.ApplySegment(key, change);
  } else if (ConsumePrefix(key, keys::kNodes)) {
    ApplyChange(nodes_, std::string(key), change);
  } else if (ConsumePrefix(key, keys::kPartitions)) {
    ApplyChange(partitions_, std::string(key), change);
  } else if (ConsumePrefix(key, keys::kInstanceRequests)) {
    ApplyChange(instance_requests_, std::string(key), change);
  } else if (ConsumePrefix(key, keys::kTeams)) {
    ApplyChange(teams_, std::string(key), change);
  } else if (ConsumePrefix(key, keys::kLoads)) {
    ApplyChange(loads_, std::string(key), change);
  } else {
    return false;
  }
  return true;
}

void StateCache::ApplyToSingleRecord(std::string_view key,
                                     const Change &change) {
  if (key == keys::kTypes) {
    ApplyChange(types_, change);
  } else if (key == keys::kDrain) {
    ApplyDrain(change);
  } else if (key == keys::kSizing) {
    ApplyChange(sizing_, change);
  } else if (key == keys::kOpenJobsSnapshot) {
    ApplyChange(open_jobs_snapshot_, change);
  }
}

void StateCache::ApplyJob(const std::string &id, const Change &change) {
  if (!jobs_.ApplyJob(id, change)) return;
  if (jobs_.Find(id)->record.state == JobState::kCancelled) {
    recent_cancellations_.Add(change.mod_revision, id);
  }
}

void StateCache::ApplyDrain(const Change &change) {
  ApplyChange(drain_, change);
  draining_.clear();
  if (!drain_) return;
  const std::vector<std::string> &machines = drain_->value.machines;
  draining_.insert(machines.begin(), machines.end());
}

void StateCache::AdvanceTo(uint64_t revision) {
  if (revision <= revision_) return;
  revision_ = revision;
  tombstones_.RemoveUpTo(revision);
  RemoveJobsEndedUpTo(revision);
}

void StateCache::RemoveEndedJobs() {
  RemoveJobsEndedUpTo(std::numeric_limits<uint64_t>::max());
}

void StateCache::RemoveJobsEndedUpTo(uint64_t revision) {
  for (const JobOutcome &outcome : jobs_.RemoveFinished(revision)) {
    recent_outcomes_.Add(outcome);
  }
}

void StateCache::Replace(StateCache new_cache) {
  JobTable::Listeners listeners = jobs_.TakeListeners();
  // The removals are reported before anything is replaced, because listeners
  // use the jobs that the chunks belong to.
  jobs_.NotifyChunksRemoved(listeners);
  RecentOutcomes outcomes = std::move(recent_outcomes_);
  *this = std::move(new_cache);
  recent_outcomes_ = std::move(outcomes);
  jobs_.SetListeners(listeners);
  jobs_.NotifyChunksAdded(listeners);
}

std::optional<JobOutcome> StateCache::FindOutcome(const std::string &id) const {
  const Job *job = jobs_.Find(id);
  if (job != nullptr) {
    if (!job->record.final()) return std::nullopt;
    return OutcomeOf(*job);
  }
  const JobOutcome *outcome = recent_outcomes_.Find(id);
  if (outcome == nullptr) return std::nullopt;
  return *outcome;
}

const StateCache::Versioned<PartitionRecord> *StateCache::FindPartition(
    uint32_t partition) const {
  auto found = partitions_.find(std::to_string(partition));
  return found == partitions_.end() ? nullptr : &found->second;
}

const StateCache::Versioned<LoadRecord> *StateCache::FindLoad(
    uint32_t partition) const {
  auto found = loads_.find(std::to_string(partition));
  return found == loads_.end() ? nullptr : &found->second;
}

uint32_t StateCache::PartitionCount() const {
  uint32_t count = 0;
  for (const auto &[name, partition] : partitions_) {
    uint32_t number = 0;
    std::from_chars(name.data(), name.data() + name.size(), number);
    count = std::max(count, number + 1);
  }
  return count;
}

const MachineType *StateCache::FindType(const std::string &name) const {
  if (!types_) return nullptr;
  for (const MachineType &type : types_->value.types) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

bool StateCache::IsOwnerAlive(const PartitionRecord &owner) const {
  return nodes_.contains(owner.label + "." + owner.incarnation);
}

bool StateCache::AllNodesSupport(uint32_t version) const {
  return std::ranges::all_of(nodes_, [version](const auto &node) {
    return node.second.value.version >= version;
  });
}

}  // namespace pitchfall
