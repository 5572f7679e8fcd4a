// Tests the configuration: conversion to the adapter's pairs, and error messages.
#include "net/config.hpp"

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

TEST(Config, FlattensSettingsIntoPairs) {
  const Json settings = {{"allowed", {{"cancel", true}, {"open_cap", 250000.0}}},
                         {"azs", {"a b", "c,d"}},
                         {"costs", {{"waste", 0.04}}},
                         {"grades", {{{"name", "x"}}, {{"name", "y"}}}},
                         {"tenants", Json::array()},
                         {"unset", nullptr}};
  EXPECT_EQ(FlattenSettings(settings),
            "allowed.cancel=true allowed.open_cap=250000 azs=a_b,c_d costs.waste=0.04 grades.count=2 "
            "grades.0.name=x grades.1.name=y tenants=");
}

TEST(Config, ReadsTheConfiguration) {
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 81);
  const Config config = ParseConfig(ConfigJson(at, {Entry("s1", at)}).dump(), "127.0.0.2:80", "");
  EXPECT_EQ(FormatAddress(config.listen), "127.0.0.2:80");  // overridden by the environment
  EXPECT_EQ(FormatAddress(config.discovery), "127.0.0.1:81");
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964U);
  EXPECT_EQ(config.max_file_descriptors, 1024U);
  ASSERT_EQ(config.wire.settings.classes.size(), 3U);
  EXPECT_EQ(config.wire.settings.classes[2].retry_safety, RetrySafety::kNever);
  EXPECT_EQ(config.wire.settings.dial_timeout, 250'000);
  EXPECT_EQ(config.wire.settings.zone, 0);
  ASSERT_EQ(config.last_known_endpoints.endpoints.size(), 1U);
  EXPECT_EQ(config.last_known_endpoints.endpoints[0].address, at);
}

TEST(Config, ReportsErrorsInOneLine) {
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 81);
  std::vector<std::string> texts = {"", "{", "[]", "{}"};
  const auto add_invalid = [&](const char* path, const Json& value) {
    Json json = ConfigJson(at, {Entry("s1", at)});
    json[Json::json_pointer(path)] = value;
    texts.push_back(json.dump());
  };
  add_invalid("/listen", "nowhere");
  add_invalid("/discovery", 7);
  add_invalid("/seed", "xyz");
  add_invalid("/limits/sockets", 3);
  add_invalid("/settings/grades/0/repeat", "sometimes");
  add_invalid("/settings/quantum_us", "soon");
  add_invalid("/known/instances/0/lifecycle", "unsure");
  for (const std::string& text : texts) {
    try {
      ParseConfig(text, "", "");
      ADD_FAILURE() << "accepted: " << text;
    } catch (const ConfigError& error) {
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  }
}

}  // namespace
}  // namespace merlinrun::net
