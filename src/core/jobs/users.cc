#include "core/jobs/users.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/base/rendezvous_hash.h"
#include "core/model/limits.h"

namespace pitchfall {
namespace {

// A submission that could not be stored within this time is handed back to its
// user, who gives up waiting after five seconds.
constexpr Duration kMaxWait = Millis(2500);
// Polls wait two seconds for their answer.
constexpr Duration kMaxPollWait = Millis(1500);
constexpr size_t kMaxWaitingPolls = 2000;
// Starts and results come first, but they use up whatever there is. After so
// long a submission takes a token that the next of them will have to
// wait for.
constexpr Duration kSubmissionPatience = Millis(40);
constexpr double kSubmissionDebt = 2;
constexpr Duration kStoreInterval = Millis(15);
// Standing jobs wait until the last controller has been upgraded.
constexpr Duration kUpgradeRetry = Millis(2000);

}  // namespace

void Users::AnswerWith(RequestId request, const Job& job, bool counts) {
  context_.out.Answer(request, 200, Describe(job, counts));
}

Duration Users::RetryAfter() const {
  double rate = std::max(0.5, context_.writes.rate());
  double seconds = std::ceil(static_cast<double>(queue_.size()) / rate);
  return Seconds(std::clamp(seconds, 1.0, 20.0));
}

void Users::Submit(RequestId request, const JobSpec& spec) {
  if (const Job* job = context_.state_cache.FindJob(spec.id)) {
    if (job->record.final()) {
      AnswerWith(request, *job, false);
    } else {
      AnswerAfterNextRead(request, spec.id, false);
    }
    return;
  }
  if (!context_.state_watcher.Fresh() || !context_.state_cache.types()) {
    context_.out.Refuse(request, Millis(2000));
    return;
  }
  std::optional<Rejection> rejection = WhyImpossible(
      spec, context_.deployment, context_.state_cache.types()->value,
      context_.state_limits.ValueBytes());
  if (rejection) {
    context_.out.Answer(request, 422, Problem{rejection->message});
    return;
  }
  if (spec.shape == Shape::kService &&
      !context_.state_cache.AllNodesSupport(kStandingJobsVersion)) {
    context_.out.Refuse(request, kUpgradeRetry);
    return;
  }
  Change change;
  change.job = spec.id;
  change.spec = spec;
  change.requests.push_back(request);
  change.since = context_.now();
  Enqueue(std::move(change));
}

void Users::Poll(RequestId request, const std::string& id) {
  const Job* job = context_.state_cache.FindJob(id);
  if (job != nullptr && job->record.final()) {
    AnswerWith(request, *job, true);
    return;
  }
  AnswerAfterNextRead(request, id, true);
}

void Users::AnswerAfterNextRead(RequestId request, const std::string& id,
                                bool counts) {
  if (polls_.size() >= kMaxWaitingPolls) {
    context_.out.Refuse(request, Millis(2000));
    return;
  }
  polls_.push_back({request, id, counts, context_.now()});
}

void Users::ServePolls() {
  if (polls_.empty()) return;
  // A state service that does not answer must not keep users waiting.
  if (!context_.state_watcher.Fresh()) {
    for (const WaitingPoll& poll : std::exchange(polls_, {})) {
      context_.out.Refuse(poll.request, Millis(2000));
    }
    return;
  }
  std::erase_if(polls_, [&](const WaitingPoll& poll) {
    if (context_.now() - poll.since < kMaxPollWait) return false;
    context_.out.Refuse(poll.request, Millis(2000));
    return true;
  });
  if (serving_polls_ || polls_.empty()) return;
  serving_polls_ = true;
  context_.state_watcher.AfterNextRead(
      [this, polls = std::exchange(polls_, {})](bool ok) {
        serving_polls_ = false;
        for (const WaitingPoll& poll : polls) {
          const Job* job = context_.state_cache.FindJob(poll.job);
          if (!ok) {
            context_.out.Refuse(poll.request, Millis(2000));
          } else if (job == nullptr) {
            context_.out.Answer(poll.request, 404, Problem{"no such job"});
          } else {
            AnswerWith(poll.request, *job, poll.counts);
          }
        }
      });
}

void Users::Cancel(RequestId request, const std::string& id) {
  const Job* job = context_.state_cache.FindJob(id);
  if (job != nullptr && job->record.final()) {
    AnswerWith(request, *job, false);
    return;
  }
  if (!context_.state_watcher.Fresh()) {
    context_.out.Refuse(request, Millis(2000));
    return;
  }
  auto enqueue = [this, request, id] {
    Change change;
    change.cancel = true;
    change.job = id;
    change.requests.push_back(request);
    change.since = context_.now();
    Enqueue(std::move(change));
  };
  if (job != nullptr) {
    enqueue();
    return;
  }
  context_.state_watcher.AfterNextRead([this, request, id, enqueue](bool ok) {
    if (!ok) {
      context_.out.Refuse(request, Millis(2000));
    } else if (context_.state_cache.FindJob(id) == nullptr) {
      context_.out.Answer(request, 404, Problem{"no such job"});
    } else {
      enqueue();
    }
  });
}

void Users::Enqueue(Change change) {
  for (Change& waiting : queue_) {
    if (waiting.job == change.job && waiting.cancel == change.cancel) {
      waiting.requests.insert(waiting.requests.end(), change.requests.begin(),
                              change.requests.end());
      return;
    }
  }
  if (change.cancel) {
    queue_.push_front(std::move(change));
    return;
  }
  // More than can be stored in time is sent away at once, with the time by
  // which the queue will have been worked off.
  double waiting = static_cast<double>(queue_.size());
  if (waiting >= std::max(4.0, context_.writes.rate() * 1.5)) {
    Refuse(change, RetryAfter());
    return;
  }
  queue_.push_back(std::move(change));
}

void Users::Refuse(const Change& change, Duration retry_after) {
  for (RequestId request : change.requests) {
    context_.out.Refuse(request, retry_after);
  }
}

JobRecord Users::MakeRecord(const JobSpec& spec) {
  JobRecord record;
  record.spec = spec;
  record.submitted = context_.out.now().wall;
  record.chunk_size = std::max((spec.tasks + kMaxChunks - 1) / kMaxChunks,
                               context_.tuning.chunk_tasks);
  // A gang starts as one: one partition has to find capacity for all of it.
  if (spec.shape == Shape::kGang) record.chunk_size = spec.tasks;
  // Each replica by itself, so that one that is lost can go to whichever
  // partition has capacity while the others run.
  if (spec.shape == Shape::kService) {
    record.chunk_size = (spec.tasks + kMaxChunks - 1) / kMaxChunks;
  }
  // The roomiest partition takes the job; if it has not capacity for all of it,
  // the partitions take its chunks in turn, unless these depend on each other.
  SteadyTime now = context_.now();
  auto anywhere =
      static_cast<uint32_t>(StableHash(spec.id, 0) % context_.partition_count);
  auto [home, capacity] = context_.capacity_table.MostFreeCapacity(
      spec, anywhere, std::nullopt, now);
  if (spec.shape == Shape::kService) home = HomeOfService(spec, home);
  bool together = spec.one_zone || spec.spread;
  record.home = home;
  record.spread_over =
      spec.tasks <= capacity || together ? 1 : context_.partition_count;
  if (record.spread_over == 1) {
    context_.capacity_table.Reserve(home, spec, spec.tasks);
  }
  return record;
}

// Services with the same image share a partition as far as it has capacity:
// most of its machines soon have the image, and a replica that need not fetch
// it starts several seconds sooner.
uint32_t Users::HomeOfService(const JobSpec& spec, uint32_t otherwise) const {
  auto first = static_cast<uint32_t>(StableHash(spec.image, 0));
  for (uint32_t n = 0; n < context_.partition_count; ++n) {
    uint32_t partition = (first + n) % context_.partition_count;
    if (context_.capacity_table.Tasks(partition, spec, context_.now()) >=
        spec.tasks) {
      return partition;
    }
  }
  return otherwise;
}

void Users::Step() {
  ServePolls();
  std::erase_if(queue_, [&](const Change& change) {
    if (context_.now() - change.since < kMaxWait) return false;
    Refuse(change, RetryAfter());
    return true;
  });
  Flush();
}

void Users::Flush() {
  SteadyTime now = context_.now();
  if (storing_ || queue_.empty() || now < next_store_) return;
  bool patient = now - queue_.back().since < kSubmissionPatience;
  double spare = patient ? 0 : -kSubmissionDebt;
  Transaction txn;
  std::vector<Change> batch;
  size_t bytes = 0;
  while (!queue_.empty() && batch.size() < context_.state_limits.Operations()) {
    Change& change = queue_.front();
    const Job* job = context_.state_cache.FindJob(change.job);
    if (job != nullptr && (job->record.final() || !change.cancel)) {
      for (RequestId request : change.requests) {
        if (job->record.final()) {
          AnswerWith(request, *job, false);
        } else {
          AnswerAfterNextRead(request, change.job, false);
        }
      }
      queue_.pop_front();
      continue;
    }
    const JobSpec& spec = change.cancel ? job->spec() : change.spec;
    bytes += MaxRecordBytes(spec) + 2 * kOperationBytes;
    if (!batch.empty() && bytes > kTransactionBytes) break;
    if (!context_.writes.Take(now, 1, change.cancel ? -2 : spare)) break;
    if (change.cancel) {
      txn.conditions.push_back({keys::Job(change.job), job->mod_revision});
      txn.writes.push_back({keys::Job(change.job),
                            FinalRecord(job->record, JobState::kCancelled,
                                        context_.state_limits.ValueBytes())});
    } else {
      txn.conditions.push_back({keys::Job(change.job), 0});
      txn.writes.push_back({keys::Job(change.job), MakeRecord(change.spec)});
    }
    batch.push_back(std::move(change));
    queue_.pop_front();
  }
  if (batch.empty()) return;
  context_.requests.Take(now, 1, -1e9);
  storing_ = true;
  auto handler = [this, batch = std::move(batch),
                  txn](const StateReply& reply) mutable {
    OnStored(std::move(batch), txn, reply);
  };
  context_.out.CallState(std::move(txn), context_.tuning.state_timeout,
                         std::move(handler));
}

void Users::OnStored(std::vector<Change> batch, const Transaction& txn,
                     const StateReply& reply) {
  storing_ = false;
  next_store_ = context_.now() + kStoreInterval;
  if (reply.status == 200) {
    for (const Write& write : txn.writes) {
      context_.state_cache.Apply({write.key, write.value, reply.revision});
    }
    for (const Change& change : batch) {
      cancelled_ += change.cancel;
      JobAnswer answer;
      answer.id = change.job;
      answer.status = change.cancel ? JobAnswer::Status::kCancelled
                                    : JobAnswer::Status::kQueued;
      for (RequestId request : change.requests) {
        context_.out.Answer(request, change.cancel ? 200 : 201, answer);
      }
    }
    return;
  }
  if (reply.status == 429) {
    context_.writes.Drain(context_.now());
    next_store_ = context_.now() + Millis(100);
  }
  if (reply.status == 409 || reply.status == 429) {
    // Somebody else was quicker with one of them: look, then try again.
    auto retry = [this, batch = std::move(batch)](bool) mutable {
      for (Change& change : batch) {
        queue_.push_front(std::move(change));
      }
    };
    if (reply.status == 409) {
      context_.state_watcher.AfterNextRead(std::move(retry));
    } else {
      retry(true);
    }
    return;
  }
  // Refused, or no answer: then the outcome is unknown, and a late copy may
  // still be carried out. A job's key is only ever created once, so that the
  // user's next try finds out.
  context_.state_watcher.RequestRead();
  next_store_ = context_.now() + Millis(200);
  for (const Change& change : batch) Refuse(change, Millis(1000));
}

}  // namespace pitchfall
