// Whole simulated days: rule violations are detected, sides see the same random events; comparisons, replay
// and the adapter protocol work.
#include "model/simulation.hpp"

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

// A small fleet in one data centre with short days, to keep tests fast.
Scenario SmallFleet() {
  Scenario scenario = DefaultScenario();
  scenario.name = "small";
  scenario.length_s = {20, 20};
  scenario.window_s = {5, 5};
  scenario.servers = {8, 10};
  scenario.sidecars = {20, 30};
  scenario.requests_per_s = {210, 240};
  return scenario;
}

// SmallFleet with warm keys and server pauses.
Scenario KeyedFleet() {
  Scenario scenario = SmallFleet();
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

Incident MakeIncident(Incident::Kind kind, double at = 5, double len = 5) {
  Incident incident;
  incident.kind = kind;
  incident.at_s = {at, at};
  incident.len_s = {len, len};
  return incident;
}

// Sidecars with one defect. Otherwise they use round robin and forward each outcome.
enum class Misbehavior {
  kNothing,
  kNeverAnswers,      // no answer after a failed attempt
  kParallelAttempts,  // two attempts at once
  kAlwaysRetries,     // retries after any outcome, for all classes
  kAlwaysRefuses,     // refuses after any failure, which tells clients to retry
  kIgnoresDrains,     // keeps draining servers in its list
  kPrefersNewest,     // sends everything to the newest server
  kUnknownServer,     // sends to a server that doesn't exist
};

class FaultySidecars : public Sidecars {
 public:
  FaultySidecars(Actions& actions, Misbehavior misbehavior) : actions_(actions), misbehavior_(misbehavior) {}
  void Start(std::uint32_t sidecar, const Settings&, std::uint64_t, Micros) override {
    lists_[sidecar].clear();
  }
  void Stop(std::uint32_t, Micros) override {}
  void OnServers(std::uint32_t sidecar, Micros, const ListUpdate& update) override {
    for (const ServerInfo& info : update.servers) {
      if (info.state != ServerInfo::State::kHealthy && misbehavior_ != Misbehavior::kIgnoresDrains)
        lists_[sidecar].erase(info.id);
      else
        lists_[sidecar][info.id] = info.started;
    }
  }
  void OnRequest(std::uint32_t sidecar, Micros, const Request& request) override {
    const auto& list = lists_[sidecar];
    if (list.empty()) return actions_.Refuse(sidecar, request.id, 0);
    actions_.Send(sidecar, request.id,
                  misbehavior_ == Misbehavior::kUnknownServer ? "00000000000fff" : PickServer(list), 0);
    if (misbehavior_ == Misbehavior::kParallelAttempts)
      actions_.Send(sidecar, request.id, PickServer(list), 0);
  }
  void OnOutcome(std::uint32_t sidecar, Micros, const Outcome& outcome, std::string_view) override {
    if (outcome.request_done || misbehavior_ == Misbehavior::kNeverAnswers) return;
    if (misbehavior_ == Misbehavior::kAlwaysRetries && outcome.attempt < 3)
      return actions_.Send(sidecar, outcome.request, PickServer(lists_[sidecar]), 0);
    if (misbehavior_ == Misbehavior::kAlwaysRefuses) return actions_.Refuse(sidecar, outcome.request, 0);
    actions_.Fail(sidecar, outcome.request);
  }
  void OnClientGone(std::uint32_t, Micros, std::string_view) override {}
  void OnTimer(std::uint32_t, Micros, std::uint64_t) override {}
  void Flush(Micros) override {}

 private:
  std::string PickServer(const std::map<std::string, Micros>& list) {
    if (misbehavior_ != Misbehavior::kPrefersNewest)
      return std::next(list.begin(), static_cast<std::ptrdiff_t>(++next_ % list.size()))->first;
    const auto younger = [](const auto& a, const auto& b) { return a.second < b.second; };
    return std::max_element(list.begin(), list.end(), younger)->first;
  }
  Actions& actions_;
  const Misbehavior misbehavior_;
  std::size_t next_ = 0;
  std::map<std::uint32_t, std::map<std::string, Micros>> lists_;
};

DayResult SimulateWith(Misbehavior misbehavior, const std::vector<Incident>& incidents,
                       std::uint64_t seed = 3) {
  Scenario scenario = SmallFleet();
  scenario.incidents = incidents;
  scenario.connections_per_core = {1'000, 1'000};  // else connections run out before the server is overloaded
  scenario.silent_notice_s = {1, 1};  // else too much comes from sidecars that don't know of the restart
  Side side;
  side.make_sidecars = [misbehavior](Actions& actions) {
    return std::make_unique<FaultySidecars>(actions, misbehavior);
  };
  return SimulateDay(scenario, seed, side);
}

const std::vector<Incident> kServerLoss = {MakeIncident(Incident::Kind::kServersLost)};

std::string FirstViolation(const DayResult& day) {
  return day.violation_messages.empty() ? "" : day.violation_messages.front();
}

TEST(SimulationTest, RoundRobinKeepsTheRules) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const DayResult day = SimulateWith(
        Misbehavior::kNothing,
        {MakeIncident(Incident::Kind::kServersLost), MakeIncident(Incident::Kind::kRelease, 12, 6)}, seed);
    EXPECT_TRUE(day.violation_messages.empty()) << FirstViolation(day);
    EXPECT_EQ(day.fault, "");
    EXPECT_GT(day.service, 0.3);
  }
}

