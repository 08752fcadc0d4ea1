#include "wire/peer.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>

#include "peer.capnp.h"

namespace pitchfall::wire {
namespace {

constexpr size_t kMostBytes = 16 * 1024;
constexpr size_t kWord = sizeof(capnp::word);

kj::Array<capnp::word> Aligned(std::string_view data) {
  auto words = kj::heapArray<capnp::word>(data.size() / kWord);
  // Of an empty buffer the address may be null, which memcpy must not be given.
  if (words.size() > 0) {
    std::memcpy(words.begin(), data.data(), words.size() * kWord);
  }
  return words;
}

}  // namespace

std::string EncodeHello(const PeerHello& hello) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<schema::Hello>();
  root.setLabel(hello.label);
  root.setLife(hello.life);
  root.setSentMicros(hello.sent.time_since_epoch().count());
  root.setStateAgeMicros(hello.state_age.count());
  auto strays = root.initStrays(static_cast<unsigned>(hello.strays.size()));
  for (unsigned i = 0; i < strays.size(); ++i) strays.set(i, hello.strays[i]);
  auto free = root.initFreeCpus(static_cast<unsigned>(hello.free_cpus.size()));
  for (unsigned i = 0; i < free.size(); ++i) free.set(i, hello.free_cpus[i]);
  root.setRequests(hello.requests);
  root.setWrites(hello.writes);
  auto words = capnp::messageToFlatArray(builder);  // owns the bytes
  auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

size_t HelloSize(std::string_view data) {
  auto words = Aligned(data.substr(0, kMostBytes));
  if (words.size() == 0) return kWord;
  size_t size = capnp::expectedSizeInWordsFromPrefix(words) * kWord;
  return size > kMostBytes ? 0 : size;
}

std::optional<PeerHello> DecodeHello(std::string_view message) {
  try {
    auto words = Aligned(message);
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMostBytes / kWord * 4;
    capnp::FlatArrayMessageReader reader(words, options);
    auto root = reader.getRoot<schema::Hello>();
    PeerHello hello;
    hello.label = root.getLabel().cStr();
    hello.life = root.getLife().cStr();
    hello.sent = WallTime(Duration(root.getSentMicros()));
    hello.state_age = Duration(root.getStateAgeMicros());
    for (uint32_t strays : root.getStrays()) hello.strays.push_back(strays);
    for (int64_t free : root.getFreeCpus()) hello.free_cpus.push_back(free);
    hello.requests = root.getRequests();
    hello.writes = root.getWrites();
    if (!(hello.requests >= 0) || !(hello.writes >= 0)) return std::nullopt;
    return hello;
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace pitchfall::wire
