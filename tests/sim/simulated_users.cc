// The simulated users: their jobs, and the requests that they send.
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "sim/simulation_parts.h"

namespace pitchfall::sim {
namespace {

// Longer than any simulation runs.
constexpr double kEndlessRunS = 1e6;

// Makes a user's request, for ClusterSimulation::SendRequest.
using MakeCommand = std::function<Command(RequestId)>;

MakeCommand SubmissionOf(const JobSpec& spec) {
  return [spec](RequestId request) -> Command {
    return SubmitJob{request, spec};
  };
}

MakeCommand PollOf(const std::string& id) {
  return [id](RequestId request) -> Command { return PollJob{request, id}; };
}

MakeCommand CancelOf(const std::string& id) {
  return [id](RequestId request) -> Command { return CancelJob{request, id}; };
}

}  // namespace

void ClusterSimulation::AddJob(int number) {
  auto job = std::make_unique<JobModel>();
  JobSpec& spec = job->spec;
  spec.id = fmt::format("run-{:06}", number);
  spec.job_class = Chance() < 0.5 ? "fast" : "slow";
  spec.team = Chance() < 0.5 ? "red" : "blue";
  spec.priority = static_cast<Priority>(RandomIndex(4));
  spec.tasks = static_cast<uint32_t>(1 + RandomIndex(Chance() < 0.2 ? 30 : 8));
  job->info.cpus = static_cast<double>(1 + RandomIndex(3));
  job->info.memory_gb = 2.7;
  job->info.image = fmt::format("img-{}", RandomIndex(3));
  job->info.fetch = RandomDuration(0.2, 2);
  job->info.run = RandomDuration(1, config_.longest_run_s);
  job->info.saves = Chance() < 0.4;
  job->info.save = job->info.saves ? RandomDuration(0.2, 1) : Duration(0);
  spec.resources =
      Resources::FromDecimals(job->info.cpus, 0, job->info.memory_gb);
  spec.image = job->info.image;
  spec.image_gb = 1;
  spec.estimate = job->info.run;
  spec.checkpoint = job->info.saves ? Seconds(2) : Duration(0);
  spec.save = job->info.save;
  spec.spot = true;
  if (config_.constrained_jobs) {
    spec.spot = Chance() < 0.8;
    double draw = Chance();
    if (draw < 0.1) spec.zone = "a";
    if (draw > 0.85) spec.one_zone = true;
    if (draw > 0.7 && draw < 0.85) spec.spread = true;
  }
  std::string id = spec.id;
  bool cancel = Chance() < config_.cancel_share;
  jobs_[id] = std::move(job);
  After(RandomDuration(0.1, ToSeconds(config_.jobs_within)),
        [this, id, cancel] {
          jobs_[id]->submitted = true;
          TrySubmit(id, now_);
          if (cancel)
            After(RandomDuration(1, 25), [this, id] { TryCancel(id); });
        });
}

void ClusterSimulation::CheckAnswer(JobModel& job, const JobAnswer& answer,
                                    SteadyTime asked) {
  const std::string& id = job.spec.id;
  if (!job.submitted) Violation("invented", id);
  using Status = JobAnswer::Status;
  if (job.told_done && asked >= *job.told_done &&
      answer.status != Status::kDone) {
    Violation("went_back", id + " was reported as done before");
  }
  if (job.cancelled && asked >= *job.cancelled &&
      answer.status != Status::kCancelled) {
    Violation("went_back", id + " was reported as cancelled before");
  }
  bool news = !job.accepted ||
              (answer.status == Status::kCancelled && !job.cancelled) ||
              (answer.status == Status::kDone && !job.told_done);
  if (news && now_ < watch_closely_until_) QueryAllNodes(id);
  if (answer.status == Status::kCancelled) {
    if (!job.asked_cancel)
      Violation("went_back", id + " is cancelled without a request");
    if (!job.cancelled) job.cancelled = now_;
  }
  if (answer.status == Status::kDone) {
    if (!job.told_done && job.finished.size() < job.spec.tasks) {
      Violation("not_done", fmt::format("{}: {} of {}", id, job.finished.size(),
                                        job.spec.tasks));
    }
    if (!job.told_done) job.told_done = now_;
  }
  if (!job.accepted) job.accepted = now_;
}

void ClusterSimulation::TrySubmit(const std::string& id, SteadyTime since) {
  JobModel& job = *jobs_[id];
  size_t node = RandomIndex(config_.nodes);
  bool old_version = config_.begins_with_production && !nodes_[node]->upgraded;
  if (old_version && job.spec.shape == Shape::kService) {
    // Services are new; none is submitted to the version in production.
    After(RandomDuration(1, 3), [this, id, since] { TrySubmit(id, since); });
    return;
  }
  SendRequest(
      node, SubmissionOf(job.spec), Seconds(5), "",
      [this, id, since, asked = now_](const std::optional<Reply>& reply) {
        JobModel& j = *jobs_[id];
        int status = reply ? reply->status : 0;
        if (status == 200 || status == 201) {
          // An answer to a cancellation may have come before and have marked
          // the job as accepted.
          bool first = !std::exchange(j.polls, true);
          CheckAnswer(j, std::get<JobAnswer>(reply->body), asked);
          if (first) After(RandomDuration(1, 5), [this, id] { TryPoll(id); });
          // Some users miss the answer and submit again.
          if (Chance() < 0.2) {
            After(RandomDuration(1, 40), [this, id] { TrySubmit(id, now_); });
          }
          return;
        }
        if (status == 400 || status == 422) {
          Violation("forgotten", fmt::format("{} answered {}", id, status));
          return;
        }
        if (now_ - since < Seconds(60)) {
          After(RandomDuration(1, 3),
                [this, id, since] { TrySubmit(id, since); });
        }
      });
}

void ClusterSimulation::TryPoll(const std::string& id) {
  SendRequest(RandomIndex(config_.nodes), PollOf(id), Seconds(2), "",
              [this, id, asked = now_](const std::optional<Reply>& reply) {
                JobModel& job = *jobs_[id];
                int status = reply ? reply->status : 0;
                if (status == 200) {
                  CheckAnswer(job, std::get<JobAnswer>(reply->body), asked);
                  NoteAnswered(job);
                } else if (status == 404) {
                  Violation("forgotten", id + " answered 404");
                }
                // Users go on polling after the end, less often.
                Duration pause =
                    job.final() ? RandomDuration(5, 20) : RandomDuration(2, 5);
                if (now_ < storm_until_) {
                  storm_polls_ += 1;
                  storm_answers_ += status == 200;
                  pause = Seconds(ToSeconds(pause) / storm_factor_);
                }
                After(pause, [this, id] { TryPoll(id); });
              });
}

void ClusterSimulation::TryCancel(const std::string& id, size_t index) {
  jobs_[id]->asked_cancel = true;
  if (!jobs_[id]->first_asked_cancel) jobs_[id]->first_asked_cancel = now_;
  SendRequest(index, CancelOf(id), Seconds(5), "",
              [this, id, asked = now_](const std::optional<Reply>& reply) {
                JobModel& job = *jobs_[id];
                if (reply && reply->status == 200) {
                  CheckAnswer(job, std::get<JobAnswer>(reply->body), asked);
                } else if (reply && reply->status == 404 && job.accepted &&
                           asked >= *job.accepted) {
                  Violation("forgotten", id + " cancel answered 404");
                } else if (!reply || reply->status != 404) {
                  After(RandomDuration(1, 2), [this, id] { TryCancel(id); });
                }
              });
}

void ClusterSimulation::QueryAllNodes(const std::string& id) {
  for (size_t i = 0; i < config_.nodes; ++i) {
    for (int times = 0; times < 3; ++times) {
      After(RandomDuration(0, 0.03), [this, i, id] { PollOnce(i, id); });
    }
    After(RandomDuration(0, 0.03), [this, i, id] { SubmitOnce(i, id); });
  }
  if (Chance() < 0.1) After(Millis(1), [this, id] { TryCancel(id); });
}

void ClusterSimulation::PollOnce(size_t index, const std::string& id) {
  SendRequest(
      index, PollOf(id), Seconds(2), "",
      [this, id, asked = now_](const std::optional<Reply>& reply) {
        JobModel& job = *jobs_[id];
        int status = reply ? reply->status : 0;
        if (status == 200) {
          CheckAnswer(job, std::get<JobAnswer>(reply->body), asked);
        } else if (status == 404 && job.accepted && asked >= *job.accepted) {
          Violation("forgotten", id + " answered 404");
        }
      });
}

void ClusterSimulation::SubmitOnce(size_t index, const std::string& id) {
  JobModel& job = *jobs_[id];
  SendRequest(
      index, SubmissionOf(job.spec), Seconds(5), "",
      [this, id, asked = now_](const std::optional<Reply>& reply) {
        int status = reply ? reply->status : 0;
        if (status == 200 || status == 201) {
          CheckAnswer(*jobs_[id], std::get<JobAnswer>(reply->body), asked);
        } else if (status == 400 || status == 422) {
          Violation("forgotten", fmt::format("{} answered {}", id, status));
        }
      });
}

void ClusterSimulation::CancelNow(int count, double hang_s) {
  AppendLog("users cancel running jobs");
  std::set<std::string> chosen;
  for (const auto& [task, on] : task_placements_) {
    if (on.machines.empty() || on.job->asked_cancel || on.job->final()) {
      continue;
    }
    if (static_cast<int>(chosen.size()) >= count) break;
    chosen.insert(on.job->spec.id);
    if (hang_s > 0) Hang(*on.machines.begin(), Seconds(hang_s));
  }
  for (const std::string& id : chosen) {
    jobs_[id]->asked_cancel = true;
    After(RandomDuration(0, 0.2), [this, id] { TryCancel(id); });
  }
}

void ClusterSimulation::CancelStarting(int count) {
  AppendLog("users cancel starting jobs");
  for (const auto& [id, job] : jobs_) {
    if (count == 0) break;
    if (!job->accepted || job->asked_cancel || job->final()) continue;
    auto started = job->finished.size() + TasksOnMachines(id);
    if (started >= job->spec.tasks) continue;
    --count;
    job->asked_cancel = true;
    After(RandomDuration(0, 0.2), [this, id = id] { TryCancel(id); });
  }
}

JobSpec& ClusterSimulation::AddJobAt(double second, const std::string& id,
                                     uint32_t tasks, double run_s) {
  JobModel& job = AddPlainJob(id, tasks, run_s);
  After(Seconds(second), [this, id] {
    jobs_[id]->submitted = true;
    TrySubmit(id, now_);
  });
  return job.spec;
}

JobSpec& ClusterSimulation::AddGuestJobAt(double second, const std::string& id,
                                          uint32_t tasks, double run_s,
                                          double cpus) {
  JobSpec& spec = AddJobAt(second, id, tasks, run_s);
  spec.team = "guest";
  spec.job_class = "guest";
  spec.priority = Priority::kLow;
  spec.resources = Resources::FromDecimals(cpus, 0, 0.5);
  jobs_[id]->info.cpus = cpus;
  jobs_[id]->info.memory_gb = 0.5;
  return spec;
}

void ClusterSimulation::AddBrokenJobAt(double second, const std::string& id,
                                       uint32_t tasks, double cancel_after_s) {
  AddJobAt(second, id, tasks, 5);
  jobs_[id]->info.broken = true;
  After(Seconds(second + cancel_after_s), [this, id] { TryCancel(id); });
}

void ClusterSimulation::PollStorm(double factor, double seconds) {
  AppendLog("users poll many times as often");
  storm_factor_ = factor;
  storm_until_ = now_ + Seconds(seconds);
  PollUnknownJob();
}

void ClusterSimulation::PollUnknownJob() {
  if (now_ >= storm_until_) return;
  std::string id = fmt::format("run-96{:04}", RandomIndex(10000));
  SendRequest(RandomIndex(config_.nodes), PollOf(id), Seconds(2), "",
              [this, id](const std::optional<Reply>& reply) {
                if (reply && reply->status == 200) Violation("invented", id);
              });
  After(Millis(20), [this] { PollUnknownJob(); });
}

JobSpec& ClusterSimulation::AddServiceAt(double second, const std::string& id,
                                         uint32_t replicas, double cpus) {
  JobModel& job = AddPlainJob(id, replicas, kEndlessRunS);
  job.info.cpus = cpus;
  job.info.endless = true;
  job.spec.job_class = "service";
  job.spec.shape = Shape::kService;
  job.spec.priority = Priority::kProduction;
  job.spec.resources = Resources::FromDecimals(cpus, 0, job.info.memory_gb);
  job.spec.estimate = Duration(0);
  job.spec.spot = false;
  At(second, [this, id] {
    jobs_[id]->submitted = true;
    TrySubmit(id, now_);
  });
  return job.spec;
}

ClusterSimulation::JobModel& ClusterSimulation::AddPlainJob(
    const std::string& id, uint32_t tasks, double run) {
  auto job = std::make_unique<JobModel>();
  JobSpec& spec = job->spec;
  spec.id = id;
  spec.job_class = "plain";
  spec.team = "red";
  spec.tasks = tasks;
  job->info = {.cpus = 2, .memory_gb = 2.7, .image = "img-0"};
  job->info.run = Seconds(run);
  spec.resources = Resources::FromDecimals(2, 0, 2.7);
  spec.image = "img-0";
  spec.estimate = Seconds(run);
  spec.spot = true;
  return *(jobs_[id] = std::move(job));
}

// Fills every machine with tasks that run for a minute; the state service has
// an outage when most of these end.
void ClusterSimulation::AddWideJobs() {
  for (int i = 0; i < config_.wide_jobs; ++i) {
    std::string id = fmt::format("run-8{:05}", i);
    AddPlainJob(id, 500, 60);
    After(Seconds(1), [this, id] {
      jobs_[id]->submitted = true;
      TrySubmit(id, now_);
    });
  }
  After(Seconds(70), [this] { StopState(Seconds(16)); });
}

// Keeps the cluster full: small jobs of high priority use up the team's limit,
// and one large job of low priority needs part of it too.
void ClusterSimulation::AddSaturatingLoad() {
  auto add = [this](const std::string& id, Priority priority, uint32_t tasks,
                    double run, double at) {
    AddPlainJob(id, tasks, run).spec.priority = priority;
    After(Seconds(at), [this, id] {
      jobs_[id]->submitted = true;
      TrySubmit(id, now_);
    });
  };
  add(kLargeJob, Priority::kLow, 60, 5, 10);
  for (int i = 0; i < 70; ++i) {
    add(fmt::format("run-7{:05}", i), Priority::kHigh, 8, 6, 1 + i * 5);
  }
}

void ClusterSimulation::NoteAnswered(JobModel& job) { job.answered = now_; }

// Sends a submission that no controller may accept: an unknown team, more CPUs
// than any machine has, or a zone that no machine type has. (Tests of the codec
// cover missing fields.)
void ClusterSimulation::SendInvalidRequest() {
  JobSpec spec;
  spec.id = fmt::format("run-95{:04}", RandomIndex(10000));
  spec.job_class = "odd";
  spec.team = "red";
  spec.tasks = 2;
  spec.resources = Resources::FromDecimals(1, 0, 1);
  spec.image = "img-0";
  spec.estimate = Seconds(1);
  spec.spot = true;
  switch (RandomIndex(3)) {
    case 0:
      spec.team = "nobody";
      break;
    case 1:
      spec.resources = Resources::FromDecimals(64, 0, 1);
      break;
    default:
      spec.zone = "nowhere";
      break;
  }
  SendRequest(RandomIndex(config_.nodes), SubmissionOf(spec), Seconds(5), "",
              [this, spec](const std::optional<Reply>& reply) {
                int status = reply ? reply->status : 0;
                if (status == 200 || status == 201) {
                  Violation("accepted_odd", spec.id + " can never run");
                }
              });
  // Repeats the submission of some job if it was accepted, and cancels it if it
  // is done.
  auto any = std::next(jobs_.begin(),
                       static_cast<ptrdiff_t>(RandomIndex(jobs_.size())));
  if (any->second->accepted) TrySubmit(any->first, now_);
  if (any->second->told_done) TryCancel(any->first);
  After(RandomDuration(0.5, 2), [this] { SendInvalidRequest(); });
}

}  // namespace pitchfall::sim
