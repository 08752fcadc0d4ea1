// The forecast of requested capacity: an ARIMA(2,1,1) model, fitted again for
// each forecast to a sliding window of recent periods.
#ifndef PITCHFALL_CORE_AUTOSCALER_SIZING_FORECAST_H_
#define PITCHFALL_CORE_AUTOSCALER_SIZING_FORECAST_H_

#include <span>
#include <vector>

namespace pitchfall::sizing {

// The fitted model d[k] = c + phi1 d[k-1] + phi2 d[k-2] + e[k] + theta e[k-1],
// where d are the first differences of the series and e the errors.
struct ArimaFit {
  bool usable = false;  // false: the other fields must not be used
  double constant = 0;
  double phi1 = 0;
  double phi2 = 0;
  double theta = 0;
  double last_error = 0;  // the residual of the last observation
};

// The smallest number of observations that a fit needs.
inline constexpr size_t kMinObservations = 16;

// Fits the model by the Hannan-Rissanen method: a long autoregression estimates
// the errors, then a second regression uses lags and errors together. The fit
// is not usable if the series is too short or constant, or if the fitted model
// is not finite, stationary and invertible.
ArimaFit FitArima(std::span<const double> series);

// Returns the next `steps` values. Without a usable fit each of them is the
// last observation; an empty series gives zeros. Forecasts of a fit are clamped
// to between 0 and 1.25 times the largest observation, because a fit on few
// points can diverge.
std::vector<double> Forecast(std::span<const double> series, size_t steps);

}  // namespace pitchfall::sizing

#endif  // PITCHFALL_CORE_AUTOSCALER_SIZING_FORECAST_H_
