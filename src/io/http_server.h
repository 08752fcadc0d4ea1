// The HTTP server that users, workers and health checks connect to.
#ifndef PITCHFALL_IO_HTTP_SERVER_H_
#define PITCHFALL_IO_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/model/messages.h"
#include "io/event.h"

namespace pitchfall::io {

// Decodes requests into commands and sends the replies to them. A request that
// cannot be decoded is answered here and does not reach the core.
class HttpServer {
 public:
  // Receives the command that a request carries. Its `request` identifies the
  // request in the later call of SendReply.
  using CommandHandler = std::function<void(Command)>;

  // Listens on `address`. Above `max_connections` open connections, requests
  // other than health checks are refused with 503. `base` must outlive the
  // server. Throws std::runtime_error if the address cannot be bound.
  HttpServer(event_base* base, const Address& address, size_t max_connections,
             CommandHandler on_command);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Sends the reply to the request that it names. Does nothing if the client
  // has closed the connection.
  void SendReply(const Reply& reply);

 private:
  static void OnRequest(evhttp_request* request, void* arg);
  static void OnClose(evhttp_connection* connection, void* arg);
  static void OnAcceptError(evconnlistener* listener, void* arg);
  // Refuses the request or passes its command on.
  void Route(evhttp_request* request);
  // Keeps the request until SendReply is called with the id returned here.
  RequestId AddPending(evhttp_request* request);
  static void WriteReply(evhttp_request* request, int status,
                         const std::string& body,
                         std::optional<Duration> retry_after, bool close);

  CommandHandler on_command_;
  EvhttpHandle server_;
  const size_t max_connections_;
  RequestId last_id_ = 0;
  // The open connections that have sent a request, each with the id of the
  // request that waits for its reply; 0: none does.
  std::unordered_map<evhttp_connection*, RequestId> connections_;
  std::unordered_map<RequestId, evhttp_request*> pending_requests_;
};

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_HTTP_SERVER_H_
