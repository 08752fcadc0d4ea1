#include "core/scheduling/placement.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <utility>

namespace pitchfall {

namespace {

// Due time of jobs that can meet none: after all others.
constexpr int64_t kNoDueTime = std::numeric_limits<int64_t>::max() / 2;
// Half the time in which a typical image is fetched. A fetch that has to begin
// now takes two halves; one that is under way is taken to be half done.
constexpr Duration kHalfFetchTime = Millis(2000);
// A waiting job gains one level of priority for each of these intervals.
constexpr Duration kAgingInterval = Millis(420000);
// The fraction of a running task's work that is taken to be left; its actual
// progress is not known.
constexpr double kRemainingOfRunning = 0.5;

// A job in the plan of its team. Times are in seconds from now.
struct PlannedJob {
  const Job* job = nullptr;
  int priority = 0;
  double work = 0;  // processor seconds
  // The due times that it could still meet, the earliest first, and the index
  // of the one that the plan aims at.
  std::vector<double> due_times;
  size_t due = 0;

  // Whether the plan expects it to miss all its due times.
  bool misses_all() const { return due >= due_times.size(); }
};

PlannedJob PlanJob(const Job& job, WallTime now, const Deployment& deployment) {
  const JobSpec& spec = job.spec();
  PlannedJob planned;
  planned.job = &job;
  planned.priority = AgedPriority(job, now);
  double run = ToSeconds(spec.estimate);
  double left = spec.tasks - std::min(spec.tasks, job.done + job.assigned) +
                kRemainingOfRunning * job.assigned;
  planned.work =
      left * static_cast<double>(spec.resources.cpus) / Resources::kScale * run;
  double age = ToSeconds(now - job.record.submitted);
  auto consider = [&](Duration within) {
    double rest = ToSeconds(within) - age;
    if (rest >= run * (job.waiting() > 0 ? 1 : kRemainingOfRunning)) {
      planned.due_times.push_back(rest);
    }
  };
  if (spec.deadline) consider(*spec.deadline);
  for (const Objective& objective : deployment.objectives) {
    if (objective.job_class == spec.job_class && objective.kind == "finished") {
      consider(objective.within);
    }
  }
  std::sort(planned.due_times.begin(), planned.due_times.end());
  return planned;
}

// Runs one pass of Moore's algorithm over the jobs that still aim at a due
// time, and returns whether any of them was moved to its next due time. The
// work is done by `processors`, starting `begin` seconds from now.
bool AdvanceLateJobs(std::vector<PlannedJob*>& jobs, double begin,
                     double processors) {
  std::sort(jobs.begin(), jobs.end(),
            [](const PlannedJob* a, const PlannedJob* b) {
              if (a->misses_all() || b->misses_all())
                return b->misses_all() && !a->misses_all();
              return a->due_times[a->due] < b->due_times[b->due];
            });
  auto less_work = [](const PlannedJob* a, const PlannedJob* b) {
    return a->work < b->work;
  };
  std::vector<PlannedJob*> on_time;  // a heap, the most work first
  double end = begin;
  bool any = false;
  for (PlannedJob* job : jobs) {
    if (job->misses_all()) break;
    on_time.push_back(job);
    std::push_heap(on_time.begin(), on_time.end(), less_work);
    end += job->work / processors;
    if (end <= job->due_times[job->due]) continue;
    std::pop_heap(on_time.begin(), on_time.end(), less_work);
    on_time.back()->due += 1;
    end -= on_time.back()->work / processors;
    on_time.pop_back();
    any = true;
  }
  return any;
}

// Selects the due times that a team's jobs aim at, by falling priority.
void PlanTeam(std::vector<PlannedJob>& jobs, double processors) {
  std::map<int, std::vector<PlannedJob*>, std::greater<>> by_priority;
  for (PlannedJob& job : jobs) by_priority[job.priority].push_back(&job);
  double begin = 0;
  for (auto& [priority, group] : by_priority) {
    while (AdvanceLateJobs(group, begin, processors)) {
    }
    for (const PlannedJob* job : group) begin += job->work / processors;
  }
}

// Returns the number of processors that services occupy; they are not available
// for the work of other jobs.
double ProcessorsOfServices(const std::vector<PlannedJob>& jobs) {
  double bound = 0;
  for (const PlannedJob& planned : jobs) {
    const JobSpec& spec = planned.job->spec();
    if (spec.shape != Shape::kService) continue;
    bound += static_cast<double>(spec.resources.cpus) * planned.job->assigned /
             Resources::kScale;
  }
  return bound;
}

// Estimates how many processors work for a team without a limit: those that
// assigned tasks use or, if that is more, those of the number of machines that
// the leader last decided on.
double ClusterProcessors(const StateCache& state_cache) {
  double processors = 1;
  for (const auto& [id, job] : state_cache.open_jobs()) {
    processors += static_cast<double>(job->spec().resources.cpus) *
                  job->assigned / Resources::kScale;
  }
  if (state_cache.sizing() && state_cache.types() &&
      !state_cache.types()->value.types.empty()) {
    const MachineType& type = state_cache.types()->value.types.front();
    processors =
        std::max(processors, state_cache.sizing()->value.target *
                                 static_cast<double>(type.capacity.cpus) /
                                 Resources::kScale);
  }
  return processors;
}

}  // namespace

bool IsStarving(const Job& job, WallTime now) {
  return job.done + job.assigned == 0 && !job.record.final() &&
         now - job.record.submitted >= kStarvationAge;
}

int AgedPriority(const Job& job, WallTime now) {
  auto steps = (now - job.record.submitted) / kAgingInterval;
  int most = static_cast<int>(Priority::kProduction);
  int own = static_cast<int>(job.spec().priority);
  return std::clamp(own + static_cast<int>(std::min<int64_t>(steps, most)), own,
                    most);
}

std::vector<const Job*> OrderJobs(const StateCache& state_cache, WallTime now,
                                  const Deployment& deployment) {
  std::map<std::string, std::vector<PlannedJob>> teams;
  for (const auto& [id, job] : state_cache.open_jobs()) {
    if (job->record.final()) continue;
    teams[job->spec().team].push_back(PlanJob(*job, now, deployment));
  }
  double cluster = ClusterProcessors(state_cache);
  std::vector<std::pair<JobRank, const Job*>> ranked;
  auto by_rank = [](const auto& a, const auto& b) {
    if (a.first != b.first) return a.first < b.first;
    return a.second->spec().id < b.second->spec().id;
  };
  // Within a team the jobs of higher priority come first. As long as jobs
  // together fit into the team's guarantee, they need not wait for other teams.
  for (auto& [name, jobs] : teams) {
    auto team = deployment.teams.find(name);
    int64_t limit =
        team == deployment.teams.end() ? 0 : team->second.cpus_limit;
    int64_t guaranteed =
        team == deployment.teams.end() ? 0 : team->second.cpus_guaranteed;
    double processors =
        limit > 0 ? static_cast<double>(limit) / Resources::kScale : cluster;
    PlanTeam(jobs, std::max(1.0, processors - ProcessorsOfServices(jobs)));
    size_t first = ranked.size();
    for (const PlannedJob& planned : jobs) {
      const Job& job = *planned.job;
      int64_t submitted = job.record.submitted.time_since_epoch().count();
      int64_t due = kNoDueTime;
      if (job.spec().shape == Shape::kService) {
        // A service is in use all the time: its replicas start before tasks
        // that only have to be done by some moment.
        due = 0;
      } else if (!planned.misses_all()) {
        due = (now.time_since_epoch() + Seconds(planned.due_times[planned.due]))
                  .count();
      }
      int begin = IsStarving(job, now) ? 0 : 1;
      ranked.push_back(
          {JobRank{begin, -planned.priority, due, submitted}, &job});
    }
    std::sort(ranked.begin() + static_cast<ptrdiff_t>(first), ranked.end(),
              by_rank);
    int64_t used = 0;
    for (size_t i = first; i < ranked.size(); ++i) {
      auto& [rank, job] = ranked[i];
      used +=
          job->spec().resources.cpus * static_cast<int64_t>(job->spec().tasks);
      if (std::get<0>(rank) != 0)
        std::get<0>(rank) = used <= guaranteed ? 1 : 2;
    }
  }
  std::sort(ranked.begin(), ranked.end(), by_rank);
  std::vector<const Job*> jobs;
  jobs.reserve(ranked.size());
  for (const auto& [rank, job] : ranked) jobs.push_back(job);
  return jobs;
}

bool IsPlacementAllowed(const JobSpec& spec, const Machine& machine,
                        const ZoneUse& use) {
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
                       const std::set<std::string>& avoid, bool urgent,
                       int64_t largest_waiting_cpus) {
  using Score = std::tuple<int64_t, int, int, int, int, int64_t, int64_t>;
  bool service = spec.shape == Shape::kService;
  Machine* best = nullptr;
  Score best_score;
  for (Machine* machine : machines) {
    Resources free = machine->Free();
    if (!spec.resources.FitsIn(free) || avoid.contains(machine->name)) continue;
    if (!IsPlacementAllowed(spec, *machine, use)) continue;
    // Replicas of one service start on different machines at the same time, so
    // a fetch that is only planned does not bring the image any nearer.
    bool will_have_image = service ? machine->bound_images.contains(spec.image)
                                   : machine->WillHaveImage(spec.image);
    int image = machine->images.contains(spec.image) ? 0
                : will_have_image                    ? 1
                                                     : 2;
    bool has_replica = service && machine->HasTaskOf(spec.id);
    int64_t tasks =
        image < 2 ? 0 : spec.resources.CountFittingIn(free, waiting);
    // Estimated seconds until the task starts; 0 if that does not matter.
    int64_t delay =
        urgent
            ? (machine->until_heartbeat + image * kHalfFetchTime) / Millis(1000)
            : 0;
    // Whether the machine would fit fewer of the largest waiting tasks after
    // this start.
    bool splits_slot =
        largest_waiting_cpus > spec.resources.cpus &&
        (free.cpus - spec.resources.cpus) / largest_waiting_cpus <
            free.cpus / largest_waiting_cpus;
    Score score{delay,
                image,
                has_replica ? 1 : 0,
                splits_slot ? 1 : 0,
                machine->spot ? 0 : 1,
                -tasks,
                free.cpus};
    if (best == nullptr || score < best_score) {
      best = machine;
      best_score = score;
    }
  }
  return best;
}

}  // namespace pitchfall
