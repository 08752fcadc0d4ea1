// Tests how the size of segments is bounded in advance and how a full ring is
// extended.
#include "core/state/segments.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/state/segment_filler.h"
#include "core/state/state_cache.h"

namespace pitchfall {
namespace {

// Returns chunk 0 of a job whose first `tasks` tasks are bound, each to a
// machine of its own.
SegmentRecord::Entry EntryWithTasks(const std::string& job, uint32_t tasks) {
  ChunkRecord chunk;
  for (uint32_t task = 0; task < tasks; ++task) {
    chunk.assigned.push_back({task, 1, "m-" + std::to_string(task), "zone-a"});
  }
  return {job, 0, chunk};
}

std::vector<std::string> JobsIn(const SegmentRecord& segment) {
  std::vector<std::string> jobs;
  for (const auto& entry : segment.entries) jobs.push_back(entry.job);
  return jobs;
}

// Stores segments and their jobs in a state cache, each at a revision of its
// own.
class SegmentsTest : public ::testing::Test {
 protected:
  void Store(uint32_t slot, const SegmentRecord& segment) {
    for (const auto& entry : segment.entries) {
      JobRecord job;
      job.spec.id = entry.job;
      job.spec.tasks = 100;
      job.chunk_size = 100;
      cache_.Apply({keys::Job(entry.job), job, ++revision_});
    }
    cache_.Apply({keys::Segment(kPartition, slot), segment, ++revision_});
  }

  static constexpr uint32_t kPartition = 0;
  StateCache cache_;
  uint64_t revision_ = 0;
};

TEST(SegmentFiller, RefusedEntryChangesNothing) {
  SegmentFiller filler(200);
  ASSERT_TRUE(filler.Add(EntryWithTasks("a", 1)));
  size_t size = filler.size();
  EXPECT_FALSE(filler.Add(EntryWithTasks("b", 50)));
  EXPECT_FALSE(filler.Add(EntryWithTasks("c", 1), size));
  EXPECT_EQ(filler.size(), size);
  EXPECT_EQ(JobsIn(filler.segment()), std::vector<std::string>{"a"});
}

TEST(SegmentFiller, MachineIsCountedOnceASegment) {
  SegmentFiller filler(SIZE_MAX);
  size_t empty = filler.size();
  filler.Add(EntryWithTasks("a", 5));
  size_t first = filler.size() - empty;
  filler.Add(EntryWithTasks("b", 5));
  size_t second = filler.size() - empty - first;
  // The five machines are counted in the first entry only, with name, zone and
  // 8 bytes each.
  EXPECT_EQ(first - second, 5 * (3 + 6 + 8));
}

TEST(SegmentFiller, MaxEntryBytesGrowsWithBoundTasks) {
  size_t unbound = MaxEntryBytes(EntryWithTasks("a", 0));
  SegmentFiller filler(SIZE_MAX);
  filler.Add(EntryWithTasks("a", 0));
  EXPECT_EQ(unbound, filler.size());
  EXPECT_GT(MaxEntryBytes(EntryWithTasks("a", 10)), unbound);
}

TEST_F(SegmentsTest, UnwrittenSlotIsFilledFirst) {
  Store(0, {{EntryWithTasks("a", 1)}});
  auto writes = PlanSegments(cache_, kPartition, {EntryWithTasks("b", 1)},
                             {1000, 1000, 1});
  ASSERT_TRUE(writes);
  ASSERT_EQ(writes->size(), 1u);
  EXPECT_EQ(writes->front().slot, 1u);
  EXPECT_EQ(writes->front().mod_revision, 0u);
  EXPECT_EQ(JobsIn(writes->front().segment), std::vector<std::string>{"b"});
}

TEST_F(SegmentsTest, OldestSlotIsOverwrittenWithItsLiveEntriesCopied) {
  for (uint32_t slot = 0; slot < kMinSlots; ++slot) {
    Store(slot, {{EntryWithTasks("run-" + std::to_string(slot), 1)}});
  }
  auto writes = PlanSegments(cache_, kPartition, {EntryWithTasks("new", 1)},
                             {1000, 1000, 1});
  ASSERT_TRUE(writes);
  ASSERT_EQ(writes->size(), 1u);
  EXPECT_EQ(writes->front().slot, 0u);
  EXPECT_EQ(writes->front().mod_revision,
            cache_.FindSegment(kPartition, 0)->mod_revision);
  EXPECT_EQ(JobsIn(writes->front().segment),
            (std::vector<std::string>{"new", "run-0"}));
}

TEST_F(SegmentsTest, ExtensionStopsAtTheFirstOldEntryThatDoesNotFit) {
  Store(0, {{EntryWithTasks("small", 1), EntryWithTasks("large", 60),
             EntryWithTasks("small-too", 1)}});
  for (uint32_t slot = 1; slot < kMinSlots; ++slot) {
    Store(slot, {{EntryWithTasks("run-" + std::to_string(slot), 1)}});
  }
  auto writes = PlanSegments(cache_, kPartition, {EntryWithTasks("new", 1)},
                             {1000, 1000, 1});
  ASSERT_TRUE(writes);
  ASSERT_EQ(writes->size(), 1u);
  EXPECT_EQ(writes->front().slot, kMinSlots);
  EXPECT_EQ(writes->front().mod_revision, 0u);
  EXPECT_EQ(JobsIn(writes->front().segment),
            (std::vector<std::string>{"new", "small"}));
}

TEST_F(SegmentsTest, RingIsNotExtendedBeyondItsMaximumSize) {
  Store(0, {{EntryWithTasks("large", 60)}});
  for (uint32_t slot = 1; slot + 1 < kMaxSlots; ++slot) Store(slot, {});
  const SegmentLimits limits{1000, 1000, 1};
  auto extended =
      PlanSegments(cache_, kPartition, {EntryWithTasks("new", 1)}, limits);
  ASSERT_TRUE(extended);
  EXPECT_EQ(extended->front().slot, kMaxSlots - 1);
  Store(kMaxSlots - 1, {});
  EXPECT_FALSE(
      PlanSegments(cache_, kPartition, {EntryWithTasks("new", 1)}, limits));
}

}  // namespace
}  // namespace pitchfall
