// Messages between controllers: Cap'n Proto in its stream framing (peer.capnp).
#ifndef PITCHFALL_WIRE_PEER_H_
#define PITCHFALL_WIRE_PEER_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/model/messages.h"

namespace pitchfall::wire {

std::string EncodePeerHeartbeat(const PeerHeartbeat& heartbeat);

// Returns the size in bytes of the message that `data` begins with. As long as
// `data` ends within the message's header, the result is a lower bound, always
// above data.size(). Returns 0 if the message is larger than allowed.
size_t PeerHeartbeatSize(std::string_view data);
// Decodes one whole message; empty if it is invalid.
std::optional<PeerHeartbeat> DecodePeerHeartbeat(std::string_view message);

}  // namespace pitchfall::wire

#endif  // PITCHFALL_WIRE_PEER_H_
