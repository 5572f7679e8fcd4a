// Scenario files and the command-line syntax of sides: round trip, defaults, error positions.
#include "model/scenario.hpp"

#include <gtest/gtest.h>

#include "model/side.hpp"

namespace merlinrun::model {
namespace {

std::string ParseErrorOf(const std::string& text) {
  const auto read = ParseScenario(text, "day.toml");
  const auto* const error = std::get_if<std::string>(&read);
  return error == nullptr ? "" : *error;
}

TEST(ScenarioTest, RoundTrips) {
  Scenario scenario = DefaultScenario();
  scenario.name = "launch";
  scenario.requests_per_s = {2'900, 3'100.5};
  Incident expensive;
  expensive.kind = Incident::Kind::kClassExpensive;
  expensive.target_class = "activate";
  expensive.size = {12, 28};
  Incident lost;
  scenario.incidents = {expensive, lost};
  const std::string printed = PrintScenario(scenario);
  const auto read = ParseScenario(printed, "day.toml");
  ASSERT_TRUE(std::holds_alternative<Scenario>(read)) << std::get<std::string>(read);
  EXPECT_EQ(PrintScenario(std::get<Scenario>(read)), printed);
  EXPECT_EQ(std::get<Scenario>(read).incidents[0].target_class, "activate");
}

TEST(ScenarioTest, OmittedParametersKeepDefaults) {
  const auto read = ParseScenario("[fleet]\nservers = 5\n", "day.toml");
  ASSERT_TRUE(std::holds_alternative<Scenario>(read));
  EXPECT_EQ(std::get<Scenario>(read).servers.low, 5);
  EXPECT_EQ(std::get<Scenario>(read).sidecars.low, DefaultScenario().sidecars.low);
  EXPECT_EQ(std::get<Scenario>(read).classes.size(), 4U);
}

TEST(ScenarioTest, ErrorsHavePositions) {
  EXPECT_EQ(ParseErrorOf("[fleet]\nservers = 0\n"),
            "day.toml:2:11: servers: a number from 1 to 4000, or a range [low, high] of such, is needed");
  EXPECT_EQ(ParseErrorOf("[fleet]\nservers = [9, 8]\n"),
            "day.toml:2:11: servers: a number from 1 to 4000, or a range [low, high] of such, is needed");
  EXPECT_EQ(ParseErrorOf("[fleet]\nserver = 9\n"), "day.toml:2:10: unknown figure 'server'");
  EXPECT_EQ(ParseErrorOf("[flet]\n"), "day.toml:1:1: unknown part 'flet'");
  EXPECT_EQ(ParseErrorOf("fleet = 3\n"), "day.toml:1:9: fleet: a table is needed");
  EXPECT_NE(ParseErrorOf("[fleet\n").find("day.toml:1:"), std::string::npos);
  EXPECT_NE(ParseErrorOf("[[trouble]]\nkind = \"flood\"\n").find("kind: one of servers-lost, "),
            std::string::npos);
  EXPECT_NE(ParseErrorOf("[[trouble]]\nkind = \"class-dear\"\nclass = \"x\"\n").find("there is no class 'x'"),
            std::string::npos);
  EXPECT_NE(
      ParseErrorOf("[[class]]\nname = \"a\"\nrepeat = \"safe\"\n[[class]]\nname = \"a\"\nrepeat = \"safe\"\n")
          .find("class 'a' stands there twice"),
      std::string::npos);
  EXPECT_NE(ParseErrorOf("[[class]]\nname = \"a\"\nrepeat = \"safe\"\nshare = 0\n").find("share: all kinds"),
            std::string::npos);
  EXPECT_NE(ParseErrorOf("kind = 3\n").find("[[kind]] tables are needed"), std::string::npos);
}

TEST(ScenarioTest, DaysAreDrawnBySeed) {
  const Scenario scenario = DefaultScenario();
  const Scenario one = DrawDay(scenario, 1);
  EXPECT_EQ(PrintScenario(one), PrintScenario(DrawDay(scenario, 1)));
  EXPECT_NE(PrintScenario(one), PrintScenario(DrawDay(scenario, 2)));
  EXPECT_GE(one.servers.low, 47);
  EXPECT_LE(one.servers.low, 53);
  EXPECT_EQ(one.servers.low, one.servers.high);
}

TEST(SideTest, ParsesCommandLineForm) {
  const auto side = ParseSide("wide:window_width=6,jitter=0.5,cold_care=0,warm_care=0,salt=3");
  ASSERT_TRUE(std::holds_alternative<Side>(side));
  EXPECT_EQ(std::get<Side>(side).tuning.window_width, 6U);
  EXPECT_EQ(std::get<Side>(side).tuning.jitter, 0.5);
  EXPECT_FALSE(std::get<Side>(side).cold_care);
  EXPECT_FALSE(std::get<Side>(side).warm_care);
  EXPECT_EQ(std::get<Side>(side).salt, 3U);
  for (const char* const bad :
       {"", "a b", "a:width=3", "a:jitter=2", "a:jitter", "a:jitter=x", "a:out_from=3"})
    EXPECT_TRUE(std::holds_alternative<std::string>(ParseSide(bad))) << bad;
}

}  // namespace
}  // namespace merlinrun::model
