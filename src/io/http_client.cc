#include "io/http_client.h"

#include <arpa/inet.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace pitchfall::io {

struct HttpClient::Call {
  HttpClient* client = nullptr;
  Connection* connection = nullptr;   // null while the call is queued
  evhttp_request* request = nullptr;  // null unless it is in flight
  wire::HttpRequest message;
  Handler handler;
  Event timer;
};

Address ParseAddress(const std::string& text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    throw std::invalid_argument("'" + text + "' lacks a host or a port");
  }
  size_t used = 0;
  int port = 0;
  try {
    port = std::stoi(text.substr(colon + 1), &used);
  } catch (const std::exception&) {
    used = 0;
  }
  if (used == 0 || used != text.size() - colon - 1 || port < 1 ||
      port > 65535) {
    throw std::invalid_argument("'" + text + "' has no port from 1 to 65535");
  }
  return {text.substr(0, colon), static_cast<uint16_t>(port)};
}

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in sin{};
  sin.sin_family = AF_INET;
  sin.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &sin.sin_addr) != 1) {
    throw std::runtime_error("'" + address.host + "' is not an IPv4 address");
  }
  return sin;
}

HttpClient::HttpClient(event_base* base, Address address,
                       size_t max_connections)
    : base_(base),
      address_(std::move(address)),
      max_connections_(max_connections) {}

HttpClient::~HttpClient() {
  // Frees the requests in flight without calling their handlers.
  for (auto& connection : connections_) {
    if (connection->call != nullptr) {
      evhttp_cancel_request(connection->call->request);
    }
  }
}

void HttpClient::Send(wire::HttpRequest request, Duration timeout,
                      Handler handler) {
  auto call = std::make_unique<Call>();
  call->client = this;
  call->message = std::move(request);
  call->handler = std::move(handler);
  call->timer.reset(evtimer_new(base_, OnTimeout, call.get()));
  timeval tv = ToTimeval(timeout);
  evtimer_add(call->timer.get(), &tv);
  queue_.push_back(call.get());
  calls_.push_back(std::move(call));
  Dispatch();
}

void HttpClient::Dispatch() {
  while (!queue_.empty()) {
    auto idle = std::find_if(connections_.begin(), connections_.end(),
                             [](const auto& c) { return c->call == nullptr; });
    Connection* connection = nullptr;
    if (idle != connections_.end()) {
      connection = idle->get();
    } else if (connections_.size() < max_connections_) {
      auto fresh = std::make_unique<Connection>();
      fresh->http.reset(evhttp_connection_base_new(
          base_, nullptr, address_.host.c_str(), address_.port));
      connection = fresh.get();
      connections_.push_back(std::move(fresh));
    } else {
      return;
    }
    Call* call = queue_.front();
    queue_.pop_front();
    Start(*connection, call);
  }
}

void HttpClient::Start(Connection& connection, Call* call) {
  call->connection = &connection;
  connection.call = call;
  call->request = evhttp_request_new(OnDone, call);
  evkeyvalq* headers = evhttp_request_get_output_headers(call->request);
  evhttp_add_header(headers, "Host", address_.host.c_str());
  if (call->message.post) {
    evhttp_add_header(headers, "Content-Type", "application/msgpack");
    evbuffer_add(evhttp_request_get_output_buffer(call->request),
                 call->message.body.data(), call->message.body.size());
  }
  int failed =
      evhttp_make_request(connection.http.get(), call->request,
                          call->message.post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                          call->message.path.c_str());
  // On failure libevent has freed the request. The failure is reported when the
  // timer expires, so that no handler is called before Send has returned.
  if (failed != 0) call->request = nullptr;
}

void HttpClient::OnDone(evhttp_request* request, void* arg) {
  Call* call = static_cast<Call*>(arg);
  call->request = nullptr;
  int status =
      request == nullptr ? 0 : evhttp_request_get_response_code(request);
  std::string body;
  if (status != 0) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, body.data(), body.size());
  }
  call->client->Finish(call, status, body);
}

void HttpClient::OnTimeout(evutil_socket_t, short, void* arg) {
  Call* call = static_cast<Call*>(arg);
  // Cancelling closes the connection, so that a late response is not taken for
  // the response to the next request.
  if (call->request != nullptr) evhttp_cancel_request(call->request);
  call->client->Finish(call, 0, {});
}

void HttpClient::Finish(Call* call, int status, std::string_view body) {
  if (call->connection != nullptr) call->connection->call = nullptr;
  std::erase(queue_, call);
  auto it = std::find_if(calls_.begin(), calls_.end(),
                         [&](const auto& c) { return c.get() == call; });
  std::unique_ptr<Call> owned = std::move(*it);
  calls_.erase(it);
  owned->handler(status, body);
  Dispatch();
}

}  // namespace pitchfall::io
