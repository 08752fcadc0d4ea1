#include "io/runtime.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <utility>

#include "io/clock.h"
#include "wire/codec.h"

namespace pitchfall::io {
namespace {

// The interval at which the controller runs even if no command arrives.
constexpr Duration kTickInterval = Millis(25);
constexpr size_t kStateConnections = 6;
constexpr size_t kCloudConnections = 4;
// Connections to workers may use 1 / kWorkerSocketDivisor of the sockets. Most
// of the others are for the connections that users and workers open.
constexpr size_t kWorkerSocketDivisor = 8;

// Identifies this process: 64 random bits, which no earlier process has had.
std::string NewIncarnation() {
  std::random_device random;
  return fmt::format("{:08x}{:08x}", random(), random());
}

// Returns how many connections of users and workers are allowed, at least 1, so
// that enough sockets remain for files and for the connections that this
// process opens or that its peers open to it.
size_t MaxConnections(const Deployment& deployment) {
  constexpr size_t kReservedForFiles = 32;
  size_t own = kReservedForFiles + kStateConnections + kCloudConnections +
               2 * deployment.peers.size() +
               deployment.sockets / kWorkerSocketDivisor;
  return deployment.sockets - std::min<size_t>(deployment.sockets - 1, own);
}

std::vector<Address> PeerAddresses(const Deployment& deployment) {
  std::vector<Address> addresses;
  for (const auto& peer : deployment.peers) {
    addresses.push_back(ParseAddress(peer.address));
  }
  return addresses;
}

}  // namespace

Runtime::Runtime(const Deployment& deployment, const Tuning& tuning)
    : base_(event_base_new()),
      controller_(deployment, tuning, NewIncarnation()),
      http_server_(base_.get(), ParseAddress(deployment.listen_address),
                   MaxConnections(deployment),
                   [this](Command command) { Enqueue(std::move(command)); }),
      peers_(
          base_.get(), ParseAddress(deployment.peer_bind),
          PeerAddresses(deployment),
          [this](PeerHeartbeat heartbeat) { Enqueue(std::move(heartbeat)); }),
      state_client_(base_.get(), ParseAddress(deployment.state_address),
                    kStateConnections),
      cloud_client_(base_.get(), ParseAddress(deployment.cloud_address),
                    kCloudConnections),
      max_worker_clients_(deployment.sockets / kWorkerSocketDivisor),
      batch_ready_(event_new(base_.get(), -1, 0, OnBatchReady, this)),
      tick_timer_(event_new(base_.get(), -1, EV_PERSIST, OnTickTimer, this)) {
  timeval tv = ToTimeval(kTickInterval);
  event_add(tick_timer_.get(), &tv);
  spdlog::info("event=started label={} front={} peers={}", deployment.label,
               deployment.listen_address, deployment.peers.size());
}

void Runtime::Run() { event_base_dispatch(base_.get()); }

void Runtime::Enqueue(Command command) {
  // The commands that arrive in one iteration of the event loop form one batch.
  if (pending_commands_.empty()) event_active(batch_ready_.get(), 0, 0);
  pending_commands_.push_back(std::move(command));
}

void Runtime::OnBatchReady(evutil_socket_t, short, void* arg) {
  static_cast<Runtime*>(arg)->ProcessBatch();
}

void Runtime::OnTickTimer(evutil_socket_t, short, void* arg) {
  static_cast<Runtime*>(arg)->Enqueue(Tick{});
}

void Runtime::ProcessBatch() {
  std::vector<Command> batch = std::exchange(pending_commands_, {});
  std::vector<Effect> effects = controller_.Handle(ReadClocks(), batch);
  for (const Effect& effect : effects) {
    std::visit([this](const auto& e) { Perform(e); }, effect);
  }
}

void Runtime::Perform(const StateCall& call) {
  state_client_.Send(wire::EncodeState(call.request), call.timeout,
                     [this, call](int status, std::string_view body) {
                       StateReply reply =
                           wire::DecodeState(call.request, status, body);
                       reply.call = call.call;
                       Enqueue(std::move(reply));
                     });
}

void Runtime::Perform(const CloudCall& call) {
  cloud_client_.Send(wire::EncodeCloud(call.request), call.timeout,
                     [this, call](int status, std::string_view body) {
                       CloudReply reply =
                           wire::DecodeCloud(call.request, status, body);
                       reply.call = call.call;
                       Enqueue(std::move(reply));
                     });
}

void Runtime::Perform(const WorkerCall& call) {
  auto answer = [this, id = call.call](int status, std::string_view body) {
    WorkerReply reply = wire::DecodeWorker(status, body);
    reply.call = id;
    Enqueue(std::move(reply));
  };
  if (worker_clients_.size() >= max_worker_clients_) {
    std::erase_if(worker_clients_,
                  [](const auto& entry) { return entry.second->idle(); });
  }
  // The call fails at once. The reply to the worker's next heartbeat will carry
  // the commands instead.
  if (worker_clients_.size() >= max_worker_clients_) {
    answer(0, {});
    return;
  }
  auto& client = worker_clients_[call.address];
  if (!client) {
    try {
      client = std::make_unique<HttpClient>(base_.get(),
                                            ParseAddress(call.address), 1);
    } catch (const std::invalid_argument&) {
      worker_clients_.erase(call.address);
      answer(0, {});
      return;
    }
  }
  client->Send(wire::EncodeWorker(call.request), call.timeout, answer);
}

void Runtime::Perform(const LogLine& line) {
  switch (line.level) {
    case LogLevel::kDebug:
      spdlog::debug("{}", line.text);
      break;
    case LogLevel::kInfo:
      spdlog::info("{}", line.text);
      break;
    case LogLevel::kWarning:
      spdlog::warn("{}", line.text);
      break;
    case LogLevel::kError:
      spdlog::error("{}", line.text);
      break;
  }
}

}  // namespace pitchfall::io
