#include <catch2/catch.hpp>
#include <string>

#include "tools/mesh/configuration_files.hpp"

namespace fennelhollow::tools {
namespace {

std::string Route(const std::string& name, const std::string& members) {
  return "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"" + name +
         "\"},\"specification\":{\"host\":\"" + name +
         ".example\",\"pathPrefix\":\"/\",\"timeoutMs\":2500,\"targetLatencyMs\":400,\"priority\":1,"
         "\"service\":\"shop\",\"attempts\":2," +
         members + "}}";
}
const std::string kShop =
    "{\"resourceKind\":\"services\",\"metadata\":{\"name\":\"shop\"},\"specification\":{\"healthPath\":\"/"
    "health\",\"connectionLimit\":110}}";
std::string FullConfiguration(int version, int base, const std::string& items) {
  return "{\"version\":" + std::to_string(version) + ",\"baseVersion\":" + std::to_string(base) +
         ",\"resourceList\":[" + items + "]}";
}
const std::string kCurrent = FullConfiguration(
    7, 5, Route("a", "\"kind\":\"safe\"") + "," + Route("b", "\"kind\":\"safe\"") + "," + kShop);

TEST_CASE("Check accepts and rejects files as a core would") {
  const std::string next = FullConfiguration(9, 7, Route("a", "\"kind\":\"safe\"") + "," + kShop);
  CHECK(Check(next, kCurrent).exit == ExitStatus::kSuccess);
  CHECK(Check(next, std::nullopt).exit == ExitStatus::kSuccess);
  CHECK(Check(FullConfiguration(9, 5, kShop), kCurrent).exit == ExitStatus::kConflict);
  CHECK(Check(FullConfiguration(9, 5, kShop), std::nullopt).exit == ExitStatus::kSuccess);
  const std::string dangling_route =
      FullConfiguration(9, 7, Route("a", "\"kind\":\"safe\""));  // no such service
  CHECK(Check(dangling_route, kCurrent).exit == ExitStatus::kInvalidInput);
  CHECK(Check(dangling_route, std::nullopt).exit == ExitStatus::kInvalidInput);
  CHECK(Check(FullConfiguration(6, 7, kShop), kCurrent).exit == ExitStatus::kInvalidInput);
  CHECK(Check(next, dangling_route).text.starts_with("invalid: the current configuration: "));
  const std::string change =
      "{\"version\":9,\"baseVersion\":7,\"upsert\":{\"resourceList\":[]},\"remove\":{\"routes\":[\"b\"]}}";
  CHECK(Check(change, kCurrent).exit == ExitStatus::kSuccess);
  CHECK(Check(change, std::nullopt).exit == ExitStatus::kInvalidInput);
  for (const std::string& bad :
       {std::string(), std::string("{"), std::string("[1]"), std::string("\"upsert\""),
        std::string(200'000, '['), next.substr(0, next.size() - 2)}) {
    const Summary summary = Check(bad, std::nullopt);
    CHECK(summary.exit == ExitStatus::kInvalidInput);
    CHECK(summary.text.find('\n') == summary.text.size() - 1);
    CHECK(Check(bad, kCurrent).exit == ExitStatus::kInvalidInput);
    CHECK(Diff(kCurrent, bad).exit == ExitStatus::kInvalidInput);
  }
}

TEST_CASE("Diff lists each item and whether it tightens") {
  CHECK(Diff(kCurrent, kCurrent).text == "version 7 to 7\ntightens nothing\n");
  const Summary summary =
      Diff(kCurrent, FullConfiguration(9, 7, Route("a", "\"kind\":\"unsafe\"") + "," + kShop));
  CHECK(summary.exit == ExitStatus::kSuccess);
  CHECK(summary.text == "version 7 to 9\n-! routes/b\n~! routes/a\ntightens\n");
  const std::string changed = "{\"version\":9,\"baseVersion\":7,\"upsert\":{\"resourceList\":[" +
                              Route("c", "\"kind\":\"safe\"") + "]}}";
  CHECK(Diff(kCurrent, changed).text == "version 7 to 9\n+! routes/c\ntightens\n");
  CHECK(Diff(FullConfiguration(9, 7, kShop), changed).exit == ExitStatus::kConflict);
}

}  // namespace
}  // namespace fennelhollow::tools
