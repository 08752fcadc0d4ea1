// Reads the clocks of the operating system; the core only sees the values.
#ifndef PITCHFALL_IO_CLOCK_H_
#define PITCHFALL_IO_CLOCK_H_

#include "core/base/time.h"

namespace pitchfall::io {

// Reads the steady clock and the time of day, one right after the other.
Now ReadClocks();

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_CLOCK_H_
