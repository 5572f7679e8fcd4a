#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mesh/egress/lookup.hpp"

namespace fennelhollow::egress {
namespace {

using Kind = RouteMatch::Kind;

std::shared_ptr<const configuration::RoutingTables> TablesOf(const std::string& resources) {
  const auto change_result =
      configuration::ReplicatedState().Evaluate(false, R"({"version":1,"resourceList":[)" + resources + "]}");
  INFO(change_result.error);
  REQUIRE(change_result.kind == configuration::ChangeResult::Kind::kAccepted);
  auto tables = configuration::RoutingTables::Build(
      configuration::ReplicatedState::Parse(change_result.next_state)->newest());
  REQUIRE(tables.ok());
  return *tables;
}

const std::string kServices =
    R"({"resourceKind":"services","metadata":{"name":"a"},"specification":{}},
       {"resourceKind":"services","metadata":{"name":"b"},"specification":{}})";
const std::string kRoutes =
    R"(,{"resourceKind":"routes","metadata":{"name":"safe"},"specification":{"host":"h","pathPrefix":"/safe/",
         "kind":"safe","timeoutMs":1000,"targetLatencyMs":300,"priority":2,
         "trafficSplit":[{"service":"a","weight":90},{"service":"b","weight":10}]}},
        {"resourceKind":"routes","metadata":{"name":"pay"},"specification":{"host":"h","pathPrefix":"/pay/",
         "kind":"unsafe","timeoutMs":1000,"priority":1,"service":"a"}},
        {"resourceKind":"routes","metadata":{"name":"open"},"specification":{"host":"h","pathPrefix":"/open/",
         "kind":"safe","timeoutMs":1000,"service":"a","public":true}})";
const std::string kTenants =
    R"(,{"resourceKind":"tenants","metadata":{"name":"first"},"specification":{"accessKeys":["k1"],"priority":0}},
        {"resourceKind":"tenants","metadata":{"name":"plain"},"specification":{"accessKeys":["k2"]}})";

std::vector<std::string> Values(const Headers& headers, const std::string& name) {
  std::vector<std::string> out;
  for (const auto& [key, value] : headers)
    if (std::equal(key.begin(), key.end(), name.begin(), name.end(),
                   [](char x, char y) { return std::tolower(x) == std::tolower(y); }))
      out.push_back(value);
  return out;
}

Headers WithAttemptId(Headers more) {
  more.emplace_back("Attempt-Id", "id-1");
  return more;
}

TEST_CASE("Attempt-Id must be present once and Deadline-Remaining must be a number") {
  const auto tables = TablesOf(kServices + kRoutes);
  const auto kind = [&](const Headers& headers) { return MatchRoute(*tables, "h", "/safe/x", headers).kind; };
  CHECK(kind(WithAttemptId({})) == Kind::kMatched);
  CHECK(kind({}) == Kind::kMalformed);
  CHECK(kind({{"Attempt-Id", ""}}) == Kind::kMalformed);
  CHECK(kind({{"attempt-id", "id-1"}}) == Kind::kMatched);
  CHECK(kind(WithAttemptId({{"attempt-ID", "id-1"}})) == Kind::kMalformed);
  CHECK(kind(WithAttemptId({{"Deadline-Remaining", "5"}, {"deadline-remaining", "5"}})) == Kind::kMalformed);
  CHECK(kind(WithAttemptId({{"Authorization", "Token a"}, {"authorization", "Token b"}})) ==
        Kind::kMalformed);
  CHECK(kind({{"Attempt-Id", std::string(129, 'x')}}) == Kind::kMalformed);
  for (const char* bad : {"", "x", "-1", "12x", "nan", "inf", "1e999", " 5"}) {
    INFO(bad);
    CHECK(kind(WithAttemptId({{"Deadline-Remaining", bad}})) == Kind::kMalformed);
  }
  CHECK(MatchRoute(*tables, "h", "/safe/x", WithAttemptId({{"Deadline-Remaining", "250"}})).deadline_ms ==
        250);
  CHECK_FALSE(MatchRoute(*tables, "h", "/safe/x", WithAttemptId({})).deadline_ms.has_value());
  CHECK(*MatchRoute(*tables, "h", "/safe/x", WithAttemptId({{"Deadline-Remaining", "1e300"}})).deadline_ms >
        0);
}

