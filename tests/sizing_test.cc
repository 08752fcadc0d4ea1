// The sizing functions against values worked by hand and plain references.
#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <vector>

#include "core/autoscaler/sizing/forecast.h"
#include "core/autoscaler/sizing/target.h"
#include "core/autoscaler/sizing/tracking.h"

namespace pitchfall::sizing {
namespace {

TEST(Target, WorkedByHand) {
  TargetInputs in;
  in.capacity = 4;
  in.waiting = 9;
  in.delay_price = 0.5;
  in.machine_cost = 2;
  in.curve = {4, 0};
  in.min_utilisation = 0;
  in.max_spare_factor = 100;
  in.delay_bound = 0.1;  // the cap is far away
  // 4 + sqrt(9 * 0.5 * 4 * 4 / 2) = 4 + 6
  EXPECT_EQ(TargetMachineCount(in), 10);
  // d(U) = 4 U / (1 - U) = 6 at U = 0.6: at most 4 / 0.6 = 6.67.
  in.delay_bound = 6;
  EXPECT_EQ(TargetMachineCount(in), 7);
  in.min_utilisation = 0.8;  // at most 4 / 0.8
  EXPECT_EQ(TargetMachineCount(in), 5);
  in.min_utilisation = 0;
  in.max_spare_factor = 1;  // at most 4 + 2
  EXPECT_EQ(TargetMachineCount(in), 6);
  in.waiting = 0;
  EXPECT_EQ(TargetMachineCount(in), 4);
  in.capacity = 4.2;
  EXPECT_EQ(TargetMachineCount(in), 5);
  in.capacity = 0;
  EXPECT_EQ(TargetMachineCount(in), 0);
}

// The square root minimises the sum of the waiting cost and the machine cost.
TEST(Target, IsTheMinimumOfThePlainCost) {
  TargetInputs in;
  in.capacity = 10;
  in.waiting = 30;
  in.delay_price = 0.2;
  in.machine_cost = 1.5;
  in.curve = {3, 1};
  in.min_utilisation = 0;
  in.max_spare_factor = 100;
  in.delay_bound = 1.1;
  double best = 0;
  double best_cost = 1e18;
  for (double x = in.capacity + 0.01; x < 100; x += 0.01) {
    double cost = in.waiting * in.delay_price * in.curve.At(in.capacity / x) +
                  in.machine_cost * x;
    if (cost < best_cost) {
      best_cost = cost;
      best = x;
    }
  }
  EXPECT_EQ(TargetMachineCount(in), static_cast<int>(std::ceil(best - 0.02)));
}

TEST(DelayCurve, IsFoundAgain) {
  std::vector<DelayPoint> points;
  for (double u : {0.2, 0.5, 0.7, 0.9}) {
    points.push_back({u, 2.5 * u / (1 - u) + 4});
  }
  DelayCurve curve = FitDelay(points, {1, 1});
  EXPECT_NEAR(curve.slope, 2.5, 1e-9);
  EXPECT_NEAR(curve.base, 4, 1e-9);
}

TEST(DelayCurve, FallsBackOnPoorData) {
  DelayCurve fallback{7, 8};
  EXPECT_EQ(FitDelay({}, fallback).slope, 7);
  std::vector<DelayPoint> same(5, {0.5, 3});
  EXPECT_EQ(FitDelay(same, fallback).slope, 7);
  // Delay that seems to fall with load: no negative slope.
  std::vector<DelayPoint> falling{{0.2, 9}, {0.5, 5}, {0.9, 1}};
  EXPECT_GT(FitDelay(falling, fallback).slope, 0);
}

TEST(Tracking, WorkedByHand) {
  // One period: minimise (x + u - t)^2 + R u^2, so u = (t - x) / (1 + R).
  std::vector<double> targets{10};
  EXPECT_NEAR(FirstMove(4, targets, 1, 0.5), 4, 1e-9);
  EXPECT_NEAR(FirstMove(4, targets, 1, 0), 6, 1e-9);
  EXPECT_EQ(FirstMove(4, {}, 1, 1), 0);
}

// A plain search over two moves finds nothing better.
TEST(Tracking, MatchesASearch) {
  std::mt19937 random(3);
  std::uniform_real_distribution<> any(0, 20);
  for (int round = 0; round < 10; ++round) {
    std::vector<double> targets{any(random), any(random)};
    double count = any(random);
    double r = 0.1 + any(random) / 10;
    double best_cost = 1e18;
    double best = 0;
    for (double u = -25; u <= 25; u += 0.05) {
      for (double v = -25; v <= 25; v += 0.05) {
        double e1 = count + u - targets[0];
        double e2 = count + u + v - targets[1];
        double cost = e1 * e1 + e2 * e2 + r * (u * u + v * v);
        if (cost < best_cost) {
          best_cost = cost;
          best = u;
        }
      }
    }
    EXPECT_NEAR(FirstMove(count, targets, 1, r), best, 0.06);
  }
}

TEST(Forecast, LastValueWithoutAFit) {
  EXPECT_EQ(Forecast({}, 2), (std::vector<double>{0, 0}));
  std::vector<double> shortish{1, 5, 3};
  EXPECT_EQ(Forecast(shortish, 2), (std::vector<double>{3, 3}));
  std::vector<double> constant(30, 4.0);
  EXPECT_EQ(Forecast(constant, 1), std::vector<double>{4});
}

TEST(Forecast, StaysInBounds) {
  std::mt19937 random(11);
  std::uniform_real_distribution<> any(0, 50);
  for (int round = 0; round < 200; ++round) {
    std::vector<double> series;
    double most = 0;
    for (int i = 0; i < 40; ++i) {
      series.push_back(round % 2 ? any(random) : std::floor(any(random) / 20));
      most = std::max(most, series.back());
    }
    for (double value : Forecast(series, 5)) {
      EXPECT_TRUE(std::isfinite(value));
      EXPECT_GE(value, 0);
      EXPECT_LE(value, 1.25 * most + 1e-9);
    }
  }
}

// On a series made by the model the fit comes near its parameters, and the
// forecast beats the last value.
TEST(Forecast, FindsTheModelThatMadeTheSeries) {
  std::mt19937 random(42);
  std::normal_distribution<> noise(0, 1);
  std::vector<double> series{500, 500, 500};
  double d1 = 0;
  double d2 = 0;
  double e1 = 0;
  double squared = 0;
  double squared_last = 0;
  for (int i = 0; i < 1500; ++i) {
    double e = noise(random);
    double d = 0.6 * d1 - 0.3 * d2 + e + 0.4 * e1;
    d2 = d1;
    d1 = d;
    e1 = e;
    double next = series.back() + d;
    if (i >= 1400) {
      double forecast = Forecast(series, 1)[0];
      squared += (forecast - next) * (forecast - next);
      squared_last += (series.back() - next) * (series.back() - next);
    }
    series.push_back(next);
  }
  ArimaFit fit = FitArima(series);
  ASSERT_TRUE(fit.usable);
  EXPECT_NEAR(fit.phi1, 0.6, 0.15);
  EXPECT_NEAR(fit.phi2, -0.3, 0.15);
  EXPECT_NEAR(fit.theta, 0.4, 0.2);
  EXPECT_LT(squared, squared_last);
}

}  // namespace
}  // namespace pitchfall::sizing
