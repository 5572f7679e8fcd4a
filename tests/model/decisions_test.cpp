// Regression test of the balancer's decisions: the service on fixed days with incidents. Update the expected
// values when decisions change on purpose.
#include <gtest/gtest.h>

#include <ostream>

#include "model/compare.hpp"
#include "model/side.hpp"

namespace merlinrun::model {
namespace {

// Below the cost of known regressions.
constexpr double kTolerance = 0.01;
constexpr std::size_t kDays = 6;

struct IncidentCase {
  const char* name;
  Incident::Kind kind;
  double part;
  double size;
  double service;  // mean over the days
};

void PrintTo(const IncidentCase& test_case, std::ostream* out) { *out << test_case.name; }

class DecisionsTest : public ::testing::TestWithParam<IncidentCase> {};

TEST_P(DecisionsTest, ServiceDoesNotRegress) {
  const IncidentCase& test_case = GetParam();
  ComparisonPlan plan;
  plan.scenario = DefaultScenario();
  plan.scenario.length_s = {30, 30};
  Incident incident;
  incident.kind = test_case.kind;
  incident.at_s = {8, 8};
  incident.part = {test_case.part, test_case.part};
  incident.size = {test_case.size, test_case.size};
  plan.scenario.incidents = {incident};
  plan.sides = {Side()};
  plan.first_look = plan.max_pairs = kDays;
  plan.threads = 2;
  double sum = 0;
  const Comparison played = Compare(plan, {}, {});
  for (const DayResult& day : played.days[0]) {
    EXPECT_TRUE(day.violation_messages.empty())
        << "seed " << day.seed << ": " << day.violation_messages.front();
    sum += day.service;
  }
  const double service = sum / kDays;
  RecordProperty("service", std::to_string(service));
  EXPECT_GT(service, test_case.service - kTolerance) << "it was " << test_case.service;
  EXPECT_LT(service, test_case.service + kTolerance)
      << "better than " << test_case.service << ": put the new figure here";
}

INSTANTIATE_TEST_SUITE_P(
    Incidents, DecisionsTest,
    ::testing::Values(IncidentCase{"Lost", Incident::Kind::kServersLost, 0.21, 1, 0.956},
                      IncidentCase{"Stall", Incident::Kind::kServersStall, 0.15, 1, 0.956},
                      IncidentCase{"Launch", Incident::Kind::kLaunch, 0, 1.6, 0.955},
                      IncidentCase{"Release", Incident::Kind::kRelease, 0.5, 1, 0.917},
                      IncidentCase{"Dear", Incident::Kind::kClassExpensive, 0.02, 20, 0.977}),
    [](const auto& one) { return one.param.name; });

}  // namespace
}  // namespace merlinrun::model
