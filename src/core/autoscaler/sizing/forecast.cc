#include "core/autoscaler/sizing/forecast.h"

#include <Eigen/Dense>
#include <algorithm>
#include <cmath>

namespace pitchfall::sizing {
namespace {

// Lags of the long autoregression that estimates the errors.
constexpr int kLongAutoregressionLags = 3;
// A series is constant if its range is at most this fraction of its largest
// value (or of 1, if that is larger).
constexpr double kConstantTolerance = 1e-9;
// A forecast is at most this many times the largest observation.
constexpr double kMaxGrowth = 1.25;

std::vector<double> Differences(std::span<const double> series) {
  std::vector<double> d;
  for (size_t i = 1; i < series.size(); ++i) {
    d.push_back(series[i] - series[i - 1]);
  }
  return d;
}

// Returns the residuals of an autoregression with kLongAutoregressionLags lags;
// 0 for the first kLongAutoregressionLags entries.
std::vector<double> LongAutoregressionResiduals(const std::vector<double>& d) {
  const int n = static_cast<int>(d.size());
  Eigen::MatrixXd x(n - kLongAutoregressionLags, kLongAutoregressionLags + 1);
  Eigen::VectorXd y(n - kLongAutoregressionLags);
  for (int k = kLongAutoregressionLags; k < n; ++k) {
    x(k - kLongAutoregressionLags, 0) = 1;
    for (int lag = 1; lag <= kLongAutoregressionLags; ++lag) {
      x(k - kLongAutoregressionLags, lag) = d[static_cast<size_t>(k - lag)];
    }
    y(k - kLongAutoregressionLags) = d[static_cast<size_t>(k)];
  }
  Eigen::VectorXd fitted = x * x.colPivHouseholderQr().solve(y);
  std::vector<double> errors(d.size(), 0.0);
  for (int k = kLongAutoregressionLags; k < n; ++k) {
    errors[static_cast<size_t>(k)] =
        y(k - kLongAutoregressionLags) - fitted(k - kLongAutoregressionLags);
  }
  return errors;
}

}  // namespace

ArimaFit FitArima(std::span<const double> series) {
  ArimaFit fit;
  if (series.size() < kMinObservations) return fit;
  auto [least, most] = std::minmax_element(series.begin(), series.end());
  if (*most - *least <= kConstantTolerance * std::max(1.0, std::abs(*most)))
    return fit;

  std::vector<double> d = Differences(series);
  std::vector<double> errors = LongAutoregressionResiduals(d);
  const int first = kLongAutoregressionLags + 1;
  const int n = static_cast<int>(d.size());
  Eigen::MatrixXd x(n - first, 4);
  Eigen::VectorXd y(n - first);
  for (int k = first; k < n; ++k) {
    auto at = static_cast<size_t>(k);
    x.row(k - first) << 1, d[at - 1], d[at - 2], errors[at - 1];
    y(k - first) = d[at];
  }
  Eigen::VectorXd beta = x.colPivHouseholderQr().solve(y);
  fit.constant = beta(0);
  fit.phi1 = beta(1);
  fit.phi2 = beta(2);
  fit.theta = beta(3);
  fit.last_error = y(n - first - 1) - x.row(n - first - 1).dot(beta);
  bool stationary = std::abs(fit.phi2) < 1 && fit.phi1 + fit.phi2 < 1 &&
                    fit.phi2 - fit.phi1 < 1;
  fit.usable = beta.allFinite() && stationary && std::abs(fit.theta) < 1;
  return fit;
}

std::vector<double> Forecast(std::span<const double> series, size_t steps) {
  if (series.empty()) return std::vector<double>(steps, 0.0);
  std::vector<double> values(steps, series.back());
  ArimaFit fit = FitArima(series);
  if (!fit.usable) return values;
  const double ceiling =
      kMaxGrowth * *std::max_element(series.begin(), series.end());
  size_t n = series.size();
  double value = series[n - 1];
  double d1 = series[n - 1] - series[n - 2];
  double d2 = series[n - 2] - series[n - 3];
  double error = fit.last_error;
  for (double& next : values) {
    double d = fit.constant + fit.phi1 * d1 + fit.phi2 * d2 + fit.theta * error;
    error = 0;  // The expected value of future errors is 0.
    d2 = d1;
    d1 = d;
    value += d;
    next = std::clamp(value, 0.0, ceiling);
  }
  return values;
}

}  // namespace pitchfall::sizing
