// The address that users, workers and health checks use.
#ifndef PITCHFALL_IO_FRONT_H_
#define PITCHFALL_IO_FRONT_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/messages.h"
#include "io/event.h"

namespace pitchfall::io {

class Front {
 public:
  using Sink = std::function<void(Command)>;

  // Throws std::runtime_error if the address cannot be bound.
  Front(event_base* base, const Address& address, Sink sink);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  void Answer(const Reply& reply);

 private:
  struct Waiting {
    Front* front = nullptr;
    RequestId id = 0;
    evhttp_request* request = nullptr;
  };

  static void OnRequest(evhttp_request* request, void* arg);
  static void OnClose(evhttp_connection* connection, void* arg);
  void Route(evhttp_request* request);
  RequestId Hold(evhttp_request* request);
  static void Send(evhttp_request* request, int status, const std::string& body,
                   std::optional<Duration> retry_after, bool close);

  Sink sink_;
  HttpServer server_;
  RequestId last_id_ = 0;
  std::unordered_map<RequestId, std::unique_ptr<Waiting>> waiting_;
};

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_FRONT_H_
