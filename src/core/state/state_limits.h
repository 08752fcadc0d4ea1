// The largest values and transactions that the state service accepts. All
// components that write to it use these limits.
//
// The deployment may announce limits that will take effect at an unknown time.
// The smaller of the current and the announced limits therefore apply from the
// first write on. If the service still rejects a write for its size, the limits
// are halved until writes succeed, and are doubled again step by step after
// that.
#ifndef PITCHFALL_CORE_STATE_STATE_LIMITS_H_
#define PITCHFALL_CORE_STATE_STATE_LIMITS_H_

#include <algorithm>
#include <cstddef>

#include "core/model/settings.h"

namespace pitchfall {

// The current limits of values and transactions, adapted to the outcomes of
// previous writes.
class StateLimits {
 public:
  explicit StateLimits(const Deployment& deployment)
      : value_bytes_(static_cast<size_t>(
            deployment.StrictestStateLimits().value_kb * kBytesInKb)),
        operations_(deployment.StrictestStateLimits().txn_ops) {}

  // The largest size of one value, in bytes of the service's JSON encoding.
  size_t ValueBytes() const {
    return std::max(kMinValueBytes, value_bytes_ >> reductions_);
  }
  // ValueBytes() less a reserve for inaccuracy when the size of a value is
  // estimated before it is encoded.
  size_t UsableValueBytes() const {
    return ValueBytes() * kUsablePercent / 100;
  }
  // The largest number of puts and deletes in one transaction.
  size_t Operations() const {
    return std::max(kMinOperations, operations_ >> reductions_);
  }
  // Whether the limits are lower than those of the deployment because writes
  // were rejected.
  bool Reduced() const { return reductions_ > 0; }

  // To be called when the service rejects a write as too large (status 400).
  // Halves the limits.
  void OnRefused() {
    reductions_ = std::min(reductions_ + 1, kMaxReductions);
    accepted_writes_ = 0;
  }
  // To be called when the service has carried out a write. Doubles reduced
  // limits after kAcceptedBeforeIncrease of them.
  void OnAccepted() {
    if (reductions_ == 0 || ++accepted_writes_ < kAcceptedBeforeIncrease) {
      return;
    }
    --reductions_;
    accepted_writes_ = 0;
  }

 private:
  static constexpr double kBytesInKb = 1024;
  static constexpr size_t kUsablePercent = 90;
  // With smaller limits, a job's record or a transaction that writes one of its
  // chunks could not be stored at all.
  static constexpr size_t kMinValueBytes = 768;
  static constexpr size_t kMinOperations = 2;
  // The limits are halved at most this often.
  static constexpr unsigned kMaxReductions = 4;
  // The number of successful writes after which larger ones are tried again.
  static constexpr int kAcceptedBeforeIncrease = 200;

  size_t value_bytes_;
  size_t operations_;
  unsigned reductions_ = 0;  // how often the limits are currently halved
  // Successful writes since the last rejection or increase while the limits are
  // reduced.
  int accepted_writes_ = 0;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_STATE_LIMITS_H_
