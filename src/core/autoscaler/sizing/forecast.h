// The forecast of requested capacity: ARIMA(2,1,1), fitted anew each period on
// a sliding window.
#ifndef PITCHFALL_CORE_AUTOSCALER_SIZING_FORECAST_H_
#define PITCHFALL_CORE_AUTOSCALER_SIZING_FORECAST_H_

#include <span>
#include <vector>

namespace pitchfall::sizing {

// d[k] = c + phi1 d[k-1] + phi2 d[k-2] + e[k] + theta e[k-1], where d are the
// differences of the series.
struct ArimaFit {
  bool usable = false;
  double constant = 0;
  double phi1 = 0;
  double phi2 = 0;
  double theta = 0;
  double last_error = 0;
};

// Observations that a fit needs at least.
inline constexpr size_t kMinObservations = 16;

// Fits by two regressions (a long autoregression for the errors, then lags and
// errors together). Not usable if the series is short, constant, or the result
// is not stationary.
ArimaFit FitArima(std::span<const double> series);

// The next `steps` values. Without a usable fit each is the last observation;
// an empty series gives zeros. Values are never below 0 nor above 1.25
// times the largest observation: a fit on few points can run away.
std::vector<double> Forecast(std::span<const double> series, size_t steps);

}  // namespace pitchfall::sizing

#endif  // PITCHFALL_CORE_AUTOSCALER_SIZING_FORECAST_H_
