// Messages between controllers: Cap'n Proto in its stream framing.
#ifndef PITCHFALL_WIRE_PEER_H_
#define PITCHFALL_WIRE_PEER_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/model/messages.h"

namespace pitchfall::wire {

std::string EncodePeerHeartbeat(const PeerHeartbeat& heartbeat);

// How many bytes the message that starts with `data` takes, as far as can be
// told from these bytes; 0 if it breaks the bounds.
size_t PeerHeartbeatSize(std::string_view data);
std::optional<PeerHeartbeat> DecodePeerHeartbeat(std::string_view message);

}  // namespace pitchfall::wire

#endif  // PITCHFALL_WIRE_PEER_H_
