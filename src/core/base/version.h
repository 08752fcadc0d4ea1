// Versions of the records that controllers store and of the messages that they
// exchange.
//
// A controller announces its version in its node record. A feature that older
// versions do not support is used only while every live controller supports it.
#ifndef PITCHFALL_CORE_BASE_VERSION_H_
#define PITCHFALL_CORE_BASE_VERSION_H_

#include <cstdint>

namespace pitchfall {

// The version of a controller whose node record names none.
inline constexpr uint32_t kFirstVersion = 1;
// Runs services (Shape::kService), and reads chunk records that assign more
// than kMaxBoundPerChunkVersion1 tasks to machines.
inline constexpr uint32_t kServiceJobsVersion = 2;
// The version of this program.
inline constexpr uint32_t kCurrentVersion = kServiceJobsVersion;

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_VERSION_H_