struct ExpectedViolation {
  Misbehavior misbehavior;
  std::size_t rule;
  std::vector<Incident> incidents;
};

TEST(SimulationTest, EachViolationIsDetectedAndZeroesService) {
  const ExpectedViolation cases[] = {
      {Misbehavior::kNeverAnswers, 1, kServerLoss},
      {Misbehavior::kParallelAttempts, 2, {}},
      {Misbehavior::kAlwaysRetries, 2, kServerLoss},
      {Misbehavior::kAlwaysRefuses, 2, kServerLoss},
      {Misbehavior::kIgnoresDrains, 3, {MakeIncident(Incident::Kind::kRelease)}},
      {Misbehavior::kPrefersNewest, 4, kServerLoss}};
  for (const ExpectedViolation& expected : cases) {
    const DayResult day = SimulateWith(expected.misbehavior, expected.incidents);
    for (std::size_t rule = 1; rule <= 4; ++rule) {
      EXPECT_EQ(day.violations[rule - 1] > 0, rule == expected.rule)
          << static_cast<int>(expected.misbehavior) << ", rule " << rule << ": " << FirstViolation(day);
    }
    EXPECT_EQ(day.service, 0);
    EXPECT_GT(day.total.ratio(), 0);
  }
}

TEST(SimulationTest, SendingToUnknownServerFails) {
  const DayResult day = SimulateWith(Misbehavior::kUnknownServer, {});
  EXPECT_EQ(day.fault, "it sends to a server that was never listed");
  EXPECT_EQ(day.service, 0);
}

// Random events of clients and servers must not depend on how a side acts.
TEST(SimulationTest, SidesSeeTheSameRandomEvents) {
  Scenario scenario = SmallFleet();
  scenario.incidents = {MakeIncident(Incident::Kind::kServersLost),
                        MakeIncident(Incident::Kind::kClassExpensive, 8)};
  Side narrow =
      std::get<Side>(ParseSide("narrow:window_width=1,windows_per_server=0,servers_per_out=0,salt=5"));
  const DayResult one = SimulateDay(scenario, 4, Side());
  const DayResult other = SimulateDay(scenario, 4, narrow);
  EXPECT_NE(one.service, other.service);
  EXPECT_EQ(one.requests, other.requests);
  ASSERT_EQ(one.windows.size(), 4U);
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_EQ(one.windows[i].requested, other.windows[i].requested);
    EXPECT_EQ(one.classes[i].requested, other.classes[i].requested);
  }
}

