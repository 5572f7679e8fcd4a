// Tests the statistics per interval and the trace line.
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

CompletedRequest Completed(CompletedRequest::Disposition disposition, Micros duration, std::size_t attempts,
                           std::optional<Cause> why = {}) {
  CompletedRequest completed;
  completed.disposition = disposition;
  completed.duration = duration;
  completed.attempts = attempts;
  completed.end_cause = why;
  return completed;
}

TEST(IntervalCollector, CountsEachRequestOnceAndTakeResets) {
  IntervalCollector collector(MakeSettings());
  collector.Add(Completed(CompletedRequest::Disposition::kServed, 1000 * kMs, 1));
  collector.Add(Completed(CompletedRequest::Disposition::kServed, 1001 * kMs, 2));
  collector.Add(Completed(CompletedRequest::Disposition::kClientGone, 0, 1));
  collector.Add(Completed(CompletedRequest::Disposition::kRefused, 0, 0, Cause::kConcurrencyLimit));
  collector.Add(Completed(CompletedRequest::Disposition::kFailed, 0, 1, Cause::kReset));
  collector.Add(Completed(CompletedRequest::Disposition::kFailed, 0, 1));
  CompletedRequest unknown_class;
  unknown_class.request_class = 99;
  collector.Add(unknown_class);
  const IntervalStats interval_stats = collector.Take();
  const ClassStats& c = interval_stats.classes.at(0);
  EXPECT_EQ(c.served, 1);
  EXPECT_EQ(c.late, 1);
  EXPECT_EQ(c.client_gone, 1);
  EXPECT_EQ(c.without_attempt, 1);
  EXPECT_EQ(c.attempt_count, 6);
  EXPECT_EQ(c.refused[static_cast<std::size_t>(Cause::kConcurrencyLimit)], 1);
  EXPECT_EQ(c.failed[static_cast<std::size_t>(Cause::kReset)], 1);
  EXPECT_EQ(c.deadline_exceeded, 1);
  EXPECT_EQ(collector.Take().classes.at(0).attempt_count, 0);
}

TEST(IntervalCollector, BoundsTheNumberOfServers) {
  IntervalCollector collector(MakeSettings());
  for (int i = 0; i < 1000; ++i) collector.Add({"s" + std::to_string(i), Result::kSuccess, 2 * kMs, 0});
  const IntervalStats interval_stats = collector.Take();
  EXPECT_EQ(interval_stats.servers.size(), kMaxServers + 1);
  const auto others = interval_stats.servers.find(kOtherServers);
  ASSERT_NE(others, interval_stats.servers.end());
  EXPECT_EQ(others->second.results[0], 1000 - static_cast<std::int64_t>(kMaxServers));
}

TEST(TraceLine, ReportsCausesAndServers) {
  IntervalCollector collector(MakeSettings());
  collector.Add(Completed(CompletedRequest::Disposition::kRefused, 0, 0, Cause::kEjected));
  collector.Add({"s1", Result::kTimeout, 70 * kMs, 0});
  BalancerSnapshot snapshot;
  snapshot.pools[0].servers = 1;
  BalancerSnapshot::Server server;
  server.id = "s1";
  server.in_window = true;
  server.ejected_for = 250 * kMs;
  snapshot.servers.push_back(server);
  const auto line =
      nlohmann::json::parse(TraceLine(5, MakeSettings(), collector.Take(), snapshot, {1, 2, 3}, true));
  EXPECT_EQ(line["at"], 5);
  EXPECT_EQ(line["connections"], 3);
  EXPECT_EQ(line["classes"]["c"]["untried"].is_number(), true);
  EXPECT_EQ(line["servers"]["s1"]["left_alone"], 250);
  EXPECT_EQ(line["servers"]["s1"]["results"]["timeout"], 1);
  EXPECT_EQ(line["servers"]["s1"]["longest_ms"], 70);
}

TEST(TraceSettings, ErrorsNameTheirPosition) {
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
