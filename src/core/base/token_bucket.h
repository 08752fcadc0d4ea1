// A token bucket that limits how much of a shared rate this process uses.
#ifndef PITCHFALL_CORE_BASE_TOKEN_BUCKET_H_
#define PITCHFALL_CORE_BASE_TOKEN_BUCKET_H_

#include <algorithm>

#include "core/base/time.h"

namespace pitchfall {

// Refills continuously up to the burst size. The balance may be negative: calls
// that must not wait also take tokens, so that calls that can wait are delayed
// for longer.
class TokenBucket {
 public:
  // The bucket starts full. `per_second` is the refill rate and `burst` the
  // largest balance, in tokens.
  TokenBucket(double per_second, double burst)
      : rate_(per_second), burst_(burst), tokens_(burst) {}

  // Changes the rate and the burst size. Tokens beyond the new burst size are
  // lost.
  void SetRate(double per_second, double burst) {
    rate_ = per_second;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

  // Refills the bucket and returns the balance at `now`, which may be negative.
  double Available(SteadyTime now) {
    if (now > last_) {
      tokens_ = std::min(burst_, tokens_ + rate_ * ToSeconds(now - last_));
      last_ = now;
    }
    return tokens_;
  }

  // Takes `count` tokens and returns true if at least `reserve` tokens are left
  // afterwards. Otherwise takes none and returns false.
  bool Take(SteadyTime now, double count, double reserve = 0) {
    if (Available(now) < count + reserve) return false;
    tokens_ -= count;
    taken_ += count;
    return true;
  }

  // Takes `count` tokens whatever the balance, which may become negative. This
  // is for calls that must be sent at once but still count against the rate.
  void TakeOnCredit(SteadyTime now, double count) {
    Available(now);
    tokens_ -= count;
    taken_ += count;
  }

  // Removes all tokens; a negative balance stays as it is. To be called when
  // the service has answered 429, because other processes have used up the
  // rate.
  void Drain(SteadyTime now) {
    Available(now);
    tokens_ = std::min(tokens_, 0.0);
  }

  // The refill rate in tokens per second.
  double rate() const { return rate_; }
  // The number of tokens taken since the bucket was created.
  double taken() const { return taken_; }

 private:
  double rate_;    // tokens per second
  double burst_;   // tokens
  double tokens_;  // the balance at `last_`
  double taken_ = 0;
  SteadyTime last_{};  // when the balance was last refilled
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_TOKEN_BUCKET_H_
