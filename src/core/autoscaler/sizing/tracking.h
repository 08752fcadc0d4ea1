// Tracking of the targets by linear-quadratic model predictive control:
// computes by how many machines to change their number now, from the targets of
// the next periods.
#ifndef PITCHFALL_CORE_AUTOSCALER_SIZING_TRACKING_H_
#define PITCHFALL_CORE_AUTOSCALER_SIZING_TRACKING_H_

#include <span>

namespace pitchfall::sizing {

// Returns the first of the moves that minimise the sum of Q e^2 + R u^2 over
// the horizon, where u is the move of a period, e the number of machines after
// it minus the target, Q `error_weight` and R `move_weight`. `targets` has one
// entry per period; the first is the target after the first move. Returns 0 if
// `targets` is empty.
double FirstMove(double count, std::span<const double> targets,
                 double error_weight, double move_weight);

}  // namespace pitchfall::sizing

#endif  // PITCHFALL_CORE_AUTOSCALER_SIZING_TRACKING_H_
