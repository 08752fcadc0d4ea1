// Keeps the tasks of limited teams within their limits.
//
// How much of a team's limit a partition may use is its quota share, stored in
// the team's record; the sum of all quota shares stays within the limit. A
// partition raises its quota share in the transaction that starts the tasks,
// and gives back only what no task of its can hold.
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

class TeamQuota {
 public:
  // Records that the transaction being built changes, by team.
  using DraftedTeams = std::map<std::string, TeamRecord>;
  using TeamPriority = std::pair<std::string, int>;

  TeamQuota(const Context& context, uint32_t partition)
      : context_(context), partition_(partition) {}

  // What this partition's tasks use by what is stored; less if negative.
  void AddBound(const std::string& team, const Resources& amount) {
    bound_[team] += amount;
  }
  // By how much the transaction being built changes that.
  void AddPlanned(const std::string& team, const Resources& amount) {
    planned_[team] += amount;
  }
  void ForgetPlanned() { planned_.clear(); }

  // Counts again what the tasks of all partitions use.
  void CountEverywhere();
  // That, with the changes of the transaction being built.
  Resources UseEverywhere(const std::string& team) const;

  // What waiting jobs of a team ask for, by their aged priority. It is not
  // given to less important ones.
  void ClearReserved() { reserved_.clear(); }
  void Reserve(const TeamPriority& of, const Resources& amount) {
    reserved_[of] += amount;
  }

  // Whether one more task of the job may start. Raises the partition's
  // quota share in `drafted` if that is needed; `may_add` tells whether another
  // record fits into the transaction.
  bool Acquire(const Job& job, DraftedTeams& drafted, bool may_add);
  // Lowers quota shares that have not been used for a while, adding `max_added`
  // records at the most.
  void ReleaseUnused(DraftedTeams& drafted, size_t max_added);

 private:
  using QuotaShare = TeamRecord::QuotaShare;

  // The record as drafted, or else as stored.
  TeamRecord RecordOf(const DraftedTeams& drafted,
                      const std::string& team) const;
  // By how much quota shares change while there is plenty.
  QuotaShare StepOf(const Team& team) const;
  bool LeavesReserved(const Job& job, const Team& team) const;
  // How much of its quota share the partition should keep.
  QuotaShare Kept(const Team& team, const TeamRecord& record,
                  const Resources& use) const;
  bool Scarce(const Team& team, const TeamRecord& record) const;
  Resources UseHere(const std::string& team) const;

  const Context& context_;
  const uint32_t partition_;
  std::map<std::string, Resources> bound_;
  std::map<std::string, Resources> planned_;
  std::map<std::string, Resources> everywhere_;
  std::map<TeamPriority, Resources> reserved_;
  std::map<std::string, SteadyTime> unused_since_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_SCHEDULING_TEAM_QUOTA_H_
