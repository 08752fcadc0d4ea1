// Connections between controllers, which exchange heartbeats. Only the
// serialisation of Cap'n Proto is used: its RPC would need its own event loop
// beside that of libevent.
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

// Sends heartbeats to the other controllers over one outgoing connection each,
// and receives theirs over the connections that they open.
class PeerConnections {
 public:
  // Receives each valid heartbeat of a peer.
  using HeartbeatHandler = std::function<void(PeerHeartbeat)>;

  // Listens on `bind`; `peers` are the addresses to send to. `base` must
  // outlive this object. Throws std::runtime_error if `bind` cannot be bound.
  PeerConnections(event_base* base, const Address& bind,
                  const std::vector<Address>& peers,
                  HeartbeatHandler on_heartbeat);
  ~PeerConnections();
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  // Sends the heartbeat to every peer that can be reached now. For other peers
  // it is lost: the next heartbeat replaces it.
  void Broadcast(const PeerHeartbeat& heartbeat);

 private:
  struct Outgoing {
    Address address;
    BufferEvent connection;
    bool broken = false;  // to be opened anew by the next broadcast
  };
  struct Incoming {
    PeerConnections* owner = nullptr;
    BufferEvent connection;
    std::list<Incoming>::iterator self;  // this entry in `owner->incoming_`
  };

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* arg);
  static void OnRead(bufferevent* connection, void* arg);
  static void OnIncomingEvent(bufferevent*, short what, void* arg);
  static void OnOutgoingEvent(bufferevent*, short what, void* arg);

  event_base* base_;
  HeartbeatHandler on_heartbeat_;
  Listener listener_;
  std::vector<std::unique_ptr<Outgoing>> outgoing_;
  std::list<Incoming> incoming_;  // the oldest first
};

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_PEERS_H_
