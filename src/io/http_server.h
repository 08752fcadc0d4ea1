// The address that users, workers and health checks use.
#ifndef PITCHFALL_IO_HTTP_SERVER_H_
#define PITCHFALL_IO_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/model/messages.h"
#include "io/event.h"

namespace pitchfall::io {

class HttpServer {
 public:
  using Sink = std::function<void(Command)>;

  // Throws std::runtime_error if the address cannot be bound.
  HttpServer(event_base* base, const Address& address, size_t max_connections,
             Sink sink);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void Answer(const Reply& reply);

 private:
  static void OnRequest(evhttp_request* request, void* arg);
  static void OnClose(evhttp_connection* connection, void* arg);
  static void OnAcceptError(evconnlistener* listener, void* arg);
  void Route(evhttp_request* request);
  RequestId Hold(evhttp_request* request);
  static void Send(evhttp_request* request, int status, const std::string& body,
                   std::optional<Duration> retry_after, bool close);

  Sink sink_;
  EvhttpHandle server_;
  const size_t max_connections_;
  RequestId last_id_ = 0;
  // Those that have sent a request, with the one that waits for its answer.
  std::unordered_map<evhttp_connection*, RequestId> connections_;
  std::unordered_map<RequestId, evhttp_request*> waiting_;
};

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_HTTP_SERVER_H_
