#include "core/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pitchfall {

int64_t DueOf(const Job& job, WallTime now, const Deployment& deployment) {
  constexpr int64_t kNever = std::numeric_limits<int64_t>::max() / 2;
  const JobSpec& spec = job.spec();
  // The rest runs in as many rounds as the limit makes necessary.
  int64_t tasks = spec.tasks - std::min(spec.tasks, job.done);
  int64_t rounds = 1;
  auto team = deployment.teams.find(spec.team);
  if (team != deployment.teams.end() && team->second.cpus_limit > 0) {
    int64_t at_once =
        std::max<int64_t>(1, team->second.cpus_limit / spec.need.cpus);
    rounds = std::max<int64_t>(1, (tasks + at_once - 1) / at_once);
  }
  int64_t earliest_end =
      (now.time_since_epoch() + spec.estimate * rounds).count();
  int64_t submitted = job.record.submitted.time_since_epoch().count();
  int64_t due = kNever;
  auto consider = [&](Duration within) {
    int64_t end = submitted + within.count();
    if (end >= earliest_end) due = std::min(due, end);
  };
  if (spec.deadline) consider(*spec.deadline);
  for (const Objective& objective : deployment.objectives) {
    if (objective.job_class == spec.job_class && objective.kind == "finished") {
      consider(objective.within);
    }
  }
  return due;
}

std::vector<const Job*> OrderJobs(const Mirror& mirror, WallTime now,
                                  const Deployment& deployment) {
  std::vector<const Job*> jobs;
  for (const auto& [id, job] : mirror.open_jobs()) {
    if (!job->record.final()) jobs.push_back(job);
  }
  // Within a team the more important jobs come first, and as long as they all
  // fit into its guarantee together they need not wait for other teams.
  auto own = [&](const Job* job) {
    return std::tuple(-static_cast<int>(job->spec().priority),
                      DueOf(*job, now, deployment),
                      job->record.submitted.time_since_epoch().count());
  };
  std::vector<std::pair<JobRank, const Job*>> ranked;
  ranked.reserve(jobs.size());
  for (const Job* job : jobs) {
    auto [priority, due, submitted] = own(job);
    ranked.push_back({JobRank{0, priority, due, submitted}, job});
  }
  auto by_rank = [](const auto& a, const auto& b) {
    if (a.first != b.first) return a.first < b.first;
    return a.second->spec().id < b.second->spec().id;
  };
  std::sort(ranked.begin(), ranked.end(), by_rank);
  std::map<std::string, int64_t> used;
  for (auto& [rank, job] : ranked) {
    const JobSpec& spec = job->spec();
    auto team = deployment.teams.find(spec.team);
    int64_t& cpus = used[spec.team];
    cpus += spec.need.cpus * static_cast<int64_t>(spec.tasks);
    bool guaranteed =
        team != deployment.teams.end() && cpus <= team->second.cpus_guaranteed;
    std::get<0>(rank) = guaranteed ? 0 : 1;
  }
  std::sort(ranked.begin(), ranked.end(), by_rank);
  jobs.clear();
  for (const auto& [rank, job] : ranked) jobs.push_back(job);
  return jobs;
}

bool Allowed(const JobSpec& spec, const Machine& machine, const ZoneUse& use) {
  if (machine.spot && !spec.spot) return false;
  if (!spec.zone.empty() && spec.zone != machine.zone) return false;
  if (!spec.AllowsType(machine.type)) return false;
  auto here = use.tasks.find(machine.zone);
  uint32_t count = here == use.tasks.end() ? 0 : here->second;
  if (spec.one_zone && use.total > count) return false;
  if (spec.spread && count + 1 > (spec.tasks + 1) / 2) return false;
  return true;
}

Machine* ChooseMachine(const JobSpec& spec, uint32_t waiting,
                       const ZoneUse& use,
                       const std::vector<Machine*>& machines,
                       const std::set<std::string>& avoid) {
  using Score = std::tuple<int, int, int64_t, int64_t>;
  Machine* best = nullptr;
  Score best_score;
  for (Machine* machine : machines) {
    Resources free = machine->Free();
    if (!spec.need.FitsIn(free) || avoid.contains(machine->name)) continue;
    if (!Allowed(spec, *machine, use)) continue;
    int image = machine->images.contains(spec.image) ? 0
                : machine->Coming(spec.image)        ? 1
                                                     : 2;
    int64_t tasks = image < 2 ? 0 : spec.need.CountIn(free, waiting);
    Score score{image, machine->spot ? 0 : 1, -tasks, free.cpus};
    if (best == nullptr || score < best_score) {
      best = machine;
      best_score = score;
    }
  }
  return best;
}

}  // namespace pitchfall
