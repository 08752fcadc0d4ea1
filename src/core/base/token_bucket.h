// A token bucket: how much of a shared rate this process may use.
#ifndef PITCHFALL_CORE_BASE_TOKEN_BUCKET_H_
#define PITCHFALL_CORE_BASE_TOKEN_BUCKET_H_

#include <algorithm>

#include "core/base/time.h"

namespace pitchfall {

// Refills continuously up to its burst. The balance may be negative: work that
// must not wait is counted all the same, and what can wait then waits longer.
class TokenBucket {
 public:
  // Starts full. `per_second` is the refill rate, `burst` the largest balance.
  TokenBucket(double per_second, double burst)
      : rate_(per_second), burst_(burst), tokens_(burst) {}

  // Changes the rate; tokens beyond the new burst are lost.
  void SetRate(double per_second, double burst) {
    rate_ = per_second;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

  // The balance at `now`; negative while the bucket is in debt.
  double Available(SteadyTime now) {
    if (now > last_) {
      tokens_ = std::min(burst_, tokens_ + rate_ * ToSeconds(now - last_));
      last_ = now;
    }
    return tokens_;
  }

  // Takes `count` tokens if there are that many above `reserve`; otherwise
  // takes none and returns false.
  bool Take(SteadyTime now, double count, double reserve = 0) {
    if (Available(now) < count + reserve) return false;
    tokens_ -= count;
    taken_ += count;
    return true;
  }

  // Takes `count` tokens whatever the balance, going into debt if need be: for
  // calls that must be sent at once and still count against the rate.
  void TakeOnCredit(SteadyTime now, double count) {
    Available(now);
    tokens_ -= count;
    taken_ += count;
  }

  // The service said 429: others have used the rate up.
  void Drain(SteadyTime now) {
    Available(now);
    tokens_ = std::min(tokens_, 0.0);
  }

  // Tokens a second.
  double rate() const { return rate_; }
  // All that has ever been taken.
  double taken() const { return taken_; }

 private:
  double rate_;
  double burst_;
  double tokens_;
  double taken_ = 0;
  SteadyTime last_{};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_TOKEN_BUCKET_H_
