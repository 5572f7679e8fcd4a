// Tests the operators' API and its metrics.
#include "ops/api.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "../core/virtual_loop.hpp"
#include "../harness.hpp"

namespace merlinrun::ops {
namespace {

using namespace core::testing;       // NOLINT(google-build-using-namespace)
using namespace merlinrun::testing;  // NOLINT(google-build-using-namespace)

Settings SettingsWithNamedClasses() {
  Settings settings = MakeSettings();
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    settings.classes[i].name = "class-" + std::to_string(i);
  return settings;
}

class ApiTest : public ::testing::Test {
 protected:
  ApiTest()
      : request_manager(
            loop, SettingsWithNamedClasses(), 7, [] {}, [](std::string_view) {}),
        lifecycle(loop, request_manager),
        api(lifecycle, request_manager, counters) {
    counters.classes.resize(request_manager.settings().classes.size());
  }
  nlohmann::json Metrics() { return nlohmann::json::parse(api.Handle("GET", "/api/telemetry").body); }

  VirtualLoop loop;
  core::RequestManager request_manager;
  Lifecycle lifecycle;
  stats::Counters counters;
  Api api;
};

TEST_F(ApiTest, ReadyAlsoWhileEvacuated) {
  EXPECT_EQ(api.Handle("GET", "/api/ready").status, 503U);
  lifecycle.MarkReady();
  EXPECT_EQ(api.Handle("GET", "/api/ready").status, 200U);
  EXPECT_EQ(api.Handle("PUT", "/api/evacuate").status, 200U);
  EXPECT_FALSE(lifecycle.AcceptsClients());
  EXPECT_EQ(api.Handle("GET", "/api/ready").status, 200U);
  EXPECT_EQ(api.Handle("PUT", "/api/rejoin").status, 200U);
  EXPECT_TRUE(lifecycle.AcceptsClients());
  lifecycle.Stop([] {});
  EXPECT_EQ(api.Handle("PUT", "/api/rejoin").status, 409U);
  EXPECT_EQ(api.Handle("PUT", "/api/evacuate").status, 409U);
  EXPECT_EQ(api.Handle("GET", "/api/ready").status, 503U);
}

TEST_F(ApiTest, UnknownPathsAndWrongMethodsChangeNothing) {
  lifecycle.MarkReady();
  EXPECT_EQ(api.Handle("GET", "/api/evacuate").status, 405U);
  EXPECT_EQ(api.Handle("GET", "/api/evacuate").allow, "PUT");
  EXPECT_EQ(api.Handle("PUT", "/api/ready").status, 405U);
  EXPECT_EQ(api.Handle("PUT", "/api/evacuate/").status, 404U);
  EXPECT_EQ(api.Handle("GET", "").status, 404U);
  EXPECT_EQ(api.Handle("GET", "/api/ready?verbose").status, 200U);
  EXPECT_TRUE(lifecycle.AcceptsClients());
}

TEST_F(ApiTest, ReportsEveryClassFromTheStart) {
  const auto metrics = Metrics();
  for (const RequestClass& c : request_manager.settings().classes)
    EXPECT_EQ(metrics.at("responses").at(c.name), nlohmann::json({{"ok", 0}, {"shed", 0}, {"errors", 0}}));
  EXPECT_EQ(metrics.at("active"), 0);
  EXPECT_EQ(metrics.at("tries"), 0);
  EXPECT_EQ(metrics.at("pool_size"), 0);
  EXPECT_EQ(metrics.at("pool_ejected"), 0);
}

TEST_F(ApiTest, CountsRequestsByTheirResponseStatus) {
  EXPECT_EQ(stats::ResultForStatus(200), stats::RequestResult::kOk);
  EXPECT_EQ(stats::ResultForStatus(429), stats::RequestResult::kShed);
  EXPECT_EQ(stats::ResultForStatus(503), stats::RequestResult::kShed);
  EXPECT_EQ(stats::ResultForStatus(502), stats::RequestResult::kError);
  EXPECT_EQ(stats::ResultForStatus(400), stats::RequestResult::kError);
  stats::ActiveRequestGuard first(counters, 0);
  stats::ActiveRequestGuard second(counters, 1);
  EXPECT_EQ(Metrics().at("active"), 2);
  first.Finish(stats::RequestResult::kShed);
  first.Finish(stats::RequestResult::kOk);  // only the first result counts
  second.Drop();
  const auto metrics = Metrics();
  EXPECT_EQ(metrics.at("active"), 0);
  EXPECT_EQ(metrics.at("responses").at(request_manager.settings().classes[0].name),
            nlohmann::json({{"ok", 0}, {"shed", 1}, {"errors", 0}}));
}

TEST_F(ApiTest, ReportsListedAndEjectedServers) {
  request_manager.OnServers({ListUpdate::Kind::kFull, 1, MakeServers(5)});
  EXPECT_EQ(Metrics().at("pool_size"), 5);
  BalancerSnapshot snapshot;
  snapshot.servers.resize(3);
  snapshot.servers[1].ejected_for = 1;
  EXPECT_EQ(
      nlohmann::json::parse(MetricsJson(counters, request_manager.settings(), snapshot)).at("pool_ejected"),
      1);
}

}  // namespace
}  // namespace merlinrun::ops
