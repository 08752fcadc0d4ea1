// Answers to clients that several classes of this folder give.
#ifndef PITCHFALL_CORE_JOBS_CLIENT_ANSWERS_H_
#define PITCHFALL_CORE_JOBS_CLIENT_ANSWERS_H_

#include "core/base/time.h"

namespace pitchfall {

// The text of a 404.
inline constexpr char kNoSuchJob[] = "no such job";

// The Retry-After of a 503 while the state service cannot be read in time.
// Reads are tried several times a second, so that one has most likely succeeded
// by then if the cause was short.
inline constexpr Duration kRetryAfterStateUnreadable = Millis(2000);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_CLIENT_ANSWERS_H_
