// The cases of the review. Usage:
//
//   review_case NAME PROGRAM RECORD
//
// With TROUBLE=0 in the environment the disruption is left out. Exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "stand_in/platform.h"

namespace pitchfall::review {
namespace {

enum Result { kHeld = 0, kBroken = 1, kCannotRun = 2 };

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

std::string JobId(int number) { return fmt::format("run-{:06}", number); }

// Submits jobs of several teams whose tasks run until after the end.
void SubmitLongJobs(Platform& platform, int jobs, uint32_t tasks,
                    double run_s) {
  for (int i = 0; i < jobs; ++i) {
    JobSpec job;
    job.id = JobId(i + 1);
    job.team = fmt::format("cenilci-{:02}", i % platform.site().teams);
    job.tasks = tasks;
    job.run_s = run_s;
    job.expected_s = run_s;
    platform.At(4 + 0.3 * i, [&platform, job, i] {
      platform.SubmitUntilAccepted(job, static_cast<size_t>(i) % 3);
    });
  }
}

// The controller that last answered most of the machines that have tasks, and
// how many.
std::pair<size_t, int> BusiestController(const Platform& platform) {
  std::map<size_t, int> count;
  for (const auto& [name, machine] : platform.machines()) {
    if (machine->answered_by && !machine->running.empty()) {
      ++count[*machine->answered_by];
    }
  }
  std::pair<size_t, int> best{0, 0};
  for (const auto& [controller, machines] : count) {
    if (machines > best.second) best = {controller, machines};
  }
  return best;
}

// A controller stands still for a minute. Others take over its machines. When
// it goes on, it must not return machines that are in use through others.
Result PausedController(Platform& platform) {
  constexpr double kPauseAt = 30;
  constexpr double kPause = 62;
  constexpr double kEnd = 105;
  // A machine counts as in use if tasks run on it and its worker's last report
  // was answered by another controller less than this long ago.
  const Duration kInUse = Seconds(2 * platform.site().report_s + 1);
  SubmitLongJobs(platform, 6, 8, 150);
  size_t victim = 0;
  int victims_machines = 0;
  int broken = 0;
  size_t lost_tasks = 0;
  platform.on_delete = [&](size_t controller,
                           const Platform::Machine& machine) {
    bool in_use = !machine.running.empty() && machine.answered_by &&
                  *machine.answered_by != controller &&
                  platform.Now() - machine.answered_at < kInUse;
    if (!in_use) return;
    ++broken;
    lost_tasks += machine.running.size();
    platform.Record(fmt::format(
        "BROKEN: {} had {} returned, which is in use by {}; {} tasks lost",
        platform.label(controller), machine.name,
        platform.label(*machine.answered_by), machine.running.size()));
  };
  platform.At(kPauseAt, [&] {
    std::tie(victim, victims_machines) = BusiestController(platform);
    platform.Record(fmt::format("{} answers {} machines with tasks",
                                platform.label(victim), victims_machines));
    if (Trouble()) platform.Signal(victim, SIGSTOP);
  });
  platform.At(kPauseAt + kPause, [&] {
    int kept = 0;
    for (const auto& [name, machine] : platform.machines()) {
      kept += !machine->running.empty();
    }
    platform.Record(fmt::format("{} machines have tasks", kept));
    if (Trouble()) platform.Signal(victim, SIGCONT);
  });
  platform.Run(kEnd);
  if (platform.AnyEnded() || victims_machines == 0) return kCannotRun;
  platform.Record(
      fmt::format("{} machines in use were returned, {} running "
                  "tasks lost",
                  broken, lost_tasks));
  return broken > 0 ? kBroken : kHeld;
}

// The state service refuses one controller alone. Others take over its
// machines. It must not return machines that are in use through others.
Result RefusedController(Platform& platform) {
  constexpr double kRefuseAt = 30;
  constexpr double kEnd = 100;
  const Duration kInUse = Seconds(2 * platform.site().report_s + 1);
  SubmitLongJobs(platform, 6, 8, 150);
  size_t victim = 0;
  int victims_machines = 0;
  int broken = 0;
  platform.on_delete = [&](size_t controller,
                           const Platform::Machine& machine) {
    bool in_use = !machine.running.empty() && machine.answered_by &&
                  *machine.answered_by != controller &&
                  platform.Now() - machine.answered_at < kInUse;
    if (in_use) ++broken;
  };
  platform.At(kRefuseAt, [&] {
    std::tie(victim, victims_machines) = BusiestController(platform);
    platform.Record(fmt::format("{} answers {} machines with tasks",
                                platform.label(victim), victims_machines));
    if (Trouble()) platform.state_modes[victim] = StateMode::kRefuse;
  });
  platform.Run(kEnd);
  if (platform.AnyEnded() || victims_machines == 0) return kCannotRun;
  return broken > 0 ? kBroken : kHeld;
}

// Users submit jobs that lack a field.
Result MissingField(Platform& platform) {
  int broken = 0;
  int answered = 0;
  int number = 0;
  for (const char* field :
       {"uid", "lane", "crew", "shape", "urgency", "legs", "vcpus",
        "accelerators", "mem_gb", "kit", "pull_gb", "together", "scatter",
        "loaners", "expected_s", "waypoint_s", "stow_s"}) {
    JobSpec job;
    job.id = JobId(++number);
    job.run_s = 5;
    job.omitted = {field};
    platform.At(8 + 0.2 * number, [&platform, &broken, &answered, job, field] {
      platform.Submit(job, 0, [&, field](int status, const std::string&) {
        platform.Record(fmt::format("without {}: {}", field, status));
        ++answered;
        if (status != 400) ++broken;
      });
    });
  }
  platform.Run(25);
  if (platform.AnyEnded() || answered == 0) return kCannotRun;
  return broken > 0 ? kBroken : kHeld;
}

// Several jobs with many small tasks at once.
Result SmallTasks(Platform& platform) {
  int jobs = Trouble() ? 6 : 1;
  for (int i = 0; i < jobs; ++i) {
    JobSpec job;
    job.id = JobId(i + 1);
    job.tasks = 400;
    job.cpus = 0.005;
    job.memory_gb = 0.01;
    job.checkpoint_s = 0;
    job.save_s = 0;
    job.run_s = 20;
    job.expected_s = 20;
    platform.At(8 + 0.1 * i,
                [&platform, job] { platform.SubmitUntilAccepted(job, 0); });
  }
  int done = 0;
  for (int t = 20; t < 100; t += 10) {
    platform.At(t, [&, t] {
      for (int i = 0; i < jobs; ++i) {
        platform.Poll(JobId(i + 1), 1,
                      [&, i, t](int status, const std::string& text) {
                        platform.Record(
                            fmt::format("poll {}: {} {}", i + 1, status, text));
                        if (t == 90 && text == "done") ++done;
                      });
      }
      for (const auto& [status, count] : platform.report_statuses) {
        platform.Record(fmt::format("reports answered {}: {}", status, count));
      }
      platform.Record(fmt::format("largest report {} answer {}",
                                  platform.largest_report,
                                  platform.largest_report_answer));
    });
  }
  platform.Run(105);
  if (platform.AnyEnded()) return kCannotRun;
  return done < jobs ? kBroken : kHeld;
}

int Run(const std::string& name, const std::string& program,
        const std::string& record) {
  const std::map<std::string, std::function<Result(Platform&)>> cases = {
      {"paused-controller", PausedController},
      {"refused-controller", RefusedController},
      {"missing-field", MissingField},
      {"small-tasks", SmallTasks},
  };
  auto found = cases.find(name);
  if (found == cases.end()) {
    std::cerr << "no such case: " << name << "\n";
    return kCannotRun;
  }
  // Ends a case that hangs; the script then ends the controllers.
  constexpr unsigned kLimitSeconds = 117;
  alarm(kLimitSeconds);
  Platform platform(Site{}, program, record);
  for (size_t i = 0; i < 3; ++i) platform.Start(i);
  Result result = found->second(platform);
  platform.Record(fmt::format("result {}", static_cast<int>(result)));
  return result;
}

}  // namespace
}  // namespace pitchfall::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: review_case NAME PROGRAM RECORD\n";
    return 2;
  }
  try {
    return pitchfall::review::Run(argv[1], argv[2], argv[3]);
  } catch (const std::exception& problem) {
    std::cerr << "review_case: " << problem.what() << "\n";
    return 2;
  }
}
