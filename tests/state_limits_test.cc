// Tests the limits on writes to the state service after refusals and successes.
#include "core/state/state_limits.h"

#include <gtest/gtest.h>

#include <cstdint>

#include "core/model/settings.h"

namespace pitchfall {
namespace {

// Returns the limits for a state service with these announced limits.
StateLimits LimitsOf(double value_kb, uint32_t operations) {
  Deployment deployment;
  deployment.state.value_kb = value_kb;
  deployment.state.txn_ops = operations;
  return StateLimits(deployment);
}

void Accept(StateLimits& limits, int writes) {
  for (int n = 0; n < writes; ++n) limits.OnAccepted();
}

TEST(StateLimits, KeepATenthOfAValueInReserve) {
  StateLimits limits = LimitsOf(8, 64);
  EXPECT_EQ(limits.ValueBytes(), 8192u);
  EXPECT_EQ(limits.UsableValueBytes(), 7372u);
  EXPECT_EQ(limits.Operations(), 64u);
  EXPECT_FALSE(limits.Reduced());
}

TEST(StateLimits, AreTheSmallerOfPresentAndAnnouncedOnes) {
  Deployment deployment;
  deployment.state.value_kb = 64;
  deployment.state.txn_ops = 16;
  deployment.state_next = deployment.state;
  deployment.state_next->value_kb = 8;
  deployment.state_next->txn_ops = 128;
  StateLimits limits(deployment);
  EXPECT_EQ(limits.ValueBytes(), 8192u);
  EXPECT_EQ(limits.Operations(), 16u);
}

TEST(StateLimits, AreHalvedByRefusalsDownToAMinimum) {
  StateLimits limits = LimitsOf(8, 64);
  limits.OnRefused();
  EXPECT_TRUE(limits.Reduced());
  EXPECT_EQ(limits.ValueBytes(), 4096u);
  EXPECT_EQ(limits.Operations(), 32u);
  for (int n = 0; n < 10; ++n) limits.OnRefused();
  EXPECT_EQ(limits.ValueBytes(), 768u);
  EXPECT_EQ(limits.Operations(), 4u);
}

TEST(StateLimits, AreRestoredInStepsAsWritesSucceed) {
  StateLimits limits = LimitsOf(8, 64);
  limits.OnRefused();
  limits.OnRefused();
  Accept(limits, 199);
  EXPECT_EQ(limits.ValueBytes(), 2048u);
  Accept(limits, 1);
  EXPECT_EQ(limits.ValueBytes(), 4096u);
  Accept(limits, 200);
  EXPECT_FALSE(limits.Reduced());
}

TEST(StateLimits, RefusalResetsTheCountOfSuccessfulWrites) {
  StateLimits limits = LimitsOf(8, 64);
  limits.OnRefused();
  Accept(limits, 199);
  limits.OnRefused();
  Accept(limits, 1);
  EXPECT_EQ(limits.ValueBytes(), 2048u);
}

}  // namespace
}  // namespace pitchfall
