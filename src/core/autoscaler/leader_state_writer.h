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
// that a deposed leader cannot overwrite its successor's decisions.
class LeaderStateWriter {
 public:
  // `requests` and `writes` limit the rates of this process's calls and writes
  // to the state service. `fencing_token` is that of partition 0.
  LeaderStateWriter(Outbox& outbox, const Tuning& tuning, TokenBucket& requests,
                    TokenBucket& writes, StateWatcher& state_watcher,
                    uint64_t fencing_token);

  // Sends the transaction with the added condition that partition 0 still has
  // this leader's fencing token. `on_reply` is called with the reply, which may
  // be a failure or a timeout; it is not called once this writer has been
  // destroyed. Whatever `on_reply` refers to must live as long as this writer.
  void Write(Transaction transaction, Outbox::StateHandler on_reply);

  // Whether the state cache may lack the outcome of the last transaction: the
  // transaction has no reply yet, or no read of the state service that started
  // after the reply has ended. A failed read counts as ended. Decisions made in
  // the meantime could repeat what the transaction did.
  bool write_pending() const { return write_pending_; }

 private:
  Outbox& outbox_;
  const Tuning& tuning_;
  TokenBucket& requests_;
  TokenBucket& writes_;
  StateWatcher& state_watcher_;
  const uint64_t fencing_token_;
  bool write_pending_ = false;
  LifetimeGuard guard_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_LEADER_STATE_WRITER_H_
