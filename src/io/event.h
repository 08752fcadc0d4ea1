// Owning pointers to libevent's objects, and addresses in the form that its
// functions take.
#ifndef PITCHFALL_IO_EVENT_H_
#define PITCHFALL_IO_EVENT_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/time.h>

#include <memory>

#include "core/base/time.h"

namespace pitchfall::io {

// Frees an object with the libevent function given as template argument.
template <auto free>
struct Deleter {
  template <typename T>
  void operator()(T* pointer) const {
    free(pointer);
  }
};

using EventBase = std::unique_ptr<event_base, Deleter<event_base_free>>;
using Event = std::unique_ptr<event, Deleter<event_free>>;
using Buffer = std::unique_ptr<evbuffer, Deleter<evbuffer_free>>;
using BufferEvent = std::unique_ptr<bufferevent, Deleter<bufferevent_free>>;
using Listener = std::unique_ptr<evconnlistener, Deleter<evconnlistener_free>>;
using EvhttpHandle = std::unique_ptr<evhttp, Deleter<evhttp_free>>;
using HttpConnection =
    std::unique_ptr<evhttp_connection, Deleter<evhttp_connection_free>>;

inline timeval ToTimeval(Duration d) {
  return {static_cast<time_t>(d.count() / 1000000),
          static_cast<suseconds_t>(d.count() % 1000000)};
}

// A host, usually an IPv4 address in dotted form, and a TCP port.
struct Address {
  std::string host;
  uint16_t port = 0;
};

// Parses an address such as "10.0.0.1:8080"; whether the host is an IPv4
// address is not checked. Throws std::invalid_argument if the host is empty or
// the port is not a number from 1 to 65535.
Address ParseAddress(const std::string& text);
// Converts an address for the socket functions. Throws std::runtime_error
// unless the host is an IPv4 address.
sockaddr_in ToSockaddr(const Address& address);

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_EVENT_H_
