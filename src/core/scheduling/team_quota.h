// Keeps the tasks of teams that have a limit within it.
//
// How much of a team's limit a partition may use is its quota share, stored in
// the team's record; the sum of all quota shares never exceeds the limit. A
// partition raises its quota share in the transaction that starts the tasks,
// and gives back only what none of its tasks can be using.
#ifndef PITCHFALL_CORE_SCHEDULING_TEAM_QUOTA_H_
#define PITCHFALL_CORE_SCHEDULING_TEAM_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/base/resources.h"
#include "core/base/time.h"
#include "core/model/job.h"
#include "core/model/records.h"
#include "core/state/context.h"

namespace pitchfall {

// The quota shares of one partition. Methods whose argument is named `drafted`
// read and change the team records of the transaction being built.
class TeamQuota {
 public:
  // Team records that the transaction being built changes, by team name.
  using DraftedTeams = std::map<std::string, TeamRecord>;
  // A team and an aged priority.
  using TeamPriority = std::pair<std::string, int>;

  TeamQuota(const Context& context, uint32_t partition)
      : context_(context), partition_(partition) {}

  // Adds to what the partition's stored assignments use; a negative amount
  // takes away from it.
  void AddBound(const std::string& team, const Resources& amount) {
    bound_[team] += amount;
  }
  // Adds to the change of this that the transaction being built makes.
  void AddPlanned(const std::string& team, const Resources& amount) {
    planned_[team] += amount;
  }
  // Drops the planned changes: another transaction is to be built.
  void ClearPlanned() { planned_.clear(); }

  // Recounts what the tasks of all partitions use, from the state cache.
  void RecountClusterUse();
  // Returns what the team's tasks in all partitions used at the last
  // RecountClusterUse, with the changes of the transaction being built.
  Resources ClusterUse(const std::string& team) const;

  // Reserves what the waiting jobs of a team ask for, by their aged priority.
  // Jobs of lower priority get none of it.
  void ClearReserved() { reserved_.clear(); }
  void Reserve(const TeamPriority& of, const Resources& amount) {
    reserved_[of] += amount;
  }

  // Returns whether one more task of the job may start, and raises the
  // partition's quota share in `drafted` if that is needed. False if the limit
  // is used up, if the capacity is reserved for jobs of higher priority (unless
  // the job has waited too long to begin, see IsStarving), or if the team is
  // unknown. `may_add` tells whether one more record fits into the transaction.
  bool Acquire(const Job& job, DraftedTeams& drafted, bool may_add);
  // Lowers quota shares that have not been used for a while, adding at most
  // `max_added` records to `drafted`.
  void ReleaseUnused(DraftedTeams& drafted, size_t max_added);

 private:
  using QuotaShare = TeamRecord::QuotaShare;

  // The drafted record or, if there is none, the stored one; it has a quota
  // share for each partition.
  TeamRecord RecordOf(const DraftedTeams& drafted,
                      const std::string& team) const;
  // The amount by which quota shares change while there is plenty; 0 for a
  // resource of which the limit is too small for that, or is none.
  QuotaShare QuotaIncrement(const Team& team) const;
  // Whether the team's limit still holds, after one more task of the job, what
  // is reserved for the team's jobs of higher priority.
  bool LeavesReserved(const Job& job, const Team& team) const;
  // How much of its quota share the partition should keep when its tasks use
  // `use`.
  QuotaShare ShareToKeep(const Team& team, const TeamRecord& record,
                         const Resources& use) const;
  // Whether quota shares must follow their use exactly, because the limit is
  // small or nearly all of it is given out.
  bool IsScarce(const Team& team, const TeamRecord& record) const;
  // What the team's tasks in this partition use, with the changes of the
  // transaction being built.
  Resources PartitionUse(const std::string& team) const;

  const Context& context_;
  const uint32_t partition_;
  // By team: what the stored assignments of this partition use, the changes of
  // the transaction being built, and what all partitions use.
  std::map<std::string, Resources> bound_;
  std::map<std::string, Resources> planned_;
  std::map<std::string, Resources> cluster_use_;
  std::map<TeamPriority, Resources> reserved_;
  // Since when the partition has held more than it should keep, by team.
  std::map<std::string, SteadyTime> unused_since_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_SCHEDULING_TEAM_QUOTA_H_
