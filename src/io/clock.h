// The two clocks, read together.
#ifndef PITCHFALL_IO_CLOCK_H_
#define PITCHFALL_IO_CLOCK_H_

#include "core/base/time.h"

namespace pitchfall::io {

Now ReadClocks();

}  // namespace pitchfall::io

#endif  // PITCHFALL_IO_CLOCK_H_
