// The reference model: observes starts, answers and writes, and reports
// violations of the rules.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sim/simulation_parts.h"

namespace pitchfall::sim {
namespace {

// The longest time without an answer to a user who polls. The protocol's bound
// is 90 s; the operators' is 75 s once faults are over.
constexpr Duration kMaxTimeWithoutAnswer = Millis(75000);
// A deleted machine may still be assigned tasks until its deletion is known:
// for three heartbeat intervals and this time.
constexpr Duration kDeletionVisibleAfterSilence = Millis(5000);
// The operators' bound on waiting while a suitable machine has capacity.
constexpr Duration kMaxWaitBesideCapacity = Millis(90000);
// The largest job of a class starts within this time.
constexpr Duration kMaxStartDelayOfLargest = Millis(240000);
// For so long after its last read the version in production sends starts,
// whatever cancellations it confirms to users meanwhile.
constexpr Duration kProductionReadAge = Millis(2000);

}  // namespace

int ClusterSimulation::accepted() const {
  return static_cast<int>(std::count_if(
      jobs_.begin(), jobs_.end(),
      [](const auto& entry) { return entry.second->accepted.has_value(); }));
}

int ClusterSimulation::finished() const {
  return static_cast<int>(
      std::count_if(jobs_.begin(), jobs_.end(), [](const auto& entry) {
        return entry.second->accepted && entry.second->final();
      }));
}

void ClusterSimulation::OnTask(const std::string& machine,
                               const std::string& task,
                               fakes::Worker::TaskEvent event) {
  size_t slash = task.rfind('/');
  JobModel& job = *jobs_.at(task.substr(0, slash));
  if (event == fakes::Worker::TaskEvent::kLaunched) {
    CheckLaunch(job, machine, task);
    return;
  }
  if (event == fakes::Worker::TaskEvent::kLost) {
    ++lost_with_lease_;
    return;
  }
  std::set<std::string>& where =
      task_placements_.try_emplace(task, TaskPlacement{&job, {}})
          .first->second.machines;
  if (event == fakes::Worker::TaskEvent::kCompleted) {
    job.finished.insert(
        static_cast<uint32_t>(std::stoul(task.substr(slash + 1))));
    if (job.finished.size() == job.spec.tasks && !job.asked_cancel &&
        Chance() < cancel_at_end_) {
      // About the time at which its end is stored.
      After(RandomDuration(0, 1), [this, id = job.spec.id] { TryCancel(id); });
    }
    return;
  }
  if (event == fakes::Worker::TaskEvent::kEnded) {
    where.erase(machine);
    if (where.empty()) task_placements_.erase(task);
    return;
  }
  ++starts_;
  ++job.starts;
  job.last_progress = now_;
  if (!job.first_start) job.first_start = now_;
  if (job.cancelled) ++starts_after_cancellation_;
  if (job.spec.id == kLargeJob && !large_begun_) {
    large_begun_ = ToSeconds(now_ - *job.accepted);
  }
  if (!where.empty()) {
    Violation("ran_twice",
              fmt::format("{} on {} and {}", task, machine, *where.begin()));
  }
  where.insert(machine);
  if (job.cancelled && now_ > *job.cancelled + deployment_.cancel_time_limit) {
    Violation("ran_cancelled", task + " starts");
  }
  // Quota and placement, over all tasks that are on machines now.
  double cpus = 0;
  std::map<std::string, uint32_t> zones;
  for (const auto& [other, on] : task_placements_) {
    if (on.job->spec.team == job.spec.team) {
      cpus += on.job->info.cpus * static_cast<double>(on.machines.size());
    }
    if (on.job != &job) continue;
    for (const std::string& name : on.machines) {
      zones[machines_.at(name)->zone] += 1;
    }
  }
  if (job.spec.team != "guest" && cpus > config_.team_limit + 1e-9) {
    Violation("quota", fmt::format("{} uses {}", job.spec.team, cpus));
  }
  const SimulatedMachine& simulated = *machines_.at(machine);
  const JobSpec& spec = job.spec;
  bool wrong = (simulated.spot && !spec.spot) ||
               (!spec.zone.empty() && spec.zone != simulated.zone) ||
               (spec.one_zone && zones.size() > 1) ||
               (spec.spread && zones[simulated.zone] > (spec.tasks + 1) / 2);
  if (wrong) Violation("wrong_place", task + " on " + machine);
}

// Once a user has been told that a job is cancelled, no controller sends a
// start of its tasks any more. One that was sent before may be in flight, until
// the worker drops the answer that carries it.
void ClusterSimulation::CheckLaunch(const JobModel& job,
                                    const std::string& machine,
                                    const std::string& task) {
  if (!job.cancelled) return;
  SteadyTime last_sent = *job.cancelled;
  if (job.cancelled_by_production) last_sent += kProductionReadAge;
  if (answer_sent_ <= last_sent && now_ <= last_sent + kHeartbeatTimeout) {
    return;
  }
  Violation("started_cancelled",
            fmt::format("{} launched on {}, sent {:.3f} s after", task, machine,
                        ToSeconds(answer_sent_ - *job.cancelled)));
}

void ClusterSimulation::NoteConfirmation(const Node& node, const Reply& reply) {
  const auto* answer = std::get_if<JobAnswer>(&reply.body);
  bool confirms =
      answer != nullptr && answer->status == JobAnswer::Status::kCancelled;
  if (!confirms || !RunsProduction(node)) return;
  auto job = jobs_.find(answer->id);
  if (job == jobs_.end() || job->second->cancelled) return;
  job->second->cancelled_by_production = true;
}

void ClusterSimulation::CheckCancelled() {
  if (now_ < next_cancel_check_) return;
  next_cancel_check_ = now_ + Millis(20);
  for (auto& [task, on] : task_placements_) {
    if (on.machines.empty() || !on.job->cancelled) continue;
    if (now_ > *on.job->cancelled + deployment_.cancel_time_limit) {
      Violation("ran_cancelled", task + " on " + *on.machines.begin());
      on.machines.clear();  // reports it once
      return;
    }
  }
}

bool ClusterSimulation::done(const std::string& job) const {
  return jobs_.at(job)->told_done.has_value();
}

std::optional<double> ClusterSimulation::begun_after(
    const std::string& job) const {
  const JobModel& model = *jobs_.at(job);
  if (!model.first_start || !model.accepted) return std::nullopt;
  return ToSeconds(*model.first_start - *model.accepted);
}

size_t ClusterSimulation::quarantines(bool faulty) const {
  size_t count = 0;
  for (const std::string& line : log_) {
    size_t at = line.find("event=quarantine machine=");
    if (at == std::string::npos) continue;
    std::string name = line.substr(at + 25);
    count += faulty == faulty_.contains(name.substr(0, name.find(' ')));
  }
  return count;
}

int ClusterSimulation::cancelled() const {
  return static_cast<int>(std::count_if(
      jobs_.begin(), jobs_.end(),
      [](const auto& entry) { return entry.second->cancelled.has_value(); }));
}

int ClusterSimulation::starts_of(const std::string& job) const {
  return jobs_.at(job)->starts;
}

bool ClusterSimulation::called_off(const std::string& id) const {
  return jobs_.at(id)->asked_cancel;
}

size_t ClusterSimulation::TasksOnMachines(const std::string& id) const {
  return static_cast<size_t>(
      std::ranges::count_if(task_placements_, [&](const auto& entry) {
        const TaskPlacement& on = entry.second;
        return on.job->spec.id == id && !on.machines.empty();
      }));
}

int ClusterSimulation::replicas_up(const std::string& id) const {
  return static_cast<int>(TasksOnMachines(id));
}

std::optional<double> ClusterSimulation::cancelled_after(
    const std::string& id) const {
  const JobModel& job = *jobs_.at(id);
  if (!job.cancelled || !job.first_asked_cancel) return std::nullopt;
  return ToSeconds(*job.cancelled - *job.first_asked_cancel);
}

// Users poll each job every few seconds, and must get an answer within
// kMaxTimeWithoutAnswer, whatever else the controllers have to do.
void ClusterSimulation::CheckForgotten() {
  for (auto& [id, job] : jobs_) {
    if (!job->polls || !job->answered) continue;
    SteadyTime since = std::max(*job->answered, faults_over_at_);
    if (now_ - since <= kMaxTimeWithoutAnswer) continue;
    Violation("forgotten", id + " gets no answer");
    job->answered.reset();  // reports it once
  }
  After(Seconds(1), [this] { CheckForgotten(); });
}

// No task may be newly assigned to a deleted machine, even if late copies of
// its heartbeats arrive.
void ClusterSimulation::CheckAssignments(const Transaction& txn) {
  for (const Write& write : txn.writes) {
    if (!write.value) continue;
    const auto* segment = std::get_if<SegmentRecord>(&*write.value);
    if (segment == nullptr) continue;
    for (const auto& entry : segment->entries) {
      for (const Assignment& a : entry.record.assigned) {
        if (!seen_assignments_.insert({entry.job, a.task, a.attempt}).second)
          continue;
        auto deleted = deleted_.find(a.machine);
        // The deletion may not be known yet.
        if (deleted == deleted_.end() ||
            now_ - deleted->second < 3 * deployment_.heartbeat_interval +
                                         kDeletionVisibleAfterSilence) {
          continue;
        }
        Violation("revived", fmt::format("{}/{} bound to {}", entry.job, a.task,
                                         a.machine));
      }
    }
  }
}

void ClusterSimulation::CountOwnerTransaction(const Transaction& txn) {
  team_puts_ += static_cast<int>(std::ranges::count_if(
      txn.writes,
      [](const Write& write) { return write.key.starts_with(keys::kTeams); }));
  for (const Condition& condition : txn.conditions) {
    if (!condition.key.starts_with(keys::kPartitions)) continue;
    std::string number =
        condition.key.substr(std::string(keys::kPartitions).size());
    owner_transactions_[static_cast<uint32_t>(std::stoul(number))] += 1;
  }
}

// Returns whether the job has a task that is neither done nor on a machine, its
// team may use more, and a suitable machine has capacity.
bool ClusterSimulation::CouldStart(const JobModel& job) const {
  const JobSpec& spec = job.spec;
  uint32_t on = 0;
  double team = 0;
  std::map<std::string, double> used;
  std::map<std::string, uint32_t> zones;
  for (const auto& [task, where] : task_placements_) {
    for (const std::string& machine : where.machines) {
      used[machine] += where.job->info.cpus;
      if (where.job->spec.team == spec.team) team += where.job->info.cpus;
      if (where.job != &job) continue;
      ++on;
      auto simulated = machines_.find(machine);
      if (simulated != machines_.end()) zones[simulated->second->zone] += 1;
    }
  }
  if (job.finished.size() + on >= spec.tasks) return false;
  if (spec.team != "guest" && team + job.info.cpus > config_.team_limit) {
    return false;
  }
  for (const auto& [name, simulated] : machines_) {
    const fakes::Worker& worker = *simulated->worker;
    if (worker.config().faulty || worker.hanging ||
        inbound_cut_.contains(name)) {
      continue;
    }
    if (used[name] + job.info.cpus > worker.config().cpus) continue;
    if (simulated->spot && !spec.spot) continue;
    if (!spec.zone.empty() && spec.zone != simulated->zone) continue;
    if (spec.one_zone && !zones.empty() && !zones.contains(simulated->zone))
      continue;
    if (spec.spread && zones[simulated->zone] >= (spec.tasks + 1) / 2) continue;
    return true;
  }
  return false;
}

void ClusterSimulation::CheckWaiting() {
  for (auto& [id, job] : jobs_) {
    if (!job->accepted || job->final() || job->asked_cancel) continue;
    if (job->info.broken) continue;
    job->last_progress =
        std::max({job->last_progress, *job->accepted, faults_over_at_});
    if (now_ < job->last_progress) continue;
    if (!CouldStart(*job)) job->last_progress = now_;
    if (now_ - job->last_progress <= kMaxWaitBesideCapacity) continue;
    Violation("left_waiting", id + " waits while a machine has capacity");
    job->last_progress = now_ + Seconds(1000);  // reports it once
  }
  After(Seconds(1), [this] { CheckWaiting(); });
}

void ClusterSimulation::CheckServed() {
  struct Count {
    int accepted = 0;
    int served = 0;
  };
  std::map<std::string, Count> counts;
  std::map<std::string, const JobModel*> largest;  // by class
  for (const auto& [id, job] : jobs_) {
    if (!job->accepted || job->asked_cancel) continue;
    for (const std::string& of :
         {"class " + job->spec.job_class, "team " + job->spec.team}) {
      counts[of].accepted += 1;
      bool served = job->spec.shape == Shape::kService
                        ? job->first_start.has_value()
                        : job->told_done.has_value();
      counts[of].served += served;
    }
    const JobModel*& most = largest[job->spec.job_class];
    if (most == nullptr || most->spec.tasks < job->spec.tasks) most = job.get();
  }
  for (const auto& [of, count] : counts) {
    if (2 * count.served >= count.accepted) continue;
    Violation("unserved",
              fmt::format("{}: {} of {}", of, count.served, count.accepted));
  }
  for (const auto& [name, job] : largest) {
    if (now_ - *job->accepted < kMaxStartDelayOfLargest) continue;
    SteadyTime due =
        std::max(*job->accepted, faults_over_at_) + kMaxStartDelayOfLargest;
    if (!job->first_start || *job->first_start > due) {
      Violation("unserved", job->spec.id + " has not started in time");
    }
  }
}

}  // namespace pitchfall::sim
