#include "wire/peer.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>

#include "peer.capnp.h"

namespace pitchfall::wire {
namespace {

constexpr size_t kMostBytes = size_t{64} * 1024;
constexpr size_t kWord = sizeof(capnp::word);

kj::Array<capnp::word> Aligned(std::string_view data) {
  auto words = kj::heapArray<capnp::word>(data.size() / kWord);
  // Of an empty buffer the address may be null, which memcpy must not be given.
  if (words.size() > 0) {
    std::memcpy(words.begin(), data.data(), words.size() * kWord);
  }
  return words;
}

using SlotList = capnp::List<int64_t>;

void PutSlots(SlotList::Builder list, const FreeRoom::Slots& slots) {
  for (unsigned i = 0; i < slots.size(); ++i) list.set(i, slots[i]);
}
void GetSlots(SlotList::Reader list, FreeRoom::Slots& slots) {
  unsigned count = std::min<unsigned>(list.size(), slots.size());
  for (unsigned i = 0; i < count; ++i) slots[i] = list[i];
}

}  // namespace

std::string EncodeHello(const PeerHello& hello) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<schema::Hello>();
  root.setLabel(hello.label);
  root.setIncarnation(hello.incarnation);
  root.setSentMicros(hello.sent.time_since_epoch().count());
  root.setStateAgeMicros(hello.state_age.count());
  auto strays = root.initStrays(static_cast<unsigned>(hello.strays.size()));
  for (unsigned i = 0; i < strays.size(); ++i) strays.set(i, hello.strays[i]);
  auto rooms = root.initFree(static_cast<unsigned>(hello.free.size()));
  unsigned count = 0;
  for (const auto& [partition, free] : hello.free) {
    auto room = rooms[count++];
    room.setPartition(partition);
    PutSlots(room.initAny(FreeRoom::kSizes), free.any);
    PutSlots(room.initOrdinary(FreeRoom::kSizes), free.ordinary);
  }
  root.setRequests(hello.requests);
  root.setWrites(hello.writes);
  root.setUptimeMicros(hello.uptime.count());
  root.setRevision(hello.revision);
  root.setMarkMicros(hello.mark.time_since_epoch().count());
  auto echoes = root.initEchoes(static_cast<unsigned>(hello.echoes.size()));
  for (unsigned i = 0; i < echoes.size(); ++i) {
    echoes[i].setLabel(hello.echoes[i].label);
    echoes[i].setIncarnation(hello.echoes[i].incarnation);
    echoes[i].setMarkMicros(hello.echoes[i].mark.time_since_epoch().count());
  }
  auto cancelled =
      root.initCancelled(static_cast<unsigned>(hello.cancelled.size()));
  for (unsigned i = 0; i < cancelled.size(); ++i) {
    cancelled.set(i, hello.cancelled[i]);
  }
  auto tokens = root.initTokens(static_cast<unsigned>(hello.tokens.size()));
  count = 0;
  for (const auto& [partition, fencing_token] : hello.tokens) {
    tokens[count].setPartition(partition);
    tokens[count++].setToken(fencing_token);
  }
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
    hello.incarnation = root.getIncarnation().cStr();
    hello.sent = WallTime(Duration(root.getSentMicros()));
    hello.state_age = Duration(root.getStateAgeMicros());
    for (uint32_t strays : root.getStrays()) hello.strays.push_back(strays);
    for (auto room : root.getFree()) {
      FreeRoom& free = hello.free[room.getPartition()];
      GetSlots(room.getAny(), free.any);
      GetSlots(room.getOrdinary(), free.ordinary);
    }
    hello.requests = root.getRequests();
    hello.writes = root.getWrites();
    hello.uptime = Duration(root.getUptimeMicros());
    hello.revision = root.getRevision();
    hello.mark = SteadyTime(Duration(root.getMarkMicros()));
    for (auto echo : root.getEchoes()) {
      hello.echoes.push_back({echo.getLabel().cStr(),
                              echo.getIncarnation().cStr(),
                              SteadyTime(Duration(echo.getMarkMicros()))});
    }
    for (auto id : root.getCancelled()) hello.cancelled.push_back(id.cStr());
    for (auto fencing_token : root.getTokens()) {
      hello.tokens[fencing_token.getPartition()] = fencing_token.getToken();
    }
    if (!(hello.requests >= 0) || !(hello.writes >= 0)) return std::nullopt;
    return hello;
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace pitchfall::wire
