// The identity of one ownership of a partition by this process.
#ifndef PITCHFALL_CORE_PARTITION_OWNERSHIP_TERM_H_
#define PITCHFALL_CORE_PARTITION_OWNERSHIP_TERM_H_

#include <cstdint>

#include "core/base/time.h"

namespace pitchfall {

// A term begins when this process finds itself named as the partition's owner,
// and ends with any change of owner. A later term has a higher fencing token.
struct OwnershipTerm {
  uint32_t partition = 0;
  uint64_t fencing_token = 0;
  SteadyTime since{};  // when this process found itself named as the owner
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_OWNERSHIP_TERM_H_
