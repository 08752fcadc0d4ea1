// What the state service accepts in one write. Every writer asks here, so that
// all records and transactions follow the same bounds.
//
// The deployment may announce limits that will hold from some unknown moment
// on. The smaller of the present and the announced ones apply from the first
// write. If the service refuses a write for its size all the same, the bounds
// are halved until writes pass, and return step by step.
#ifndef PITCHFALL_CORE_STATE_STATE_LIMITS_H_
#define PITCHFALL_CORE_STATE_STATE_LIMITS_H_

#include <algorithm>
#include <cstddef>

#include "core/model/settings.h"

namespace pitchfall {

// The present bounds of values and transactions, with what became of writes so
// far.
class StateLimits {
 public:
  explicit StateLimits(const Deployment& deployment)
      : value_bytes_(static_cast<size_t>(
            deployment.StrictestStateLimits().value_kb * kBytesInKb)),
        operations_(deployment.StrictestStateLimits().txn_ops) {}

  // The largest value in bytes, counted as the service's JSON.
  size_t ValueBytes() const {
    return std::max(kMinValueBytes, value_bytes_ >> reductions_);
  }
  // The same less a reserve for what counting in advance may miss.
  size_t UsableValueBytes() const {
    return ValueBytes() * kUsablePercent / 100;
  }
  // Puts and deletes in one transaction.
  size_t Operations() const {
    return std::max(kMinOperations, operations_ >> reductions_);
  }
  // Whether the bounds are lower than the deployment says.
  bool Reduced() const { return reductions_ > 0; }

  // The service answered 400: the write was larger than it takes.
  void OnRefused() {
    reductions_ = std::min(reductions_ + 1, kMaxReductions);
    accepted_ = 0;
  }
  // The service has taken a write.
  void OnAccepted() {
    if (reductions_ == 0 || ++accepted_ < kAcceptedBeforeIncrease) return;
    --reductions_;
    accepted_ = 0;
  }

 private:
  static constexpr double kBytesInKb = 1024;
  static constexpr size_t kUsablePercent = 90;
  // Below these a job's record or a transaction with its chunk cannot be
  // stored at all.
  static constexpr size_t kMinValueBytes = 768;
  static constexpr size_t kMinOperations = 2;
  // Further refusals do not lower the bounds any more.
  static constexpr unsigned kMaxReductions = 4;
  // So many writes pass before larger ones are tried again.
  static constexpr int kAcceptedBeforeIncrease = 200;

  size_t value_bytes_;
  size_t operations_;
  unsigned reductions_ = 0;  // how often the bounds are halved
  int accepted_ = 0;         // writes since the last refusal or increase
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_STATE_LIMITS_H_
