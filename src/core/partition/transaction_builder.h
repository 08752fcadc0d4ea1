// Turns pending changes into one transaction of the state service.
#ifndef PITCHFALL_CORE_PARTITION_TRANSACTION_BUILDER_H_
#define PITCHFALL_CORE_PARTITION_TRANSACTION_BUILDER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "core/partition/ownership_term.h"
#include "core/partition/pending_transaction.h"
#include "core/state/context.h"

namespace pitchfall {

// A transaction is a compare-and-swap on several keys. It is carried out only
// if the partition still has this owner, the term's write fence is unchanged
// (so that no write of unknown outcome takes effect after a later one), and
// none of the records that it builds on has changed.
class TransactionBuilder {
 public:
  TransactionBuilder(const Context& context, const OwnershipTerm& term)
      : context_(context), term_(term) {}

  // Returns none if the partition's segments have no room for so many changed
  // chunks at once or the transaction would be too large. `write_fence` is the
  // modification revision of this term's write fence, 0 if it has never been
  // advanced.
  std::optional<Transaction> Build(const PendingTransaction& pending,
                                   uint64_t write_fence) const;

 private:
  // A transaction under construction, and the bytes of its values without those
  // of the segments.
  struct Draft {
    Transaction transaction;
    size_t bytes = 0;

    void AddCondition(std::string key, uint64_t mod_revision);
    void AddPut(std::string key, Record record, size_t record_bytes);
  };
  void AddJobs(Draft& draft, const PendingTransaction& pending) const;
  void AddLoad(Draft& draft, const LoadRecord& load) const;
  void AddTeams(Draft& draft, const PendingTransaction& pending) const;
  // Adds the segments that hold the changed chunks, within the limits that the
  // rest of the draft leaves. Must be called last. Returns false if they do not
  // fit.
  bool AddSegments(Draft& draft, const PendingTransaction& pending) const;

  const Context& context_;
  const OwnershipTerm& term_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_TRANSACTION_BUILDER_H_
