// Versions of what controllers store and tell each other.
//
// A controller announces its version in its node record. What an older one
// would not understand is used only while no live controller is older.
#ifndef PITCHFALL_CORE_BASE_VERSION_H_
#define PITCHFALL_CORE_BASE_VERSION_H_

#include <cstdint>

namespace pitchfall {

// Of a record that names none.
inline constexpr uint32_t kFirstVersion = 1;
// Runs standing jobs, and reads chunk records that bind more than
// kMaxInChunkVersion1 tasks.
inline constexpr uint32_t kStandingJobsVersion = 2;
inline constexpr uint32_t kThisVersion = kStandingJobsVersion;

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_VERSION_H_
