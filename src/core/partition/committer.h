// Stores a partition's transactions, one at a time.
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

// What has become of a transaction.
enum class CommitOutcome : uint8_t {
  kStored,
  kTooLarge,  // 400: larger than the state service takes
  kRefused,   // 429 or 503: not carried out, may be tried again soon
  kConflict,  // 409: one of its conditions did not hold
  kUnknown,   // no answer, or one that does not say
};

// The only writer of what the partition owns in the state service. After a
// write of unknown outcome nothing else is written until the write fence has
// been advanced and the state read again.
class Committer {
 public:
  using OnCommitted =
      std::function<void(CommitOutcome, const PendingTransaction&)>;
  // Called with whether the write fence has been advanced.
  using OnFenceReply = std::function<void(bool)>;

  Committer(Context& context, const OwnershipTerm& term)
      : context_(context), term_(term), last_write_(context.now()) {}

  // Whether a write, or the reading after it, is under way. While it is,
  // neither Commit nor AdvanceWriteFence may be called.
  bool busy() const { return busy_; }
  // Whether a write of unknown outcome might still be carried out.
  bool outcome_unknown() const { return outcome_unknown_; }
  // The modification revision on which every write of this term depends.
  uint64_t write_fence() const { return write_fence_; }
  // When the last transaction was sent; before any, when the ownership began.
  SteadyTime last_write() const { return last_write_; }

  // Sends the transaction. Puts beyond the tokens at hand are borrowed from the
  // write budget. If it is stored, the state cache shows it before
  // `on_committed` is called.
  void Commit(PendingTransaction pending, Transaction transaction,
              OnCommitted on_committed);
  // Changes the write fence, so that no earlier write of this term can be
  // carried out any more. Does nothing while the write budget is used up.
  void AdvanceWriteFence(OnFenceReply on_reply);

 private:
  CommitOutcome OnReply(const Transaction& transaction,
                        const StateReply& reply);
  void OnStored(const Transaction& transaction, const StateReply& reply);
  void LogTooLarge(const Transaction& transaction) const;
  // Finds out by reading what holds now, before anything else is written.
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
