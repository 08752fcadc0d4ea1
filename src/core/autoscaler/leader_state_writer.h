// The leader's transactions on the state service.
#ifndef PITCHFALL_CORE_AUTOSCALER_LEADER_STATE_WRITER_H_
#define PITCHFALL_CORE_AUTOSCALER_LEADER_STATE_WRITER_H_

#include <cstdint>

#include "core/base/lifetime_guard.h"
#include "core/base/token_bucket.h"
#include "core/model/outbox.h"
#include "core/model/settings.h"
#include "core/state/state_watcher.h"

namespace pitchfall {

// Sends transactions that apply only while this controller owns partition 0, so
// that a deposed leader cannot change what its successor decides.
class LeaderStateWriter {
 public:
  // `requests` and `writes` are the process's shares of the state service's
  // rates. `fencing_token` is that of partition 0.
  LeaderStateWriter(Outbox& out, const Tuning& tuning, TokenBucket& requests,
                    TokenBucket& writes, StateWatcher& state_watcher,
                    uint64_t fencing_token);

  // Sends the transaction with the condition that partition 0 still has this
  // leader's fencing token. `on_reply` is called with the answer, also if it is
  // a failure or there was none; not if this writer is destroyed before. The
  // caller must live as long as this writer.
  void Write(Transaction transaction, Outbox::StateHandler on_reply);

  // Whether a transaction's outcome may not be in the state cache yet: it has
  // no answer, or no read that started after its answer has ended. Decisions
  // taken meanwhile could repeat what it did.
  bool writing() const { return writing_; }

 private:
  Outbox& out_;
  const Tuning& tuning_;
  TokenBucket& requests_;
  TokenBucket& writes_;
  StateWatcher& state_watcher_;
  const uint64_t fencing_token_;
  bool writing_ = false;
  LifetimeGuard guard_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_LEADER_STATE_WRITER_H_
