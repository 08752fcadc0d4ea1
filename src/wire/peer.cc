#include "wire/peer.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>

#include "peer.capnp.h"

namespace pitchfall::wire {
namespace {

// The largest message that is accepted.
constexpr size_t kMaxMessageBytes = size_t{64} * 1024;
// Cap'n Proto measures messages in words of 8 bytes.
constexpr size_t kWordBytes = sizeof(capnp::word);

// Copies the data to aligned memory; an incomplete word at its end is dropped.
kj::Array<capnp::word> CopyToWords(std::string_view data) {
  auto words = kj::heapArray<capnp::word>(data.size() / kWordBytes);
  // An empty array may have a null address, which memcpy must not be given.
  if (words.size() > 0) {
    std::memcpy(words.begin(), data.data(), words.size() * kWordBytes);
  }
  return words;
}

using SlotList = capnp::List<int64_t>;

void PutSlots(SlotList::Builder list, const FreeCapacity::Slots& slots) {
  for (unsigned i = 0; i < slots.size(); ++i) list.set(i, slots[i]);
}
// Slot sizes that the list lacks keep their value; additional ones are ignored.
void GetSlots(SlotList::Reader list, FreeCapacity::Slots& slots) {
  unsigned count = std::min<unsigned>(list.size(), slots.size());
  for (unsigned i = 0; i < count; ++i) slots[i] = list[i];
}

}  // namespace

std::string EncodePeerHeartbeat(const PeerHeartbeat& heartbeat) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<schema::PeerHeartbeat>();
  root.setLabel(heartbeat.label);
  root.setIncarnation(heartbeat.incarnation);
  root.setSentMicros(heartbeat.sent.time_since_epoch().count());
  root.setStateAgeMicros(heartbeat.state_age.count());
  auto misrouted_workers = root.initMisroutedWorkers(
      static_cast<unsigned>(heartbeat.misrouted_workers.size()));
  for (unsigned i = 0; i < misrouted_workers.size(); ++i)
    misrouted_workers.set(i, heartbeat.misrouted_workers[i]);
  auto capacities = root.initFree(static_cast<unsigned>(heartbeat.free.size()));
  unsigned count = 0;
  for (const auto& [partition, free] : heartbeat.free) {
    auto capacity = capacities[count++];
    capacity.setPartition(partition);
    PutSlots(capacity.initAny(FreeCapacity::kSizes), free.any);
    PutSlots(capacity.initOrdinary(FreeCapacity::kSizes), free.ordinary);
  }
  root.setRequests(heartbeat.requests);
  root.setWrites(heartbeat.writes);
  root.setUptimeMicros(heartbeat.uptime.count());
  root.setRevision(heartbeat.revision);
  root.setSenderTimeMicros(heartbeat.sender_time.time_since_epoch().count());
  auto echoes = root.initEchoes(static_cast<unsigned>(heartbeat.echoes.size()));
  for (unsigned i = 0; i < echoes.size(); ++i) {
    echoes[i].setLabel(heartbeat.echoes[i].label);
    echoes[i].setIncarnation(heartbeat.echoes[i].incarnation);
    echoes[i].setSenderTimeMicros(
        heartbeat.echoes[i].sender_time.time_since_epoch().count());
  }
  auto cancelled =
      root.initCancelled(static_cast<unsigned>(heartbeat.cancelled.size()));
  for (unsigned i = 0; i < cancelled.size(); ++i) {
    cancelled.set(i, heartbeat.cancelled[i]);
  }
  auto tokens = root.initTokens(static_cast<unsigned>(heartbeat.tokens.size()));
  count = 0;
  for (const auto& [partition, fencing_token] : heartbeat.tokens) {
    tokens[count].setPartition(partition);
    tokens[count++].setToken(fencing_token);
  }
  auto words = capnp::messageToFlatArray(builder);  // owns the bytes
  auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

size_t PeerHeartbeatSize(std::string_view data) {
  auto words = CopyToWords(data.substr(0, kMaxMessageBytes));
  if (words.size() == 0) return kWordBytes;
  size_t size = capnp::expectedSizeInWordsFromPrefix(words) * kWordBytes;
  return size > kMaxMessageBytes ? 0 : size;
}

std::optional<PeerHeartbeat> DecodePeerHeartbeat(std::string_view message) {
  try {
    auto words = CopyToWords(message);
    capnp::ReaderOptions options;
    // Guards against messages whose pointers refer to the same data repeatedly.
    options.traversalLimitInWords = kMaxMessageBytes / kWordBytes * 4;
    capnp::FlatArrayMessageReader reader(words, options);
    auto root = reader.getRoot<schema::PeerHeartbeat>();
    PeerHeartbeat heartbeat;
    heartbeat.label = root.getLabel().cStr();
    heartbeat.incarnation = root.getIncarnation().cStr();
    heartbeat.sent = WallTime(Duration(root.getSentMicros()));
    heartbeat.state_age = Duration(root.getStateAgeMicros());
    for (uint32_t misrouted_workers : root.getMisroutedWorkers())
      heartbeat.misrouted_workers.push_back(misrouted_workers);
    for (auto capacity : root.getFree()) {
      FreeCapacity& free = heartbeat.free[capacity.getPartition()];
      GetSlots(capacity.getAny(), free.any);
      GetSlots(capacity.getOrdinary(), free.ordinary);
    }
    heartbeat.requests = root.getRequests();
    heartbeat.writes = root.getWrites();
    heartbeat.uptime = Duration(root.getUptimeMicros());
    heartbeat.revision = root.getRevision();
    heartbeat.sender_time = SteadyTime(Duration(root.getSenderTimeMicros()));
    for (auto echo : root.getEchoes()) {
      heartbeat.echoes.push_back(
          {echo.getLabel().cStr(), echo.getIncarnation().cStr(),
           SteadyTime(Duration(echo.getSenderTimeMicros()))});
    }
    for (auto id : root.getCancelled())
      heartbeat.cancelled.push_back(id.cStr());
    for (auto fencing_token : root.getTokens()) {
      heartbeat.tokens[fencing_token.getPartition()] = fencing_token.getToken();
    }
    if (!(heartbeat.requests >= 0) || !(heartbeat.writes >= 0))
      return std::nullopt;
    return heartbeat;
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace pitchfall::wire
