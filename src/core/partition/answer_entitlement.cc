#include "core/partition/answer_entitlement.h"

namespace pitchfall {
namespace {

// The part of `Deployment::cancel_time_limit` that is left for the last answer
// to reach the worker and for the worker to stop the task.
constexpr Duration kCancelMargin = Millis(2000);

}  // namespace

bool AnswerEntitlement::MayAnswer() const {
  const Deployment& deployment = context_.deployment;
  Duration limit = deployment.cancel_time_limit -
                   WithDrift(deployment.worker_lease) - kCancelMargin;
  SteadyTime known_until =
      context_.cancellation_watermark.CancellationsKnownUntil(
          context_.state_watcher.current_as_of(), context_.now());
  return !deposed_ && context_.now() - known_until < limit;
}

void AnswerEntitlement::OnPeerClaim(const std::string& label,
                                    uint64_t fencing_token) {
  if (fencing_token <= term_.fencing_token) return;
  if (!deposed_) {
    context_.outbox.Log(LogLevel::kInfo,
                        "event=deposed partition={} by={} token={}",
                        term_.partition, label, fencing_token);
  }
  deposed_ = true;
  successor_ = label;
  context_.state_watcher.RequestRead();
}

bool AnswerEntitlement::OnFencingToken(uint64_t fencing_token) {
  if (fencing_token <= term_.fencing_token) return false;
  deposed_ = true;
  return true;
}

}  // namespace pitchfall
