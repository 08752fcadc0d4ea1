#include "core/partition/transaction_builder.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "core/model/limits.h"
#include "core/partition/record_sizes.h"
#include "core/state/segments.h"

namespace pitchfall {
namespace {

// The bytes of the quotes and the comma of a JSON string in a list.
constexpr size_t kListEntryBytes = 3;
// A team's record takes the bytes of one more small record for every so many
// quota shares.
constexpr size_t kSharesPerSmallRecord = 8;

}  // namespace

void TransactionBuilder::Draft::AddCondition(std::string key,
                                             uint64_t mod_revision) {
  transaction.conditions.push_back({std::move(key), mod_revision});
}

void TransactionBuilder::Draft::AddPut(std::string key, Record record,
                                       size_t record_bytes) {
  bytes += record_bytes;
  transaction.writes.push_back({std::move(key), std::move(record), 0});
}

std::optional<Transaction> TransactionBuilder::Build(
    const PendingTransaction& pending, uint64_t write_fence) const {
  Draft draft;
  draft.AddCondition(keys::Partition(term_.partition), term_.fencing_token);
  draft.AddCondition(keys::WriteFence(term_.partition, term_.fencing_token),
                     write_fence);
  AddJobs(draft, pending);
  if (pending.load) AddLoad(draft, *pending.load);
  AddTeams(draft, pending);
  if (!AddSegments(draft, pending)) return std::nullopt;
  return std::move(draft.transaction);
}

void TransactionBuilder::AddJobs(Draft& draft,
                                 const PendingTransaction& pending) const {
  // A start must not be stored after a cancellation, nor in a chunk that has
  // been transferred. Both change the job's record, whose modification revision
  // is therefore a condition.
  std::map<std::string, uint64_t> revisions;
  for (const Job* job : pending.starting_jobs) {
    revisions[job->spec().id] = job->mod_revision;
  }
  for (const std::string& id : pending.done_jobs) {
    const Job* job = context_.state_cache.FindJob(id);
    revisions[id] = job->mod_revision;
    JobRecord record = FinalRecord(job->record, JobState::kDone,
                                   context_.state_limits.ValueBytes());
    size_t bytes = RecordBytes(record);
    draft.AddPut(keys::Job(id), std::move(record), bytes);
  }
  for (const auto& [id, owners] : pending.transfers) {
    const Job* job = context_.state_cache.FindJob(id);
    revisions[id] = job->mod_revision;
    JobRecord record = job->record;
    record.owners = owners;
    size_t bytes = RecordBytes(record);
    draft.AddPut(keys::Job(id), std::move(record), bytes);
  }
  for (const Job* job : pending.ordered_start_jobs) {
    const std::string& id = job->spec().id;
    if (pending.transfers.contains(id)) continue;
    draft.AddPut(keys::Job(id), job->record, RecordBytes(job->record));
  }
  for (const auto& [id, revision] : revisions) {
    draft.AddCondition(keys::Job(id), revision);
  }
}

void TransactionBuilder::AddLoad(Draft& draft, const LoadRecord& load) const {
  size_t bytes = kSmallRecordBytes;
  for (const std::string& id : load.failing) {
    bytes += id.size() + kListEntryBytes;
  }
  draft.AddPut(keys::Load(term_.partition), load, bytes);
}

void TransactionBuilder::AddTeams(Draft& draft,
                                  const PendingTransaction& pending) const {
  const auto& stored_teams = context_.state_cache.teams();
  for (const auto& [name, record] : pending.teams) {
    auto stored = stored_teams.find(name);
    bool is_new = stored == stored_teams.end();
    draft.AddCondition(keys::Team(name),
                       is_new ? 0 : stored->second.mod_revision);
    size_t small_records = 1 + record.shares.size() / kSharesPerSmallRecord;
    draft.AddPut(keys::Team(name), record, kSmallRecordBytes * small_records);
  }
}

bool TransactionBuilder::AddSegments(Draft& draft,
                                     const PendingTransaction& pending) const {
  if (pending.chunks.empty()) return true;
  std::vector<SegmentRecord::Entry> changed;
  for (const auto& [key, change] : pending.chunks) {
    changed.push_back({key.first, key.second, change.record});
  }
  Transaction& transaction = draft.transaction;
  size_t operations = context_.state_limits.Operations();
  SegmentLimits limits;
  limits.value_bytes = context_.state_limits.UsableValueBytes();
  limits.writes = operations - std::min(operations, pending.other_puts());
  // Each segment adds a condition and a write.
  size_t operation_count = transaction.conditions.size() +
                           transaction.writes.size() + 2 * limits.writes;
  size_t bytes = draft.bytes + kOperationBytes * operation_count;
  limits.total_bytes = kTransactionBytes - std::min(kTransactionBytes, bytes);
  auto segments =
      PlanSegments(context_.state_cache, term_.partition, changed, limits);
  if (!segments) return false;
  for (SegmentWrite& segment : *segments) {
    std::string key = keys::Segment(term_.partition, segment.slot);
    draft.AddCondition(key, segment.mod_revision);
    transaction.writes.push_back({key, std::move(segment.segment), 0});
  }
  return true;
}

}  // namespace pitchfall
