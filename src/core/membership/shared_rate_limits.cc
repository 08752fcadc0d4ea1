#include "core/membership/shared_rate_limits.h"

#include <algorithm>

namespace pitchfall {
namespace {

// How many controllers are assumed to share the limits before this one has
// heard from any other.
constexpr double kInitialStateSharers = 3;
constexpr double kInitialCloudSharers = 2;
// The fraction of a limit that all controllers together aim to use, so that
// coinciding bursts seldom exceed it.
constexpr double kUsableFraction = 0.95;
// The fraction of an even share that a controller keeps whatever the others
// use.
constexpr double kGuaranteedFraction = 0.8;
// The burst of a bucket, in seconds of its rate.
constexpr double kBurstSeconds = 0.7;
// Every bucket holds at least one token, because otherwise nothing could ever
// be taken.
constexpr double kMinBurst = 1.0;
// Shares of the cloud's rate. The leader lists, creates and deletes machines;
// the others only look for workers and divide the rest evenly.
constexpr double kLeaderCloudShare = 0.6;
constexpr double kOthersCloudShare = 0.4;
// The weight of the newest measurement in the moving average. With two
// measurements per second the average covers about two seconds.
constexpr double kNewestWeight = 0.25;
// The shortest time between two measurements, in seconds; a shorter one counts
// as this long, because its few calls say nothing about the rate.
constexpr double kMinMeasurementSeconds = 0.1;

}  // namespace

SharedRateLimits::SharedRateLimits(const Deployment& deployment)
    : state_limits_(deployment.StrictestStateLimits()),
      cloud_limit_(deployment.cloud_rps),
      requests_(state_limits_.rps / kInitialStateSharers,
                state_limits_.rps / kInitialStateSharers),
      writes_(state_limits_.write_rps / kInitialStateSharers,
              state_limits_.write_rps / kInitialStateSharers),
      cloud_(cloud_limit_ / kInitialCloudSharers, cloud_limit_) {}

void SharedRateLimits::UpdateShares(
    const std::vector<std::optional<RateUsage>>& peers, size_t live_controllers,
    bool is_leader) {
  double controllers =
      std::max<double>(1, static_cast<double>(live_controllers));
  double requests = 0;
  double writes = 0;
  for (const std::optional<RateUsage>& peer : peers) {
    requests += peer ? peer->requests : state_limits_.rps / controllers;
    writes += peer ? peer->writes : state_limits_.write_rps / controllers;
  }
  auto set_share = [&](TokenBucket& bucket, double limit, double used) {
    double rate = std::max(kUsableFraction * limit - used,
                           kGuaranteedFraction * limit / controllers);
    bucket.SetRate(rate, std::max(kMinBurst, kBurstSeconds * rate));
  };
  set_share(writes_, state_limits_.write_rps, writes);
  set_share(requests_, state_limits_.rps, requests);
  double cloud_rate =
      cloud_limit_ *
      (is_leader ? kLeaderCloudShare : kOthersCloudShare / controllers);
  cloud_.SetRate(cloud_rate, std::max(kMinBurst, cloud_rate));
}

RateUsage SharedRateLimits::MeasureUsage(SteadyTime now) {
  double seconds =
      std::max(kMinMeasurementSeconds, ToSeconds(now - last_measured_));
  last_measured_ = now;
  return {request_usage_.Update(requests_.taken(), seconds),
          write_usage_.Update(writes_.taken(), seconds)};
}

double SharedRateLimits::UsageMeter::Update(double taken, double seconds) {
  double newest = std::max(0.0, taken - taken_before) / seconds;
  rate += (newest - rate) * kNewestWeight;
  taken_before = taken;
  return rate;
}

}  // namespace pitchfall
