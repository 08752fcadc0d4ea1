// Whether the owner of a partition may still answer its workers.
#ifndef PITCHFALL_CORE_PARTITION_ANSWER_ENTITLEMENT_H_
#define PITCHFALL_CORE_PARTITION_ANSWER_ENTITLEMENT_H_

#include <cstdint>
#include <string>

#include "core/partition/ownership_term.h"
#include "core/state/context.h"

namespace pitchfall {

// An answer renews the worker's lease, and with it everything that runs there.
// So an owner answers only while it knows every cancellation that any
// controller may have confirmed, and never once it knows of a later owner.
class AnswerEntitlement {
 public:
  AnswerEntitlement(Context& context, const OwnershipTerm& term)
      : context_(context), term_(term) {}

  // While the state service is away, cancellations may be stored that this
  // owner does not hear of. A worker answered last now keeps its tasks for one
  // more lease; that has to end before a cancellation's time is up.
  bool MayAnswer() const;

  // Another controller claims the partition by this token; does nothing if the
  // token is not a later one.
  void OnPeerClaim(const std::string& label, uint64_t fencing_token);
  // A worker has shown a token. A later one means that a later owner exists.
  // Returns whether it was later.
  bool OnFencingToken(uint64_t fencing_token);

  // The label of the later owner, if it has said so itself; otherwise empty.
  const std::string& successor() const { return successor_; }

 private:
  Context& context_;
  const OwnershipTerm& term_;
  // A later owner is known of, though the state cache does not show it yet.
  bool deposed_ = false;
  std::string successor_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_ANSWER_ENTITLEMENT_H_
