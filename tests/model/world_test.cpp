// Whole days: what sides do wrong is found out, equal sides meet one world, and comparisons come out right.
#include "model/world.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "model/adapter.hpp"
#include "model/compare.hpp"
#include "model/report.hpp"
#include "model/side.hpp"
#include "model/store.hpp"
#include "wire.hpp"

namespace merlinrun::model {
namespace {

// A small fleet of one data centre, and short days, so that a test takes little.
Scenario Small() {
  Scenario scenario = DefaultScenario();
  scenario.name = "small";
  scenario.length_s = {20, 20};
  scenario.window_s = {5, 5};
  scenario.servers = {8, 10};
  scenario.sidecars = {20, 30};
  scenario.requests_per_s = {210, 240};
  return scenario;
}

// The same, whose servers keep keys warm and stand still now and then.
Scenario Keyed() {
  Scenario scenario = Small();
  scenario.keys = {300, 300};
  scenario.key_skew = {0.7, 0.7};
  scenario.warm_gain = {0.6, 0.6};
  scenario.warm_per_core = {20, 20};
  scenario.connection = {0, 0};
  scenario.sizes = {1, 1};
  for (ServerKind& kind : scenario.kinds) {
    kind.pause_ms = {200, 200};
    kind.pause_every_s = {3, 3};
  }
  return scenario;
}

Trouble Of(Trouble::Kind kind, double at = 5, double len = 5) {
  Trouble trouble;
  trouble.kind = kind;
  trouble.at_s = {at, at};
  trouble.len_s = {len, len};
  return trouble;
}

// Sidecars that do one thing wrong. Each sends a request to the server whose turn it is and passes on what
// comes.
enum class Wrong {
  kNothing,
  kSilent,         // never answers what failed
  kTwoAtOnce,      // sends each request to two servers
  kSendsAgain,     // sends again whatever came back, for any class
  kRefusesAll,     // says of all that failed that it is harmless to try again
  kIgnoresDrains,  // goes on sending to all servers that it ever heard of
  kLovesTheNew,    // sends everything to the server that started last
  kInvents,        // sends to a server that does not exist
};

class Simple : public Sidecars {
 public:
  Simple(Actions& actions, Wrong wrong) : actions_(actions), wrong_(wrong) {}
  void Start(std::uint32_t sidecar, const Settings&, std::uint64_t, Micros) override {
    lists_[sidecar].clear();
  }
  void Stop(std::uint32_t, Micros) override {}
  void OnServers(std::uint32_t sidecar, Micros, const ListUpdate& update) override {
    for (const ServerInfo& info : update.servers) {
      if (info.state != ServerInfo::State::kHealthy && wrong_ != Wrong::kIgnoresDrains)
        lists_[sidecar].erase(info.id);
      else
        lists_[sidecar][info.id] = info.started;
    }
  }
  void OnRequest(std::uint32_t sidecar, Micros, const Request& request) override {
    const auto& list = lists_[sidecar];
    if (list.empty()) return actions_.Refuse(sidecar, request.id, 0);
    actions_.Send(sidecar, request.id, wrong_ == Wrong::kInvents ? "00000000000fff" : Pick(list), 0);
    if (wrong_ == Wrong::kTwoAtOnce) actions_.Send(sidecar, request.id, Pick(list), 0);
  }
  void OnOutcome(std::uint32_t sidecar, Micros, const Outcome& outcome, std::string_view) override {
    if (outcome.request_done || wrong_ == Wrong::kSilent) return;
    if (wrong_ == Wrong::kSendsAgain && outcome.attempt < 3)
      return actions_.Send(sidecar, outcome.request, Pick(lists_[sidecar]), 0);
    if (wrong_ == Wrong::kRefusesAll) return actions_.Refuse(sidecar, outcome.request, 0);
    actions_.Fail(sidecar, outcome.request);
  }
  void OnClientGone(std::uint32_t, Micros, std::string_view) override {}
  void OnTimer(std::uint32_t, Micros, std::uint64_t) override {}
  void Flush(Micros) override {}

