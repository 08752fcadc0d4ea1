// Connects the core to the network: it collects commands in a queue, hands them
// to the controller in batches and carries out the effects that it returns.
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

// One controller with its sockets, its timer and its event loop. Everything
// runs on the thread that calls Run.
class Runtime {
 public:
  // Throws std::invalid_argument or std::runtime_error if an address is invalid
  // or cannot be bound.
  Runtime(const Deployment& deployment, const Tuning& tuning);

  // Runs the event loop; in normal operation it does not return.
  void Run();

 private:
  static void OnBatchReady(evutil_socket_t, short, void* arg);
  static void OnTickTimer(evutil_socket_t, short, void* arg);
  // Adds a command to the next batch.
  void Enqueue(Command command);
  // Lets the controller handle all queued commands and carries out the effects.
  void ProcessBatch();
  // Each overload carries out one kind of effect.
  void Perform(const Reply& reply) { http_server_.SendReply(reply); }
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
  PeerConnections peers_;
  HttpClient state_client_;
  HttpClient cloud_client_;
  const size_t max_worker_clients_;
  // By address; those that are idle are dropped to make room for others.
  std::map<std::string, std::unique_ptr<HttpClient>> worker_clients_;
  Event batch_ready_;  // active while commands are queued
  Event tick_timer_;   // queues a Tick periodically
  std::vector<Command> pending_commands_;
};

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_RUNTIME_H_
