#include "core/scheduling/team_quota.h"

#include <algorithm>

#include "core/scheduling/placement.h"

namespace pitchfall {
namespace {

// How long a quota share must go unused before it is given back: usually, and
// while another partition may be waiting for it.
constexpr Duration kUnusedShareDelay = Millis(5000);
constexpr Duration kContendedShareDelay = Millis(250);
// While there is plenty, quota shares change by the team's limit divided by
// this and by the number of partitions.
constexpr int kIncrementsPerPartition = 8;
// Where that amount would be smaller, quota shares follow their use exactly.
constexpr int64_t kMinIncrement = 4 * Resources::kScale;

// Rounds up to a multiple of `increment`; 0 leaves the amount as it is.
int64_t RoundUp(int64_t amount, int64_t increment) {
  return increment <= 0 ? amount
                        : (amount + increment - 1) / increment * increment;
}

// A limit of 0 is none.
bool Within(const Team& team, const Resources& use) {
  return (team.cpus_limit == 0 || use.cpus <= team.cpus_limit) &&
         (team.gpus_limit == 0 || use.gpus <= team.gpus_limit);
}

// Whether the sum of all quota shares and `more` stays within the limit.
bool WithinLimit(const Team& team, const TeamRecord& record,
                 const TeamRecord::QuotaShare& more = {}) {
  Resources sum;
  sum.cpus = more.cpus;
  sum.gpus = more.gpus;
  for (const TeamRecord::QuotaShare& share : record.shares) {
    sum.cpus += share.cpus;
    sum.gpus += share.gpus;
  }
  return Within(team, sum);
}

// The team's amount; zero if there is none.
Resources Find(const std::map<std::string, Resources>& amounts,
               const std::string& team) {
  auto found = amounts.find(team);
  return found == amounts.end() ? Resources{} : found->second;
}

}  // namespace

void TeamQuota::RecountClusterUse() {
  cluster_use_.clear();
  for (const auto& [id, job] : context_.state_cache.open_jobs()) {
    const JobSpec& spec = job->spec();
    cluster_use_[spec.team] +=
        spec.resources * static_cast<int64_t>(job->assigned);
  }
}

Resources TeamQuota::ClusterUse(const std::string& team) const {
  return Find(cluster_use_, team) + Find(planned_, team);
}

Resources TeamQuota::PartitionUse(const std::string& team) const {
  return Find(bound_, team) + Find(planned_, team);
}

TeamRecord TeamQuota::RecordOf(const DraftedTeams& drafted,
                               const std::string& team) const {
  TeamRecord record;
  auto changed = drafted.find(team);
  if (changed != drafted.end()) {
    record = changed->second;
  } else {
    auto stored = context_.state_cache.teams().find(team);
    if (stored != context_.state_cache.teams().end())
      record = stored->second.value;
  }
  record.shares.resize(
      std::max<size_t>(record.shares.size(), context_.partition_count));
  return record;
}

TeamRecord::QuotaShare TeamQuota::QuotaIncrement(const Team& team) const {
  auto increment = [this](int64_t limit) {
    int64_t amount =
        limit / (int64_t{kIncrementsPerPartition} * context_.partition_count);
    return amount < kMinIncrement ? 0 : amount;
  };
  return {increment(team.cpus_limit), increment(team.gpus_limit)};
}

bool TeamQuota::IsScarce(const Team& team, const TeamRecord& record) const {
  const QuotaShare increment = QuotaIncrement(team);
  bool exact = increment.cpus == 0 && increment.gpus == 0;
  return exact || !WithinLimit(team, record, increment);
}

bool TeamQuota::LeavesReserved(const Job& job, const Team& team) const {
  const JobSpec& spec = job.spec();
  int priority = AgedPriority(job, context_.outbox.now().wall);
  Resources use = ClusterUse(spec.team) + spec.resources;
  for (auto it = reserved_.upper_bound({spec.team, priority});
       it != reserved_.end() && it->first.first == spec.team; ++it) {
    use += it->second;
  }
  return Within(team, use);
}

bool TeamQuota::Acquire(const Job& job, DraftedTeams& drafted, bool may_add) {
  const JobSpec& spec = job.spec();
  auto found = context_.deployment.teams.find(spec.team);
  if (found == context_.deployment.teams.end()) return false;
  const Team& team = found->second;
  if (team.cpus_limit == 0 && team.gpus_limit == 0) return true;
  bool starving = IsStarving(job, context_.outbox.now().wall);
  if (!starving && !LeavesReserved(job, team)) return false;
  const Resources use = PartitionUse(spec.team) + spec.resources;
  TeamRecord record = RecordOf(drafted, spec.team);
  QuotaShare& mine = record.shares[partition_];
  if (use.cpus <= mine.cpus && use.gpus <= mine.gpus) return true;
  // Acquires more than is needed now, as long as there is plenty: each change
  // of the record is a write.
  const QuotaShare before = mine;
  const QuotaShare increment = QuotaIncrement(team);
  mine.cpus = std::max(before.cpus, RoundUp(use.cpus, increment.cpus));
  mine.gpus = std::max(before.gpus, RoundUp(use.gpus, increment.gpus));
  if (!WithinLimit(team, record)) {
    mine.cpus = std::max(before.cpus, use.cpus);
    mine.gpus = std::max(before.gpus, use.gpus);
    if (!WithinLimit(team, record)) return false;
  }
  if (!drafted.contains(spec.team) && !may_add) return false;
  drafted[spec.team] = std::move(record);
  return true;
}

TeamRecord::QuotaShare TeamQuota::ShareToKeep(const Team& team,
                                              const TeamRecord& record,
                                              const Resources& use) const {
  if (IsScarce(team, record)) return {use.cpus, use.gpus};
  const QuotaShare increment = QuotaIncrement(team);
  return {RoundUp(use.cpus, increment.cpus) + increment.cpus,
          RoundUp(use.gpus, increment.gpus) + increment.gpus};
}

void TeamQuota::ReleaseUnused(DraftedTeams& drafted, size_t max_added) {
  SteadyTime now = context_.now();
  for (const auto& [name, stored] : context_.state_cache.teams()) {
    auto team = context_.deployment.teams.find(name);
    if (team == context_.deployment.teams.end()) continue;
    if (stored.value.shares.size() <= partition_) continue;
    TeamRecord record = RecordOf(drafted, name);
    const QuotaShare kept =
        ShareToKeep(team->second, record, PartitionUse(name));
    QuotaShare& mine = record.shares[partition_];
    if (mine.cpus <= kept.cpus && mine.gpus <= kept.gpus) {
      unused_since_.erase(name);
      continue;
    }
    SteadyTime since = unused_since_.emplace(name, now).first->second;
    // Soon only if another partition may be waiting for it.
    auto waiting = reserved_.lower_bound({name, 0});
    bool needed = IsScarce(team->second, record) &&
                  waiting != reserved_.end() && waiting->first.first == name;
    if (now - since < (needed ? kContendedShareDelay : kUnusedShareDelay))
      continue;
    if (!drafted.contains(name)) {
      if (max_added == 0) return;
      --max_added;
    }
    mine.cpus = std::min(mine.cpus, kept.cpus);
    mine.gpus = std::min(mine.gpus, kept.gpus);
    drafted[name] = std::move(record);
  }
}

}  // namespace pitchfall