 private:
  std::string Pick(const std::map<std::string, Micros>& list) {
    if (wrong_ != Wrong::kLovesTheNew)
      return std::next(list.begin(), static_cast<std::ptrdiff_t>(++turn_ % list.size()))->first;
    const auto younger = [](const auto& a, const auto& b) { return a.second < b.second; };
    return std::max_element(list.begin(), list.end(), younger)->first;
  }
  Actions& actions_;
  const Wrong wrong_;
  std::size_t turn_ = 0;
  std::map<std::uint32_t, std::map<std::string, Micros>> lists_;
};

DayResult Play(Wrong wrong, const std::vector<Trouble>& troubles, std::uint64_t seed = 3) {
  Scenario scenario = Small();
  scenario.troubles = troubles;
  scenario.connections_per_core = {1'000, 1'000};  // else a server is full before it can be pushed over
  scenario.silent_notice_s = {1, 1};  // else it is sent much by those that take it for the old one
  Side side;
  side.make = [wrong](Actions& actions) { return std::make_unique<Simple>(actions, wrong); };
  return PlayDay(scenario, seed, side);
}

const std::vector<Trouble> kLost = {Of(Trouble::Kind::kServersLost)};

std::string First(const DayResult& day) { return day.lines.empty() ? "" : day.lines.front(); }

TEST(WorldTest, ASimpleSideThatKeepsTheRulesBreaksNone) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const DayResult day =
        Play(Wrong::kNothing, {Of(Trouble::Kind::kServersLost), Of(Trouble::Kind::kRelease, 12, 6)}, seed);
    EXPECT_TRUE(day.lines.empty()) << First(day);
    EXPECT_EQ(day.fault, "");
    EXPECT_GT(day.service, 0.3);
  }
}

struct Breach {
  Wrong wrong;
  std::size_t rule;
  std::vector<Trouble> troubles;
};

TEST(WorldTest, EachBrokenRuleIsFoundOutAndOutweighsAllService) {
  const Breach breaches[] = {{Wrong::kSilent, 1, kLost},
                             {Wrong::kTwoAtOnce, 2, {}},
                             {Wrong::kSendsAgain, 2, kLost},
                             {Wrong::kRefusesAll, 2, kLost},
                             {Wrong::kIgnoresDrains, 3, {Of(Trouble::Kind::kRelease)}},
                             {Wrong::kLovesTheNew, 4, kLost}};
  for (const Breach& breach : breaches) {
    const DayResult day = Play(breach.wrong, breach.troubles);
    for (std::size_t rule = 1; rule <= 4; ++rule) {
      EXPECT_EQ(day.broken[rule - 1] > 0, rule == breach.rule)
          << static_cast<int>(breach.wrong) << ", rule " << rule << ": " << First(day);
    }
    EXPECT_EQ(day.service, 0);
    EXPECT_GT(day.whole.of(), 0);
  }
}

TEST(WorldTest, ASideThatInventsServersHasFailed) {
  const DayResult day = Play(Wrong::kInvents, {});
  EXPECT_EQ(day.fault, "it sends to a server that was never listed");
  EXPECT_EQ(day.service, 0);
}

// All that chance decides of clients and servers is the same, however the sides act.
TEST(WorldTest, SidesThatActDifferentlyMeetTheSameWorld) {
  Scenario scenario = Small();
  scenario.troubles = {Of(Trouble::Kind::kServersLost), Of(Trouble::Kind::kClassDear, 8)};
  Side narrow =
      std::get<Side>(ParseSide("narrow:window_width=1,windows_per_server=0,servers_per_out=0,salt=5"));
  const DayResult one = PlayDay(scenario, 4, Side());
  const DayResult other = PlayDay(scenario, 4, narrow);
  EXPECT_NE(one.service, other.service);
  EXPECT_EQ(one.asked, other.asked);
  ASSERT_EQ(one.windows.size(), 4U);
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_EQ(one.windows[i].asked, other.windows[i].asked);
    EXPECT_EQ(one.classes[i].asked, other.classes[i].asked);
  }
}

