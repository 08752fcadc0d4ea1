// The tracking step: how far to move the number of machines now, given the
// targets of the next periods.
#ifndef PITCHFALL_CORE_AUTOSCALER_SIZING_TRACKING_H_
#define PITCHFALL_CORE_AUTOSCALER_SIZING_TRACKING_H_

#include <span>

namespace pitchfall::sizing {

// Minimises the sum over the horizon of Q e^2 + R u^2, where e is count minus
// target after each move and u the move, and returns the first move. `targets`
// holds one entry a period, the first for the count after the first move.
double FirstMove(double count, std::span<const double> targets, double q,
                 double r);

}  // namespace pitchfall::sizing

#endif  // PITCHFALL_CORE_AUTOSCALER_SIZING_TRACKING_H_
