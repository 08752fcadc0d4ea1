// The faults that a simulation injects, scheduled or at random.
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/base/rendezvous_hash.h"
#include "sim/simulation_parts.h"
#include "wire/pack.h"
#include "wire/records.h"

namespace pitchfall::sim {

void ClusterSimulation::InjectFault() {
  if (now_ - SteadyTime(Seconds(1000)) > config_.faults_until) return;
  size_t index = RandomIndex(config_.nodes);
  Node& node = *nodes_[index];
  switch (RandomIndex(9)) {
    case 0:
      CrashNode(index, RandomDuration(0.05, config_.longest_down_s));
      break;
    case 1:
      CrashAllNodes();
      break;
    case 2:
      StopState(RandomDuration(1, 12));
      break;
    case 3:
      AppendLog(fmt::format("node {} loses the state service", index));
      node.hold = Chance() < 0.5;
      node.state_cut_until = now_ + RandomDuration(1, 15);
      break;
    case 4:
      AppendLog(fmt::format("node {} loses the workers", index));
      node.hold = Chance() < 0.5;
      node.worker_cut_until = now_ + RandomDuration(1, 15);
      break;
    case 5:
      AppendLog(fmt::format("node {} loses the network", index));
      node.hold = Chance() < 0.5;
      node.state_cut_until = now_ + RandomDuration(1, 15);
      node.worker_cut_until = node.state_cut_until;
      node.peer_cut_until = node.state_cut_until;
      break;
    case 6:
      if (!machines_.empty()) {
        std::string name = PickMachine();
        AppendLog(name + " dies");
        machines_.erase(name);
        After(Seconds(10),
              [this, name] { cloud_.SetStatus(name, "failed", now_); });
      }
      break;
    case 7:
      if (!machines_.empty()) {
        std::string name = PickMachine();
        AppendLog(name + " hangs");
        Hang(name, RandomDuration(1, 12));
      }
      break;
    default:
      AppendLog("the cloud is unavailable");
      cloud_.outage = true;
      After(RandomDuration(1, 20), [this] { cloud_.outage = false; });
      break;
  }
  if (Chance() < 0.4) InjectSecondaryFault(RandomIndex(config_.nodes));
  if (config_.fleet_faults) InjectFleetFault(RandomIndex(config_.nodes));
  if (config_.compound_faults) InjectCompoundFault(RandomIndex(config_.nodes));
  // The longest of them last 20 s.
  faults_over_at_ = now_ + Seconds(20);
  double mean = ToSeconds(config_.fault_interval);
  After(RandomDuration(0.2 * mean, 1.8 * mean), [this] { InjectFault(); });
}

void ClusterSimulation::StopState(Duration how_long) {
  AppendLog("the state service is unavailable");
  state_outage_ = true;
  After(how_long, [this] {
    state_outage_ = false;
    state_.RenewAll(now_);
    AppendLog("the state service is available again");
  });
}

void ClusterSimulation::CrashAllNodes() {
  for (size_t i = 0; i < config_.nodes; ++i) {
    CrashNode(i, RandomDuration(0.05, config_.longest_down_s));
  }
}

void ClusterSimulation::UpgradeNode(size_t index, Duration down) {
  nodes_[index]->upgraded = true;
  CrashNode(index, down);
}

void ClusterSimulation::LowerStateLimits() {
  AppendLog("the announced limits of the state service are in force");
  state_.set_limits({config_.next_txn_ops, config_.next_value_kb, 10000});
}

void ClusterSimulation::CrashAllNodes(double down_s) {
  for (size_t i = 0; i < config_.nodes; ++i) CrashNode(i, Seconds(down_s));
}

size_t ClusterSimulation::OwnerOf(uint32_t partition) const {
  auto entry = state_.entries().find("pf/parts/" + std::to_string(partition));
  if (entry == state_.entries().end()) return 0;
  const std::string& value = entry->second.value;
  msgpack::object_handle unpacked = msgpack::unpack(value.data(), value.size());
  auto record = wire::ReadRecord(entry->first, unpacked.get());
  for (size_t i = 0; i < config_.nodes; ++i) {
    if (Label(i) == std::get<PartitionRecord>(*record).label) return i;
  }
  return 0;
}

void ClusterSimulation::CutNode(size_t index, Cut cut, double seconds) {
  Node& node = *nodes_[index];
  AppendLog(fmt::format("node {} cut: state={} workers={} peers={} hold={}",
                        index, cut.state, cut.workers, cut.peers, cut.hold));
  SteadyTime until = now_ + Seconds(seconds);
  node.hold = cut.hold;
  if (cut.state) node.state_cut_until = until;
  if (cut.workers) node.worker_cut_until = until;
  if (cut.peers) node.peer_cut_until = until;
}

void ClusterSimulation::LateWrites(double share, double seconds) {
  AppendLog("writes are carried out late");
  late_writes_ = share;
  late_writes_until_ = now_ + Seconds(seconds);
}

void ClusterSimulation::LoseWriteAnswers(double share, double seconds) {
  AppendLog("answers to writes are lost");
  lost_write_answers_ = {share, now_ + Seconds(seconds)};
}

void ClusterSimulation::DelayCommands(double share, double seconds) {
  AppendLog("direct commands are delayed");
  late_commands_ = {share, now_ + Seconds(seconds)};
}

void ClusterSimulation::KeepHeartbeatsForNextOwner(double share, double seconds,
                                                   double delay_s) {
  AppendLog("copies of heartbeats are delayed until the next owner");
  kept_heartbeats_ = {share, now_ + Seconds(seconds)};
  kept_heartbeats_delay_ = Seconds(delay_s);
}

void ClusterSimulation::WatchAnswersClosely(double seconds) {
  AppendLog("users query all nodes after each change");
  watch_closely_until_ = now_ + Seconds(seconds);
}

bool ClusterSimulation::DrawFault(const FaultWindow& window) {
  return now_ < window.until && Chance() < window.share;
}

uint64_t ClusterSimulation::OwnerModRevision(uint32_t partition) const {
  auto entry = state_.entries().find(keys::Partition(partition));
  return entry == state_.entries().end() ? 0 : entry->second.mod_revision;
}

void ClusterSimulation::KeepHeartbeat(const std::string& machine,
                                      const MakeCommand& heartbeat) {
  uint32_t partition_count = config_.partition_count > 0
                                 ? config_.partition_count
                                 : static_cast<uint32_t>(config_.nodes);
  uint32_t partition = PartitionOf(machine, partition_count);
  AwaitNextOwner(machine, heartbeat, partition, OwnerModRevision(partition));
}

void ClusterSimulation::AwaitNextOwner(const std::string& machine,
                                       const MakeCommand& heartbeat,
                                       uint32_t partition,
                                       uint64_t mod_revision) {
  if (OwnerModRevision(partition) == mod_revision) {
    After(Millis(50), [this, machine, heartbeat, partition, mod_revision] {
      AwaitNextOwner(machine, heartbeat, partition, mod_revision);
    });
    return;
  }
  After(kept_heartbeats_delay_, [this, machine, heartbeat] {
    for (size_t i = 0; i < config_.nodes; ++i) {
      SendRequest(i, heartbeat, kHeartbeatTimeout, machine,
                  [](const std::optional<Reply>&) {});
    }
  });
}

void ClusterSimulation::SlowState(double seconds) {
  AppendLog("the state service is slow");
  state_slow_until_ = now_ + Seconds(seconds);
}

void ClusterSimulation::FreezeNode(size_t index, double seconds) {
  AppendLog(fmt::format("node {} is paused", index));
  nodes_[index]->frozen_until = now_ + Seconds(seconds);
}

void ClusterSimulation::SlowNode(size_t index, double seconds) {
  AppendLog(fmt::format("node {} is slow", index));
  nodes_[index]->slow_until = now_ + Seconds(seconds);
}

void ClusterSimulation::StopCloud(double seconds) {
  AppendLog("the cloud is unavailable");
  cloud_.outage = true;
  After(Seconds(seconds), [this] { cloud_.outage = false; });
}

void ClusterSimulation::CutZone(double seconds, bool hold) {
  AppendLog("zone b is cut off from everything");
  zone_cut_until_ = now_ + Seconds(seconds);
  zone_hold_ = hold;
  for (size_t i = 1; i < config_.nodes; i += 2) {
    CutNode(i, {.state = true, .peers = true, .hold = hold}, seconds);
  }
}

void ClusterSimulation::CutMachines(double share, double seconds, bool hold) {
  AppendLog("many machines are cut off");
  zone_hold_ = hold;
  for (const std::string& name : PickMachines(share)) {
    cut_until_[name] = now_ + Seconds(seconds);
  }
}

void ClusterSimulation::HangMachines(double share, double seconds) {
  AppendLog("many machines hang");
  for (const std::string& name : PickMachines(share)) {
    Hang(name, Seconds(seconds));
  }
}

void ClusterSimulation::CutInbound(double share, double seconds) {
  AppendLog("machines receive nothing");
  for (const std::string& name : PickMachines(share)) {
    inbound_cut_until_[name] = now_ + Seconds(seconds);
  }
}

void ClusterSimulation::CutOutbound(double share, double seconds) {
  AppendLog("machines reach no controller");
  for (const std::string& name : PickMachines(share)) {
    outbound_cut_until_[name] = now_ + Seconds(seconds);
  }
}

// Faults of single controllers and of their connections, and a restart of a
// machine.
void ClusterSimulation::InjectSecondaryFault(size_t index) {
  Node& node = *nodes_[index];
  switch (RandomIndex(6)) {
    case 0:
      AppendLog("controllers refuse each other's connections");
      peers_refused_until_ = now_ + RandomDuration(1, 20);
      break;
    case 1:
      AppendLog("the state service is slow");
      state_slow_until_ = now_ + RandomDuration(1, 20);
      break;
    case 2:
      AppendLog(fmt::format("node {} is slow", index));
      node.slow_until = now_ + RandomDuration(1, 20);
      break;
    case 3:
      AppendLog(
          fmt::format("node {} loses the state service and its peers", index));
      node.hold = Chance() < 0.5;
      node.state_cut_until = now_ + RandomDuration(1, 20);
      node.peer_cut_until = node.state_cut_until;
      break;
    case 4: {
      // It is back almost at once, and crashes again while it recovers.
      CrashNode(index, RandomDuration(0.02, 0.3));
      After(RandomDuration(0.3, 1.5),
            [this, index] { CrashNode(index, RandomDuration(0.02, 0.3)); });
      break;
    }
    default:
      RestartMachine();
      break;
  }
}

// Faults that affect a large part of the fleet or all controllers.
void ClusterSimulation::InjectFleetFault(size_t index) {
  switch (RandomIndex(5)) {
    case 0:
      AppendLog(fmt::format("node {} is paused", index));
      nodes_[index]->frozen_until = now_ + RandomDuration(5, 25);
      break;
    case 1:
      AppendLog("zone b is cut off from everything");
      zone_cut_until_ = now_ + RandomDuration(3, 18);
      zone_hold_ = Chance() < 0.5;
      for (size_t i = 1; i < config_.nodes; i += 2) {
        nodes_[i]->hold = zone_hold_;
        nodes_[i]->state_cut_until = zone_cut_until_;
        nodes_[i]->peer_cut_until = zone_cut_until_;
      }
      break;
    case 2:
      AppendLog("many machines are cut off");
      zone_hold_ = Chance() < 0.5;
      for (const std::string& name : PickMachines(0.4)) {
        cut_until_[name] = now_ + RandomDuration(3, 18);
      }
      break;
    case 3:
      AppendLog("many machines hang");
      for (const std::string& name : PickMachines(0.4)) {
        Hang(name, RandomDuration(3, 15));
      }
      break;
    default:
      AppendLog("all nodes restart while the state service is unavailable");
      StopState(RandomDuration(3, 12));
      CrashAllNodes();
      break;
  }
}

// The overlapping failures that the operators have listed.
void ClusterSimulation::InjectCompoundFault(size_t index) {
  switch (RandomIndex(11)) {
    case 0:
      LateWrites(0.3, ToSeconds(RandomDuration(5, 15)));
      break;
    case 7:
      LoseWriteAnswers(0.4, ToSeconds(RandomDuration(3, 15)));
      break;
    case 8:
      DelayCommands(0.6, ToSeconds(RandomDuration(5, 18)));
      break;
    case 9:
      KeepHeartbeatsForNextOwner(0.2, 18, ToSeconds(RandomDuration(0, 3)));
      break;
    case 10:
      WatchAnswersClosely(15);
      break;
    case 1:
      CutInbound(0.3, ToSeconds(RandomDuration(3, 18)));
      break;
    case 2:
      CutOutbound(0.4, ToSeconds(RandomDuration(3, 18)));
      break;
    case 3:
      CutNode(index, {.state = true, .peers = true, .hold = Chance() < 0.5},
              ToSeconds(RandomDuration(5, 18)));
      break;
    case 4:
      CancelNow(3, Chance() < 0.5 ? ToSeconds(RandomDuration(1, 5)) : 0);
      break;
    case 5:
      // The leader loses the state service just before cancellations, and then
      // everyone does.
      CutNode(OwnerOf(0), {.state = true}, 5);
      CancelNow(3, 0);
      After(Seconds(1), [this] { StopState(RandomDuration(5, 17)); });
      break;
    default:
      CancelAtEnd(0.3);
      break;
  }
}

void ClusterSimulation::CutOwnerAsJobsStart() {
  if (now_ - SteadyTime(Seconds(1000)) > config_.faults_until) return;
  auto partitions = static_cast<uint32_t>(config_.nodes);
  if (config_.partition_count > 0) partitions = config_.partition_count;
  auto partition = static_cast<uint32_t>(RandomIndex(partitions));
  CutNode(OwnerOf(partition),
          {.state = true, .peers = true, .hold = Chance() < 0.5},
          ToSeconds(RandomDuration(2, 10)));
  CancelStarting(3);
  faults_over_at_ = std::max(faults_over_at_, now_ + Seconds(20));
  After(RandomDuration(4, 10), [this] { CutOwnerAsJobsStart(); });
}

void ClusterSimulation::RestartMachinesWithoutCloud() {
  if (now_ - SteadyTime(Seconds(1000)) > config_.faults_until) return;
  StopCloud(ToSeconds(RandomDuration(8, 20)));
  RestartMachines(1 + RandomIndex(3));
  faults_over_at_ = std::max(faults_over_at_, now_ + Seconds(30));
  After(RandomDuration(10, 25), [this] { RestartMachinesWithoutCloud(); });
}

void ClusterSimulation::CutInboundForever() {
  for (const auto& [name, simulated] : machines_) {
    if (static_cast<int>(inbound_cut_.size()) >= config_.inbound_cut_machines)
      break;
    AppendLog(name + " receives nothing from now on");
    inbound_cut_.insert(name);
  }
  // Several leases later they must have been deleted.
  After(Seconds(50), [this] {
    for (const std::string& name : inbound_cut_) {
      inbound_cut_left_ += cloud_.machines().contains(name);
    }
  });
}

void ClusterSimulation::IsolateNode() {
  constexpr size_t kIsolated = 1;
  Node& node = *nodes_[kIsolated];
  AppendLog("node 1 loses the state service and its peers");
  node.state_cut_until = now_ + Seconds(30);
  node.peer_cut_until = node.state_cut_until;
  // After two failed health checks the load balancer sends no users there.
  After(Seconds(4), [this] {
    SendRequest(
        kIsolated, [](RequestId id) -> Command { return HealthCheck{id}; },
        Seconds(1), "",
        [this](const std::optional<Reply>& reply) {
          isolated_said_unhealthy_ = reply && reply->status == 503;
        });
    // Users who are still connected must be told to close the connection.
    SendRequest(
        kIsolated,
        [](RequestId id) -> Command {
          return PollJob{id, "run-000000"};
        },
        Seconds(1), "",
        [this](const std::optional<Reply>& reply) {
          bool sent_on = reply && (reply->status == 200 || reply->close);
          lost_on_isolated_ += !sent_on;
        });
  });
}

}  // namespace pitchfall::sim
