// The target number of machines: square-root staffing with two caps.
//
// Units: w (the requested capacity) and the target are in machines; delays are
// in seconds; p is in money per second that one waiting task is late, over one
// period; c E is the money that one machine costs over one period.
#ifndef PITCHFALL_CORE_AUTOSCALER_SIZING_TARGET_H_
#define PITCHFALL_CORE_AUTOSCALER_SIZING_TARGET_H_

#include <span>

namespace pitchfall::sizing {

// The measurements of one period.
struct DelayPoint {
  double utilisation = 0;  // of the resource that is used most, 0 to 1
  double delay = 0;  // mean waiting time of the tasks that started, in seconds
};

// The mean waiting time as a function of the utilisation U:
// d(U) = slope * U / (1 - U) + base, or d(U) = a * U / (1 - U) + b for short.
struct DelayCurve {
  double slope = 1;  // seconds
  double base = 0;   // seconds
  // Returns the mean waiting time in seconds. Utilisations above 0.98 give the
  // value at 0.98.
  double At(double utilisation) const;
};

// Fits the curve to the points by least squares. The slope is at least 0.001 s
// and the base at least 0. Returns `fallback` for fewer than three points or if
// all points have about the same utilisation.
DelayCurve FitDelay(std::span<const DelayPoint> points, DelayCurve fallback);

// The inputs of the target, in the units above.
struct TargetInputs {
  double capacity = 0;      // w
  double waiting = 0;       // N, number of admissible waiting tasks
  double delay_price = 0;   // p
  double machine_cost = 1;  // c * E
  double delay_bound = 10;  // seconds
  // Limits the target to w divided by this, whatever the fitted curve says:
  // delays that have other causes than load make the fit meaningless.
  double min_utilisation = 0.8;
  // Limits the target to w plus this factor (s) times sqrt(w): in a larger
  // cluster a smaller fraction of spare machines is enough for some to be free.
  double max_spare_factor = 1.1;
  DelayCurve curve;
};

// Returns w + sqrt(N p a w / (c E)), rounded up, where a is the slope of the
// curve. The result is at most w over the utilisation at which the fitted delay
// meets the bound, and at most w + s sqrt(w). Returns 0 if w is not positive.
int TargetMachineCount(const TargetInputs& inputs);

}  // namespace pitchfall::sizing

#endif  // PITCHFALL_CORE_AUTOSCALER_SIZING_TARGET_H_
