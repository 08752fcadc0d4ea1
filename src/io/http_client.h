// Requests to one host over a few kept-open connections.
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

class HttpClient {
 public:
  // Status 0: no answer, for whatever reason.
  using Handler = std::function<void(int status, std::string_view body)>;

  HttpClient(event_base* base, Address address, size_t max_connections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // The timeout covers the wait for a free connection too.
  void Send(wire::HttpRequest request, Duration timeout, Handler handler);
  bool idle() const { return calls_.empty(); }

 private:
  struct Call;
  struct Connection {
    HttpConnection http;
    Call* call = nullptr;
  };

  static void OnDone(evhttp_request* request, void* arg);
  static void OnTimeout(evutil_socket_t, short, void* arg);
  void Dispatch();
  void Start(Connection& connection, Call* call);
  void Finish(Call* call, int status, std::string_view body);

  event_base* base_;
  Address address_;
  size_t max_connections_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::deque<Call*> queue_;
  std::vector<std::unique_ptr<Call>> calls_;
};

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_HTTP_CLIENT_H_
