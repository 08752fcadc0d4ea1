// Shows a new owner's fencing token to workers that still follow an earlier
// owner.
//
// Workers whose owner has ended look for another by themselves. But an earlier
// owner that has lost the state service and not its workers goes on answering
// them; only a higher fencing token makes these look for the new owner. So the
// cloud is asked for all machines, and each worker that has not been heard is
// inspected and sent the fencing token in a message without commands.
#ifndef PITCHFALL_CORE_MEMBERSHIP_FENCING_TOKEN_ANNOUNCER_H_
#define PITCHFALL_CORE_MEMBERSHIP_FENCING_TOKEN_ANNOUNCER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "core/base/time.h"
#include "core/model/messages.h"
#include "core/state/context.h"

namespace pitchfall {

// Belongs to one ownership of one partition and ends with it. Replies that come
// later have no effect. A call to a worker that fails is repeated only if the
// list of machines, begun anew, names the worker again.
class FencingTokenAnnouncer {
 public:
  // `has_seen_fencing_token` tells whether the machine of that name has shown
  // the fencing token already.
  FencingTokenAnnouncer(
      Context& context, uint32_t partition, uint64_t fencing_token,
      std::function<bool(const std::string&)> has_seen_fencing_token);

  // Asks for the next page of machines and calls the next workers, as far as
  // the budgets allow.
  void Step();

 private:
  void FetchNextPage();
  void OnPage(const CloudReply& reply);
  void CallWaitingWorkers();
  void Inspect(const ListedMachine& listed);
  void SendFencingToken(const ListedMachine& listed, uint64_t agent_epoch);

  Context& context_;
  const uint32_t partition_;
  const uint64_t fencing_token_;
  std::function<bool(const std::string&)> has_seen_fencing_token_;
  // Replies that come after this object's end find it expired.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);

  bool fetching_ = false;
  int pages_asked_for_ = 0;
  std::string last_listed_;  // the next page begins after it
  SteadyTime next_page_;
  std::deque<ListedMachine> waiting_;
  int inspecting_ = 0;  // calls under way
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_FENCING_TOKEN_ANNOUNCER_H_
