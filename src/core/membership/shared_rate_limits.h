// This controller's share of the rate limits of the state service and of the
// cloud; the limits apply to all controllers together.
#ifndef PITCHFALL_CORE_MEMBERSHIP_SHARED_RATE_LIMITS_H_
#define PITCHFALL_CORE_MEMBERSHIP_SHARED_RATE_LIMITS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/base/time.h"
#include "core/base/token_bucket.h"
#include "core/model/settings.h"

namespace pitchfall {

// The rates at which one controller has recently called the state service, per
// second.
struct RateUsage {
  double requests = 0;
  double writes = 0;  // puts and deletes
};

// Owns the token buckets and is the only one to set their rates. Code that
// calls a service takes tokens from that service's bucket.
class SharedRateLimits {
 public:
  // Until the first call of UpdateShares this controller may use a third of the
  // state service's rates and half of the cloud's.
  explicit SharedRateLimits(const Deployment& deployment);

  TokenBucket& requests() { return requests_; }  // to the state service
  TokenBucket& writes() { return writes_; }      // puts and deletes there
  TokenBucket& cloud() { return cloud_; }        // calls to the cloud

  // Sets this controller's rates for the state service to what the others
  // leave, because an owner of many partitions needs more than an owner of
  // none; but to no less than most of an even share. The cloud's rate depends
  // only on the number of controllers and on who is leader. `peers` has an
  // entry for each other controller ever heard from; an empty entry means that
  // its usage is unknown now, and it is taken to use an even share.
  // `live_controllers` includes this one.
  void UpdateShares(const std::vector<std::optional<RateUsage>>& peers,
                    size_t live_controllers, bool is_leader);

  // Returns this controller's usage, smoothed over the measurements. It is to
  // be called once per heartbeat.
  RateUsage MeasureUsage(SteadyTime now);

 private:
  // Measures how fast tokens are taken from a bucket.
  struct UsageMeter {
    // Returns the new rate. `taken` is the total since the process started,
    // `seconds` the time since the last call.
    double Update(double taken, double seconds);
    double rate = 0;          // smoothed tokens per second
    double taken_before = 0;  // the total at the last call
  };

  const Deployment::StateServiceLimits state_limits_;
  const double cloud_limit_;  // calls per second
  TokenBucket requests_;
  TokenBucket writes_;
  TokenBucket cloud_;
  UsageMeter request_usage_;
  UsageMeter write_usage_;
  SteadyTime last_measured_{};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_SHARED_RATE_LIMITS_H_
