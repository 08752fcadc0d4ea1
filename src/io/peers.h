// Connections between controllers. Cap'n Proto's own event loop would be a
// second one beside libevent's, so only its serialisation is used here.
#ifndef PITCHFALL_IO_PEERS_H_
#define PITCHFALL_IO_PEERS_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "core/model/messages.h"
#include "io/event.h"

namespace pitchfall::io {

class Peers {
 public:
  using Sink = std::function<void(PeerHeartbeat)>;

  Peers(event_base* base, const Address& bind,
        const std::vector<Address>& peers, Sink sink);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // To every peer that can be reached now; nothing is kept for the others.
  void Broadcast(const PeerHeartbeat& heartbeat);

 private:
  struct Outgoing {
    Address address;
    BufferEvent connection;
    bool broken = false;
  };
  struct Incoming {
    Peers* owner = nullptr;
    BufferEvent connection;
    std::list<Incoming>::iterator self;
  };

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* arg);
  static void OnRead(bufferevent* connection, void* arg);
  static void OnIncomingEvent(bufferevent*, short what, void* arg);
  static void OnOutgoingEvent(bufferevent*, short what, void* arg);

  event_base* base_;
  Sink sink_;
  Listener listener_;
  std::vector<std::unique_ptr<Outgoing>> outgoing_;
  std::list<Incoming> incoming_;
};

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_PEERS_H_
