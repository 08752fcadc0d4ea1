// Sends a new owner's fencing token to workers that still follow an earlier
// owner.
//
// Workers whose owner has ended look for another one on their own. But an
// earlier owner that has lost its connection to the state service, and not the
// one to its workers, goes on answering them; only a higher fencing token makes
// such workers look for the new owner. The announcer therefore lists all
// machines at the cloud, inspects each worker that this owner has not heard
// from, and sends it the fencing token in a message without commands.
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

// One object serves one term of ownership of one partition and ends with it;
// replies that arrive later have no effect. The list of machines is read
// several times, and a failed call to a worker is repeated only if a later
// reading lists the worker again.
class FencingTokenAnnouncer {
 public:
  // `has_seen_fencing_token` returns whether the worker on the machine of that
  // name is known to have seen the fencing token already.
  FencingTokenAnnouncer(
      Context& context, uint32_t partition, uint64_t fencing_token,
      std::function<bool(const std::string&)> has_seen_fencing_token);

  // Requests the next page of machines if it is due, and inspects the next
  // workers, as far as the limits on calls allow.
  void RunDueWork();

 private:
  void FetchNextPage();
  // Queues the page's workers of this partition.
  void OnPage(const CloudReply& reply);
  void CallWaitingWorkers();
  // Asks the worker for its state, and sends it the fencing token if it has
  // shown a lower one.
  void Inspect(const ListedMachine& listed);
  void SendFencingToken(const ListedMachine& listed, uint64_t agent_epoch);

  Context& context_;
  const uint32_t partition_;
  const uint64_t fencing_token_;
  std::function<bool(const std::string&)> has_seen_fencing_token_;
  // Handlers of replies hold it weakly and do nothing once this object has
  // ended.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);

  bool fetching_ = false;
  int pages_asked_for_ = 0;
  // Name after which the next page begins; empty: the first page.
  std::string last_listed_;
  SteadyTime next_page_;               // no page is requested before
  std::deque<ListedMachine> waiting_;  // workers not inspected yet
  int inspecting_ = 0;                 // inspections in flight
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MEMBERSHIP_FENCING_TOKEN_ANNOUNCER_H_
