#include "core/autoscaler/sizing/target.h"

#include <algorithm>
#include <cmath>

namespace pitchfall::sizing {
namespace {

// Utilisations are limited to this value, because the curve has a pole at 1.
constexpr double kMaxUtilisation = 0.98;
// In seconds. A fitted delay that does not grow with the load would give a
// target without any spare machines.
constexpr double kMinSlope = 1e-3;
constexpr size_t kMinPointsToFit = 3;
// If the sum of squared deviations of U / (1 - U) is less than this, all points
// have about the same utilisation and no curve can be fitted.
constexpr double kMinLoadVariance = 1e-6;
// In machines. A target that exceeds a whole number by less than this does so
// by a rounding error and is not rounded up.
constexpr double kTargetTolerance = 1e-9;

// Returns U / (1 - U), the variable in which the delay curve is linear.
double LoadRatio(double utilisation) {
  double u = std::clamp(utilisation, 0.0, kMaxUtilisation);
  return u / (1 - u);
}

}  // namespace

double DelayCurve::At(double utilisation) const {
  return slope * LoadRatio(utilisation) + base;
}

DelayCurve FitDelay(std::span<const DelayPoint> points, DelayCurve fallback) {
  if (points.size() < kMinPointsToFit) return fallback;
  double n = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const DelayPoint& p : points) {
    mean_x += LoadRatio(p.utilisation) / n;
    mean_y += p.delay / n;
  }
  double sxx = 0;
  double sxy = 0;
  for (const DelayPoint& p : points) {
    double x = LoadRatio(p.utilisation) - mean_x;
    sxx += x * x;
    sxy += x * (p.delay - mean_y);
  }
  if (sxx < kMinLoadVariance) return fallback;
  DelayCurve curve;
  curve.slope = std::max(kMinSlope, sxy / sxx);
  curve.base = std::max(0.0, mean_y - curve.slope * mean_x);
  return curve;
}

int TargetMachineCount(const TargetInputs& inputs) {
  if (inputs.capacity <= 0) return 0;
  double delay_cost = inputs.waiting * inputs.delay_price * inputs.curve.slope *
                      inputs.capacity;
  double target = inputs.capacity +
                  std::sqrt(std::max(0.0, delay_cost / inputs.machine_cost));
  // The fitted delay meets the bound at U = (bound - b) / (a + bound - b).
  double spare = inputs.delay_bound - inputs.curve.base;
  double utilisation =
      std::max(inputs.min_utilisation,
               spare <= 0 ? 0 : spare / (inputs.curve.slope + spare));
  target = std::min(
      {target, inputs.capacity / utilisation,
       inputs.capacity + inputs.max_spare_factor * std::sqrt(inputs.capacity)});
  return static_cast<int>(std::ceil(target - kTargetTolerance));
}

}  // namespace pitchfall::sizing
