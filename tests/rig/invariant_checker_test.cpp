// The invariant checker itself: executions of one request at several servers at once.
#include "rig/invariant_checker.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace merlinrun::rig {
namespace {

const TrafficClass kSafeClass{"lookup", RetrySafety::kSafe};
const TrafficClass kUnsafeClass{"port", RetrySafety::kNever};
const std::string kId = "c-1";
const std::string kExecutedTwice = "invariant 2: c-1 was executed twice at once, the second time by s-2";

class InvariantCheckerTest : public ::testing::Test {
 protected:
  void Execute(const std::string& server, const bool& connection_reset) {
    checker_.OnExecutionStart(kId, server, server + "/1", [&connection_reset] { return connection_reset; });
  }

  InvariantChecker checker_;
  bool first_reset_ = false;
  bool second_reset_ = false;
};

TEST_F(InvariantCheckerTest, ASafeRequestRunsAtOneServerAtATime) {
  checker_.OnRequest(kId, kSafeClass, 0);
  Execute("s-1", first_reset_);
  Execute("s-2", second_reset_);
  EXPECT_EQ(checker_.violations(), std::vector<std::string>{kExecutedTwice});
}

TEST_F(InvariantCheckerTest, ASafeRequestMayBeRetriedWhileItRunsBehindAResetConnection) {
  checker_.OnRequest(kId, kSafeClass, 0);
  Execute("s-1", first_reset_);
  first_reset_ = true;
  Execute("s-2", second_reset_);
  EXPECT_EQ(checker_.violation_count(), 0U);
}

TEST_F(InvariantCheckerTest, ARetryMayOvertakeTheAttemptWhoseConnectionWasReset) {
  checker_.OnRequest(kId, kSafeClass, 0);
  first_reset_ = true;
  Execute("s-2", second_reset_);
  Execute("s-1", first_reset_);
  EXPECT_EQ(checker_.violation_count(), 0U);
}

TEST_F(InvariantCheckerTest, AResetConnectionAllowsOneFurtherExecutionOnly) {
  checker_.OnRequest(kId, kSafeClass, 0);
  first_reset_ = true;
  const bool third_reset = false;
  Execute("s-1", first_reset_);
  Execute("s-3", third_reset);
  Execute("s-2", second_reset_);
  EXPECT_EQ(checker_.violations(), std::vector<std::string>{kExecutedTwice});
}

TEST_F(InvariantCheckerTest, AnEndedExecutionDoesNotCount) {
  checker_.OnRequest(kId, kSafeClass, 0);
  Execute("s-1", first_reset_);
  checker_.OnExecutionEnd(kId, "s-1/1");
  Execute("s-2", second_reset_);
  EXPECT_EQ(checker_.violation_count(), 0U);
}

TEST_F(InvariantCheckerTest, AResetDoesNotExcuseAnUnsafeRequest) {
  checker_.OnRequest(kId, kUnsafeClass, 0);
  Execute("s-1", first_reset_);
  first_reset_ = true;
  Execute("s-2", second_reset_);
  EXPECT_EQ(checker_.violations(),
            (std::vector<std::string>{kExecutedTwice,
                                      "invariant 2: c-1 (port) ran twice, the second time at s-2"}));
}

}  // namespace
}  // namespace merlinrun::rig
