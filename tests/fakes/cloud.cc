#include "fakes/cloud.h"

#include <fmt/format.h>

#include "wire/pack.h"

namespace pitchfall::fakes {

using wire::Fields;
using wire::Malformed;
using wire::Message;
using wire::Packer;

namespace {
// Limits on decoded messages.
constexpr size_t kMaxItems = 10000;
constexpr size_t kMaxDepth = 16;
constexpr uint64_t kMaxCreated = 50;  // machines in one request
}  // namespace

void Cloud::RecordSnapshot(SteadyTime now) {
  history_.push_back({now, machines_});
  while (history_.size() > 1 &&
         history_[1].first + 2 * config_.list_lag < now) {
    history_.pop_front();
  }
}

void Cloud::SetStatus(const std::string& name, const std::string& status,
                      SteadyTime now) {
  auto it = machines_.find(name);
  if (it != machines_.end()) it->second.status = status;
  RecordSnapshot(now);
}

void Cloud::Remove(const std::string& name, SteadyTime now) {
  machines_.erase(name);
  RecordSnapshot(now);
}

HttpReply Cloud::Handle(std::string_view method, const std::string& target,
                        const std::string& body, SteadyTime now) {
  if (outage) return Error(503, "trouble");
  std::string path = target.substr(0, target.find('?'));
  try {
    if (method == "GET" && path == "/flavors") {
      Packer out;
      out.Map(1).Key("rigs").List(config_.types.size());
      for (const Type& type : config_.types) {
        out.Map(10).Pair("name", type.name).Pair("vcpus", type.cpus);
        out.Pair("accelerators", 0).Pair("mem_gb", type.memory_gb);
        out.Pair("local_gb", 40.0).Pair("fetch_gb_per_s", 0.5);
        out.Pair("hourly", type.price).Pair("market_price", type.spot_price);
        out.Pair("startup_s", type.boot_s).Key("yards").Value(type.zones);
      }
      return {200, out.Take()};
    }
    if (method == "POST" && path == "/rentals")
      return CreateInstances(body, now);
    if (method == "POST" && path == "/rentals/delete") return Delete(body, now);
    if (method == "GET" && path == "/rentals") return List(target, now);
  } catch (const Malformed& problem) {
    return Error(400, problem.what());
  }
  return Error(404, "no such path");
}

HttpReply Cloud::CreateInstances(const std::string& body, SteadyTime now) {
  Message message(body, kMaxItems, kMaxDepth);
  Fields in(message.root());
  std::string request = in.Text("hire");
  uint64_t count = in.Count("count", kMaxCreated);
  Machine wanted;
  wanted.type = in.Text("rig");
  wanted.zone = in.Text("yard");
  wanted.spot = in.Flag("loaners");
  wanted.created = now;
  if (!created_by_request_.contains(request)) {
    size_t used = 0;
    for (const auto& [name, machine] : machines_) {
      used += machine.type == wanted.type && machine.zone == wanted.zone &&
              machine.spot == wanted.spot && machine.status != "failed";
    }
    std::vector<std::string> names;
    for (; names.size() < count && used < config_.capacity; ++used) {
      Machine machine = wanted;
      machine.name = fmt::format("m-{:06}", last_machine_++);
      names.push_back(machine.name);
      machines_[machine.name] = machine;
      if (on_create) on_create(machine);
    }
    if (names.empty()) return Error(503, "no capacity");
    created_by_request_[request] = names;
    RecordSnapshot(now);
  }
  Packer out;
  out.Map(1).Key("tines").Value(created_by_request_[request]);
  return {200, out.Take()};
}

HttpReply Cloud::Delete(const std::string& body, SteadyTime now) {
  Message message(body, kMaxItems, kMaxDepth);
  Fields in(message.root());
  const auto& names = in.List("tines");
  if (names.size > 100) return Error(400, "too many");
  for (uint32_t i = 0; i < names.size; ++i) {
    std::string name = Fields::AsText(names.ptr[i], "tines");
    if (machines_.erase(name) > 0 && on_delete) on_delete(name);
  }
  RecordSnapshot(now);
  return {200, Packer().Map(0).Take()};
}

HttpReply Cloud::List(const std::string& target, SteadyTime now) {
  auto query = ParseQuery(target);
  std::string after = query.contains("from") ? query["from"] : "";
  size_t most = query.contains("most") ? std::stoul(query["most"]) : 500;
  // The list describes the state of `list_lag` ago.
  SteadyTime then = now - config_.list_lag;
  const std::map<std::string, Machine>* seen = nullptr;
  for (const auto& [at, machines] : history_) {
    if (at <= then) seen = &machines;
  }
  static const std::map<std::string, Machine> kNone;
  if (seen == nullptr) seen = &kNone;
  std::vector<const Machine*> rows;
  bool more = false;
  for (const auto& [name, machine] : *seen) {
    if (name <= after) continue;
    if (rows.size() >= most) {
      more = true;
      break;
    }
    rows.push_back(&machine);
  }
  Packer out;
  out.Map(2).Key("tines").List(rows.size());
  for (const Machine* machine : rows) {
    out.Map(7).Pair("uid", machine->name).Pair("addr", machine->address);
    out.Pair("rig", machine->type).Pair("yard", machine->zone);
    out.Pair("loaners", machine->spot).Pair("status", machine->status);
    out.Pair("age_s", ToSeconds(then - machine->created));
  }
  out.Pair("has_next", more);
  return {200, out.Take()};
}

}  // namespace pitchfall::fakes