TEST(SimulationTest, EachIncidentChangesService) {
  Scenario scenario = SmallFleet();
  const double baseline = SimulateDay(scenario, 2, Side()).service;
  const auto with = [&](std::vector<Incident> incidents) {
    scenario.incidents = std::move(incidents);
    const DayResult day = SimulateDay(scenario, 2, Side());
    EXPECT_TRUE(day.violation_messages.empty()) << FirstViolation(day);
    return day.service;
  };
  Incident lost = MakeIncident(Incident::Kind::kServersLost);
  lost.part = {0.4, 0.4};
  Incident expensive = MakeIncident(Incident::Kind::kClassExpensive);
  expensive.size = {20, 20};
  Incident launch = MakeIncident(Incident::Kind::kLaunch, 5, 10);
  launch.size = {2.5, 2.5};
  Incident late = MakeIncident(Incident::Kind::kListLate, 0, 20);
  late.size = {8, 8};
  EXPECT_LT(with({lost}), baseline);
  EXPECT_LT(with({MakeIncident(Incident::Kind::kServersStall)}), baseline);
  EXPECT_LT(with({expensive}), baseline);
  EXPECT_LT(with({launch}), baseline);
  EXPECT_LT(with({MakeIncident(Incident::Kind::kSidecarsLost)}), baseline);
  const double release = with({MakeIncident(Incident::Kind::kRelease)});
  EXPECT_NE(release, baseline);
  EXPECT_NE(with({MakeIncident(Incident::Kind::kRelease), late}), release);
  EXPECT_NE(with({MakeIncident(Incident::Kind::kRelease), MakeIncident(Incident::Kind::kListDown, 0, 15)}),
            release);
}

// With ticks, sidecars get events in batches, which must change little.
TEST(SimulationTest, TicksChangeLittle) {
  Scenario scenario = SmallFleet();
  const DayResult exact = SimulateDay(scenario, 6, Side());
  scenario.tick_ms = {5, 5};
  const DayResult ticked = SimulateDay(scenario, 6, Side());
  EXPECT_TRUE(ticked.violation_messages.empty());
  EXPECT_EQ(ticked.requests, exact.requests);
  EXPECT_NEAR(ticked.service, exact.service, 0.05);
}

ComparisonPlan PlanOf(const std::vector<std::string>& sides, unsigned threads) {
  ComparisonPlan plan;
  plan.scenario = SmallFleet();
  plan.scenario.incidents = {MakeIncident(Incident::Kind::kServersLost)};
  for (const std::string& side : sides) plan.sides.push_back(std::get<Side>(ParseSide(side)));
  plan.max_pairs = 12;
  plan.threads = threads;
  return plan;
}

TEST(CompareTest, ReportsDoNotDependOnThreadCount) {
  const std::vector<std::string> sides = {
      "now", "narrow:window_width=1,windows_per_server=0,servers_per_out=0", "salted:salt=1"};
  const ComparisonPlan one = PlanOf(sides, 1);
  const ComparisonPlan four = PlanOf(sides, 4);
  const Comparison by_one = Compare(one, {}, {});
  const Comparison by_four = Compare(four, {}, {});
  EXPECT_EQ(TextReport(one, by_one), TextReport(four, by_four));
  EXPECT_EQ(JsonReport(one, by_one), JsonReport(four, by_four));
  EXPECT_EQ(HtmlReport(one, by_one), HtmlReport(four, by_four));
  EXPECT_LT(by_one.differences[0].mean, -0.05);
  EXPECT_NE(by_one.differences[1].verdict, Verdict::kWorse);
  EXPECT_NE(by_one.differences[1].verdict, Verdict::kBetter);
}

// A side that isn't told about warm keys spreads each key over all servers.
TEST(CompareTest, IgnoringWarmKeysIsWorse) {
  ComparisonPlan plan = PlanOf({"now", "untold:warm_care=0"}, 2);
  plan.scenario = KeyedFleet();
  plan.scenario.servers = {4, 5};  // enough only with warm keys
  const Comparison played = Compare(plan, {}, {});
  EXPECT_EQ(played.differences[0].verdict, Verdict::kWorse);
  EXPECT_LT(played.differences[0].mean, -0.02);
}

// A resumed run gives the same report as an uninterrupted one.
TEST(CompareTest, ResumesAfterStop) {
  const std::string file = ::testing::TempDir() + "model-" + std::to_string(::getpid()) + ".days";
  const ComparisonPlan plan =
      PlanOf({"now", "narrow:window_width=1,windows_per_server=0,servers_per_out=0"}, 2);
  std::atomic<bool> stop = false;
  std::size_t played = 0;
  {
    DayStore store(file, {"a", "b"});
    const Comparison stopped =
        Compare(plan, store.completed(), {&stop, [&](std::size_t side, const DayResult& day) {
                                            store.Add(side, day);
                                            if (++played == 5) stop = true;
                                          }});
    EXPECT_TRUE(stopped.stopped);
  }
  std::ofstream(file, std::ios::app) << "{\"key\":\"a\",\"day\":{\"seed\"";  // a truncated line
  DayStore store(file, {"a", "b"});
  EXPECT_EQ(store.completed().size(), played);
  const Comparison resumed = Compare(plan, store.completed(), {});
  EXPECT_EQ(JsonReport(plan, resumed), JsonReport(plan, Compare(plan, {}, {})));
  EXPECT_TRUE(DayStore(file, {"c", "d"}).completed().empty());
  std::remove(file.c_str());
}

