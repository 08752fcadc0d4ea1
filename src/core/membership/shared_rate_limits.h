// This controller's share of the rate limits of the state service and of the
// cloud, which hold for all controllers together.
#ifndef PITCHFALL_CORE_MEMBERSHIP_SHARED_RATE_LIMITS_H_
#define PITCHFALL_CORE_MEMBERSHIP_SHARED_RATE_LIMITS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "core/model/settings.h"

namespace pitchfall {

// What one controller has lately used of the state service's rates, a second.
struct RateUsage {
  double requests = 0;
  double writes = 0;
};

// Owns the token buckets and alone sets their rates. Whoever calls a service
// takes tokens from the bucket of that service.
class SharedRateLimits {
 public:
  // Until the first UpdateShares this controller may use a third of the state
  // service's rates and half of the cloud's.
  explicit SharedRateLimits(const Deployment& deployment);

  TokenBucket& requests() { return requests_; }  // to the state service
  TokenBucket& writes() { return writes_; }      // puts and deletes there
  TokenBucket& cloud() { return cloud_; }        // calls to the cloud

  // Sets this controller's rates to what the others have left, and to no less
  // than an even share of most of the limit: an owner of many partitions needs
  // more than one of none. `peers` has an entry for each other controller ever
  // heard, none for those whose usage is not known now: they are taken to use
  // an even share. `live_controllers` counts this one too.
  void UpdateShares(const std::vector<std::optional<RateUsage>>& peers,
                    size_t live_controllers, bool is_leader);

  // This controller's usage, smoothed over the measurements. To be called once
  // a heartbeat.
  RateUsage MeasureUsage(SteadyTime now);

 private:
  // Follows how fast tokens are taken from a bucket.
  struct UsageMeter {
    double Update(double taken, double seconds);
    double rate = 0;
    double taken_before = 0;
  };

  const Deployment::StateServiceLimits state_limits_;
  const double cloud_limit_;  // calls a second
  TokenBucket requests_;
  TokenBucket writes_;
  TokenBucket cloud_;
  UsageMeter request_usage_;
  UsageMeter write_usage_;
  SteadyTime last_measured_{};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_SHARED_RATE_LIMITS_H_
