// What is counted, and the line that tells it.
#include "stats/interval_stats.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "../core/virtual_loop.hpp"
#include "../harness.hpp"
#include "stats/trace.hpp"

namespace merlinrun::stats {
namespace {

using core::CompletedRequest;
using merlinrun::testing::kMs;
using merlinrun::testing::MakeSettings;

CompletedRequest Over(CompletedRequest::Disposition end, Micros took, std::size_t attempts,
                      std::optional<Cause> why = {}) {
  CompletedRequest ended;
  ended.disposition = end;
  ended.duration = took;
  ended.attempts = attempts;
  ended.end_cause = why;
  return ended;
}

TEST(Account, CountsEachEndOnceAndIsTakenOutWhole) {
  Account account(MakeSettings());
  account.Add(Over(CompletedRequest::Disposition::kServed, 1000 * kMs, 1));
  account.Add(Over(CompletedRequest::Disposition::kServed, 1001 * kMs, 2));
  account.Add(Over(CompletedRequest::Disposition::kClientGone, 0, 1));
  account.Add(Over(CompletedRequest::Disposition::kRefused, 0, 0, Cause::kConcurrencyLimit));
  account.Add(Over(CompletedRequest::Disposition::kFailed, 0, 1, Cause::kReset));
  account.Add(Over(CompletedRequest::Disposition::kFailed, 0, 1));
  CompletedRequest foreign;
  foreign.request_class = 99;
  account.Add(foreign);
  const Stretch stretch = account.Take();
  const ClassAccount& c = stretch.classes.at(0);
  EXPECT_EQ(c.served, 1);
  EXPECT_EQ(c.late, 1);
  EXPECT_EQ(c.left, 1);
  EXPECT_EQ(c.untried, 1);
  EXPECT_EQ(c.tries, 6);
  EXPECT_EQ(c.refused[static_cast<std::size_t>(Cause::kConcurrencyLimit)], 1);
  EXPECT_EQ(c.failed[static_cast<std::size_t>(Cause::kReset)], 1);
  EXPECT_EQ(c.out_of_time, 1);
  EXPECT_EQ(account.Take().classes.at(0).tries, 0);
}

TEST(Account, HoldsABoundedNumberOfServers) {
  Account account(MakeSettings());
  for (int i = 0; i < 1000; ++i) account.Add({"s" + std::to_string(i), Result::kSuccess, 2 * kMs, 0});
  const Stretch stretch = account.Take();
  EXPECT_EQ(stretch.servers.size(), kServers + 1);
  const auto others = stretch.servers.find(kOtherServers);
  ASSERT_NE(others, stretch.servers.end());
  EXPECT_EQ(others->second.results[0], 1000 - static_cast<std::int64_t>(kServers));
}

TEST(TraceLine, LaysCausesBesideServers) {
  Account account(MakeSettings());
  account.Add(Over(CompletedRequest::Disposition::kRefused, 0, 0, Cause::kEjected));
  account.Add({"s1", Result::kTimeout, 70 * kMs, 0});
  BalancerSnapshot beliefs;
  beliefs.pools[0].servers = 1;
  BalancerSnapshot::Server server;
  server.id = "s1";
  server.in_window = true;
  server.ejected_for = 250 * kMs;
  beliefs.servers.push_back(server);
  const auto line =
      nlohmann::json::parse(TraceLine(5, MakeSettings(), account.Take(), beliefs, {1, 2, 3}, true));
  EXPECT_EQ(line["at"], 5);
  EXPECT_EQ(line["connections"], 3);
  EXPECT_EQ(line["classes"]["c"]["untried"].is_number(), true);
  EXPECT_EQ(line["servers"]["s1"]["left_alone"], 250);
  EXPECT_EQ(line["servers"]["s1"]["results"]["timeout"], 1);
  EXPECT_EQ(line["servers"]["s1"]["longest_ms"], 70);
}

TEST(TraceSettings, SayWhereTheyAreWrong) {
  const auto wrong = [](const char* text) {
    const auto read = ParseTraceSettings(text, "t.toml");
    const auto* const error = std::get_if<std::string>(&read);
    return error == nullptr ? std::string() : *error;
  };
  EXPECT_EQ(wrong("every_ms = 1000\nservers = false\n"), "");
  EXPECT_EQ(wrong("servers = true\n").substr(0, 7), "t.toml:");
  EXPECT_EQ(wrong("every_ms = 99\n"), "t.toml:1:12: every_ms: a whole number from 100 to 3600000 is needed");
  EXPECT_EQ(wrong("every_ms = 1000\nfile = 'x'\n"), "t.toml:2:8: 'file' is unknown or of the wrong kind");
  EXPECT_NE(wrong("every_ms = \n"), "");
}

}  // namespace
}  // namespace merlinrun::stats
