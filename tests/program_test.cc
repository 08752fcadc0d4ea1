// Tests of the real program over loopback, against the fakes of the platform:
// three controllers run a job to its end, and one of them is killed meanwhile.
#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "local_cluster/local_cluster.h"
#include "wire/pack.h"

extern char** environ;

namespace pitchfall::local_cluster {
namespace {

class Program : public ::testing::Test {
 protected:
  void SetUp() override {
    signal(SIGPIPE, SIG_IGN);
    base_.reset(event_base_new());
    for (int i = 0; i < 3; ++i) {
      controllers_.push_back({"node-" + std::to_string(i),
                              "127.0.0.1:" + std::to_string(FreePort()),
                              "127.0.0.1:" + std::to_string(FreePort())});
    }
    cluster_ =
        std::make_unique<LocalCluster>(base_.get(), controllers_, Millis(300));
    std::string pattern =
        (std::filesystem::temp_directory_path() / "pitchfall-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    for (size_t i = 0; i < controllers_.size(); ++i) {
      std::ofstream(SettingsPath(i)) << cluster_->SettingsFor(i);
      pids_.push_back(Spawn(i));
    }
  }

  void TearDown() override {
    for (size_t i = 0; i < pids_.size(); ++i) Kill(i);
    std::filesystem::remove_all(folder_);
  }

  std::string SettingsPath(size_t i) const {
    return folder_ + "/" + std::to_string(i) + ".toml";
  }

  pid_t Spawn(size_t i) {
    std::string program = PITCHFALL_PROGRAM;
    std::string option = "--config";
    std::string file = SettingsPath(i);
    char* argv[] = {program.data(), option.data(), file.data(), nullptr};
    pid_t pid = 0;
    EXPECT_EQ(
        posix_spawn(&pid, program.c_str(), nullptr, nullptr, argv, environ), 0);
    return pid;
  }

  void Kill(size_t i) {
    if (pids_[i] == 0) return;
    kill(pids_[i], SIGKILL);
    waitpid(pids_[i], nullptr, 0);
    pids_[i] = 0;
  }

  // Repeats the request every 100 ms, 600 times at most, until `good` accepts
  // the answer. Returns whether it did.
  bool RepeatUntil(size_t node, const wire::HttpRequest& request,
                   const std::function<bool(int, const std::string&)>& good) {
    io::HttpClient client(base_.get(),
                          io::ParseAddress(controllers_[node].front), 1);
    for (int tries = 0; tries < 600; ++tries) {
      bool answered = false;
      bool ok = false;
      client.Send(request, Seconds(5), [&](int status, std::string_view body) {
        answered = true;
        ok = good(status, std::string(body));
      });
      while (!answered) event_base_loop(base_.get(), EVLOOP_ONCE);
      if (ok) return true;
      timeval pause = io::ToTimeval(Millis(100));
      event_base_loopexit(base_.get(), &pause);
      event_base_dispatch(base_.get());
    }
    return false;
  }

  static wire::HttpRequest Submission(const std::string& id) {
    wire::Packer out;
    out.Map(14).Pair("uid", id).Pair("lane", "try").Pair("crew", "crew");
    out.Pair("shape", "sweep").Pair("urgency", "high").Pair("legs", 12);
    out.Pair("vcpus", 1.5).Pair("accelerators", 0).Pair("mem_gb", 1.5);
    out.Pair("kit", "image").Pair("pull_gb", 0.1).Pair("expected_s", 1);
    out.Pair("waypoint_s", 0).Pair("stow_s", 0);
    return {true, "/api/jobs", out.Take()};
  }

  static std::string Status(const std::string& body) {
    wire::Message message(body, 100, 4);
    return wire::Fields(message.root()).TextOr("status", "");
  }

  io::EventBase base_;
  std::vector<Controller> controllers_;
  std::unique_ptr<LocalCluster> cluster_;
  std::string folder_;
  std::vector<pid_t> pids_;
};

TEST_F(Program, RunsAJobThoughAControllerIsKilled) {
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_TRUE(RepeatUntil(
        i, {false, "/healthz", ""},
        [](int status, const std::string&) { return status == 200; }));
  }
  ASSERT_TRUE(RepeatUntil(0, Submission("run-000001"),
                          [](int status, const std::string&) {
                            return status == 201 || status == 200;
                          }));
  Kill(0);
  EXPECT_TRUE(RepeatUntil(1, {false, "/api/jobs/run-000001", ""},
                          [](int status, const std::string& body) {
                            EXPECT_NE(status, 404);
                            return status == 200 && Status(body) == "done";
                          }));
  // A repeated submission returns the present status of the job.
  EXPECT_TRUE(RepeatUntil(2, Submission("run-000001"),
                          [](int status, const std::string& body) {
                            return status == 200 && Status(body) == "done";
                          }));
}

TEST_F(Program, RefusesInvalidRequests) {
  auto expect = [&](const wire::HttpRequest& request, int wanted) {
    EXPECT_TRUE(RepeatUntil(
        1, request,
        [wanted](int status, const std::string&) { return status == wanted; }))
        << request.path << " should be answered " << wanted;
  };
  expect({true, "/api/jobs", "not MessagePack"}, 400);
  expect({false, "/api/jobs", ""}, 405);
  expect({true, "/healthz", ""}, 405);
  expect({false, "/nowhere", ""}, 404);
  expect({false, "/api/jobs/run-000777", ""}, 404);
  expect({false, "/api/jobs/other", ""}, 404);
  expect({true, "/api/jobs/run-000777/cancel", ""}, 404);
  expect({true, "/checkin", std::string(70000, 'x')}, 413);
}

}  // namespace
}  // namespace pitchfall::local_cluster
