// One ownership of a partition by this process.
#ifndef PITCHFALL_CORE_PARTITION_OWNERSHIP_TERM_H_
#define PITCHFALL_CORE_PARTITION_OWNERSHIP_TERM_H_

#include <cstdint>

#include "core/base/time.h"

namespace pitchfall {

// Begins when this process finds itself named as the owner, and ends with any
// change of owner. A later term has a higher fencing token.
struct OwnershipTerm {
  uint32_t partition = 0;
  uint64_t fencing_token = 0;
  SteadyTime since{};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_OWNERSHIP_TERM_H_
