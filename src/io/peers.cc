#include "io/peers.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "wire/peer.h"

namespace pitchfall::io {
namespace {

// A connection with more unsent bytes than this counts as broken.
constexpr size_t kMaxUnsentBytes = size_t{16} * 1024;
// When one more connection comes in, the oldest is closed.
constexpr size_t kMaxIncomingConnections = 64;

}  // namespace

PeerConnections::PeerConnections(event_base* base, const Address& bind,
                                 const std::vector<Address>& peers,
                                 HeartbeatHandler on_heartbeat)
    : base_(base), on_heartbeat_(std::move(on_heartbeat)) {
  sockaddr_in sin = ToSockaddr(bind);
  listener_.reset(evconnlistener_new_bind(
      base, OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
      reinterpret_cast<sockaddr*>(&sin), sizeof(sin)));
  if (!listener_) {
    throw std::runtime_error("cannot listen on " + bind.host + ":" +
                             std::to_string(bind.port));
  }
  for (const Address& address : peers) {
    outgoing_.push_back(std::make_unique<Outgoing>());
    outgoing_.back()->address = address;
  }
}

PeerConnections::~PeerConnections() = default;

void PeerConnections::Broadcast(const PeerHeartbeat& heartbeat) {
  std::string message = wire::EncodePeerHeartbeat(heartbeat);
  for (auto& peer : outgoing_) {
    if (peer->connection &&
        (peer->broken || evbuffer_get_length(bufferevent_get_output(
                             peer->connection.get())) > kMaxUnsentBytes)) {
      peer->connection.reset();
      peer->broken = false;
    }
    if (!peer->connection) {
      sockaddr_in sin = ToSockaddr(peer->address);
      peer->connection.reset(
          bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
      bufferevent_setcb(peer->connection.get(), nullptr, nullptr,
                        OnOutgoingEvent, peer.get());
      if (bufferevent_socket_connect(peer->connection.get(),
                                     reinterpret_cast<sockaddr*>(&sin),
                                     sizeof(sin)) != 0) {
        peer->broken = true;
        continue;
      }
      // Peers send nothing on this connection, but only reading shows that they
      // have closed it.
      bufferevent_enable(peer->connection.get(), EV_READ);
    }
    bufferevent_write(peer->connection.get(), message.data(), message.size());
  }
}

void PeerConnections::OnOutgoingEvent(bufferevent*, short what, void* arg) {
  if (what & (BEV_EVENT_ERROR | BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) {
    static_cast<Outgoing*>(arg)->broken = true;
  }
}

void PeerConnections::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*,
                               int, void* arg) {
  auto* self = static_cast<PeerConnections*>(arg);
  // The peer has most likely abandoned the oldest connection.
  if (self->incoming_.size() >= kMaxIncomingConnections)
    self->incoming_.pop_front();
  self->incoming_.emplace_back();
  auto it = std::prev(self->incoming_.end());
  it->owner = self;
  it->self = it;
  it->connection.reset(
      bufferevent_socket_new(self->base_, fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(it->connection.get(), OnRead, nullptr, OnIncomingEvent,
                    &*it);
  bufferevent_enable(it->connection.get(), EV_READ);
}

void PeerConnections::OnRead(bufferevent* connection, void* arg) {
  auto* peer = static_cast<Incoming*>(arg);
  evbuffer* input = bufferevent_get_input(connection);
  while (true) {
    size_t length = evbuffer_get_length(input);
    std::string_view data(
        reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length);
    size_t size = wire::PeerHeartbeatSize(data);
    if (size == 0) {
      peer->owner->incoming_.erase(peer->self);
      return;
    }
    if (size > length) return;
    auto heartbeat = wire::DecodePeerHeartbeat(data.substr(0, size));
    evbuffer_drain(input, size);
    if (heartbeat) peer->owner->on_heartbeat_(std::move(*heartbeat));
  }
}

void PeerConnections::OnIncomingEvent(bufferevent*, short what, void* arg) {
  auto* peer = static_cast<Incoming*>(arg);
  if (what & (BEV_EVENT_ERROR | BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) {
    peer->owner->incoming_.erase(peer->self);
  }
}

}  // namespace pitchfall::io
