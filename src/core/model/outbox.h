// Collects the effects of a batch of commands, and passes the replies to
// outgoing calls to the callers' handlers.
#ifndef PITCHFALL_CORE_MODEL_OUTBOX_H_
#define PITCHFALL_CORE_MODEL_OUTBOX_H_

#include <fmt/format.h>

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/model/http_status.h"
#include "core/model/messages.h"

namespace pitchfall {

// Not thread-safe. Every outgoing call gets an identifier that is unique in
// this outbox.
class Outbox {
 public:
  using StateHandler = std::function<void(const StateReply&)>;
  using CloudHandler = std::function<void(const CloudReply&)>;
  using WorkerHandler = std::function<void(const WorkerReply&)>;

  // The times of the current batch of commands.
  void set_now(Now now) { now_ = now; }
  const Now& now() const { return now_; }

  // Adds the reply to an incoming request.
  void Answer(RequestId request, int status, ReplyBody body = {},
              std::optional<Duration> retry_after = {}) {
    effects_.push_back(Reply{request, status, std::move(body), retry_after});
  }
  // Answers with status 503 and the time after which the client should retry.
  void Refuse(RequestId request, Duration retry_after) {
    Answer(request, http_status::kServiceUnavailable,
           Problem{"try again later"}, retry_after);
  }

  // Add an outgoing call. The handler is called once, when Handle receives the
  // reply; a call without an answer gets a reply with status 0.
  void CallState(StateRequest request, Duration timeout, StateHandler handler) {
    CallId call = ++last_call_;
    state_handlers_.emplace(call, std::move(handler));
    effects_.push_back(StateCall{call, std::move(request), timeout});
  }
  void CallCloud(CloudRequest request, Duration timeout, CloudHandler handler) {
    CallId call = ++last_call_;
    cloud_handlers_.emplace(call, std::move(handler));
    effects_.push_back(CloudCall{call, std::move(request), timeout});
  }
  void CallWorker(std::string address, WorkerRequest request, Duration timeout,
                  WorkerHandler handler) {
    CallId call = ++last_call_;
    worker_handlers_.emplace(call, std::move(handler));
    effects_.push_back(
        WorkerCall{call, std::move(address), std::move(request), timeout});
  }
  // Adds a heartbeat to all other controllers.
  void Send(PeerHeartbeat heartbeat) {
    effects_.push_back(SendPeerHeartbeat{std::move(heartbeat)});
  }

  // Adds a log line, formatted with the fmt library.
  template <typename... Args>
  void Log(LogLevel level, fmt::format_string<Args...> text, Args&&... args) {
    effects_.push_back(
        LogLine{level, fmt::format(text, std::forward<Args>(args)...)});
  }

  // Pass a reply to the handler of its call. Replies to unknown calls are
  // ignored.
  void Handle(const StateReply& reply) { CallHandler(state_handlers_, reply); }
  void Handle(const CloudReply& reply) { CallHandler(cloud_handlers_, reply); }
  void Handle(const WorkerReply& reply) {
    CallHandler(worker_handlers_, reply);
  }

  // Returns the effects added since the last call, in the order of their
  // addition.
  std::vector<Effect> TakeEffects() { return std::exchange(effects_, {}); }

 private:
  // The handler is removed before it is called, because it may make new calls.
  template <typename Map, typename Message>
  static void CallHandler(Map& handlers, const Message& reply) {
    auto node = handlers.extract(reply.call);
    if (!node.empty()) node.mapped()(reply);
  }

  Now now_;
  CallId last_call_ = 0;
  std::vector<Effect> effects_;
  std::unordered_map<CallId, StateHandler> state_handlers_;
  std::unordered_map<CallId, CloudHandler> cloud_handlers_;
  std::unordered_map<CallId, WorkerHandler> worker_handlers_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_OUTBOX_H_
