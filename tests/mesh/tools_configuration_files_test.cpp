#include <catch2/catch.hpp>
#include <string>

#include "tools/mesh/configuration_files.hpp"

namespace fennelhollow::tools {
namespace {

std::string Route(const std::string& name, const std::string& more) {
  return "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"" + name +
         "\"},\"specification\":{\"host\":\"" + name +
         ".example\",\"pathPrefix\":\"/\",\"timeoutMs\":2500,\"targetLatencyMs\":400,\"priority\":1,"
         "\"service\":\"shop\",\"attempts\":2," +
         more + "}}";
}
const std::string kShop =
    "{\"resourceKind\":\"services\",\"metadata\":{\"name\":\"shop\"},\"specification\":{\"healthPath\":\"/"
    "health\",\"connectionLimit\":110}}";
std::string Whole(int version, int base, const std::string& items) {
  return "{\"version\":" + std::to_string(version) + ",\"baseVersion\":" + std::to_string(base) +
         ",\"resourceList\":[" + items + "]}";
}
const std::string kNow =
    Whole(7, 5, Route("a", "\"kind\":\"safe\"") + "," + Route("b", "\"kind\":\"safe\"") + "," + kShop);

TEST_CASE("a file is judged as a core would") {
  const std::string next = Whole(9, 7, Route("a", "\"kind\":\"safe\"") + "," + kShop);
  CHECK(Check(next, kNow).exit == Exit::kTaken);
  CHECK(Check(next, std::nullopt).exit == Exit::kTaken);
  CHECK(Check(Whole(9, 5, kShop), kNow).exit == Exit::kConflict);
  CHECK(Check(Whole(9, 5, kShop), std::nullopt).exit == Exit::kTaken);
  const std::string orphan = Whole(9, 7, Route("a", "\"kind\":\"safe\""));  // no such service
  CHECK(Check(orphan, kNow).exit == Exit::kBadInput);
  CHECK(Check(orphan, std::nullopt).exit == Exit::kBadInput);
  CHECK(Check(Whole(6, 7, kShop), kNow).exit == Exit::kBadInput);
  CHECK(Check(next, orphan).text.starts_with("invalid: the current configuration: "));
  const std::string change =
      "{\"version\":9,\"baseVersion\":7,\"upsert\":{\"resourceList\":[]},\"remove\":{\"routes\":[\"b\"]}}";
  CHECK(Check(change, kNow).exit == Exit::kTaken);
  CHECK(Check(change, std::nullopt).exit == Exit::kBadInput);
  for (const std::string& bad :
       {std::string(), std::string("{"), std::string("[1]"), std::string("\"upsert\""),
        std::string(200'000, '['), next.substr(0, next.size() - 2)}) {
    const Report report = Check(bad, std::nullopt);
    CHECK(report.exit == Exit::kBadInput);
    CHECK(report.text.find('\n') == report.text.size() - 1);
    CHECK(Check(bad, kNow).exit == Exit::kBadInput);
    CHECK(Diff(kNow, bad).exit == Exit::kBadInput);
  }
}

TEST_CASE("a difference says item by item what tightens") {
  CHECK(Diff(kNow, kNow).text == "version 7 to 7\ntightens nothing\n");
  const Report report = Diff(kNow, Whole(9, 7, Route("a", "\"kind\":\"unsafe\"") + "," + kShop));
  CHECK(report.exit == Exit::kTaken);
  CHECK(report.text == "version 7 to 9\n-! routes/b\n~! routes/a\ntightens\n");
  const std::string changed = "{\"version\":9,\"baseVersion\":7,\"upsert\":{\"resourceList\":[" +
                              Route("c", "\"kind\":\"safe\"") + "]}}";
  CHECK(Diff(kNow, changed).text == "version 7 to 9\n+! routes/c\ntightens\n");
  CHECK(Diff(Whole(9, 7, kShop), changed).exit == Exit::kConflict);
}

}  // namespace
}  // namespace fennelhollow::tools
