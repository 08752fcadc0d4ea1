#include "core/membership/fencing_token_announcer.h"

#include <utility>

#include "core/base/rendezvous_hash.h"
#include "core/model/http_status.h"

namespace pitchfall {
namespace {

constexpr Duration kWorkerCallTimeout = Millis(2000);
// Workers whose owner has ended find the new one on their own within a few
// seconds.
constexpr Duration kFirstPageDelay = Millis(1000);
constexpr Duration kPageInterval = Millis(2500);
// The number of pages requested in all. After the last page of the list the
// first one is requested again.
constexpr int kMaxPages = 6;
// Inspections in flight at a time. After a takeover there may be thousands of
// workers, and most of them send a heartbeat before they are inspected.
constexpr int kMaxInspections = 32;

}  // namespace

FencingTokenAnnouncer::FencingTokenAnnouncer(
    Context& context, uint32_t partition, uint64_t fencing_token,
    std::function<bool(const std::string&)> has_seen_fencing_token)
    : context_(context),
      partition_(partition),
      fencing_token_(fencing_token),
      has_seen_fencing_token_(std::move(has_seen_fencing_token)),
      next_page_(context.now() + kFirstPageDelay) {}

void FencingTokenAnnouncer::RunDueWork() {
  CallWaitingWorkers();
  FetchNextPage();
}

// Requests one page at a time, each for a token of the cloud's rate: when pages
// were taken on credit, they kept the leader from scaling out after restarts.
void FencingTokenAnnouncer::FetchNextPage() {
  SteadyTime now = context_.now();
  if (fetching_ || pages_asked_for_ >= kMaxPages || now < next_page_) return;
  if (!context_.state_watcher.IsFresh() ||
      !context_.cloud_call_bucket.Take(now, 1))
    return;
  ++pages_asked_for_;
  fetching_ = true;
  context_.outbox.CallCloud(
      ListMachines{last_listed_}, context_.tuning.cloud_timeout,
      [this, alive = std::weak_ptr<int>(alive_)](const CloudReply& reply) {
        if (!alive.expired()) OnPage(reply);
      });
}

void FencingTokenAnnouncer::OnPage(const CloudReply& reply) {
  for (const ListedMachine& listed : reply.listed) {
    bool mine =
        PartitionOf(listed.name, context_.partition_count) == partition_;
    if (mine && !listed.address.empty() &&
        listed.status != MachineStatus::kFailed) {
      waiting_.push_back(listed);
    }
  }
  if (reply.status == http_status::kOk) {
    bool more = reply.more && !reply.listed.empty();
    last_listed_ = more ? reply.listed.back().name : "";
  }
  fetching_ = false;
  next_page_ = context_.now() + kPageInterval;
}

void FencingTokenAnnouncer::CallWaitingWorkers() {
  while (inspecting_ < kMaxInspections && !waiting_.empty()) {
    ListedMachine listed = std::move(waiting_.front());
    waiting_.pop_front();
    if (!has_seen_fencing_token_(listed.name)) Inspect(listed);
  }
}

void FencingTokenAnnouncer::Inspect(const ListedMachine& listed) {
  ++inspecting_;
  context_.outbox.CallWorker(
      listed.address, InspectWorker{}, kWorkerCallTimeout,
      [this, listed,
       alive = std::weak_ptr<int>(alive_)](const WorkerReply& reply) {
        if (alive.expired()) return;
        --inspecting_;
        if (!reply.heartbeat ||
            reply.heartbeat->fencing_token >= fencing_token_)
          return;
        SendFencingToken(listed, reply.heartbeat->agent_epoch);
      });
}

void FencingTokenAnnouncer::SendFencingToken(const ListedMachine& listed,
                                             uint64_t agent_epoch) {
  context_.outbox.Log(LogLevel::kInfo,
                      "event=show_token partition={} machine={} token={}",
                      partition_, listed.name, fencing_token_);
  context_.outbox.CallWorker(listed.address,
                             CommandWorker{fencing_token_, agent_epoch, {}},
                             kWorkerCallTimeout, [](const WorkerReply&) {});
}

}  // namespace pitchfall
