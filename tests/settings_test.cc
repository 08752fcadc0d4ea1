// Tests the deployment file and the tuning file: what is accepted, and the
// error message for the rest.
#include <gtest/gtest.h>

#include <string>

#include "cli/deployment_file.h"
#include "cli/tuning_file.h"

namespace pitchfall::cli {
namespace {

const char kValidDeployment[] = R"(
label = "node-0"
site = "a"
front = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
unknown = 7
[[known]]
label = "node-1"
address = "127.0.0.2:8081"
[services]
cloud = "127.0.0.9:1"
state = "127.0.0.9:2"
[[cluster.teams]]
name = "red"
cpus = 0.1
cpus_max = 0.3
[[cluster.objectives]]
kind = "finished"
class = "x"
within_s = 70.0
share = 0.8
[cluster.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 30.0
[cluster.state]
rps = 100.0
write_rps = 15
value_kb = 8.0
txn_ops = 8
[cluster.cloud]
rps = 8.0
)";

// Returns the error message for this deployment file, or an empty string if it
// is accepted.
std::string DeploymentErrorFor(const std::string& text) {
  try {
    ParseDeployment(text, "node.toml");
  } catch (const SettingsError& problem) {
    return problem.what();
  }
  return "";
}

// Returns the valid deployment file with the first occurrence of `from`
// replaced.
std::string WithReplacement(const std::string& from, const std::string& to) {
  std::string text = kValidDeployment;
  size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST(DeploymentFile, ReadsAValidFile) {
  Deployment d = ParseDeployment(kValidDeployment, "node.toml");
  EXPECT_EQ(d.label, "node-0");
  ASSERT_EQ(d.peers.size(), 1u);
  EXPECT_EQ(d.peers[0].address, "127.0.0.2:8081");
  EXPECT_EQ(d.teams.at("red").cpus_limit, 300000);
  EXPECT_EQ(d.heartbeat_interval, Millis(1500));
  EXPECT_EQ(d.state.txn_ops, 8u);
  ASSERT_EQ(d.objectives.size(), 1u);
  EXPECT_EQ(d.objectives[0].within, Seconds(70));
}

// An objective for work within a team's guarantee names no class.
TEST(DeploymentFile, TakesAnObjectiveForAllClasses) {
  Deployment d =
      ParseDeployment(WithReplacement("class = \"x\"\n", ""), "node.toml");
  ASSERT_EQ(d.objectives.size(), 1u);
  EXPECT_EQ(d.objectives[0].job_class, "");
  EXPECT_EQ(
      DeploymentErrorFor(WithReplacement("class = \"x\"", "class = \"\"")),
      "node.toml: cluster.objectives[0].class must not be empty");
}

// Announced limits apply from the start if they are stricter than the present
// ones. Limits that the announcement does not name stay as they are, and
// unknown names are ignored.
TEST(DeploymentFile, ReadsAnnouncedLimitsOfTheStateService) {
  Deployment d = ParseDeployment(kValidDeployment, "node.toml");
  EXPECT_FALSE(d.state_next);
  EXPECT_EQ(d.StrictestStateLimits().value_kb, 8);
  const std::string next =
      std::string(kValidDeployment) + "[cluster.state.next]\n";
  d = ParseDeployment(next + "value_kb = 2.0\nwrite_rps = 20.0\nshards = 7\n",
                      "node.toml");
  ASSERT_TRUE(d.state_next);
  Deployment::StateServiceLimits strictest = d.StrictestStateLimits();
  EXPECT_EQ(strictest.value_kb, 2);
  EXPECT_EQ(strictest.txn_ops, 8u);
  EXPECT_EQ(strictest.write_rps, 15);
  EXPECT_EQ(strictest.rps, 100);
  EXPECT_EQ(DeploymentErrorFor(next + "value_kb = 1.0\n"),
            "node.toml: cluster.state.next.value_kb must be from 2 to "
            "1000000000");
  EXPECT_EQ(DeploymentErrorFor(next + "txn_ops = \"few\"\n"),
            "node.toml: cluster.state.next.txn_ops must be a number");
}

TEST(DeploymentFile, ErrorNamesFileKeyAndReason) {
  EXPECT_EQ(DeploymentErrorFor(WithReplacement("label = \"node-0\"", "")),
            "node.toml: label is missing");
  EXPECT_EQ(DeploymentErrorFor(
                WithReplacement("report_s = 1.5", "report_s = \"soon\"")),
            "node.toml: cluster.workers.report_s must be a number");
  EXPECT_EQ(
      DeploymentErrorFor(WithReplacement("cancel_s = 30.0", "cancel_s = 5.0")),
      "node.toml: cluster.workers.cancel_s must be more than lease_s");
  EXPECT_EQ(DeploymentErrorFor(WithReplacement("cpus = 0.1", "cpus = -4")),
            "node.toml: cluster.teams[0].cpus must be from 0 to 1000000000");
  // Limits under which the program cannot work: a value too small for any
  // record, a transaction too small for a change, no sockets beyond those for
  // the peers.
  EXPECT_EQ(
      DeploymentErrorFor(WithReplacement("value_kb = 8.0", "value_kb = 1.9")),
      "node.toml: cluster.state.value_kb must be from 2 to 1000000000");
  EXPECT_EQ(DeploymentErrorFor(WithReplacement("txn_ops = 8", "txn_ops = 1")),
            "node.toml: cluster.state.txn_ops must be from 2 to 1000000");
  EXPECT_EQ(DeploymentErrorFor(std::string(kValidDeployment) +
                               "[cluster.resources]\nsockets = 99\n"),
            "node.toml: cluster.resources.sockets must be from 100 to 1000000");
  EXPECT_NE(DeploymentErrorFor(WithReplacement("127.0.0.1:8080", "nowhere"))
                .find("front"),
            std::string::npos);
  EXPECT_NE(DeploymentErrorFor(WithReplacement("[services]", "[services"))
                .find("node.toml:10"),
            std::string::npos);
}

// Returns the error message for this tuning file, or an empty string if it is
// accepted.
std::string TuningErrorFor(const std::string& text) {
  try {
    ParseTuning(text, "ops.sexp");
  } catch (const SettingsError& problem) {
    return problem.what();
  }
  return "";
}

TEST(TuningFile, EverySettingIsOptional) {
  EXPECT_EQ(ParseTuning("", "ops.sexp").node_lease, Tuning().node_lease);
  Tuning tuning = ParseTuning(
      "; a comment with (parentheses\n(node-lease 2.5)\n(parts 1) (horizon 4)",
      "ops.sexp");
  EXPECT_EQ(tuning.node_lease, Millis(2500));
  EXPECT_EQ(tuning.partition_count, 1u);
  EXPECT_EQ(tuning.horizon, 4u);
}

TEST(TuningFile, ErrorNamesFileLineAndReason) {
  EXPECT_EQ(TuningErrorFor("(parts 1)\n(colour 3)"),
            "ops.sexp:2: unknown setting 'colour'");
  EXPECT_EQ(TuningErrorFor("\n(parts 65)"),
            "ops.sexp:2: parts must be from 0 to 64");
  EXPECT_EQ(TuningErrorFor("(parts many)"),
            "ops.sexp:1: parts: 'many' is not a number");
  EXPECT_EQ(TuningErrorFor("(parts nan)"),
            "ops.sexp:1: parts: 'nan' is not a number");
  EXPECT_EQ(TuningErrorFor("(parts)"), "ops.sexp:1: parts takes one number");
  EXPECT_EQ(TuningErrorFor("(parts 1 2)"),
            "ops.sexp:1: parts takes one number");
  EXPECT_EQ(TuningErrorFor("(parts (1))"),
            "ops.sexp:1: parts takes one number");
  EXPECT_EQ(TuningErrorFor("\n\n(parts 1"),
            "ops.sexp:3: the parenthesis opened here is not closed");
  EXPECT_NE(TuningErrorFor("parts 1").find("ops.sexp:1: expected a setting"),
            std::string::npos);
  EXPECT_NE(TuningErrorFor("()").find("ops.sexp:1: not a setting"),
            std::string::npos);
}

}  // namespace
}  // namespace pitchfall::cli
