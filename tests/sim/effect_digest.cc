#include "sim/effect_digest.h"

#include <stdexcept>
#include <variant>

#include "wire/codec.h"

namespace pitchfall::sim {

EffectDigest::EffectDigest() : state_(XXH3_createState()) {
  XXH3_64bits_reset(state_.get());
}

uint64_t EffectDigest::value() const {
  return XXH3_64bits_digest(state_.get());
}

void EffectDigest::AddNumber(int64_t number) {
  XXH3_64bits_update(state_.get(), &number, sizeof(number));
}

void EffectDigest::AddText(std::string_view text) {
  AddNumber(static_cast<int64_t>(text.size()));
  XXH3_64bits_update(state_.get(), text.data(), text.size());
}

void EffectDigest::AddHttp(const wire::HttpRequest& http) {
  AddNumber(http.post ? 1 : 0);
  AddText(http.path);
  AddText(http.body);
}

void EffectDigest::Add(SteadyTime now, size_t controller,
                       const ControllerOutput& output) {
  if (const auto* effect = std::get_if<Effect>(&output)) {
    if (std::holds_alternative<LogLine>(*effect)) return;
  }
  AddNumber(now.time_since_epoch().count());
  AddNumber(static_cast<int64_t>(controller));
  AddNumber(static_cast<int64_t>(output.index()));
  if (const auto* call = std::get_if<EncodedStateCall>(&output)) {
    AddNumber(static_cast<int64_t>(call->call));
    AddNumber(call->timeout.count());
    AddHttp(call->http);
  } else if (const auto* told = std::get_if<EncodedPeerMessage>(&output)) {
    AddText(told->bytes);
  } else {
    AddEffect(std::get<Effect>(output));
  }
}

void EffectDigest::AddEffect(const Effect& effect) {
  AddNumber(static_cast<int64_t>(effect.index()));
  if (const auto* reply = std::get_if<Reply>(&effect)) {
    AddNumber(static_cast<int64_t>(reply->request));
    AddNumber(reply->status);
    AddText(wire::EncodeReplyBody(reply->body));
    AddNumber(reply->retry_after ? reply->retry_after->count() : -1);
    AddNumber(reply->close ? 1 : 0);
  } else if (const auto* cloud = std::get_if<CloudCall>(&effect)) {
    AddNumber(static_cast<int64_t>(cloud->call));
    AddNumber(cloud->timeout.count());
    AddHttp(wire::EncodeCloud(cloud->request));
  } else if (const auto* worker = std::get_if<WorkerCall>(&effect)) {
    AddNumber(static_cast<int64_t>(worker->call));
    AddText(worker->address);
    AddNumber(worker->timeout.count());
    AddHttp(wire::EncodeWorker(worker->request));
  } else {
    throw std::logic_error("state calls and peer heartbeats must be encoded");
  }
}

}  // namespace pitchfall::sim
