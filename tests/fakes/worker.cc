#include "fakes/worker.h"

#include <utility>

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

bool Occupies(const std::string& state) {
  return state == "running" || state == "flushing";
}
}  // namespace

Worker::Worker(Config config, Lookup lookup, Observer observer, SteadyTime now)
    : config_(std::move(config)),
      lookup_(std::move(lookup)),
      observer_(std::move(observer)),
      lease_from_(now) {}

Worker::~Worker() {
  for (auto& [key, task] : tasks_) {
    if (Occupies(task.state)) observer_(key.first, TaskEvent::kEnded);
  }
}

void Worker::Exit(Task& task, const Key& key, const std::string& cause) {
  if (Occupies(task.state)) observer_(key.first, TaskEvent::kEnded);
  task.state = "exited";
  task.cause = cause;
  changed_ = true;
}

void Worker::EndAgentEpoch(SteadyTime now) {
  for (auto& [key, task] : tasks_) {
    if (!Occupies(task.state)) continue;
    observer_(key.first, TaskEvent::kLost);
    observer_(key.first, TaskEvent::kEnded);
  }
  tasks_.clear();
  ++agent_epoch_;
  lease_from_ = now;
  changed_ = true;
}

bool Worker::Advance(SteadyTime now) {
  // The tasks of a hanging machine end with its lease too, as they would have
  // to when the machine resumes.
  if (now - lease_from_ > config_.lease) EndAgentEpoch(now);
  if (hanging) return false;
  for (auto& [key, task] : tasks_) {
    if (task.state == "exited" || now < task.next) continue;
    if (task.state == "pulling") {
      images_[task.info.image] = true;
      if (config_.faulty || task.info.broken) {
        Exit(task, key, "error");
      } else if (finished_.contains(key.first)) {
        Exit(task, key, "done");
      } else {
        task.state = "running";
        task.next = now + task.info.run;
        observer_(key.first, TaskEvent::kRunning);
        changed_ = true;
      }
    } else if (task.state == "running") {
      finished_[key.first] = true;
      observer_(key.first, TaskEvent::kCompleted);
      Exit(task, key, "done");
    } else {
      task.saved = true;
      Exit(task, key, "halted");
    }
  }
  return std::exchange(changed_, false);
}

void Worker::EndReplicas() {
  for (auto& [key, task] : tasks_) {
    if (task.info.endless && task.state == "running") Exit(task, key, "done");
  }
}

std::string Worker::MakeHeartbeat(SteadyTime) {
  ++seq_;
  Packer out;
  out.Map(10).Pair("tine", config_.name).Pair("addr", config_.address);
  out.Pair("rig", config_.type).Pair("yard", config_.zone);
  out.Pair("loaners", config_.spot).Pair("shift", agent_epoch_);
  out.Pair("tally", seq_).Pair("baton", fencing_token_).Key("recall_s");
  if (preemption_notice) {
    out.Value(ToSeconds(*preemption_notice));
  } else {
    out.Null();
  }
  out.Key("legs").List(tasks_.size());
  for (const auto& [key, task] : tasks_) {
    bool exited = task.state == "exited";
    out.Map(exited ? 5 : 3).Pair("leg", key.first).Pair("try", key.second);
    out.Pair("status", task.state);
    if (exited) out.Pair("cause", task.cause).Pair("saved", task.saved);
  }
  return out.Take();
}

bool Worker::HandleAnswer(const std::string& body, SteadyTime sent,
                          uint64_t agent_epoch, SteadyTime now) {
  if (hanging || agent_epoch != agent_epoch_) return false;
  try {
    Message message(body, kMaxItems, kMaxDepth);
    uint64_t fencing_token = Fields(message.root()).CountOr("baton", 0);
    if (fencing_token < fencing_token_ || fencing_token == 0) return false;
    if (fencing_token > fencing_token_) changed_ = true;
    fencing_token_ = std::max(fencing_token_, fencing_token);
  } catch (const Malformed&) {
    return false;
  }
  lease_from_ = std::max(lease_from_, sent);
  Execute(body, now);
  return true;
}

HttpReply Worker::Handle(std::string_view method, const std::string& path,
                         const std::string& body, SteadyTime now) {
  if (method == "GET" && path == "/inspect") return {200, MakeHeartbeat(now)};
  if (method != "POST" || path != "/commands")
    return Error(404, "no such path");
  try {
    Message message(body, kMaxItems, kMaxDepth);
    Fields in(message.root());
    uint64_t fencing_token = in.Count("baton");
    bool current = in.Count("shift") == agent_epoch_;
    if (fencing_token < fencing_token_ || !current)
      return {409, MakeHeartbeat(now)};
    if (fencing_token > fencing_token_) changed_ = true;
    fencing_token_ = fencing_token;
  } catch (const Malformed& problem) {
    return Error(400, problem.what());
  }
  Execute(body, now);
  return {200, MakeHeartbeat(now)};
}

void Worker::Execute(const std::string& body_commands, SteadyTime now) {
  Message message(body_commands, kMaxItems, kMaxDepth);
  const auto& commands = Fields(message.root()).List("orders");
  for (uint32_t i = 0; i < commands.size; ++i) {
    Fields command(commands.ptr[i]);
    Key key{command.Text("leg"), command.Count("try")};
    std::string verb = command.Text("verb");
    if (verb == "launch") {
      Start(key, now);
    } else if (verb == "kill") {
      Stop(key, Seconds(command.AmountOr("wind_down_s", 1e9, 0)), now);
    } else if (verb == "forget") {
      auto it = tasks_.find(key);
      if (it != tasks_.end() && it->second.state == "exited") tasks_.erase(it);
    }
  }
}

void Worker::Start(const Key& key, SteadyTime now) {
  if (tasks_.contains(key)) return;
  Task task;
  std::optional<TaskInfo> info = lookup_(key.first);
  changed_ = true;
  task.state = "exited";
  if (!info) {
    task.cause = "no_such";
    tasks_[key] = task;
    return;
  }
  task.info = *info;
  double cpus = info->cpus;
  double memory = info->memory_gb;
  bool busy = false;
  for (const auto& [other, running] : tasks_) {
    if (running.state == "exited") continue;
    cpus += running.info.cpus;
    memory += running.info.memory_gb;
    busy |= other.first == key.first;
  }
  if (busy || cpus > config_.cpus + 1e-9 || memory > config_.memory_gb + 1e-9) {
    task.cause = busy ? "busy" : "no_room";
    tasks_[key] = task;
    return;
  }
  observer_(key.first, TaskEvent::kLaunched);
  task.state = "pulling";
  task.next = now + (images_.contains(info->image) ? Duration(0) : info->fetch);
  tasks_[key] = task;
}

void Worker::Stop(const Key& key, Duration grace, SteadyTime now) {
  auto it = tasks_.find(key);
  if (it == tasks_.end() || it->second.state == "exited") return;
  if (config_.ignores_stops) return;
  Task& task = it->second;
  if (task.state == "running" && task.info.saves && grace >= task.info.save) {
    task.state = "flushing";
    task.next = now + task.info.save;
    changed_ = true;
    return;
  }
  if (task.state == "flushing" && grace > Duration(0)) return;
  Exit(task, key, "halted");
}

}  // namespace pitchfall::fakes