TEST(CompareTest, FailingSideIsReported) {
  ComparisonPlan plan = PlanOf({"now", "broken"}, 2);
  plan.sides[1].make_sidecars = [](Actions& actions) {
    return std::make_unique<FaultySidecars>(actions, Misbehavior::kUnknownServer);
  };
  const Comparison comparison = Compare(plan, {}, {});
  EXPECT_EQ(comparison.differences[0].verdict, Verdict::kWorse);
  EXPECT_NE(TextReport(plan, comparison).find("it sends to a server that was never listed"),
            std::string::npos);
}

// A recording of one sidecar: a request every 20 ms for 10 s, alternating between two classes.
record::Recording SampleRecording() {
  record::Recording out;
  out.header.classes = {"number-port", "sim-lookup"};
  for (std::uint32_t i = 0; i < 500; ++i) {
    record::Record record;
    record.arrival_time = 3'000'000 + 20'000 * i;
    record.request_class = i % 2;
    out.records.push_back(record);
  }
  std::swap(out.records[3], out.records[9]);  // recordings are ordered by completion
  return out;
}

TEST(ReplayTest, ReplaysRecordedTraffic) {
  const Scenario scenario = SmallFleet();
  const auto read = MakeReplay({SampleRecording()}, scenario);
  ASSERT_TRUE(std::holds_alternative<Replay>(read));
  Replay replay = std::get<Replay>(read);
  const auto first = SidecarTraffic(replay, 0, 1, 20'000'000);
  ASSERT_EQ(first.size(), 1'000U);  // the ten seconds twice
  EXPECT_EQ(first[7].at, 140'000);
  EXPECT_EQ(first[7].class_index, 0U);  // sim-lookup in the scenario
  EXPECT_EQ(first[8].class_index, 3U);
  const auto second = SidecarTraffic(replay, 1, 1, 20'000'000);
  EXPECT_EQ(second.size(), 1'000U);
  EXPECT_NE(second[0].at, first[0].at);
  replay.scale = 2.5;
  EXPECT_NEAR(static_cast<double>(SidecarTraffic(replay, 0, 1, 20'000'000).size()), 2'450,
              80);  // copies past the end are dropped
  replay.scale = 1;
  replay.resampled = true;
  const auto one = SidecarTraffic(replay, 0, 1, 20'000'000);
  const auto other = SidecarTraffic(replay, 0, 2, 20'000'000);
  EXPECT_NEAR(static_cast<double>(one.size()), 1'000, 40);
  EXPECT_NE(one[0].at + one[1].at + one[50].at, other[0].at + other[1].at + other[50].at);
  EXPECT_TRUE(
      std::is_sorted(one.begin(), one.end(), [](const auto& a, const auto& b) { return a.at < b.at; }));
}

TEST(ReplayTest, ReplayedDayHasOnlyRecordedRequests) {
  Scenario scenario = SmallFleet();
  scenario.sidecars = {4, 4};
  const Replay replay = std::get<Replay>(MakeReplay({SampleRecording(), SampleRecording()}, scenario));
  const DayResult day = SimulateDay(scenario, 1, Side(), &replay);
  EXPECT_EQ(day.requests, 4'000U);
  EXPECT_EQ(day.tries, 4'000U);
  EXPECT_EQ(day.classes[1].requested, 0);
  EXPECT_GT(day.service, 0.5);
}

TEST(ReplayTest, RejectsUnsuitableRecordings) {
  record::Recording foreign = SampleRecording();
  foreign.header.classes[1] = "top-up";
  const auto error = [](const record::Recording& recording) {
    const auto read = MakeReplay({recording}, SmallFleet());
    return std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : "";
  };
  EXPECT_EQ(error(foreign), "the recording has class 'top-up', and the scenario has not");
  EXPECT_EQ(error(record::Recording()), "nothing was recorded");
}

// The balancer in the process and behind the adapter protocol must give identical results.
class AdapterEquivalenceTest : public ::testing::TestWithParam<double> {};

TEST_P(AdapterEquivalenceTest, MatchesInProcessResults) {
  Scenario scenario = SmallFleet();
  scenario.tick_ms = {GetParam(), GetParam()};
  scenario.incidents = {MakeIncident(Incident::Kind::kServersLost),
                        MakeIncident(Incident::Kind::kSidecarsLost, 8, 2),
                        MakeIncident(Incident::Kind::kRelease, 12, 6)};
  const auto side = ParseSide(std::string("old:program=") + FENNELHOLLOW_ADAPTER);
  ASSERT_TRUE(std::holds_alternative<Side>(side));
  const DayResult within = SimulateDay(scenario, 5, Side());
  const DayResult over = SimulateDay(scenario, 5, std::get<Side>(side));
  EXPECT_EQ(over.fault, "");
  EXPECT_EQ(ToJson(within).dump(), ToJson(over).dump());
}
TEST(AdapterTest, TransfersKeysAndWeights) {
  const auto side = ParseSide(std::string("old:program=") + FENNELHOLLOW_ADAPTER);
  const DayResult within = SimulateDay(KeyedFleet(), 5, Side());
  const DayResult over = SimulateDay(KeyedFleet(), 5, std::get<Side>(side));
  EXPECT_EQ(ToJson(within).dump(), ToJson(over).dump());
  Side untold;
  untold.warm_care = false;
  EXPECT_NE(ToJson(SimulateDay(KeyedFleet(), 5, untold)).dump(), ToJson(within).dump());
}

INSTANTIATE_TEST_SUITE_P(WithAndWithoutTicks, AdapterEquivalenceTest, ::testing::Values(0.0, 5.0));

std::string FaultOf(const std::string& program) {
  Scenario scenario = SmallFleet();
  scenario.length_s = {5, 5};
  return SimulateDay(scenario, 1, std::get<Side>(ParseSide("bad:program=" + program))).fault;
}

TEST(AdapterTest, InvalidProgramIsAFault) {
  EXPECT_EQ(FaultOf("/nonexistent/program"), "its program ended or does not read");
  EXPECT_EQ(FaultOf("/bin/true").substr(0, 17), "its program ended");
}

// A script in place of an adapter, which replies to every batch with these lines.
class AdapterScript {
 public:
  explicit AdapterScript(const std::string& lines)
      : path_(::testing::TempDir() + "adapter-" + std::to_string(::getpid())) {
    std::ofstream(path_) << "#!/bin/sh\nwhile read -r line; do\n  [ \"$line\" != COMMIT ] || printf '"
                         << lines << "'\ndone\n";
    std::filesystem::permissions(path_, std::filesystem::perms::owner_all);
  }
  ~AdapterScript() { std::filesystem::remove(path_); }
  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

TEST(AdapterTest, InvalidReplyIsReported) {
  EXPECT_EQ(FaultOf(AdapterScript("ROUTE sidecar/1\\nDONE\\n").path()),
            "its program replied 'ROUTE sidecar/1'");
  EXPECT_EQ(FaultOf(AdapterScript("ROUTE sidecar/1 x y 0\\nDONE\\n").path()),
            "it sends a request that it does not hold");
  EXPECT_EQ(FaultOf(AdapterScript("SLEEP sidecar/1 soon 3\\nDONE\\n").path()),
            "its program replied 'SLEEP sidecar/1 soon 3'");
  EXPECT_EQ(FaultOf(AdapterScript("SLEEP sidecar/99999 1 3\\nDONE\\n").path()),
            "it acts for a sidecar that does not run");
  EXPECT_EQ(FaultOf(AdapterScript("FATAL sidecar/1 oh\\nDONE\\n").path()),
            "its decision code is broken: FATAL sidecar/1 oh");
  EXPECT_EQ(FaultOf(AdapterScript("DONE\\n").path()), "");  // no actions are valid
}

TEST(AdapterTest, SettingsRoundTrip) {
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
