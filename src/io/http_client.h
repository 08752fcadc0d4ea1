// An asynchronous HTTP client for one host.
#ifndef PITCHFALL_IO_HTTP_CLIENT_H_
#define PITCHFALL_IO_HTTP_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"
#include "io/event.h"
#include "wire/codec.h"

namespace pitchfall::io {

// Sends requests to one host over a limited number of persistent connections.
// A connection carries one request at a time; requests beyond the limit wait in
// a queue. Failed requests are not retried.
class HttpClient {
 public:
  // Called once for each request, always after Send has returned. `status` is
  // the HTTP status, or 0 if no response came: the timeout passed or the
  // connection failed. `body` is valid only during the call.
  using Handler = std::function<void(int status, std::string_view body)>;

  // `base` must outlive the client. Connections are opened as they are needed.
  HttpClient(event_base* base, Address address, size_t max_connections);
  // Cancels all requests without calling their handlers.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends the request as soon as a connection is free. The timeout includes the
  // wait for that connection.
  void Send(wire::HttpRequest request, Duration timeout, Handler handler);
  // Whether no request is queued or in flight.
  bool idle() const { return calls_.empty(); }

 private:
  // A request from Send until its handler is called.
  struct Call;
  struct Connection {
    HttpConnection http;
    Call* call = nullptr;  // in flight; null: the connection is free
  };

  static void OnDone(evhttp_request* request, void* arg);
  static void OnTimeout(evutil_socket_t, short, void* arg);
  // Starts queued calls while there are free connections.
  void Dispatch();
  void Start(Connection& connection, Call* call);
  // Removes the call, calls its handler and starts the next one in the queue.
  void Finish(Call* call, int status, std::string_view body);

  event_base* base_;
  Address address_;
  size_t max_connections_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::deque<Call*> queue_;  // calls that wait for a free connection
  std::vector<std::unique_ptr<Call>> calls_;  // queued or in flight
};

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_HTTP_CLIENT_H_
