#include "core/membership/stale_fence_remover.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "core/model/http_status.h"
#include "core/model/records.h"

namespace pitchfall {
namespace {

constexpr Duration kListInterval = Millis(600000);
// The delay after a list or a deletion that failed.
constexpr Duration kRetryDelay = Millis(10000);
// The deletions leave so many write tokens to others.
constexpr double kReservedWrites = 1;

// The ownership that a write fence belongs to.
struct FencedOwnership {
  uint32_t partition = 0;
  uint64_t fencing_token = 0;
};

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

// Returns nullopt if the key is not that of a write fence.
std::optional<FencedOwnership> ParseFenceKey(std::string_view key) {
  if (!key.starts_with(keys::kWriteFences)) return std::nullopt;
  key.remove_prefix(std::string_view(keys::kWriteFences).size());
  size_t dot = key.find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  auto partition = ParseNumber<uint32_t>(key.substr(0, dot));
  auto fencing_token = ParseNumber<uint64_t>(key.substr(dot + 1));
  if (!partition || !fencing_token) return std::nullopt;
  return FencedOwnership{*partition, *fencing_token};
}

}  // namespace

void StaleFenceRemover::RunDueWork() {
  if (call_pending_ || !context_.state_watcher.IsFresh()) return;
  SteadyTime now = context_.now();
  if (!stale_.empty()) {
    if (context_.state_write_bucket.Take(now, 1, kReservedWrites)) DeleteNext();
    return;
  }
  if (now < next_list_ || !context_.state_request_bucket.Take(now, 1)) return;
  ListFences();
}

void StaleFenceRemover::ListFences() {
  call_pending_ = true;
  next_list_ = context_.now() + kListInterval;
  context_.outbox.CallState(
      ListRead{.prefix = keys::kWriteFences}, context_.tuning.state_timeout,
      guard_.Wrap([this](const StateReply& reply) { OnList(reply); }));
}

void StaleFenceRemover::OnList(const StateReply& reply) {
  call_pending_ = false;
  if (reply.status != http_status::kOk) {
    next_list_ = context_.now() + kRetryDelay;
    return;
  }
  for (const Change& row : reply.changes) {
    if (IsStale(row.key)) stale_.push_back(row.key);
  }
  // The next page is the first one, once these have been deleted.
  if (reply.more && !stale_.empty()) next_list_ = context_.now();
}

// Fencing tokens only rise, so an ownership with a lower one than the state
// cache shows has ended for good.
bool StaleFenceRemover::IsStale(const std::string& key) const {
  std::optional<FencedOwnership> ownership = ParseFenceKey(key);
  if (!ownership) return false;
  const auto* owner = context_.state_cache.FindPartition(ownership->partition);
  return owner != nullptr && ownership->fencing_token < owner->mod_revision;
}

void StaleFenceRemover::DeleteNext() {
  Transaction transaction;
  transaction.conditions.push_back({keys::Partition(0), fencing_token_});
  transaction.writes.push_back({stale_.front(), std::nullopt});
  context_.state_request_bucket.TakeOnCredit(context_.now(), 1);
  call_pending_ = true;
  context_.outbox.CallState(std::move(transaction),
                            context_.tuning.state_timeout,
                            guard_.Wrap([this](const StateReply& reply) {
                              call_pending_ = false;
                              if (reply.status == http_status::kOk) {
                                stale_.pop_front();
                              } else {
                                stale_.clear();
                                next_list_ = context_.now() + kRetryDelay;
                              }
                            }));
}

}  // namespace pitchfall
