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

using Kind = Found::Kind;

std::shared_ptr<const configuration::RoutingTables> TablesOf(const std::string& resources) {
  const auto verdict =
      configuration::ReplicatedState().Evaluate(false, R"({"version":1,"resourceList":[)" + resources + "]}");
  INFO(verdict.error);
  REQUIRE(verdict.kind == configuration::ChangeResult::Kind::kAccepted);
  auto tables = configuration::RoutingTables::Build(
      configuration::ReplicatedState::Parse(verdict.next_state)->newest());
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

Headers With(Headers more) {
  more.emplace_back("Attempt-Id", "id-1");
  return more;
}

TEST_CASE("an id is owed once, a deadline is a number") {
  const auto tables = TablesOf(kServices + kRoutes);
  const auto kind = [&](const Headers& headers) { return Find(*tables, "h", "/safe/x", headers).kind; };
  CHECK(kind(With({})) == Kind::kGo);
  CHECK(kind({}) == Kind::kMalformed);
  CHECK(kind({{"Attempt-Id", ""}}) == Kind::kMalformed);
  CHECK(kind({{"attempt-id", "id-1"}}) == Kind::kGo);
  CHECK(kind(With({{"attempt-ID", "id-1"}})) == Kind::kMalformed);
  CHECK(kind(With({{"Deadline-Remaining", "5"}, {"deadline-remaining", "5"}})) == Kind::kMalformed);
  CHECK(kind(With({{"Authorization", "Token a"}, {"authorization", "Token b"}})) == Kind::kMalformed);
  CHECK(kind({{"Attempt-Id", std::string(129, 'x')}}) == Kind::kMalformed);
  for (const char* bad : {"", "x", "-1", "12x", "nan", "inf", "1e999", " 5"}) {
    INFO(bad);
    CHECK(kind(With({{"Deadline-Remaining", bad}})) == Kind::kMalformed);
  }
  CHECK(Find(*tables, "h", "/safe/x", With({{"Deadline-Remaining", "250"}})).deadline_ms == 250);
  CHECK_FALSE(Find(*tables, "h", "/safe/x", With({})).deadline_ms.has_value());
  CHECK(*Find(*tables, "h", "/safe/x", With({{"Deadline-Remaining", "1e300"}})).deadline_ms > 0);
}

TEST_CASE("keys: unknown ones are turned away, public routes need none") {
  const auto tables = TablesOf(kServices + kRoutes + kTenants);
  const auto find = [&](const std::string& path, const Headers& headers) {
    return Find(*tables, "H:8080", path, With(headers));
  };
  CHECK(find("/nowhere/", {}).kind == Kind::kNoRoute);
  CHECK(find("/safe/x", {}).kind == Kind::kNoKey);
  for (const char* bad : {"Token nobody", "Bearer k1", "k1", "Token", "Token ", "Token k1x"}) {
    INFO(bad);
    CHECK(find("/safe/x", {{"Authorization", bad}}).kind == Kind::kNoKey);
  }
  const Found known = find("/safe/x?q", {{"authorization", "token k2"}});
  REQUIRE(known.kind == Kind::kGo);
  CHECK(known.tenant->name == "plain");
  CHECK(find("/open/x", {}).kind == Kind::kGo);
  CHECK(find("/open/x", {}).tenant == nullptr);
  CHECK(find("/open/x", {{"Authorization", "Token nobody"}}).kind == Kind::kGo);
  REQUIRE(find("/open/x", {{"Authorization", "Token k1"}}).tenant != nullptr);
}

TEST_CASE("a configuration without tenants asks for no key") {
  const auto tables = TablesOf(kServices + kRoutes);
  const Found found = Find(*tables, "h", "/pay/x", With({{"Authorization", "Token nobody"}}));
  CHECK(found.kind == Kind::kGo);
  CHECK(found.tenant == nullptr);
}

TEST_CASE("the tenant's priority goes before the route's") {
  const auto tables = TablesOf(kServices + kRoutes + kTenants);
  const auto priority = [&](const char* key) {
    return Find(*tables, "h", "/safe/x", With({{"Authorization", key}})).priority;
  };
  CHECK(priority("Token k1") == 0);
  CHECK(priority("Token k2") == 2);
}

TEST_CASE("what the system sets is taken out and set anew, servers see no key") {
  const auto tables = TablesOf(kServices + kRoutes + kTenants);
  const Headers sent = With({{"authorization", "Token k1"},
                             {"calling-service", "forged"},
                             {"Calling-Service", "forged"},
                             {"TENANT-NAME", "forged"},
                             {"Expected-Instance", "forged"},
                             {"deadline-remaining", "100"},
                             {"X-Own", "1"},
                             {"X-Own", "2"},
                             {"host", "other"}});
  const Found found = Find(*tables, "h", "/pay/x", sent);
  REQUIRE(found.kind == Kind::kGo);
  const Headers out = Forwarded(sent, "h", found, "me");
  CHECK(Values(out, "Calling-Service") == std::vector<std::string>{"me"});
  CHECK(Values(out, "Tenant-Name") == std::vector<std::string>{"first"});
  CHECK(Values(out, "Attempt-Id") == std::vector<std::string>{"id-1"});
  CHECK(Values(out, "Host") == std::vector<std::string>{"h"});
  // The last hop sets these two.
  CHECK(Values(out, "Expected-Instance").empty());
  CHECK(Values(out, "Deadline-Remaining").empty());
  CHECK(Values(out, "Authorization").empty());
  CHECK(Values(out, "X-Own") == std::vector<std::string>{"1", "2"});
  for (const auto& [name, value] : out) CHECK(value.find("k1") == std::string::npos);

  // Without a service of its own and without a tenant none is told, a forged one least of all.
  const Headers open =
      With({{"Tenant-Name", "forged"}, {"Calling-Service", "forged"}, {"Authorization", "Basic x"}});
  const Headers plain = Forwarded(open, "h", Find(*tables, "h", "/open/x", open), "");
  CHECK(Values(plain, "Tenant-Name").empty());
  CHECK(Values(plain, "Calling-Service").empty());
  CHECK(Values(plain, "Authorization") == std::vector<std::string>{"Basic x"});  // not a key of ours
}

TEST_CASE("services are drawn by weight, all of the draw's range over") {
  const auto tables = TablesOf(kServices + kRoutes);
  const configuration::Route* route = tables->FindRoute("h", "/safe/x");
  REQUIRE(route != nullptr);
  int of_b = 0;
  for (int i = 0; i < 1000; ++i) of_b += PickService(*route, (i + 0.5) / 1000) == "b";
  CHECK(of_b == 100);
  CHECK(PickService(*route, 0) == "a");
  CHECK(PickService(*route, 0.9999999999999999) == "b");
}

TEST_CASE("each class of the grid is what requests of its kind, priority and aim have") {
  const auto grid = ClassGrid();
  configuration::Route route;
  Found found;
  found.route = &route;
  for (const bool safe : {true, false})
    for (int priority = 0; priority < 6; ++priority)
      for (const std::int64_t aim : {0, 1, 50, 62, 300, 349, 5000, 100'000}) {
        INFO(safe << ' ' << priority << ' ' << aim);
        route.target_latency_ms = aim;
        found.safe = safe;
        found.priority = priority;
        const int index = ClassOf(found);
        REQUIRE(index >= 0);
        REQUIRE(index < static_cast<int>(grid.size()));
        const auto& mine = grid[static_cast<std::size_t>(index)];
        CHECK((mine.repeat == merlinrun::Repeat::kSafe) == safe);
        const Micros told = (aim > 0 ? aim : 1000) * 1000;
        for (const auto& other : grid) {
          CHECK(std::abs(mine.aim - told) <= std::abs(other.aim - told));
          if (priority > 0 && other.worth > mine.worth) {
            found.priority = priority - 1;
            CHECK(grid[static_cast<std::size_t>(ClassOf(found))].worth >= mine.worth);
          }
        }
      }
}

// Names put the sidecars of a service side by side, as machines are named by zone and added by service.
TEST_CASE("the sidecars of each service are spread evenly over the numbers, each with one of its own") {
  std::vector<registry::Sidecar> sidecars;
  for (int i = 0; i < 84; ++i) {
    char name[16];
    std::snprintf(name, sizeof name, "sidecar-%02d", i);
    sidecars.push_back({name, 1, "10.0.0.1:1", "a", i < 44 ? "pages" : i < 76 ? "marking" : "files"});
  }
  std::set<std::size_t> all;
  std::map<std::string, std::vector<std::size_t>> halves;
  for (const auto& sidecar : sidecars) {
    const std::size_t rank = InterleavedRank(sidecars, sidecar.name);
    all.insert(rank);
    auto& quarter = halves.try_emplace(sidecar.service, 4).first->second;
    REQUIRE(rank < 84);
    ++quarter[rank / 21];
  }
  CHECK(all.size() == 84);
  for (const auto& [service, quarter] : halves)
    for (const std::size_t n : quarter) CHECK(std::max(n, quarter[0]) - std::min(n, quarter[0]) <= 1);
  CHECK(InterleavedRank(sidecars, "another") == 84);
}

}  // namespace
}  // namespace fennelhollow::egress
