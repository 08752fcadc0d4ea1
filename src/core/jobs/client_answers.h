// Constants of the replies to clients that several classes of this directory
// send.
#ifndef PITCHFALL_CORE_JOBS_CLIENT_ANSWERS_H_
#define PITCHFALL_CORE_JOBS_CLIENT_ANSWERS_H_

#include "core/base/time.h"

namespace pitchfall {

// The message of a 404 reply.
inline constexpr char kNoSuchJob[] = "no such job";

// The Retry-After of a 503 reply while the state service cannot be read in
// time. Reads are tried several times a second, so after a short failure one
// of them has most likely succeeded within this time.
inline constexpr Duration kRetryAfterStateUnreadable = Millis(2000);

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_JOBS_CLIENT_ANSWERS_H_
