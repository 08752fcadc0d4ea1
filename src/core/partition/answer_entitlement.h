// Decides whether the owner of a partition may still answer its workers'
// heartbeats.
#ifndef PITCHFALL_CORE_PARTITION_ANSWER_ENTITLEMENT_H_
#define PITCHFALL_CORE_PARTITION_ANSWER_ENTITLEMENT_H_

#include <cstdint>
#include <string>

#include "core/partition/ownership_term.h"
#include "core/state/context.h"

namespace pitchfall {

// An answer renews the worker's lease, so that all tasks on the worker may go
// on running. An owner therefore answers only while it knows every cancellation
// that a controller may have confirmed long enough ago to matter, and never
// once it knows that a later owner of the partition exists.
class AnswerEntitlement {
 public:
  AnswerEntitlement(Context& context, const OwnershipTerm& term)
      : context_(context), term_(term) {}

  // Returns whether a heartbeat may be answered now. While this controller
  // cannot read the state service, others may store cancellations that it does
  // not know. A worker that is answered now keeps its tasks for one more lease,
  // and that lease must end within the time in which a cancelled task has to
  // stop (`Deployment::cancel_time_limit`), counted from the time up to which
  // all cancellations are known. False as soon as a later owner is known.
  bool MayAnswer() const;

  // Handles a claim of the controller `label` to own the partition with this
  // fencing token. A token that is not higher than this owner's has no effect.
  // Otherwise `label` becomes the successor, and the state is read again.
  void OnPeerClaim(const std::string& label, uint64_t fencing_token);
  // Handles the fencing token in a worker's message. A token higher than this
  // owner's means that a later owner exists. Returns whether it is higher.
  bool OnFencingToken(uint64_t fencing_token);

  // The label of the later owner that last claimed the partition; empty if none
  // has, even if a worker has shown the token of one.
  const std::string& successor() const { return successor_; }

 private:
  Context& context_;
  const OwnershipTerm& term_;
  // Whether a later owner is known to exist. The state cache may not show it
  // yet.
  bool deposed_ = false;
  std::string successor_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_ANSWER_ENTITLEMENT_H_
