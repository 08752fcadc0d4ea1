#include "cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "core/base/rendezvous_hash.h"
#include "wire/pack.h"

namespace review {
namespace {

using pitchfall::fakes::Error;
using pitchfall::fakes::ParseQuery;
using pitchfall::fakes::TaskInfo;
using pitchfall::io::HttpClient;
using pitchfall::io::ToTimeval;
using pitchfall::wire::Fields;
using pitchfall::wire::HttpRequest;
using pitchfall::wire::Malformed;
using pitchfall::wire::Message;
using pitchfall::wire::Packer;

constexpr char kType[] = "brazda";
constexpr Duration kTick = Millis(10);
constexpr Duration kReportTimeout = Millis(4000);
constexpr Duration kReportPause = Millis(500);  // the least between two reports
constexpr size_t kMaxItems = 10000;
constexpr size_t kMaxDepth = 16;

sockaddr_in LoopbackAddress(uint16_t port) {
  return pitchfall::io::ToSockaddr({"127.0.0.1", port});
}

// Returns a port that nothing listens on. Ports below those that the system
// gives to outgoing connections are used, so that none of these takes it before
// a controller does.
uint16_t FreePort() {
  static std::mt19937 random{std::random_device{}()};
  static std::set<uint16_t> given;
  for (int attempt = 0; attempt < 1000; ++attempt) {
    auto port = static_cast<uint16_t>(10000 + random() % 20000);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = LoopbackAddress(port);
    bool ok = fd >= 0 && bind(fd, reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)) == 0;
    if (fd >= 0) close(fd);
    if (ok && given.insert(port).second) return port;
  }
  throw std::runtime_error("no free port on loopback");
}

std::string Loopback(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Reads the words of `run = "..."` in the deploy file.
std::vector<std::string> ReadRunCommand() {
  std::ifstream in("deploy/service.toml");
  std::string line;
  while (std::getline(in, line)) {
    if (!line.starts_with("run")) continue;
    size_t first = line.find('"');
    size_t last = line.rfind('"');
    if (first == std::string::npos || last <= first) break;
    std::istringstream words(line.substr(first + 1, last - first - 1));
    std::vector<std::string> command;
    for (std::string word; words >> word;) command.push_back(word);
    return command;
  }
  throw std::runtime_error("deploy/service.toml has no run command");
}

Answer ReadAnswer(int status, std::string_view body) {
  Answer answer;
  answer.status = status;
  if (status != 200 && status != 201) return answer;
  try {
    Message message(body, kMaxItems, kMaxDepth);
    Fields in(message.root());
    answer.state = in.TextOr("status", "");
    answer.done = in.CountOr("done", 0);
  } catch (const Malformed&) {
    answer.status = 0;
  }
  return answer;
}

// Whether this answer of a submission or cancellation ends its repetition.
bool IsFinal(int status) {
  return status == 200 || status == 201 || status == 400 || status == 422 ||
         status == 404;
}

}  // namespace

// ---- HTTP servers ----

// A server on loopback whose answers may be delayed or withheld.
struct Cluster::Server {
  using Handler = std::function<std::optional<HttpReply>(
      std::string_view, const std::string&, const std::string&)>;

  pitchfall::io::EvhttpHandle http;
  event_base* base = nullptr;
  Handler handler;
  std::function<int()> delay_ms;
  // The open connections, each with the number of its newest request.
  std::map<evhttp_connection*, uint64_t> connections;
  uint64_t last_request = 0;

  struct Late {
    Server* server;
    evhttp_connection* connection;
    uint64_t number;
    evhttp_request* request;
    HttpReply reply;
  };

  ~Server() {
    for (auto& [connection, number] : connections) {
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
  }

  static void Reply(evhttp_request* request, const HttpReply& reply) {
    evbuffer_add(evhttp_request_get_output_buffer(request), reply.body.data(),
                 reply.body.size());
    evhttp_send_reply(request, reply.status, nullptr, nullptr);
  }

  static void OnRequest(evhttp_request* request, void* arg) {
    auto* self = static_cast<Server*>(arg);
    evhttp_connection* connection = evhttp_request_get_connection(request);
    if (self->connections.try_emplace(connection, 0).second) {
      evhttp_connection_set_closecb(
          connection,
          [](evhttp_connection* closed, void* server) {
            static_cast<Server*>(server)->connections.erase(closed);
          },
          self);
    }
    uint64_t number = ++self->last_request;
    self->connections[connection] = number;
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
    std::optional<HttpReply> reply = self->handler(
        post ? "POST" : "GET", evhttp_request_get_uri(request), body);
    if (!reply) return;  // never answered
    int delay = self->delay_ms ? self->delay_ms() : 0;
    if (delay <= 0) {
      Reply(request, *reply);
      return;
    }
    auto* late = new Late{self, connection, number, request, std::move(*reply)};
    timeval tv = ToTimeval(Millis(delay));
    event_base_once(
        self->base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* argument) {
          std::unique_ptr<Late> due(static_cast<Late*>(argument));
          auto open = due->server->connections.find(due->connection);
          if (open == due->server->connections.end()) return;
          if (open->second == due->number) Reply(due->request, due->reply);
        },
        late, &tv);
  }
};

uint16_t Cluster::Serve(int, Server::Handler handler,
                        std::function<int()> delay_ms) {
  auto server = std::make_unique<Server>();
  server->http.reset(evhttp_new(base_.get()));
  server->base = base_.get();
  server->handler = std::move(handler);
  server->delay_ms = std::move(delay_ms);
  evhttp_set_gencb(server->http.get(), Server::OnRequest, server.get());
  uint16_t port = FreePort();
  if (evhttp_bind_socket(server->http.get(), "127.0.0.1", port) != 0) {
    throw std::runtime_error("cannot listen on loopback");
  }
  servers_.push_back(std::move(server));
  return port;
}

// ---- Proxies between controllers ----

// Two joined connections of a proxy.
struct Cluster::Pipe {
  Proxy* proxy = nullptr;
  pitchfall::io::BufferEvent in;
  pitchfall::io::BufferEvent out;
  bool broken = false;
};

// Forwards the connections from one controller to another. While it is cut,
// bytes are held and delivered afterwards, in order.
struct Cluster::Proxy {
  event_base* base = nullptr;
  pitchfall::io::Listener listener;
  uint16_t port = 0;
  uint16_t target = 0;
  bool cut = false;
  std::vector<std::unique_ptr<Pipe>> pipes;

