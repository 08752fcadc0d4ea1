// Ties the core to the outside: one queue of commands, worked off in batches by
// the one owner of all state, and the effects carried out.
#ifndef PITCHFALL_IO_RUNTIME_H_
#define PITCHFALL_IO_RUNTIME_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/controller.h"
#include "io/event.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/peers.h"

namespace pitchfall::io {

class Runtime {
 public:
  Runtime(const Deployment& deployment, const Tuning& tuning);

  void Run();

 private:
  static void OnDrain(evutil_socket_t, short, void* arg);
  static void OnTick(evutil_socket_t, short, void* arg);
  void Push(Command command);
  void Drain();
  void Perform(const Reply& reply) { http_server_.Answer(reply); }
  void Perform(const StateCall& call);
  void Perform(const CloudCall& call);
  void Perform(const WorkerCall& call);
  void Perform(const SendPeerHeartbeat& send) {
    peers_.Broadcast(send.heartbeat);
  }
  void Perform(const LogLine& line);

  EventBase base_;
  Controller controller_;
  HttpServer http_server_;
  Peers peers_;
  HttpClient state_;
  HttpClient cloud_;
  const size_t max_worker_clients_;
  std::map<std::string, std::unique_ptr<HttpClient>> workers_;
  Event drain_;
  Event tick_;
  std::vector<Command> queue_;
};

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_RUNTIME_H_
