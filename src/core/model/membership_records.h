// Which controllers are alive and which of them owns a partition.
#ifndef PITCHFALL_CORE_MODEL_MEMBERSHIP_RECORDS_H_
#define PITCHFALL_CORE_MODEL_MEMBERSHIP_RECORDS_H_

#include <cstdint>
#include <string>

#include "core/base/version.h"

namespace pitchfall {

// A live controller process. Its key is attached to a lease, so that the record
// vanishes some time after the process does.
struct NodeRecord {
  std::string label;
  std::string incarnation;
  uint32_t version = kFirstVersion;
  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

// Names the owner of a partition. The modification revision of this key is the
// partition's fencing token.
struct PartitionRecord {
  std::string label;
  std::string incarnation;
  // The owner before, if it gave the partition up because its workers could not
  // reach it: it should not get it back at once.
  std::string unreachable_owner;
  friend bool operator==(const PartitionRecord&,
                         const PartitionRecord&) = default;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_MEMBERSHIP_RECORDS_H_