  void Open(uint16_t target_port, event_base* event_loop) {
    base = event_loop;
    target = target_port;
    port = FreePort();
    sockaddr_in address = LoopbackAddress(port);
    listener.reset(evconnlistener_new_bind(
        base, OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    if (!listener) throw std::runtime_error("cannot listen on loopback");
  }

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* arg) {
    auto* self = static_cast<Proxy*>(arg);
    std::erase_if(self->pipes, [](const auto& pipe) { return pipe->broken; });
    auto pipe = std::make_unique<Pipe>();
    pipe->proxy = self;
    pipe->in.reset(
        bufferevent_socket_new(self->base, fd, BEV_OPT_CLOSE_ON_FREE));
    pipe->out.reset(
        bufferevent_socket_new(self->base, -1, BEV_OPT_CLOSE_ON_FREE));
    sockaddr_in address = LoopbackAddress(self->target);
    bufferevent_setcb(pipe->in.get(), OnRead, nullptr, OnEvent, pipe.get());
    bufferevent_setcb(pipe->out.get(), OnRead, nullptr, OnEvent, pipe.get());
    if (bufferevent_socket_connect(pipe->out.get(),
                                   reinterpret_cast<sockaddr*>(&address),
                                   sizeof(address)) != 0) {
      return;
    }
    if (!self->cut) self->Enable(*pipe);
    self->pipes.push_back(std::move(pipe));
  }

  static void Enable(Pipe& pipe) {
    bufferevent_enable(pipe.in.get(), EV_READ);
    bufferevent_enable(pipe.out.get(), EV_READ);
  }

  static void OnRead(bufferevent* from, void* arg) {
    auto* pipe = static_cast<Pipe*>(arg);
    bufferevent* to = from == pipe->in.get() ? pipe->out.get() : pipe->in.get();
    if (to != nullptr) {
      bufferevent_write_buffer(to, bufferevent_get_input(from));
    }
  }

  static void OnEvent(bufferevent*, short what, void* arg) {
    auto* pipe = static_cast<Pipe*>(arg);
    if (!(what & (BEV_EVENT_ERROR | BEV_EVENT_EOF))) return;
    pipe->broken = true;
    pipe->in.reset();
    pipe->out.reset();
  }

  void SetCut(bool now_cut) {
    cut = now_cut;
    for (auto& pipe : pipes) {
      if (pipe->broken) continue;
      if (cut) {
        bufferevent_disable(pipe->in.get(), EV_READ);
        bufferevent_disable(pipe->out.get(), EV_READ);
      } else {
        Enable(*pipe);
      }
    }
  }
};

// ---- Users ----

// One request of a user, over a connection of its own.
struct Cluster::UserCall {
  std::unique_ptr<HttpClient> client;
  bool over = false;
};

void Cluster::Send(int controller, HttpRequest request, double timeout,
                   const std::string& what, std::function<void(Answer)> done) {
  std::erase_if(user_calls_, [](const auto& call) { return call->over; });
  auto call = std::make_unique<UserCall>();
  UserCall* raw = call.get();
  call->client = std::make_unique<HttpClient>(
      base_.get(), pitchfall::io::Address{"127.0.0.1", fronts_[controller]}, 1);
  double sent = Seconds();
  call->client->Send(
      std::move(request), pitchfall::Seconds(timeout),
      [this, raw, what, controller, sent, done = std::move(done)](
          int status, std::string_view body) {
        raw->over = true;
        Answer answer = ReadAnswer(status, body);
        answer.at = Seconds();
        Record(fmt::format("user {} at {} sent={:.3f} -> {} {}", what,
                           Label(controller), sent, status, answer.state));
        if (done) done(answer);
      });
  user_calls_.push_back(std::move(call));
}

void Cluster::Submit(int controller, const JobOrder& job,
                     std::function<void(Answer)> done) {
  jobs_[job.uid] = job;
  std::vector<std::pair<std::string, std::function<void(Packer&)>>> fields = {
      {"uid", [&](Packer& out) { out.Value(job.uid); }},
      {"lane", [&](Packer& out) { out.Value(job.lane); }},
      {"crew",
       [&](Packer& out) {
         out.Value(job.crew.empty() ? settings_.team : job.crew);
       }},
      {"shape", [&](Packer& out) { out.Value(job.shape); }},
      {"urgency", [&](Packer& out) { out.Value(job.urgency); }},
      {"legs", [&](Packer& out) { out.Value(job.legs); }},
      {"vcpus", [&](Packer& out) { out.Value(job.vcpus); }},
      {"accelerators", [](Packer& out) { out.Value(0.0); }},
      {"mem_gb", [&](Packer& out) { out.Value(job.mem_gb); }},
      {"kit", [&](Packer& out) { out.Value(job.kit); }},
      {"pull_gb", [](Packer& out) { out.Value(1.2); }},
      {"rigs", [](Packer& out) { out.Null(); }},
      {"yard", [](Packer& out) { out.Null(); }},
      {"together", [&](Packer& out) { out.Value(job.together); }},
      {"scatter", [&](Packer& out) { out.Value(job.scatter); }},
      {"loaners", [&](Packer& out) { out.Value(job.loaners); }},
      {"expected_s",
       [&](Packer& out) {
         out.Value(job.shape == "standing" ? 0.0 : job.run_s);
       }},
      {"waypoint_s", [](Packer& out) { out.Value(0.0); }},
      {"stow_s", [](Packer& out) { out.Value(0.0); }},
      {"due_s", [](Packer& out) { out.Null(); }},
  };
  std::erase_if(fields, [&](const auto& field) {
    return job.omitted.contains(field.first);
  });
  Packer out;
  out.Map(fields.size());
  for (const auto& [name, write] : fields) write(out.Key(name));
  HttpRequest request{true, "/api/jobs", out.Take()};
  Send(controller, std::move(request), 5, "submit " + job.uid, std::move(done));
}

void Cluster::Poll(int controller, const std::string& uid,
                   std::function<void(Answer)> done) {
  Send(controller, {false, "/api/jobs/" + uid, ""}, 2, "poll " + uid,
       std::move(done));
}

void Cluster::Cancel(int controller, const std::string& uid,
                     std::function<void(Answer)> done) {
  Send(controller,
       {true, "/api/jobs/" + uid + "/cancel", Packer().Map(0).Take()}, 5,
       "cancel " + uid, std::move(done));
}

Answer Cluster::SubmitNow(int controller, const JobOrder& job) {
  Answer last;
  double until = Seconds() + 60;
  while (Seconds() < until) {
    std::optional<Answer> answer;
    Submit(controller, job, [&](Answer a) { answer = a; });
    RunUntil([&] { return answer.has_value(); }, 6);
    if (answer) last = *answer;
    if (IsFinal(last.status)) return last;
    RunFor(1);
  }
  return last;
}

Answer Cluster::PollNow(int controller, const std::string& uid) {
  std::optional<Answer> answer;
  Poll(controller, uid, [&](Answer a) { answer = a; });
  RunUntil([&] { return answer.has_value(); }, 3);
  return answer.value_or(Answer{});
}

Answer Cluster::CancelNow(int controller, const std::string& uid) {
  Answer last;
  double until = Seconds() + 60;
  while (Seconds() < until) {
    std::optional<Answer> answer;
    Cancel(controller, uid, [&](Answer a) { answer = a; });
    RunUntil([&] { return answer.has_value(); }, 6);
    if (answer) last = *answer;
    if (IsFinal(last.status)) return last;
    RunFor(1);
  }
  return last;
}

// ---- Construction ----

SteadyTime Cluster::Now() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return SteadyTime(Duration(int64_t{ts.tv_sec} * 1000000 + ts.tv_nsec / 1000));
}

double Cluster::Seconds() const { return pitchfall::ToSeconds(Now() - start_); }

Cluster::Cluster(Settings settings, const std::string& folder)
    : settings_(std::move(settings)),
      folder_(folder),
      start_(Now()),
      base_(event_base_new()),
      run_(ReadRunCommand()),
      state_(pitchfall::fakes::StateService::Limits{
          settings_.txn_ops, settings_.value_kb, 10000}) {
  signal(SIGPIPE, SIG_IGN);
  record_ = std::fopen((folder_ + "/record.txt").c_str(), "w");
  if (record_ == nullptr) throw std::runtime_error("cannot write record.txt");
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  temporary_ = pattern;
  state_tokens_ = settings_.rps;
  write_tokens_ = settings_.write_rps;
  cloud_tokens_ = 2 * settings_.cloud_rps;
  refilled_ = Now();
  int count = settings_.controllers;
  state_links_.assign(count, Link::kOpen);
  cloud_links_.assign(count, Link::kOpen);
  pids_.assign(count, 0);
  for (int i = 0; i < count; ++i) {
    fronts_.push_back(FreePort());
    peer_ports_.push_back(FreePort());
    state_ports_.push_back(Serve(
        i,
        [this, i](std::string_view method, const std::string& target,
                  const std::string& body) -> std::optional<HttpReply> {
          if (state_links_[i] == Link::kHeld) return std::nullopt;
          HttpReply reply = HandleState(i, method, target, body);
          bool lost =
              target.starts_with("/txn") && lost_answers_ > 0 &&
              std::uniform_real_distribution<double>()(random_) < lost_answers_;
          if (lost) return std::nullopt;
          return reply;
        },
        [this] { return state_delay_ms; }));
    cloud_ports_.push_back(Serve(
        i,
        [this, i](std::string_view method, const std::string& target,
                  const std::string& body) -> std::optional<HttpReply> {
          if (cloud_links_[i] == Link::kHeld) return std::nullopt;
          return HandleCloud(i, method, target, body);
        },
        [] { return 50; }));
  }
  for (int from = 0; from < count; ++from) {
    for (int to = 0; to < count; ++to) {
      if (from == to) continue;
      auto proxy = std::make_unique<Proxy>();
      proxy->Open(peer_ports_[to], base_.get());
      proxies_[{from, to}] = std::move(proxy);
    }
  }
  for (int i = 0; i < count; ++i) {
    std::ofstream(temporary_ + "/" + Label(i) + ".toml") << DeploymentFile(i);
  }
  for (const std::string& zone : settings_.zones) {
    for (int i = 0; i < settings_.machines_at_start; ++i) {
      AddMachine(zone, false, Now() - pitchfall::Seconds(100), 0);
    }
  }
  BootMachines();
  snapshots_.clear();
  RecordSnapshot();
  snapshots_.front().first = Now() - pitchfall::Seconds(60);
  timer_.reset(event_new(
      base_.get(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void* arg) {
        static_cast<Cluster*>(arg)->Tick();
      },
      this));
  timeval tv = ToTimeval(kTick);
  event_add(timer_.get(), &tv);
}

Cluster::~Cluster() {
  for (size_t i = 0; i < pids_.size(); ++i) Kill(static_cast<int>(i));
  for (auto& [name, machine] : machines_) {
    machine->worker.reset();
    machine->nodes.clear();
  }
  user_calls_.clear();
  machines_.clear();
  deleted_machines_.clear();
  servers_.clear();
  proxies_.clear();
  if (record_ != nullptr) std::fclose(record_);
  std::error_code ignored;
  std::filesystem::remove_all(temporary_, ignored);
}

std::string Cluster::DeploymentFile(int index) const {
  std::string text = fmt::format(
      "label = \"{}\"\nsite = \"{}\"\nfront = \"{}\"\npeer_bind = \"{}\"\n\n",
      Label(index), settings_.zones[index % settings_.zones.size()],
      Loopback(fronts_[index]), Loopback(peer_ports_[index]));
  for (int i = 0; i < settings_.controllers; ++i) {
    if (i == index) continue;
    text += fmt::format(
        "[[known]]\nlabel = \"{}\"\nsite = \"{}\"\naddress = \"{}\"\n\n",
        Label(i), settings_.zones[i % settings_.zones.size()],
        Loopback(proxies_.at({index, i})->port));
  }
  text +=
      fmt::format("[services]\ncloud = \"{}\"\nstate = \"{}\"\n\n",
                  Loopback(cloud_ports_[index]), Loopback(state_ports_[index]));
  std::string zones;
  for (const std::string& zone : settings_.zones) {
    zones += (zones.empty() ? "\"" : ", \"") + zone + "\"";
  }
  text += fmt::format(
      "[cluster]\nsize = {}\nzones = [{}]\ntime_bound_ms = 25.0\n\n",
      settings_.controllers, zones);
  std::vector<std::string> teams = settings_.other_teams;
  teams.insert(teams.begin(), settings_.team);
  for (const std::string& team : teams) {
    text += fmt::format(
        "[[cluster.teams]]\nname = \"{}\"\ncpus = {:.1f}\ncpus_max = {:.1f}\n"
        "gpus = 0.0\ngpus_max = 0.0\n\n",
        team, settings_.team_cpus, settings_.team_cpus_max);
  }
  text += fmt::format(
      "[[cluster.objectives]]\nkind = \"finished\"\nclass = \"pridelek\"\n"
      "within_s = 70.0\nshare = 0.8\n\n"
      "[cluster.workers]\nreport_s = {:.1f}\nlease_s = {:.1f}\n"
      "cancel_s = {:.1f}\n\n",
      settings_.report_s, settings_.lease_s, settings_.cancel_s);
  text += fmt::format(
      "[cluster.state]\nrps = {:.1f}\nwrite_rps = {:.1f}\nvalue_kb = {:.1f}\n"
      "txn_ops = {}\n\n[cluster.cloud]\nrps = {:.1f}\nlist_lag_s = {:.1f}\n\n"
      "[cluster.resources]\ncpu_share = {:.3f}\nmemory_mb = {:.1f}\n"
      "sockets = 1200\n",
      settings_.rps, settings_.write_rps, settings_.value_kb, settings_.txn_ops,
      settings_.cloud_rps, settings_.list_lag_s, settings_.cpu_share,
      settings_.memory_mb);
  return text;
}

// ---- Time and record ----

void Cluster::Record(const std::string& line) {
  std::fprintf(record_, "%9.3f %s\n", Seconds(), line.c_str());
  std::fflush(record_);
}

void Cluster::RunFor(double seconds) {
  double until = Seconds() + seconds;
  while (Seconds() < until) event_base_loop(base_.get(), EVLOOP_ONCE);
}

bool Cluster::RunUntil(const std::function<bool()>& condition, double seconds) {
  double until = Seconds() + seconds;
  while (!condition()) {
    if (Seconds() >= until) return false;
    event_base_loop(base_.get(), EVLOOP_ONCE);
  }
  return true;
}

void Cluster::Broken(const std::string& what) {
  broken_.push_back(what);
  Record("BROKEN " + what);
}

// ---- Controllers ----

void Cluster::StartController(int index) {
  std::string config = temporary_ + "/" + Label(index) + ".toml";
  std::string log = temporary_ + "/" + Label(index) + ".log";
  const char* keep = std::getenv("KEEP_LOGS");
  if (keep != nullptr) log = std::string(keep) + "/" + Label(index) + ".log";
  pid_t parent = getpid();
  pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("cannot start a process");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    std::vector<char*> arguments;
    for (std::string& word : run_) arguments.push_back(word.data());
    arguments.push_back(config.data());
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  pids_[index] = pid;
  Record(fmt::format("start {}", Label(index)));
}

void Cluster::StartAll() {
  for (int i = 0; i < settings_.controllers; ++i) StartController(i);
}

void Cluster::Signal(int index, int number) {
  if (pids_[index] <= 0) return;
  Record(fmt::format("signal {} to {}", strsignal(number), Label(index)));
  kill(pids_[index], number);
}

void Cluster::Kill(int index) {
  if (pids_[index] <= 0) return;
  Record(fmt::format("kill {}", Label(index)));
  kill(pids_[index], SIGKILL);
  waitpid(pids_[index], nullptr, 0);
  pids_[index] = 0;
}

bool Cluster::Alive(int index) {
  if (pids_[index] <= 0) return false;
  int status = 0;
  if (waitpid(pids_[index], &status, WNOHANG) == 0) return true;
  Broken(fmt::format("{} ended by itself, status {}", Label(index), status));
  pids_[index] = 0;
  return false;
}

double Cluster::MemoryOf(int index) const {
  if (pids_[index] <= 0) return 0;
  std::ifstream in(fmt::format("/proc/{}/status", pids_[index]));
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmRSS:")) return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

void Cluster::EnforceMemory() {
  SteadyTime now = Now();
  if (!settings_.enforce_memory || now - memory_checked_ < Millis(100)) return;
  memory_checked_ = now;
  for (int i = 0; i < settings_.controllers; ++i) {
    auto restart = restart_at_.find(i);
    if (restart != restart_at_.end() && now >= restart->second) {
      restart_at_.erase(restart);
      StartController(i);
      continue;
    }
    double held = MemoryOf(i);
    if (held <= settings_.memory_mb) continue;
    Record(fmt::format("{} holds {:.1f} MB, more than {:.1f} MB", Label(i),
                       held, settings_.memory_mb));
    ++ends_for_memory_;
    Kill(i);
    restart_at_[i] = now + pitchfall::Seconds(settings_.restart_s);
  }
}

bool Cluster::WaitHealthy(double seconds) {
  double until = Seconds() + seconds;
  std::set<int> healthy;
  while (Seconds() < until) {
    for (int i = 0; i < settings_.controllers; ++i) {
      if (healthy.contains(i)) continue;
      Send(i, {false, "/healthz", ""}, 1, "healthz", [&healthy, i](Answer a) {
        if (a.status == 200) healthy.insert(i);
      });
    }
    RunUntil(
        [&] {
          return static_cast<int>(healthy.size()) == settings_.controllers;
        },
        1.1);
    if (static_cast<int>(healthy.size()) == settings_.controllers) return true;
  }
  return false;
}

Cluster::Owner Cluster::OwnerOf(uint32_t partition) const {
  Owner owner;
  auto entry = state_.entries().find("pf/parts/" + std::to_string(partition));
  if (entry == state_.entries().end()) return owner;
  Message message(entry->second.value, kMaxItems, kMaxDepth);
  Fields in(message.root());
  std::string label = in.Text("label");
  owner.incarnation = in.Text("life");
  owner.token = entry->second.mod_revision;
  for (int i = 0; i < settings_.controllers; ++i) {
    if (Label(i) == label) owner.controller = i;
  }
  return owner;
}

// ---- Troubles ----

void Cluster::SetStateLink(int controller, Link link) {
  state_links_[controller] = link;
  Record(fmt::format("state service {} for {}",
                     link == Link::kOpen      ? "open"
                     : link == Link::kRefused ? "refuses"
                                              : "cut off",
                     Label(controller)));
}

void Cluster::SetCloudLink(int controller, Link link) {
  cloud_links_[controller] = link;
}

void Cluster::CutPeers(int controller, bool cut) {
  for (auto& [ends, proxy] : proxies_) {
    if (ends.first == controller || ends.second == controller) {
      proxy->SetCut(cut);
    }
  }
  Record(fmt::format("{} {} the other controllers", Label(controller),
                     cut ? "cut off from" : "joined to"));
}

// ---- State service ----

std::string Cluster::StoredValue(const std::string& key) const {
  auto entry = state_.entries().find(key);
  return entry == state_.entries().end() ? "" : entry->second.value;
}

void Cluster::Store(
    const std::vector<std::pair<std::string, std::string>>& values) {
  for (size_t next = 0; next < values.size();) {
    size_t count = std::min<size_t>(settings_.txn_ops, values.size() - next);
    Packer out;
    out.Map(2).Key("if").List(0).Key("writes").List(count);
    for (size_t i = 0; i < count; ++i, ++next) {
      out.Map(2).Pair("put", values[next].first);
      out.Key("v").Raw(values[next].second);
    }
    HttpReply reply = state_.Handle("POST", "/txn", out.Take(), Now());
    if (reply.status != 200) throw std::runtime_error("cannot store history");
  }
}

HttpReply Cluster::HandleState(int controller, std::string_view method,
                               const std::string& target,
                               const std::string& body) {
  if (state_links_[controller] == Link::kRefused) return Error(503, "away");
  SteadyTime now = Now();
  double passed = pitchfall::ToSeconds(now - refilled_);
  refilled_ = now;
  state_tokens_ =
      std::min(settings_.rps, state_tokens_ + passed * settings_.rps);
  write_tokens_ = std::min(settings_.write_rps,
                           write_tokens_ + passed * settings_.write_rps);
  cloud_tokens_ = std::min(2 * settings_.cloud_rps,
                           cloud_tokens_ + passed * settings_.cloud_rps);
  if (state_tokens_ < 1) return Error(429, "too many requests");
  state_tokens_ -= 1;
  bool transaction = target.starts_with("/txn");
  if (transaction) {
    double writes = 0;
    try {
      Message message(body, 100000, 32);
      writes = Fields(message.root()).List("writes").size;
    } catch (const Malformed&) {
      return Error(400, "malformed");
    }
    if (write_tokens_ < writes) return Error(429, "too many writes");
    write_tokens_ -= writes;
  }
  HttpReply reply = state_.Handle(method, target, body, now);
  if (transaction && on_transaction) {
    on_transaction(controller, body, reply.status);
  }
  return reply;
}

// ---- Cloud ----

void Cluster::RecordSnapshot() {
  std::vector<Row> rows;
  for (const auto& [name, machine] : machines_) {
    rows.push_back({name, machine->address, machine->zone, machine->spot,
                    machine->listed_running, machine->rented});
  }
  SteadyTime now = Now();
  snapshots_.push_back({now, std::move(rows)});
  Duration lag = pitchfall::Seconds(2 * settings_.list_lag_s);
  while (snapshots_.size() > 1 && snapshots_[1].first + lag < now) {
    snapshots_.pop_front();
  }
}

HttpReply Cluster::HandleCloud(int controller, std::string_view method,
                               const std::string& target,
                               const std::string& body) {
  if (cloud_links_[controller] == Link::kRefused) return Error(503, "trouble");
  if (cloud_tokens_ < 1) return Error(429, "too many requests");
  cloud_tokens_ -= 1;
  std::string path = target.substr(0, target.find('?'));
  try {
    if (path == "/flavors") {
      Packer out;
      out.Map(1).Key("rigs").List(1);
      out.Map(10).Pair("name", std::string(kType));
      out.Pair("vcpus", settings_.machine_cpus).Pair("accelerators", 0.0);
      out.Pair("mem_gb", settings_.machine_memory_gb).Pair("local_gb", 35.0);
      out.Pair("fetch_gb_per_s", 0.25).Pair("hourly", 0.91);
      out.Pair("market_price", 0.34).Pair("startup_s", settings_.boot_s);
      out.Key("yards").Value(settings_.zones);
      return {200, out.Take()};
    }
    if (method == "POST" && path == "/rentals") return Rent(controller, body);
    if (method == "POST" && path == "/rentals/delete") {
      return Delete(controller, body);
    }
    if (method == "GET" && path == "/rentals") return List(target);
  } catch (const Malformed& problem) {
    return Error(400, problem.what());
  }
  return Error(404, "no such path");
}

HttpReply Cluster::Rent(int controller, const std::string& body) {
  Message message(body, kMaxItems, kMaxDepth);
  Fields in(message.root());
  std::string hire = in.Text("hire");
  std::string zone = in.Text("yard");
  bool spot = in.Flag("loaners");
  uint64_t count = in.Count("count", 50);
  if (!rented_.contains(hire)) {
    size_t used = 0;
    for (const auto& [name, machine] : machines_) {
      used += machine->zone == zone && machine->spot == spot;
    }
    std::vector<std::string> names;
    size_t capacity = settings_.capacity;
    if (spot && settings_.spot_capacity >= 0) {
      capacity = static_cast<size_t>(settings_.spot_capacity);
    }
    for (; names.size() < count && used < capacity; ++used) {
      std::uniform_real_distribution<double> boot(0.6, 1.5);
      names.push_back(
          AddMachine(zone, spot, Now(), settings_.boot_s * boot(random_)).name);
    }
    Record(fmt::format("cloud: {} rents {} as {}: {} machines",
                       Label(controller), count, hire, names.size()));
    if (names.empty()) return Error(503, "no capacity");
    rented_[hire] = names;
    RecordSnapshot();
  }
  Packer out;
  out.Map(1).Key("tines").Value(rented_[hire]);
  return {200, out.Take()};
}

HttpReply Cluster::Delete(int controller, const std::string& body) {
  Message message(body, kMaxItems, kMaxDepth);
  const auto& names = Fields(message.root()).List("tines");
  if (names.size > 100) return Error(400, "too many");
  for (uint32_t i = 0; i < names.size; ++i) {
    std::string name = Fields::AsText(names.ptr[i], "tines");
    auto found = machines_.find(name);
    if (found == machines_.end()) continue;
    Machine& machine = *found->second;
    Deletion deletion{Seconds(),
                      controller,
                      name,
                      machine.answered_by,
                      machine.answered_at,
                      machine.worker ? machine.worker->fencing_token() : 0,
                      {machine.on_it.begin(), machine.on_it.end()}};
    Record(fmt::format(
        "cloud: {} deletes {} (partition {}), last answered by {} at {:.3f}, "
        "token {}, tasks on it: {}",
        Label(controller), name, PartitionOfMachine(name),
        machine.answered_by < 0 ? "nobody" : Label(machine.answered_by),
        machine.answered_at, deletion.token, deletion.tasks.size()));
    deletions_.push_back(std::move(deletion));
    machine.worker.reset();
    deleted_machines_.push_back(std::move(found->second));
    machines_.erase(found);
  }
  RecordSnapshot();
  return {200, Packer().Map(0).Take()};
}

HttpReply Cluster::List(const std::string& target) {
  auto query = ParseQuery(target);
  std::string after = query.contains("from") ? query["from"] : "";
  size_t most = query.contains("most") ? std::stoul(query["most"]) : 500;
  SteadyTime then = Now() - pitchfall::Seconds(settings_.list_lag_s);
  const std::vector<Row>* seen = nullptr;
  for (const auto& [at, rows] : snapshots_) {
    if (at <= then) seen = &rows;
  }
  static const std::vector<Row> kNone;
  if (seen == nullptr) seen = &kNone;
  std::vector<const Row*> rows;
  bool more = false;
  for (const Row& row : *seen) {
    if (row.name <= after) continue;
    if (rows.size() >= most) {
      more = true;
      break;
    }
    rows.push_back(&row);
  }
  Packer out;
  out.Map(2).Key("tines").List(rows.size());
  for (const Row* row : rows) {
    out.Map(7).Pair("uid", row->name).Pair("addr", row->address);
    out.Pair("rig", std::string(kType)).Pair("yard", row->zone);
    out.Pair("loaners", row->spot);
    out.Pair("status", std::string(row->running ? "running" : "starting"));
    out.Pair("age_s", pitchfall::ToSeconds(then - row->rented));
  }
  out.Pair("has_next", more);
  return {200, out.Take()};
}

// ---- Machines ----

uint32_t Cluster::PartitionOfMachine(const std::string& name) const {
  return pitchfall::PartitionOf(name,
                                static_cast<uint32_t>(settings_.controllers));
}

Cluster::Machine& Cluster::AddMachine(const std::string& zone, bool spot,
                                      SteadyTime rented, double boot_s) {
  auto machine = std::make_unique<Machine>();
  machine->name = fmt::format("m-{:06}", ++last_machine_);
  machine->zone = zone;
  machine->spot = spot;
  machine->rented = rented;
  machine->up = Now() + pitchfall::Seconds(boot_s);
  Machine& added = *machine;
  // The worker's address for direct commands.
  uint16_t port = Serve(
      -1,
      [this, name = machine->name](
          std::string_view method, const std::string& target,
          const std::string& body) -> std::optional<HttpReply> {
        auto found = machines_.find(name);
        if (found == machines_.end() || !found->second->worker) {
          return std::nullopt;
        }
        return found->second->worker->Handle(method, target, body, Now());
      },
      nullptr);
  machine->address = Loopback(port);
  machines_[machine->name] = std::move(machine);
  return added;
}

void Cluster::RestartMachine(const std::string& name, double seconds) {
  Machine& machine = *machines_.at(name);
  Record(fmt::format("machine {} restarts", name));
  machine.worker.reset();
  machine.nodes.clear();
  machine.waiting = false;
  machine.answered_by = -1;
  machine.answered_at = -1;
  machine.up = Now() + pitchfall::Seconds(seconds);
}

void Cluster::DeliverCopy(int controller, const std::string& report) {
  Record(
      fmt::format("a late copy of a report arrives at {}", Label(controller)));
  Send(controller, {true, "/checkin", report}, 4, "(late copy of a report)",
       nullptr);
}

void Cluster::BringUp(Machine& machine) {
  Worker::Config config;
  config.name = machine.name;
  config.address = machine.address;
  config.type = kType;
  config.zone = machine.zone;
  config.spot = machine.spot;
  config.cpus = settings_.machine_cpus;
  config.memory_gb = settings_.machine_memory_gb;
  config.lease = pitchfall::Seconds(settings_.lease_s);
  auto lookup = [this](const std::string& leg) -> std::optional<TaskInfo> {
    auto job = jobs_.find(leg.substr(0, leg.rfind('/')));
    if (job == jobs_.end()) return std::nullopt;
    TaskInfo info;
    info.cpus = job->second.vcpus;
    info.memory_gb = job->second.mem_gb;
    info.image = job->second.kit;
    info.fetch = pitchfall::Seconds(job->second.fetch_s);
    info.run = pitchfall::Seconds(job->second.run_s);
    info.endless = job->second.shape == "standing";
    if (info.endless) info.run = pitchfall::Seconds(100000);
    return info;
  };
  machine.worker = std::make_unique<Worker>(
      config, lookup,
      [this, name = machine.name](const std::string& leg,
                                  Worker::TaskEvent event) {
        OnTask(name, leg, event);
      },
      Now());
  for (uint16_t front : fronts_) {
    machine.nodes.push_back(std::make_unique<HttpClient>(
        base_.get(), pitchfall::io::Address{"127.0.0.1", front}, 1));
  }
  machine.node = random_() % machine.nodes.size();
  machine.listed_running = true;
  machine.next_report = Now();
  Record(fmt::format("machine {} is up, partition {}", machine.name,
                     PartitionOfMachine(machine.name)));
  RecordSnapshot();
}

void Cluster::OnTask(const std::string& name, const std::string& leg,
                     Worker::TaskEvent event) {
  auto found = machines_.find(name);
  Machine* machine = found == machines_.end() ? nullptr : found->second.get();
  switch (event) {
    case Worker::TaskEvent::kLaunched:
      launches_.push_back({Seconds(), leg, name, launching_for_,
                           machine != nullptr && machine->worker
                               ? machine->worker->fencing_token()
                               : 0});
      Record(fmt::format("launch {} on {} by {}", leg, name,
                         launching_for_ < 0 ? "?" : Label(launching_for_)));
      return;
    case Worker::TaskEvent::kRunning: {
      Record(fmt::format("run {} on {}", leg, name));
      auto other = on_machine_.find(leg);
      if (other != on_machine_.end()) {
        Broken(fmt::format("ran_twice: {} starts on {} while it is on {}", leg,
                           name, other->second));
      }
      on_machine_[leg] = name;
      if (machine != nullptr) machine->on_it.insert(leg);
      return;
    }
    case Worker::TaskEvent::kEnded:
      Record(fmt::format("end {} on {}", leg, name));
      if (on_machine_.contains(leg) && on_machine_[leg] == name) {
        on_machine_.erase(leg);
      }
      if (machine != nullptr) machine->on_it.erase(leg);
      return;
    case Worker::TaskEvent::kCompleted:
      completed_.insert(leg);
      return;
    case Worker::TaskEvent::kLost:
      Record(fmt::format("lease of {} ran out with {}", name, leg));
      return;
  }
}

size_t Cluster::TasksRunning() const { return on_machine_.size(); }

void Cluster::Tick() {
  EnforceMemory();
  BootMachines();
  AdvanceWorkers();
  state_.Expire(Now());
}

void Cluster::BootMachines() {
  SteadyTime now = Now();
  for (auto& [name, machine] : machines_) {
    if (!machine->worker && now >= machine->up) BringUp(*machine);
  }
}

void Cluster::AdvanceWorkers() {
  SteadyTime now = Now();
  for (auto& [name, machine] : machines_) {
    if (!machine->worker) continue;
    if (machine->worker->Advance(now)) {
      machine->next_report =
          std::min(machine->next_report, machine->last_sent + kReportPause);
    }
    if (!machine->waiting && now >= machine->next_report) Report(*machine);
  }
}

void Cluster::Report(Machine& machine) {
  SteadyTime sent = Now();
  machine.waiting = true;
  machine.last_sent = sent;
  machine.sent_at = sent;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  machine.next_report =
      sent + pitchfall::Seconds(settings_.report_s * jitter(random_));
  HttpRequest request{true, "/checkin", machine.worker->MakeHeartbeat(sent)};
  machine.last_report = request.body;
  uint64_t epoch = machine.worker->agent_epoch();
  machine.nodes[machine.node]->Send(
      std::move(request), kReportTimeout,
      [this, name = machine.name, sent, epoch](int status,
                                               std::string_view body) {
        auto found = machines_.find(name);
        if (found == machines_.end() || !found->second->worker) return;
        OnReportAnswer(*found->second, sent, epoch, status, body);
      });
}

void Cluster::OnReportAnswer(Machine& machine, SteadyTime sent, uint64_t epoch,
                             int status, std::string_view body) {
  SteadyTime now = Now();
  machine.waiting = false;
  int node = static_cast<int>(machine.node);
  if (status == 200) {
    launching_for_ = node;
    bool accepted =
        machine.worker->HandleAnswer(std::string(body), sent, epoch, now);
    launching_for_ = -1;
    if (accepted) {
      if (machine.answered_by != node) {
        Record(fmt::format("worker {} is answered by {}, token {}",
                           machine.name, Label(node),
                           machine.worker->fencing_token()));
      }
      machine.answered_at = Seconds();
      machine.answered_by = node;
    }
    return;
  }
  std::string foreman;
  if (status == 421) {
    try {
      Message message(body, kMaxItems, kMaxDepth);
      foreman = Fields(message.root()).TextOr("foreman", "");
    } catch (const Malformed&) {
      foreman.clear();
    }
  }
  for (int i = 0; i < settings_.controllers; ++i) {
    if (i == node || Label(i) != foreman) continue;
    machine.node = static_cast<size_t>(i);
    machine.next_report =
        std::max(now + Millis(static_cast<int64_t>(random_() % 500)),
                 machine.last_sent + kReportPause);
    return;
  }
  machine.node = (machine.node + 1) % machine.nodes.size();
  machine.next_report = now + Millis(1000);
}

}  // namespace review