TEST(WorldTest, EachTroubleIsFelt) {
  Scenario scenario = Small();
  const double calm = PlayDay(scenario, 2, Side()).service;
  const auto with = [&](std::vector<Trouble> troubles) {
    scenario.troubles = std::move(troubles);
    const DayResult day = PlayDay(scenario, 2, Side());
    EXPECT_TRUE(day.lines.empty()) << First(day);
    return day.service;
  };
  Trouble lost = Of(Trouble::Kind::kServersLost);
  lost.part = {0.4, 0.4};
  Trouble dear = Of(Trouble::Kind::kClassDear);
  dear.size = {20, 20};
  Trouble launch = Of(Trouble::Kind::kLaunch, 5, 10);
  launch.size = {2.5, 2.5};
  Trouble late = Of(Trouble::Kind::kListLate, 0, 20);
  late.size = {8, 8};
  EXPECT_LT(with({lost}), calm);
  EXPECT_LT(with({Of(Trouble::Kind::kServersStall)}), calm);
  EXPECT_LT(with({dear}), calm);
  EXPECT_LT(with({launch}), calm);
  EXPECT_LT(with({Of(Trouble::Kind::kSidecarsLost)}), calm);
  const double release = with({Of(Trouble::Kind::kRelease)});
  EXPECT_NE(release, calm);
  EXPECT_NE(with({Of(Trouble::Kind::kRelease), late}), release);
  EXPECT_NE(with({Of(Trouble::Kind::kRelease), Of(Trouble::Kind::kListDown, 0, 15)}), release);
}

// At a tick the sidecars hear of things together; little changes.
TEST(WorldTest, ATickChangesLittle) {
  Scenario scenario = Small();
  const DayResult exact = PlayDay(scenario, 6, Side());
  scenario.tick_ms = {5, 5};
  const DayResult ticked = PlayDay(scenario, 6, Side());
  EXPECT_TRUE(ticked.lines.empty());
  EXPECT_EQ(ticked.asked, exact.asked);
  EXPECT_NEAR(ticked.service, exact.service, 0.05);
}

Plan PlanOf(const std::vector<std::string>& sides, unsigned threads) {
  Plan plan;
  plan.scenario = Small();
  plan.scenario.troubles = {Of(Trouble::Kind::kServersLost)};
  for (const std::string& side : sides) plan.sides.push_back(std::get<Side>(ParseSide(side)));
  plan.most_pairs = 12;
  plan.threads = threads;
  return plan;
}

TEST(CompareTest, ReportsAreTheSameToTheByteOnOneThreadAndOnFour) {
  const std::vector<std::string> sides = {
      "now", "narrow:window_width=1,windows_per_server=0,servers_per_out=0", "salted:salt=1"};
  const Plan one = PlanOf(sides, 1);
  const Plan four = PlanOf(sides, 4);
  const Comparison by_one = Compare(one, {}, {});
  const Comparison by_four = Compare(four, {}, {});
  EXPECT_EQ(TextReport(one, by_one), TextReport(four, by_four));
  EXPECT_EQ(JsonReport(one, by_one), JsonReport(four, by_four));
  EXPECT_EQ(HtmlReport(one, by_one), HtmlReport(four, by_four));
  EXPECT_LT(by_one.differences[0].mean, -0.05);
  EXPECT_NE(by_one.differences[1].verdict, Verdict::kWorse);
  EXPECT_NE(by_one.differences[1].verdict, Verdict::kBetter);
}

// What the keys are kept warm for: a side that is not told of it warms each server a little.
TEST(CompareTest, ASideThatDoesNotUseWarmKeysIsWorse) {
  Plan plan = PlanOf({"now", "untold:warm_care=0"}, 2);
  plan.scenario = Keyed();
  plan.scenario.servers = {4, 5};  // too few for all the work, were no key warm
  const Comparison played = Compare(plan, {}, {});
  EXPECT_EQ(played.differences[0].verdict, Verdict::kWorse);
  EXPECT_LT(played.differences[0].mean, -0.02);
}

// A run that is stopped keeps what is done; one that goes on from it says what an undisturbed one says.
TEST(CompareTest, GoesOnFromWhereItWasStopped) {
  const std::string file = ::testing::TempDir() + "model-" + std::to_string(::getpid()) + ".days";
  const Plan plan = PlanOf({"now", "narrow:window_width=1,windows_per_server=0,servers_per_out=0"}, 2);
  std::atomic<bool> stop = false;
  std::size_t played = 0;
  {
    Store store(file, {"a", "b"});
    const Comparison stopped =
        Compare(plan, store.known(), {&stop, [&](std::size_t side, const DayResult& day) {
                                        store.Add(side, day);
                                        if (++played == 5) stop = true;
                                      }});
    EXPECT_TRUE(stopped.stopped);
  }
  std::ofstream(file, std::ios::app) << "{\"key\":\"a\",\"day\":{\"seed\"";  // a line that was cut off
  Store store(file, {"a", "b"});
  EXPECT_EQ(store.known().size(), played);
  const Comparison resumed = Compare(plan, store.known(), {});
  EXPECT_EQ(JsonReport(plan, resumed), JsonReport(plan, Compare(plan, {}, {})));
  EXPECT_TRUE(Store(file, {"c", "d"}).known().empty());
  std::remove(file.c_str());
}

