// Stored records of the live controllers and of the owners of partitions.
#ifndef PITCHFALL_CORE_MODEL_MEMBERSHIP_RECORDS_H_
#define PITCHFALL_CORE_MODEL_MEMBERSHIP_RECORDS_H_

#include <cstdint>
#include <string>

#include "core/base/version.h"

namespace pitchfall {

// A live controller process. The record's key is attached to a lease, so that
// it is deleted some time after the process ends.
struct NodeRecord {
  std::string label;        // of the controller in the deployment
  std::string incarnation;  // differs for every process of the controller
  uint32_t version = kFirstVersion;
  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

// The owner of a partition. The modification revision of the record's key is
// the partition's fencing token.
struct PartitionRecord {
  std::string label;
  std::string incarnation;
  // The label of the previous owner if it handed the partition over because
  // workers could not reach it; otherwise empty. It should not get the
  // partition back at once.
  std::string unreachable_owner;
  friend bool operator==(const PartitionRecord&,
                         const PartitionRecord&) = default;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_MEMBERSHIP_RECORDS_H_
