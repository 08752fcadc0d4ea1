#include "io/http_server.h"

#include <algorithm>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "wire/codec.h"

namespace pitchfall::io {
namespace {

// Limits on a request, in bytes.
constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
constexpr size_t kMaxHeaderBytes = size_t{16} * 1024;
// A connection without traffic for this long is closed.
constexpr int kIdleTimeoutSeconds = 60;
// How long no connection is accepted after accept() has failed.
constexpr Duration kAcceptPause = Millis(200);
// The Retry-After of a request refused because of too many connections.
constexpr Duration kTooManyConnectionsRetryAfter = Millis(2000);

std::string ReadBody(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  return body;
}

}  // namespace

HttpServer::HttpServer(event_base* base, const Address& address,
                       size_t max_connections, CommandHandler on_command)
    : on_command_(std::move(on_command)),
      server_(evhttp_new(base)),
      max_connections_(max_connections) {
  evhttp_set_max_body_size(server_.get(), kMaxBodyBytes);
  evhttp_set_max_headers_size(server_.get(), kMaxHeaderBytes);
  evhttp_set_timeout(server_.get(), kIdleTimeoutSeconds);
  // Allows all methods, so that the reply to a wrong one is 405; libevent
  // itself would send 501.
  evhttp_set_allowed_methods(
      server_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                         EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                         EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(server_.get(), OnRequest, this);
  // After a restart all workers may connect at the same moment, so the listen
  // backlog is as long as the limit on connections.
  sockaddr_in sin = ToSockaddr(address);
  evconnlistener* listener = evconnlistener_new_bind(
      base, nullptr, nullptr,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      static_cast<int>(max_connections), reinterpret_cast<sockaddr*>(&sin),
      sizeof(sin));
  if (listener == nullptr) {
    throw std::runtime_error("cannot listen on " + address.host + ":" +
                             std::to_string(address.port));
  }
  if (evhttp_bind_listener(server_.get(), listener) == nullptr) {
    evconnlistener_free(listener);
    throw std::runtime_error("no memory to listen on " + address.host);
  }
  evconnlistener_set_error_cb(listener, OnAcceptError);
}

HttpServer::~HttpServer() {
  // Freeing the server closes its connections, which must not call OnClose.
  for (auto& [connection, id] : connections_) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
}

// The process has run out of sockets. Accepting again at once would fail in a
// busy loop, so the listener pauses.
void HttpServer::OnAcceptError(evconnlistener* listener, void*) {
  evconnlistener_disable(listener);
  timeval pause = ToTimeval(kAcceptPause);
  event_base_once(
      evconnlistener_get_base(listener), -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* arg) {
        evconnlistener_enable(static_cast<evconnlistener*>(arg));
      },
      listener, &pause);
}

void HttpServer::OnRequest(evhttp_request* request, void* arg) {
  static_cast<HttpServer*>(arg)->Route(request);
}

void HttpServer::OnClose(evhttp_connection* connection, void* arg) {
  auto* self = static_cast<HttpServer*>(arg);
  auto found = self->connections_.find(connection);
  if (found == self->connections_.end()) return;
  self->pending_requests_.erase(found->second);
  self->connections_.erase(found);
}

RequestId HttpServer::AddPending(evhttp_request* request) {
  RequestId id = ++last_id_;
  connections_[evhttp_request_get_connection(request)] = id;
  pending_requests_.emplace(id, request);
  return id;
}

void HttpServer::Route(evhttp_request* request) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* raw_path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  std::string_view path = raw_path == nullptr ? "" : raw_path;
  evhttp_cmd_type method = evhttp_request_get_command(request);
  auto fail = [&](int status, const std::string& why) {
    WriteReply(request, status, wire::EncodeReplyBody(Problem{why}), {}, false);
  };
  auto expect = [&](evhttp_cmd_type wanted) {
    if (method == wanted) return true;
    fail(405, "wrong method");
    return false;
  };

  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (connections_.try_emplace(connection, 0).second) {
    evhttp_connection_set_closecb(connection, OnClose, this);
  }
  if (path == wire::kHealthPath) {
    if (expect(EVHTTP_REQ_GET)) on_command_(HealthCheck{AddPending(request)});
    return;
  }
  // The remaining sockets are reserved for calls to the state service, the
  // cloud, workers and the other controllers.
  if (connections_.size() > max_connections_) {
    WriteReply(request, 503,
               wire::EncodeReplyBody(Problem{"too many connections here"}),
               kTooManyConnectionsRetryAfter, true);
    return;
  }
  if (path == wire::kHeartbeatPath) {
    if (!expect(EVHTTP_REQ_POST)) return;
    auto heartbeat = wire::DecodeWorkerHeartbeat(ReadBody(request));
    if (!heartbeat.value) return fail(400, heartbeat.error);
    on_command_(ReceiveWorkerHeartbeat{AddPending(request),
                                       std::move(*heartbeat.value)});
    return;
  }
  if (path == wire::kJobsPath) {
    if (!expect(EVHTTP_REQ_POST)) return;
    auto spec = wire::DecodeSubmission(ReadBody(request));
    if (!spec.value) return fail(400, spec.error);
    on_command_(SubmitJob{AddPending(request), std::move(*spec.value)});
    return;
  }
  std::string jobs = std::string(wire::kJobsPath) + "/";
  if (path.starts_with(jobs)) {
    std::string_view id = path.substr(jobs.size());
    bool cancel = id.ends_with(wire::kCancelSuffix);
    if (cancel) id.remove_suffix(sizeof(wire::kCancelSuffix) - 1);
    if (id.find('/') != std::string_view::npos)
      return fail(404, "no such path");
    if (!expect(cancel ? EVHTTP_REQ_POST : EVHTTP_REQ_GET)) return;
    // An id of another form was never accepted, so no job has it.
    if (!wire::ValidJobId(id)) return fail(404, "no such job");
    if (cancel) {
      on_command_(CancelJob{AddPending(request), std::string(id)});
    } else {
      on_command_(PollJob{AddPending(request), std::string(id)});
    }
    return;
  }
  fail(404, "no such path");
}

void HttpServer::SendReply(const Reply& reply) {
  auto it = pending_requests_.find(reply.request);
  if (it == pending_requests_.end())
    return;  // the client has closed the connection
  evhttp_request* request = it->second;
  connections_[evhttp_request_get_connection(request)] = 0;
  pending_requests_.erase(it);
  WriteReply(request, reply.status, wire::EncodeReplyBody(reply.body),
             reply.retry_after, reply.close);
}

void HttpServer::WriteReply(evhttp_request* request, int status,
                            const std::string& body,
                            std::optional<Duration> retry_after, bool close) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", "application/msgpack");
  if (retry_after) {
    int64_t seconds =
        std::max<int64_t>(1, (retry_after->count() + 999999) / 1000000);
    evhttp_add_header(headers, "Retry-After", std::to_string(seconds).c_str());
  }
  if (close) evhttp_add_header(headers, "Connection", "close");
  evbuffer* output = evhttp_request_get_output_buffer(request);
  evbuffer_add(output, body.data(), body.size());
  evhttp_send_reply(request, status, nullptr, nullptr);
}

}  // namespace pitchfall::io
