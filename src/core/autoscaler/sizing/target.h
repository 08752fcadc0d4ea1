// How many machines there should be: the design's capped square-root target.
//
// Units: w and the target are machines; delays are seconds; p is money for each
// second that one waiting task is late, over one period; rent is money for one
// machine and period.
#ifndef PITCHFALL_CORE_AUTOSCALER_SIZING_TARGET_H_
#define PITCHFALL_CORE_AUTOSCALER_SIZING_TARGET_H_

#include <span>

namespace pitchfall::sizing {

// What was measured in one period.
struct DelayPoint {
  double utilisation = 0;  // of the most-loaded resource, 0 to 1
  double delay = 0;        // mean wait of the tasks that started, seconds
};

// The mean wait at a utilisation: d(U) = slope * U / (1 - U) + base.
struct DelayCurve {
  double slope = 1;  // seconds
  double base = 0;   // seconds
  // Seconds. Utilisations near 1 give the value at 0.98.
  double At(double utilisation) const;
};

// Least squares over the points, with slope and base kept from going negative.
// With fewer than three points, or all at one utilisation, `fallback`.
DelayCurve FitDelay(std::span<const DelayPoint> points, DelayCurve fallback);

// What the target depends on, in the units above.
struct TargetInputs {
  double capacity = 0;      // w
  double waiting = 0;       // N, admissible waiting tasks
  double delay_price = 0;   // p
  double rent = 1;          // c * E
  double delay_bound = 10;  // seconds
  // The cap never asks for more than w over this: delays that have other causes
  // than load make the fitted utilisation meaningless.
  double least_utilisation = 0.8;
  // Nor for more than w and this times its square root: the more machines there
  // are, the smaller the share of them that must be free for some to be.
  double max_spare = 1.1;
  DelayCurve curve;
};

// w + sqrt(N p a w / (c E)), at most w over the utilisation at which the fitted
// delay meets the bound and at most w + s sqrt(w), rounded up.
int Target(const TargetInputs& in);

}  // namespace pitchfall::sizing

#endif  // PITCHFALL_CORE_AUTOSCALER_SIZING_TARGET_H_