TEST(CompareTest, ASideThatFailsIsAResultAndNotTheEnd) {
  Plan plan = PlanOf({"now", "broken"}, 2);
  plan.sides[1].make = [](Actions& actions) { return std::make_unique<Simple>(actions, Wrong::kInvents); };
  const Comparison comparison = Compare(plan, {}, {});
  EXPECT_EQ(comparison.differences[0].verdict, Verdict::kWorse);
  EXPECT_NE(TextReport(plan, comparison).find("it sends to a server that was never listed"),
            std::string::npos);
}

// A recording of one sidecar: a request each 20 ms for 10 s, every other one of another class.
record::Recording Recorded() {
  record::Recording out;
  out.header.classes = {"number-port", "sim-lookup"};
  for (std::uint32_t i = 0; i < 500; ++i) {
    record::Record record;
    record.arrival_time = 3'000'000 + 20'000 * i;
    record.request_class = i % 2;
    out.records.push_back(record);
  }
  std::swap(out.records[3], out.records[9]);  // they are in the order in which they ended
  return out;
}

TEST(ReplayTest, PlaysWhatWasRecorded) {
  const Scenario scenario = Small();
  const auto read = ReplayOf({Recorded()}, scenario);
  ASSERT_TRUE(std::holds_alternative<Replay>(read));
  Replay replay = std::get<Replay>(read);
  const auto first = StreamOf(replay, 0, 1, 20'000'000);
  ASSERT_EQ(first.size(), 1'000U);  // twice ten seconds
  EXPECT_EQ(first[7].at, 140'000);
  EXPECT_EQ(first[7].its_class, 0U);  // sim-lookup, by the scenario's numbers
  EXPECT_EQ(first[8].its_class, 3U);
  const auto second = StreamOf(replay, 1, 1, 20'000'000);
  EXPECT_EQ(second.size(), 1'000U);
  EXPECT_NE(second[0].at, first[0].at);
  replay.scale = 2.5;
  EXPECT_NEAR(static_cast<double>(StreamOf(replay, 0, 1, 20'000'000).size()), 2'450,
              80);  // copies past the end go
  replay.scale = 1;
  replay.resampled = true;
  const auto one = StreamOf(replay, 0, 1, 20'000'000);
  const auto other = StreamOf(replay, 0, 2, 20'000'000);
  EXPECT_NEAR(static_cast<double>(one.size()), 1'000, 40);
  EXPECT_NE(one[0].at + one[1].at + one[50].at, other[0].at + other[1].at + other[50].at);
  EXPECT_TRUE(
      std::is_sorted(one.begin(), one.end(), [](const auto& a, const auto& b) { return a.at < b.at; }));
}

TEST(ReplayTest, ADayOfRecordedTrafficHasItsRequestsAndNoneOfItsOwn) {
  Scenario scenario = Small();
  scenario.sidecars = {4, 4};
  const Replay replay = std::get<Replay>(ReplayOf({Recorded(), Recorded()}, scenario));
  const DayResult day = PlayDay(scenario, 1, Side(), &replay);
  EXPECT_EQ(day.asked, 4'000U);
  EXPECT_EQ(day.tries, 4'000U);
  EXPECT_EQ(day.classes[1].asked, 0);
  EXPECT_GT(day.service, 0.5);
}

TEST(ReplayTest, WhatDoesNotFitTheScenarioIsRefusedInOneLine) {
  record::Recording foreign = Recorded();
  foreign.header.classes[1] = "top-up";
  const auto error = [](const record::Recording& recording) {
    const auto read = ReplayOf({recording}, Small());
    return std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : "";
  };
  EXPECT_EQ(error(foreign), "the recording has class 'top-up', and the scenario has not");
  EXPECT_EQ(error(record::Recording()), "nothing was recorded");
}

// The same module within the process and as a program over the wire: not one figure may differ.
class SameOverTheWire : public ::testing::TestWithParam<double> {};

TEST_P(SameOverTheWire, AProgramOverTheWireIsTheSameToTheDigit) {
  Scenario scenario = Small();
  scenario.tick_ms = {GetParam(), GetParam()};
  scenario.troubles = {Of(Trouble::Kind::kServersLost), Of(Trouble::Kind::kSidecarsLost, 8, 2),
                       Of(Trouble::Kind::kRelease, 12, 6)};
  const auto side = ParseSide(std::string("old:program=") + FENNELHOLLOW_ADAPTER);
  ASSERT_TRUE(std::holds_alternative<Side>(side));
  const DayResult within = PlayDay(scenario, 5, Side());
  const DayResult over = PlayDay(scenario, 5, std::get<Side>(side));
  EXPECT_EQ(over.fault, "");
  EXPECT_EQ(ToJson(within).dump(), ToJson(over).dump());
}
TEST(AdapterTest, KeysAndSizesGoOverTheWireToo) {
  const auto side = ParseSide(std::string("old:program=") + FENNELHOLLOW_ADAPTER);
  const DayResult within = PlayDay(Keyed(), 5, Side());
  const DayResult over = PlayDay(Keyed(), 5, std::get<Side>(side));
  EXPECT_EQ(ToJson(within).dump(), ToJson(over).dump());
  Side untold;
  untold.warm_care = false;
  EXPECT_NE(ToJson(PlayDay(Keyed(), 5, untold)).dump(), ToJson(within).dump());
}

INSTANTIATE_TEST_SUITE_P(AtOnceAndAtATick, SameOverTheWire, ::testing::Values(0.0, 5.0));

std::string FaultOf(const std::string& program) {
  Scenario scenario = Small();
  scenario.length_s = {5, 5};
  return PlayDay(scenario, 1, std::get<Side>(ParseSide("bad:program=" + program))).fault;
}

TEST(AdapterTest, AProgramThatDoesNotSpeakTheWireIsAFault) {
  EXPECT_EQ(FaultOf("/nonexistent/program"), "its program ended or does not read");
  EXPECT_EQ(FaultOf("/bin/true").substr(0, 17), "its program ended");
}

// A script that stands in for an adapter: replies with these lines to every batch.
class Script {
 public:
  explicit Script(const std::string& lines)
      : path_(::testing::TempDir() + "adapter-" + std::to_string(::getpid())) {
    std::ofstream(path_) << "#!/bin/sh\nwhile read -r line; do\n  [ \"$line\" != COMMIT ] || printf '"
                         << lines << "'\ndone\n";
    std::filesystem::permissions(path_, std::filesystem::perms::owner_all);
  }
  ~Script() { std::filesystem::remove(path_); }
  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

TEST(AdapterTest, AWrongReplyIsAFaultThatNamesIt) {
  EXPECT_EQ(FaultOf(Script("ROUTE sidecar/1\\nDONE\\n").path()), "its program replied 'ROUTE sidecar/1'");
  EXPECT_EQ(FaultOf(Script("ROUTE sidecar/1 x y 0\\nDONE\\n").path()),
            "it sends a request that it does not hold");
  EXPECT_EQ(FaultOf(Script("SLEEP sidecar/1 soon 3\\nDONE\\n").path()),
            "its program replied 'SLEEP sidecar/1 soon 3'");
  EXPECT_EQ(FaultOf(Script("SLEEP sidecar/99999 1 3\\nDONE\\n").path()),
            "it acts for a sidecar that does not run");
  EXPECT_EQ(FaultOf(Script("FATAL sidecar/1 oh\\nDONE\\n").path()),
            "its decision code is broken: FATAL sidecar/1 oh");
  EXPECT_EQ(FaultOf(Script("DONE\\n").path()), "");  // it does nothing, which is its day's result
}

TEST(AdapterTest, SettingsComeOverTheWireAsTheyAre) {
  const Settings settings = SettingsOf(DrawDay(DefaultScenario(), 3));
  const Settings read = drill::ParseSettings(SettingsLine(settings)).settings;
  EXPECT_EQ(SettingsLine(read), SettingsLine(settings));
  ASSERT_EQ(read.classes.size(), 4U);
  EXPECT_EQ(read.classes[2].retry_safety, RetrySafety::kDeduplicated);
  EXPECT_EQ(read.classes[2].value, 10);
  EXPECT_EQ(read.cold_start_capacity, settings.cold_start_capacity);
  EXPECT_EQ(read.sidecar_count, settings.sidecar_count);
  EXPECT_EQ(read.max_retry_after, settings.max_retry_after);
}

}  // namespace
}  // namespace merlinrun::model
