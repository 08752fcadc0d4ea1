// Messages between controllers: Cap'n Proto in its stream framing.
#ifndef PITCHFALL_WIRE_PEER_H_
#define PITCHFALL_WIRE_PEER_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/messages.h"

namespace pitchfall::wire {

std::string EncodeHello(const PeerHello& hello);

// How many bytes the message that starts with `data` takes, as far as can be
// told from these bytes; 0 if it breaks the bounds.
size_t HelloSize(std::string_view data);
std::optional<PeerHello> DecodeHello(std::string_view message);

}  // namespace pitchfall::wire

#endif  // PITCHFALL_WIRE_PEER_H_
