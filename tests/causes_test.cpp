// The causes of refusals and failures.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace merlinrun::testing {
namespace {

using Kind = Action::Kind;

class CausesTest : public BalancerTest {
 protected:
  // Fires the timers of the request until it ends, with `result` for each attempt.
  Action RunToEnd(std::vector<Action> actions, const std::string& id, Result result) {
    for (int attempt = 0; attempt < 20 && !actions.empty(); ++attempt) {
      const Action last = actions.back();
      if (last.kind == Kind::kRefuse || last.kind == Kind::kFail) return last;
      actions = last.kind == Kind::kTimer ? Fire(last) : Resolve(id, sent_++, result);
    }
    return {};
  }
  int sent_ = 0;
};

TEST_F(CausesTest, ReportsTheLastResult) {
  const std::vector<std::pair<Result, Cause>> cases = {
      {Result::kRefused, Cause::kRejected}, {Result::kUnreachable, Cause::kUnreachable},
      {Result::kReset, Cause::kReset},      {Result::kError, Cause::kServerError},
      {Result::kTimeout, Cause::kTimedOut}, {Result::kCancelled, Cause::kTimedOut}};
  for (const auto& [result, cause] : cases) {
    sent_ = 0;
    Start(MakeSettings(), 40);  // more than one request can eject
    EXPECT_EQ(RunToEnd(Arrive("r1"), "r1", result).why, cause)
        << kCauseNames[static_cast<std::size_t>(cause)];
  }
}

TEST_F(CausesTest, ReportsThatThereIsNoServer) {
  Start(MakeSettings(), 0);
  EXPECT_EQ(RunToEnd(Arrive("r1"), "r1", Result::kSuccess).why, Cause::kNoServer);
  Settings settings = MakeSettings();
  Start(settings, 2);
  std::vector<ServerInfo> others = MakeServers(2);
  for (ServerInfo& info : others) info.protocols = 2;
  List(ListUpdate::Kind::kFull, others);
  EXPECT_EQ(RunToEnd(Arrive("r2"), "r2", Result::kSuccess).why, Cause::kNoServer);
}

TEST_F(CausesTest, ReportsAnUnknownClass) {
  Start(MakeSettings(), 2);
  EXPECT_EQ(Arrive("r1", 99).back().why, Cause::kUnknownClass);
}

TEST_F(CausesTest, ReportsLoadShedding) {
  Start(MakeSettings(), 10);
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id)[0].kind == Kind::kSend)
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 900 * kMs, true, {}});
  }
  int refused_for_overload = 0;
  for (int i = 0; i < 20; ++i) {
    const auto actions = Arrive("q" + std::to_string(i));
    if (actions[0].kind != Kind::kRefuse) continue;
    EXPECT_EQ(actions[0].why, Cause::kOverload);
    ++refused_for_overload;
  }
  EXPECT_GT(refused_for_overload, 10);
}

TEST_F(CausesTest, TheSnapshotListsServersAndEjections) {
  Start(MakeSettings(), 4);
  BalancerSnapshot before = balancer_->TakeSnapshot(now_);
  ASSERT_EQ(before.servers.size(), 4U);
  EXPECT_EQ(before.servers[0].id, "s00");
  EXPECT_EQ(before.pools[0].servers, 4U);
  EXPECT_EQ(before.servers[0].ejected_for, 0);
  const auto sent = Arrive("r1");
  ASSERT_EQ(sent[0].kind, Kind::kSend);
  now_ += 1;
  Resolve("r1", 0, Result::kUnreachable);
  const BalancerSnapshot after = balancer_->TakeSnapshot(now_);
  for (const BalancerSnapshot::Server& server : after.servers)
    EXPECT_EQ(server.consecutive_ejections, server.id == sent[0].server ? 1 : 0) << server.id;
}

}  // namespace
}  // namespace merlinrun::testing