TEST_CASE("unknown access keys are rejected, and public routes need none") {
  const auto tables = TablesOf(kServices + kRoutes + kTenants);
  const auto find = [&](const std::string& path, const Headers& headers) {
    return MatchRoute(*tables, "H:8080", path, WithAttemptId(headers));
  };
  CHECK(find("/nowhere/", {}).kind == Kind::kNoRoute);
  CHECK(find("/safe/x", {}).kind == Kind::kNoKey);
  for (const char* bad : {"Token nobody", "Bearer k1", "k1", "Token", "Token ", "Token k1x"}) {
    INFO(bad);
    CHECK(find("/safe/x", {{"Authorization", bad}}).kind == Kind::kNoKey);
  }
  const RouteMatch known = find("/safe/x?q", {{"authorization", "token k2"}});
  REQUIRE(known.kind == Kind::kMatched);
  CHECK(known.tenant->name == "plain");
  CHECK(find("/open/x", {}).kind == Kind::kMatched);
  CHECK(find("/open/x", {}).tenant == nullptr);
  CHECK(find("/open/x", {{"Authorization", "Token nobody"}}).kind == Kind::kMatched);
  REQUIRE(find("/open/x", {{"Authorization", "Token k1"}}).tenant != nullptr);
}

TEST_CASE("a configuration without tenants requires no access key") {
  const auto tables = TablesOf(kServices + kRoutes);
  const RouteMatch match =
      MatchRoute(*tables, "h", "/pay/x", WithAttemptId({{"Authorization", "Token nobody"}}));
  CHECK(match.kind == Kind::kMatched);
  CHECK(match.tenant == nullptr);
}

TEST_CASE("the tenant's priority overrides the route's") {
  const auto tables = TablesOf(kServices + kRoutes + kTenants);
  const auto priority = [&](const char* key) {
    return MatchRoute(*tables, "h", "/safe/x", WithAttemptId({{"Authorization", key}})).priority;
  };
  CHECK(priority("Token k1") == 0);
  CHECK(priority("Token k2") == 2);
}

TEST_CASE("reserved headers are replaced, and servers don't see access keys") {
  const auto tables = TablesOf(kServices + kRoutes + kTenants);
  const Headers request_headers = WithAttemptId({{"authorization", "Token k1"},
                                                 {"calling-service", "forged"},
                                                 {"Calling-Service", "forged"},
                                                 {"TENANT-NAME", "forged"},
                                                 {"Expected-Instance", "forged"},
                                                 {"deadline-remaining", "100"},
                                                 {"X-Own", "1"},
                                                 {"X-Own", "2"},
                                                 {"host", "other"}});
  const RouteMatch match = MatchRoute(*tables, "h", "/pay/x", request_headers);
  REQUIRE(match.kind == Kind::kMatched);
  const Headers out = ForwardedHeaders(request_headers, "h", match, "me");
  CHECK(Values(out, "Calling-Service") == std::vector<std::string>{"me"});
  CHECK(Values(out, "Tenant-Name") == std::vector<std::string>{"first"});
  CHECK(Values(out, "Attempt-Id") == std::vector<std::string>{"id-1"});
  CHECK(Values(out, "Host") == std::vector<std::string>{"h"});
  // The inbound proxy sets these two.
  CHECK(Values(out, "Expected-Instance").empty());
  CHECK(Values(out, "Deadline-Remaining").empty());
  CHECK(Values(out, "Authorization").empty());
  CHECK(Values(out, "X-Own") == std::vector<std::string>{"1", "2"});
  for (const auto& [name, value] : out) CHECK(value.find("k1") == std::string::npos);

  // Without a local service and a tenant these headers are removed and not set anew.
  const Headers open =
      WithAttemptId({{"Tenant-Name", "forged"}, {"Calling-Service", "forged"}, {"Authorization", "Basic x"}});
  const Headers plain = ForwardedHeaders(open, "h", MatchRoute(*tables, "h", "/open/x", open), "");
  CHECK(Values(plain, "Tenant-Name").empty());
  CHECK(Values(plain, "Calling-Service").empty());
  CHECK(Values(plain, "Authorization") == std::vector<std::string>{"Basic x"});  // not an access key
}

