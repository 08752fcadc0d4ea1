#include "core/scheduling/demand.h"

#include <algorithm>
#include <map>

#include "core/scheduling/placement.h"

namespace pitchfall {
namespace {

// Tasks of one job, of all partitions or of one.
struct JobShare {
  uint32_t running = 0;
  uint32_t waiting = 0;
};

// Counts the job's tasks in the partition, or in all partitions if `partition`
// is empty.
JobShare CountTasksOf(const Job& job, uint32_t partition_count,
                      std::optional<uint32_t> partition) {
  if (!partition) return {job.assigned, job.waiting()};
  JobShare share;
  for (uint32_t n = 0; n < job.record.chunk_count(); ++n) {
    const Job::Chunk* chunk = job.FindChunk(n);
    uint32_t busy = 0;
    if (chunk != nullptr) {
      auto running = static_cast<uint32_t>(chunk->record.assigned.size());
      if (chunk->partition == *partition) share.running += running;
      busy = running + CountTasks(chunk->record.done);
    }
    if (job.owner_of(n, partition_count).partition != *partition) continue;
    uint32_t tasks = job.chunk_end(n) - job.chunk_begin(n);
    share.waiting += tasks - std::min(tasks, busy);
  }
  return share;
}

Resources Scale(const Resources& r, double by) {
  auto scale = [by](int64_t amount) {
    return static_cast<int64_t>(static_cast<double>(amount) * by);
  };
  return {scale(r.cpus), scale(r.gpus), scale(r.memory)};
}

// The fraction for a job that has missed all its due times: its tasks can wait,
// because nothing more can be missed.
constexpr double kLateUrgentFraction = 0.3;

}  // namespace

double UrgentFraction(const Job& job, WallTime now,
                      const Deployment& deployment) {
  const JobSpec& spec = job.spec();
  if (spec.shape == Shape::kService) return 1;
  double age = ToSeconds(now - job.record.submitted);
  double run = std::max(1.0, ToSeconds(spec.estimate));
  double left = -1;
  auto consider = [&](double due) {
    double rest = due - age;
    if (rest > 0 && (left < 0 || rest < left)) left = rest;
  };
  bool has_due_time = spec.deadline.has_value();
  if (has_due_time) consider(ToSeconds(*spec.deadline));
  for (const Objective& objective : deployment.objectives) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == "finished") consider(ToSeconds(objective.within));
    // Tasks that should start at once cannot run one after another.
    if (objective.kind == "wait") return 1;
    has_due_time = true;
  }
  if (!has_due_time) return 1;
  if (left < 0) return kLateUrgentFraction;
  return std::min(1.0, run / left);
}

Demand MeasureDemand(const StateCache& state_cache,
                     const Deployment& deployment,
                     const std::set<std::string>& failing, WallTime now,
                     uint32_t partition_count,
                     std::optional<uint32_t> partition) {
  Demand demand;
  std::map<std::string, Resources> used;
  for (const auto& [id, job] : state_cache.open_jobs()) {
    used[job->spec().team] +=
        job->spec().resources * static_cast<int64_t>(job->assigned);
  }
  auto add = [&](const JobSpec& spec, int64_t tasks, double weight) {
    Resources capacity = Scale(spec.resources * tasks, weight);
    demand.requested += capacity;
    if (!spec.spot) demand.ordinary_only += capacity;
  };
  for (const Job* job : OrderJobs(state_cache, now, deployment)) {
    const JobSpec& spec = job->spec();
    JobShare share = CountTasksOf(*job, partition_count, partition);
    add(spec, share.running, 1);
    if (job->waiting() == 0) continue;
    int64_t admissible = job->waiting();
    if (failing.contains(spec.id)) {
      // A failing service is retried for ever and needs capacity for one
      // replica.
      if (spec.shape != Shape::kService) continue;
      admissible = 1;
    }
    auto team = deployment.teams.find(spec.team);
    if (team != deployment.teams.end()) {
      Resources& use = used[spec.team];
      auto limit = [&](int64_t most, int64_t taken, int64_t needed) {
        if (most > 0 && needed > 0) {
          admissible =
              std::min(admissible, std::max<int64_t>(0, most - taken) / needed);
        }
      };
      limit(team->second.cpus_limit, use.cpus, spec.resources.cpus);
      limit(team->second.gpus_limit, use.gpus, spec.resources.gpus);
      use += spec.resources * admissible;
    }
    // The partition's share of the admissible tasks, rounded up.
    int64_t partition_tasks =
        partition
            ? (admissible * share.waiting + job->waiting() - 1) / job->waiting()
            : admissible;
    if (partition_tasks == 0) continue;
    add(spec, partition_tasks, UrgentFraction(*job, now, deployment));
    demand.waiting += static_cast<uint32_t>(partition_tasks);
    demand.waiting_jobs.push_back(job);
  }
  return demand;
}

std::set<std::string> FailingJobs(const StateCache& state_cache,
                                  uint32_t partition_count) {
  std::set<std::string> failing;
  for (uint32_t partition = 0; partition < partition_count; ++partition) {
    if (const auto* load = state_cache.FindLoad(partition)) {
      failing.insert(load->value.failing.begin(), load->value.failing.end());
    }
  }
  return failing;
}

}  // namespace pitchfall
