// Writes a partition's transactions to the state service, one at a time.
#ifndef PITCHFALL_CORE_PARTITION_COMMITTER_H_
#define PITCHFALL_CORE_PARTITION_COMMITTER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "core/base/lifetime_guard.h"
#include "core/partition/ownership_term.h"
#include "core/partition/pending_transaction.h"
#include "core/state/context.h"

namespace pitchfall {

// The result of a transaction, by the state service's reply.
enum class CommitOutcome : uint8_t {
  kStored,
  kTooLarge,  // 400: larger than the state service accepts
  kRefused,   // 429 or 503: not carried out, may be retried soon
  kConflict,  // 409: one of its conditions did not hold
  kUnknown,   // no reply, or one that does not tell
};

// The only writer of the partition's records in the state service. After a
// write of unknown outcome, callers must not Commit again before
// AdvanceWriteFence has succeeded and the state has been read again (see
// outcome_unknown()).
class Committer {
 public:
  // Called once with the outcome of a transaction, unless the committer is
  // destroyed first.
  using CommitCallback =
      std::function<void(CommitOutcome, const PendingTransaction&)>;
  // Called with whether the write fence has been advanced, unless the committer
  // is destroyed first.
  using FenceCallback = std::function<void(bool)>;

  Committer(Context& context, const OwnershipTerm& term)
      : context_(context), term_(term), last_write_(context.now()) {}

  // Whether a write is in progress, or the read that must follow it. Neither
  // Commit nor AdvanceWriteFence may be called then.
  bool busy() const { return busy_; }
  // Whether a write of unknown outcome might still be carried out. The write
  // fence has to be advanced before the next Commit.
  bool outcome_unknown() const { return outcome_unknown_; }
  // The modification revision that the write fence's key must have for a
  // transaction of this term to be carried out. Zero: the key must not exist.
  uint64_t write_fence() const { return write_fence_; }
  // When the last write was sent; the time of construction, at the start of the
  // ownership, if there has been none.
  SteadyTime last_write() const { return last_write_; }

  // Sends `transaction`, the encoded form of `pending`. It is sent even if the
  // write budget has too few tokens for its puts; the budget then goes into
  // debt. If the transaction is stored, the state cache contains it before
  // `on_committed` is called.
  void Commit(PendingTransaction pending, Transaction transaction,
              CommitCallback on_committed);
  // Writes the write fence's key again, so that no earlier write of this term
  // can be carried out any more, and then reads the state. Does nothing, and
  // does not call `on_reply`, while the write budget is used up.
  void AdvanceWriteFence(FenceCallback on_reply);

 private:
  CommitOutcome OnReply(const Transaction& transaction,
                        const StateReply& reply);
  void OnStored(const Transaction& transaction, const StateReply& reply);
  void LogTooLarge(const Transaction& transaction) const;
  // Stays busy until the state has been read, or a read has failed.
  void ReadBeforeNextWrite();
  void OnFenceAdvanced(const StateReply& reply);

  Context& context_;
  const OwnershipTerm& term_;
  LifetimeGuard lifetime_;
  bool busy_ = false;
  bool outcome_unknown_ = false;
  uint64_t write_fence_ = 0;
  SteadyTime last_write_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_COMMITTER_H_
