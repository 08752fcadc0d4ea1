#include "core/autoscaler/leader_state_writer.h"

#include <utility>

#include "core/model/records.h"

namespace pitchfall {

LeaderStateWriter::LeaderStateWriter(Outbox& out, const Tuning& tuning,
                                     TokenBucket& requests, TokenBucket& writes,
                                     StateWatcher& state_watcher,
                                     uint64_t fencing_token)
    : out_(out),
      tuning_(tuning),
      requests_(requests),
      writes_(writes),
      state_watcher_(state_watcher),
      fencing_token_(fencing_token) {}

void LeaderStateWriter::Write(Transaction transaction,
                              Outbox::StateHandler on_reply) {
  const SteadyTime now = out_.now().steady;
  // The leader's transactions are few and never wait for tokens; the other
  // writers of this process make up for the debt.
  writes_.TakeOnCredit(now, static_cast<double>(transaction.writes.size()));
  requests_.TakeOnCredit(now, 1);
  transaction.conditions.push_back({keys::Partition(0), fencing_token_});
  writing_ = true;
  out_.CallState(std::move(transaction), tuning_.state_timeout,
                 guard_.Wrap([this, on_reply = std::move(on_reply)](
                                 const StateReply& reply) {
                   on_reply(reply);
                   // An answer may be lost or a failure although the write was
                   // applied; only a later read tells.
                   state_watcher_.AfterNextRead(
                       guard_.Wrap([this](bool) { writing_ = false; }));
                 }));
}

}  // namespace pitchfall
