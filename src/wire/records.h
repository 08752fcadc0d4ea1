// Records as they lie in the state service.
#ifndef PITCHFALL_WIRE_RECORDS_H_
#define PITCHFALL_WIRE_RECORDS_H_

#include <optional>
#include <string_view>

#include "core/model/records.h"
#include "wire/pack.h"

namespace pitchfall::wire {

void PackRecord(Packer& out, const Record& record);

// The record that belongs under `key`; none if the key is of no known kind.
// Throws Malformed if the value is not what belongs there.
std::optional<Record> ReadRecord(std::string_view key,
                                 const msgpack::object& value);

}  // namespace pitchfall::wire

#endif  // PITCHFALL_WIRE_RECORDS_H_
