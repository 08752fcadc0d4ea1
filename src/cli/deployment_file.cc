#include "cli/deployment_file.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <sstream>
#include <string_view>
#include <utility>

#include "io/event.h"

namespace pitchfall::cli {
namespace {

// Reads the values of one table and reports errors with the file and the key's
// full path. Unknown keys are ignored, because the platform may add some. A
// table that is absent from the file behaves like an empty one.
class Table {
 public:
  // `table` is null if the file lacks the table; `path` is empty for the root.
  Table(const toml::table* table, std::string file, std::string path)
      : table_(table), file_(std::move(file)), path_(std::move(path)) {}

  [[noreturn]] void Fail(std::string_view key, std::string_view what) const {
    throw SettingsError(fmt::format("{}: {}{}{} {}", file_, path_,
                                    path_.empty() ? "" : ".", key, what));
  }

  std::string Text(std::string_view key) const {
    const toml::node* node = Require(key);
    if (!node->is_string()) Fail(key, "must be a string");
    std::string text = node->as_string()->get();
    if (text.empty()) Fail(key, "must not be empty");
    return text;
  }

  std::string TextOr(std::string_view key, std::string fallback) const {
    return Has(key) ? Text(key) : std::move(fallback);
  }

  double Number(std::string_view key, double min, double max) const {
    const toml::node* node = Require(key);
    if (!node->is_number()) Fail(key, "must be a number");
    double value = *node->value<double>();
    if (!std::isfinite(value) || value < min || value > max) {
      Fail(key, fmt::format("must be from {} to {}", min, max));
    }
    return value;
  }
  double NumberOr(std::string_view key, double min, double max,
                  double fallback) const {
    return Has(key) ? Number(key, min, max) : fallback;
  }

  // Returns the value unchanged after checking that it is HOST:PORT.
  std::string HostAndPort(std::string_view key) const {
    std::string text = Text(key);
    try {
      io::ParseAddress(text);
    } catch (const std::invalid_argument& problem) {
      Fail(key, std::string("must be HOST:PORT: ") + problem.what());
    }
    return text;
  }

  // Empty if the key is absent.
  std::vector<std::string> TextList(std::string_view key) const {
    std::vector<std::string> texts;
    if (!Has(key)) return texts;
    const toml::array* array = table_->get(key)->as_array();
    if (array == nullptr) Fail(key, "must be a list of strings");
    for (const toml::node& node : *array) {
      if (!node.is_string()) Fail(key, "must be a list of strings");
      texts.push_back(node.as_string()->get());
    }
    return texts;
  }

  Table Child(std::string_view key) const {
    std::string path = Join(key);
    if (!Has(key)) return {nullptr, file_, path};
    const toml::table* child = table_->get(key)->as_table();
    if (child == nullptr) Fail(key, "must be a table");
    return {child, file_, path};
  }

  bool Has(std::string_view key) const {
    return table_ != nullptr && table_->contains(key);
  }

  // Returns the tables of an array of tables; empty if the key is absent.
  std::vector<Table> Children(std::string_view key) const {
    std::vector<Table> children;
    if (!Has(key)) return children;
    const toml::array* array = table_->get(key)->as_array();
    if (array == nullptr) Fail(key, "must be a list of tables");
    for (size_t i = 0; i < array->size(); ++i) {
      const toml::table* child = (*array)[i].as_table();
      if (child == nullptr) Fail(key, "must be a list of tables");
      children.push_back({child, file_, fmt::format("{}[{}]", Join(key), i)});
    }
    return children;
  }

 private:
  const toml::node* Require(std::string_view key) const {
    if (!Has(key)) Fail(key, "is missing");
    return table_->get(key);
  }
  std::string Join(std::string_view key) const {
    return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
  }