TEST_CASE("services are picked by weight over the whole range of the random number") {
  const auto tables = TablesOf(kServices + kRoutes);
  const configuration::Route* route = tables->FindRoute("h", "/safe/x");
  REQUIRE(route != nullptr);
  int picked_b = 0;
  for (int i = 0; i < 1000; ++i) picked_b += PickService(*route, (i + 0.5) / 1000) == "b";
  CHECK(picked_b == 100);
  CHECK(PickService(*route, 0) == "a");
  CHECK(PickService(*route, 0.9999999999999999) == "b");
}

TEST_CASE("requests map to the class of their kind, priority and nearest latency target") {
  const auto grid = RequestClasses();
  configuration::Route route;
  RouteMatch match;
  match.route = &route;
  for (const bool safe : {true, false})
    for (int priority = 0; priority < 6; ++priority)
      for (const std::int64_t target_ms : {0, 1, 50, 62, 300, 349, 5000, 100'000}) {
        INFO(safe << ' ' << priority << ' ' << target_ms);
        route.target_latency_ms = target_ms;
        match.safe = safe;
        match.priority = priority;
        const int index = RequestClassOf(match);
        REQUIRE(index >= 0);
        REQUIRE(index < static_cast<int>(grid.size()));
        const auto& matched = grid[static_cast<std::size_t>(index)];
        CHECK((matched.retry_safety == merlinrun::RetrySafety::kSafe) == safe);
        const Micros target = (target_ms > 0 ? target_ms : 1000) * 1000;
        for (const auto& other : grid) {
          CHECK(std::abs(matched.latency_target - target) <= std::abs(other.latency_target - target));
          if (priority > 0 && other.value > matched.value) {
            match.priority = priority - 1;
            CHECK(grid[static_cast<std::size_t>(RequestClassOf(match))].value >= matched.value);
          }
        }
      }
}

// Names are assigned by zone and service, so ranks by name would put the sidecars of a service next to each
// other.
TEST_CASE("the sidecars of each service are spread evenly over the ranks, and all ranks differ") {
  std::vector<registry::Sidecar> sidecars;
  for (int i = 0; i < 84; ++i) {
    char name[16];
    std::snprintf(name, sizeof name, "sidecar-%02d", i);
    sidecars.push_back({name, 1, "10.0.0.1:1", "a", i < 44 ? "pages" : i < 76 ? "marking" : "files"});
  }
  std::set<std::size_t> all;
  std::map<std::string, std::vector<std::size_t>> by_service;
  for (const auto& sidecar : sidecars) {
    const std::size_t rank = InterleavedRank(sidecars, sidecar.name);
    all.insert(rank);
    auto& ranks_by_quarter = by_service.try_emplace(sidecar.service, 4).first->second;
    REQUIRE(rank < 84);
    ++ranks_by_quarter[rank / 21];
  }
  CHECK(all.size() == 84);
  for (const auto& [service, ranks_by_quarter] : by_service)
    for (const std::size_t n : ranks_by_quarter)
      CHECK(std::max(n, ranks_by_quarter[0]) - std::min(n, ranks_by_quarter[0]) <= 1);
  CHECK(InterleavedRank(sidecars, "another") == 84);
}

}  // namespace
}  // namespace fennelhollow::egress
