#include "core/scheduling/preemption.h"

#include <algorithm>
#include <boost/range/adaptor/reversed.hpp>
#include <map>

#include "core/scheduling/placement.h"

namespace pitchfall {
namespace {

// The team's limit, with a very large amount in place of none.
Resources LimitOf(const Team& team) {
  auto or_endless = [](int64_t limit) {
    return limit > 0 ? limit : INT64_MAX / 4;
  };
  return {or_endless(team.cpus_limit), or_endless(team.gpus_limit),
          INT64_MAX / 4};
}

// A task that may be preempted.
struct Candidate {
  const Job* job = nullptr;
  Assignment assignment;
  int priority = 0;  // aged
};

// Whether the job is exempt from preemption: it is old enough to count as
// having waited too long to begin, and none of its tasks has completed. If its
// tasks were stopped, it would come before all other jobs and be started again
// at once.
bool IsExemptFromPreemption(const Job& job, WallTime now) {
  return job.done == 0 && now - job.record.submitted >= kStarvationAge;
}

// The team's tasks that may be preempted, those of lowest aged priority first
// and, among these, those of the jobs that come last in the order.
std::vector<Candidate> Candidates(const std::vector<const Job*>& jobs,
                                  const std::string& team, WallTime now) {
  std::vector<Candidate> candidates;
  for (const Job* job : boost::adaptors::reverse(jobs)) {
    if (job->spec().team != team || job->spec().checkpoint.count() == 0 ||
        IsExemptFromPreemption(*job, now)) {
      continue;
    }
    int priority = AgedPriority(*job, now);
    for (const auto& [number, chunk] : boost::adaptors::reverse(job->chunks)) {
      const auto& assigned = chunk.record.assigned;
      for (const Assignment& assignment : boost::adaptors::reverse(assigned)) {
        candidates.push_back({job, assignment, priority});
      }
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.priority < b.priority;
                   });
  return candidates;
}

// If the tasks of the waiting job's class should start within the victim's
// saving time and this margin, the victim stops without saving.
constexpr Duration kSavingMargin = Millis(10000);

// Adds the victims of one team, whose tasks use `used`.
void ChooseInTeam(const std::string& team, const Deployment& deployment,
                  Resources used, const std::vector<const Job*>& jobs,
                  WallTime now, std::map<Victim, StopKind>& victims) {
  const Resources limit = LimitOf(deployment.teams.at(team));
  std::vector<Candidate> candidates = Candidates(jobs, team, now);
  size_t next = 0;
  for (const Job* job : jobs) {
    const JobSpec& spec = job->spec();
    if (spec.team != team) continue;
    for (int64_t left = job->waiting(); left > 0; --left) {
      while (!(used + spec.resources).FitsIn(limit) &&
             next < candidates.size() &&
             candidates[next].priority < static_cast<int>(spec.priority)) {
        const Candidate& chosen = candidates[next++];
        used -= chosen.job->spec().resources;
        victims[{chosen.job->spec().id, chosen.assignment.task,
                 chosen.assignment.attempt}] =
            deployment.StartsWithin(spec.job_class,
                                    chosen.job->spec().save + kSavingMargin)
                ? StopKind::kWithoutSaving
                : StopKind::kSave;
      }
      if (!(used + spec.resources).FitsIn(limit)) break;
      used += spec.resources;
    }
  }
}

}  // namespace

std::map<Victim, StopKind> ChooseVictims(
    const StateCache& state_cache, const Deployment& deployment,
    const std::vector<const Job*>& jobs_in_order, WallTime now) {
  std::map<std::string, Resources> used;
  for (const auto& [id, job] : state_cache.open_jobs()) {
    used[job->spec().team] +=
        job->spec().resources * static_cast<int64_t>(job->assigned);
  }
  std::map<Victim, StopKind> victims;
  for (const auto& [name, use] : used) {
    auto team = deployment.teams.find(name);
    if (team == deployment.teams.end()) continue;
    if (team->second.cpus_limit == 0 && team->second.gpus_limit == 0) continue;
    ChooseInTeam(name, deployment, use, jobs_in_order, now, victims);
  }
  return victims;
}

}  // namespace pitchfall
