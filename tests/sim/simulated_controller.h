// A controller of either version as the simulation drives it. What passes
// between controllers and to and from the state service is in its encoded form,
// so that each version reads what the other has written; the rest are the
// present version's types.
#ifndef PITCHFALL_TESTS_SIM_SIMULATED_CONTROLLER_H_
#define PITCHFALL_TESTS_SIM_SIMULATED_CONTROLLER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/base/time.h"
#include "core/model/messages.h"
#include "core/model/settings.h"
#include "wire/codec.h"

namespace pitchfall::sim {

// A request to the state service on its way.
struct EncodedStateCall {
  CallId call = 0;
  Duration timeout{0};
  wire::HttpRequest http;
};
// The service's answer; status 0: none.
struct EncodedStateReply {
  CallId call = 0;
  int status = 0;
  std::string body;
};
struct EncodedPeerMessage {
  std::string bytes;
};

// Commands other than StateReply and PeerHeartbeat come in their present types.
using ControllerInput =
    std::variant<Command, EncodedStateReply, EncodedPeerMessage>;
// Effects other than StateCall and SendPeerHeartbeat go out in their present
// types.
using ControllerOutput =
    std::variant<Effect, EncodedStateCall, EncodedPeerMessage>;

class SimulatedController {
 public:
  virtual ~SimulatedController() = default;
  virtual std::vector<ControllerOutput> Handle(
      Now now, const ControllerInput& input) = 0;
};

// What all controllers of a simulation share.
struct ControllerSetup {
  Deployment deployment;
  Tuning tuning;
  std::string incarnation;
};

std::unique_ptr<SimulatedController> MakeCurrentController(
    const ControllerSetup& setup);
// The version named as `production` in deploy/service.toml.
std::unique_ptr<SimulatedController> MakeProductionController(
    const ControllerSetup& setup);

// A transaction as the state service gets it. A value that the present version
// cannot read is an error.
Transaction DecodeTransaction(const std::string& body);

}  // namespace pitchfall::sim

#endif  // PITCHFALL_TESTS_SIM_SIMULATED_CONTROLLER_H_
