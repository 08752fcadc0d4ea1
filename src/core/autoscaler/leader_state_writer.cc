#include "core/autoscaler/leader_state_writer.h"

#include <utility>

#include "core/model/records.h"

namespace pitchfall {

LeaderStateWriter::LeaderStateWriter(Outbox& outbox, const Tuning& tuning,
                                     TokenBucket& requests, TokenBucket& writes,
                                     StateWatcher& state_watcher,
                                     uint64_t fencing_token)
    : outbox_(outbox),
      tuning_(tuning),
      requests_(requests),
      writes_(writes),
      state_watcher_(state_watcher),
      fencing_token_(fencing_token) {}

void LeaderStateWriter::Write(Transaction transaction,
                              Outbox::StateHandler on_reply) {
  const SteadyTime now = outbox_.now().steady;
  // The leader sends few transactions and must not delay them, so it takes
  // tokens on credit; the other writers of this process wait until the buckets
  // have refilled.
  writes_.TakeOnCredit(now, static_cast<double>(transaction.writes.size()));
  requests_.TakeOnCredit(now, 1);
  transaction.conditions.push_back({keys::Partition(0), fencing_token_});
  write_pending_ = true;
  outbox_.CallState(std::move(transaction), tuning_.state_timeout,
                    guard_.Wrap([this, on_reply = std::move(on_reply)](
                                    const StateReply& reply) {
                      on_reply(reply);
                      // The write may have been applied even if the reply is a
                      // failure or a timeout; only a later read shows the
                      // outcome.
                      state_watcher_.AfterNextRead(guard_.Wrap(
                          [this](bool) { write_pending_ = false; }));
                    }));
}

}  // namespace pitchfall
