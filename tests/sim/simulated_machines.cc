// The simulated machines: their workers, heartbeats and failures.
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "sim/simulation_parts.h"
#include "wire/codec.h"

namespace pitchfall::sim {

void ClusterSimulation::AddMachine(const fakes::Cloud::Machine& machine) {
  auto simulated = std::make_unique<SimulatedMachine>();
  fakes::Worker::Config config;
  config.name = machine.name;
  config.address = "addr-" + machine.name + ":1";
  config.type = machine.type;
  config.zone = machine.zone;
  config.spot = machine.spot;
  config.lease = deployment_.worker_lease;
  config.faulty = Chance() < config_.faulty_share;
  if (config.faulty) faulty_.insert(machine.name);
  config.ignores_stops = config_.workers_ignore_stops;
  simulated->zone = machine.zone;
  simulated->spot = machine.spot;
  auto lookup =
      [this](const std::string& task) -> std::optional<fakes::TaskInfo> {
    auto job = jobs_.find(task.substr(0, task.rfind('/')));
    if (job == jobs_.end() || !job->second->submitted) return std::nullopt;
    return job->second->info;
  };
  std::string name = machine.name;
  auto observer = [this, name](const std::string& task,
                               fakes::Worker::TaskEvent event) {
    OnTask(name, task, event);
  };
  simulated->worker =
      std::make_unique<fakes::Worker>(config, lookup, observer, now_);
  simulated->node = RandomIndex(config_.nodes);
  cloud_.SetStatus(name, "running", now_);
  machines_[name] = std::move(simulated);
  After(Duration(0), [this, name] { StepMachine(name); });
}

void ClusterSimulation::StepMachine(const std::string& name) {
  auto it = machines_.find(name);
  if (it == machines_.end()) return;
  SimulatedMachine& simulated = *it->second;
  if (simulated.worker->Advance(now_)) {
    simulated.next_heartbeat = std::min(simulated.next_heartbeat,
                                        simulated.last_heartbeat + Millis(500));
  }
  auto outbound_cut = outbound_cut_until_.find(name);
  bool reaches =
      outbound_cut == outbound_cut_until_.end() || now_ >= outbound_cut->second;
  if (!simulated.waiting && !simulated.worker->hanging &&
      now_ >= simulated.next_heartbeat && reaches) {
    Heartbeat(name);
  }
  After(Seconds(config_.machine_step_s), [this, name] { StepMachine(name); });
}

void ClusterSimulation::Heartbeat(const std::string& name) {
  SimulatedMachine& simulated = *machines_[name];
  simulated.waiting = true;
  simulated.last_heartbeat = now_;
  uint64_t number = ++simulated.heartbeat_number;
  uint64_t agent_epoch = simulated.worker->agent_epoch();
  std::string body = simulated.worker->MakeHeartbeat(now_);
  size_t target = simulated.node;
  SteadyTime sent = now_;
  auto make = [body](RequestId id) -> Command {
    return ReceiveWorkerHeartbeat{id, *wire::DecodeWorkerHeartbeat(body).value};
  };
  if (Chance() < config_.late_heartbeat) {
    // A copy that the network has delayed; its answer is discarded.
    After(RandomDuration(1, config_.late_heartbeat_s),
          [this, target, make, name] {
            SendRequest(target, make, kHeartbeatTimeout, name,
                        [](const std::optional<Reply>&) {});
          });
  }
  if (DrawFault(kept_heartbeats_)) KeepHeartbeat(name, make);
  SendRequest(
      target, make, kHeartbeatTimeout, name,
      [this, name, number, agent_epoch,
       sent](const std::optional<Reply>& given) {
        std::optional<Reply> reply = given;
        auto it = machines_.find(name);
        if (it == machines_.end() || it->second->heartbeat_number != number) {
          return;
        }
        SimulatedMachine& sender = *it->second;
        auto inbound_cut = inbound_cut_until_.find(name);
        bool hears = inbound_cut == inbound_cut_until_.end() ||
                     now_ >= inbound_cut->second;
        if (inbound_cut_.contains(name) || !hears) reply.reset();
        sender.waiting = false;
        sender.next_heartbeat =
            now_ + RandomDuration(0.75 * config_.heartbeat_s,
                                  1.25 * config_.heartbeat_s);
        if (reply && reply->status == 200) {
          std::string answer = wire::EncodeReplyBody(reply->body);
          sender.worker->HandleAnswer(answer, sent, agent_epoch, now_);
          return;
        }
        sender.next_heartbeat = now_ + Seconds(1);
        size_t next = (sender.node + 1) % config_.nodes;
        if (reply && reply->status == 421) {
          const auto* redirect = std::get_if<Redirect>(&reply->body);
          for (size_t i = 0; i < config_.nodes; ++i) {
            if (redirect != nullptr && redirect->owner == Label(i) &&
                i != sender.node) {
              next = i;
              sender.next_heartbeat = now_ + RandomDuration(0, 0.5);
            }
          }
        }
        sender.node = next;
      });
}

void ClusterSimulation::KillMachines(double share) {
  for (const std::string& name : PickMachines(share)) {
    AppendLog(name + " dies");
    machines_.erase(name);
    After(Seconds(10),
          [this, name] { cloud_.SetStatus(name, "failed", now_); });
  }
}

void ClusterSimulation::Hang(const std::string& name, Duration how_long) {
  machines_[name]->worker->hanging = true;
  After(how_long, [this, name] {
    auto found = machines_.find(name);
    if (found != machines_.end()) found->second->worker->hanging = false;
  });
}

const std::string& ClusterSimulation::PickMachine() {
  auto it = std::next(machines_.begin(),
                      static_cast<ptrdiff_t>(RandomIndex(machines_.size())));
  return it->first;
}

std::vector<std::string> ClusterSimulation::PickMachines(double share) {
  std::vector<std::string> names;
  for (const auto& [name, simulated] : machines_) {
    if (Chance() < share) names.push_back(name);
  }
  return names;
}

// A machine is back in less than a second, without its former state.
void ClusterSimulation::RestartMachine() {
  if (machines_.empty()) return;
  std::string name = PickMachine();
  auto created = cloud_.machines().find(name);
  if (created == cloud_.machines().end()) return;
  AppendLog(name + " restarts");
  machines_.erase(name);
  After(RandomDuration(0.05, 0.8), [this, name, machine = created->second] {
    if (cloud_.machines().contains(name) && !machines_.contains(name)) {
      AddMachine(machine);
    }
  });
}

void ClusterSimulation::RestartMachines(size_t count) {
  for (; count > 0; --count) RestartMachine();
}

void ClusterSimulation::EndReplicas(double share) {
  for (auto& [name, simulated] : machines_) {
    if (Chance() < share) simulated->worker->EndReplicas();
  }
}

}  // namespace pitchfall::sim
