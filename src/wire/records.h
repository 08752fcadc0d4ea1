// The stored form of the records in the state service.
#ifndef PITCHFALL_WIRE_RECORDS_H_
#define PITCHFALL_WIRE_RECORDS_H_

#include <optional>
#include <string_view>

#include "core/model/records.h"
#include "wire/pack.h"

namespace pitchfall::wire {

// Writes the record's value; the key is not part of it.
void PackRecord(Packer& out, const Record& record);

// Whether the value of a job's key is a record that says that the job is done
// or cancelled. Reads nothing else of it.
bool IsFinalJob(const msgpack::object& value);

// Reads the value of `key` as the kind of record that this key has. Returns
// none if the key is of no known kind. Throws Malformed if the value is not a
// valid record of that kind.
std::optional<Record> ReadRecord(std::string_view key,
                                 const msgpack::object& value);

}  // namespace pitchfall::wire

#endif  // PITCHFALL_WIRE_RECORDS_H_