  const toml::table* table_;
  std::string file_;
  std::string path_;
};

// Upper bound on all numbers without a bound of their own.
constexpr double kMaxNumber = 1e9;

// Converts an amount of a resource to the millionths that Resources counts.
int64_t ToMillionths(double amount) { return Resources::FromDecimal(amount); }

// The smallest limit on a value's size with which a job record with names of
// usual length can be stored.
constexpr double kMinValueKb = 2;
// Upper bound on the operations of a transaction.
constexpr double kMaxOps = 1e6;

// Reads the announced limits; those that the table lacks stay as they are now.
Deployment::StateServiceLimits ReadNextLimits(
    const Table& next, const Deployment::StateServiceLimits& present) {
  Deployment::StateServiceLimits limits;
  limits.rps = next.NumberOr("rps", 1, kMaxNumber, present.rps);
  limits.write_rps =
      next.NumberOr("write_rps", 1, kMaxNumber, present.write_rps);
  limits.value_kb =
      next.NumberOr("value_kb", kMinValueKb, kMaxNumber, present.value_kb);
  limits.txn_ops = static_cast<uint32_t>(
      next.NumberOr("txn_ops", 2, kMaxOps, present.txn_ops));
  return limits;
}

Deployment ReadDeployment(const Table& root) {
  Deployment d;
  d.label = root.Text("label");
  d.zone = root.Text("site");
  d.listen_address = root.HostAndPort("front");
  d.peer_bind = root.HostAndPort("peer_bind");
  for (const Table& peer : root.Children("known")) {
    d.peers.push_back({peer.Text("label"), peer.HostAndPort("address")});
    if (d.peers.back().label == d.label) {
      peer.Fail("label", "must not be this controller's own label");
    }
  }
  Table services = root.Child("services");
  d.cloud_address = services.HostAndPort("cloud");
  d.state_address = services.HostAndPort("state");

  Table cluster = root.Child("cluster");
  d.zones = cluster.TextList("zones");
  d.max_clock_error =
      Seconds(cluster.NumberOr("time_bound_ms", 0, kMaxNumber, 0) / 1e3);
  for (const Table& row : cluster.Children("teams")) {
    Team team;
    team.name = row.Text("name");
    team.cpus_guaranteed = ToMillionths(row.NumberOr("cpus", 0, kMaxNumber, 0));
    team.cpus_limit = ToMillionths(row.NumberOr("cpus_max", 0, kMaxNumber, 0));
    team.gpus_guaranteed = ToMillionths(row.NumberOr("gpus", 0, kMaxNumber, 0));
    team.gpus_limit = ToMillionths(row.NumberOr("gpus_max", 0, kMaxNumber, 0));
    if (!d.teams.emplace(team.name, team).second) {
      row.Fail("name", "must be unique: another team has the same name");
    }
  }
  for (const Table& row : cluster.Children("objectives")) {
    Objective objective;
    objective.kind = row.Text("kind");
    objective.job_class = row.TextOr("class", "");
    objective.within = Seconds(row.NumberOr("within_s", 0, kMaxNumber, 0));
    objective.share = row.NumberOr("share", 0, 1, 0);
    d.objectives.push_back(std::move(objective));
  }
  Table workers = cluster.Child("workers");
  d.heartbeat_interval = Seconds(workers.Number("report_s", 0.01, kMaxNumber));
  d.worker_lease = Seconds(workers.Number("lease_s", 0.1, kMaxNumber));
  d.cancel_time_limit = Seconds(workers.Number("cancel_s", 0.1, kMaxNumber));
  if (d.cancel_time_limit <= d.worker_lease) {
    workers.Fail("cancel_s", "must be more than lease_s");
  }
  Table state = cluster.Child("state");
  d.state.rps = state.Number("rps", 1, kMaxNumber);
  d.state.write_rps = state.Number("write_rps", 1, kMaxNumber);
  d.state.value_kb = state.Number("value_kb", kMinValueKb, kMaxNumber);
  d.state.txn_ops = static_cast<uint32_t>(state.Number("txn_ops", 2, kMaxOps));
  if (state.Has("next")) {
    d.state_next = ReadNextLimits(state.Child("next"), d.state);
  }
  Table cloud = cluster.Child("cloud");
  d.cloud_rps = cloud.Number("rps", 0.1, kMaxNumber);
  d.list_lag = Seconds(cloud.NumberOr("list_lag_s", 0, kMaxNumber, 0));
  Table resources = cluster.Child("resources");
  double peers = static_cast<double>(d.peers.size());
  d.sockets = static_cast<uint32_t>(
      resources.NumberOr("sockets", 96 + 4 * peers, 1e6, 1024));
  return d;
}

}  // namespace

Deployment ParseDeployment(const std::string& text, const std::string& file) {
  try {
    toml::table root = toml::parse(text, file);
    return ReadDeployment(Table(&root, file, ""));
  } catch (const toml::parse_error& problem) {
    throw SettingsError(fmt::format(
        "{}:{}: {}", file, problem.source().begin.line, problem.description()));
  }
}

Deployment LoadDeployment(const std::string& file) {
  std::ifstream in(file);
  if (!in)
    throw SettingsError(fmt::format(
        "{}: cannot be opened: check that it exists and is readable", file));
  std::ostringstream text;
  text << in.rdbuf();
  return ParseDeployment(text.str(), file);
}

}  // namespace pitchfall::cli
