// Tests the settings file: the example is valid, and every error is reported with its position. Tests how
// requests are read.
#include "diameter/application.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "../harness.hpp"

namespace merlinrun::diameter {
namespace {

using merlinrun::testing::MakeClass;

Settings TestSettings() {
  Settings settings;
  settings.classes = {MakeClass(RetrySafety::kSafe), MakeClass(RetrySafety::kDeduplicated),
                      MakeClass(RetrySafety::kNever)};
  settings.classes[0].name = "sim-lookup";
  settings.classes[1].name = "activate";
  settings.classes[2].name = "number-port";
  settings.tenants = {{"group-a", 1, 0}};
  return settings;
}

std::string Example() {
  std::ifstream file(FENNELHOLLOW_SOURCE "/deploy/diameter.example.toml");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

class ApplicationTest : public ::testing::Test {
 protected:
  static std::variant<Application, std::string> Parse(const std::string& text) {
    return ParseApplication(text, "f.toml", TestSettings(), "n7");
  }
  // The error for the example with one change; empty if there is none.
  static std::string ErrorFor(const std::string& from, const std::string& to) {
    std::string text = Example();
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
    const auto read = Parse(text);
    const auto* error = std::get_if<std::string>(&read);
    return error == nullptr ? "" : *error;
  }
};

TEST_F(ApplicationTest, TheExampleIsValid) {
  const auto read = Parse(Example());
  ASSERT_TRUE(std::holds_alternative<Application>(read)) << std::get<std::string>(read);
  const auto& application = std::get<Application>(read);
  EXPECT_EQ(application.host, "n7.sidecars.example");
  EXPECT_EQ(application.clients.size(), 2U);
  EXPECT_EQ(application.duplicate_limits.ttl, 240'000'000);
  EXPECT_EQ(application.commands.at(0).deadline.code, 5U);
}

TEST_F(ApplicationTest, EveryErrorIsOneLineWithItsPosition) {
  const std::tuple<std::string, std::string, std::string> cases[] = {
      {"version = 1", "version = 2", "f.toml:2:11: version: a whole number from 1 to 1"},
      {"version = 1", "version =", "f.toml:2:"},
      {"version = 1", "", "'version' is missing"},
      {"[node]", "[nodes]", "unknown setting 'nodes'"},
      {"realm = \"sidecars.example\"", "realm = 7", "node.realm: a text is needed"},
      {"host = \"{name}.sidecars.example\"", "host = \"two words\"", "is no DiameterIdentity"},
      {"listen = \"127.0.0.1:3868\"", "# none", "neither listen nor tls_listen"},
      {"# tls_listen", "tls_listen", "there is no [tls]"},
      {"realms = [\"activation.example\"]", "realms = []", "a list of names is needed"},
      {"backoffice-2", "backoffice-1", "stands there twice"},
      {"tls = false\n\n[[client]]", "tls = true\n\n[[client]]", "there is no tls_listen"},
      {"\"{id}.servers.activation.example\"", "\"servers.example\"", "with {id} in it"},
      {"watchdog_s = 30", "watchdog_s = 5", "a whole number from 6 to 600"},
      {"watchdog_s = 30", "watchdogs = 30", "unknown setting 'limits.watchdogs'"},
      {"remember_s = 240", "remember_s = 60", "from 240"},
      {"remember_s = 240", "remember_s = 240.5", "a whole number"},
      {"id = 16777999", "id = 4294967295", "application.id: a whole number"},
      {"format = \"Unsigned32\"", "format = \"Text\"", "'Text' is none of RFC 6733's"},
      {"code = 7\nvendor", "code = 6\nvendor", "taken by another AVP"},
      {"mandatory = \"must\"", "mandatory = \"always\"", "'must', 'may' and 'must not'"},
      {"code = 8388000", "code = 80", "command[0].code: a whole number from 256"},
      {"class_avp = \"Activation-Class\"", "class_avp = \"Class\"", "no AVP is named 'Class'"},
      {"class_avp = \"Activation-Class\"", "class = \"lookups\"", "'lookups' is no class"},
      {"class_avp = \"Activation-Class\"\n", "", "either class or class_avp"},
      {"deadline_avp = \"Reply-Within\"", "deadline_avp = \"Request-Id\"", "a format that can't say this"},
      {"key_avp = \"Idempotency-Key\"\n", "", "key_avp is missing"},
      {"[[command]]", "[command]", "command: a list of tables is needed"},
  };
  for (const auto& [from, to, expected] : cases) {
    const std::string reported = ErrorFor(from, to);
    EXPECT_NE(reported.find(expected), std::string::npos) << "for " << to << ": " << reported;
    EXPECT_EQ(reported.rfind("f.toml:", 0), 0U) << reported;
    EXPECT_EQ(reported.find('\n'), std::string::npos) << reported;
  }
}

// ---- Requests ----

class ReadRequestTest : public ApplicationTest {
 protected:
  Message Request(const std::function<void(AvpWriter&)>& more) const {
    AvpWriter avps;
    avps.Add(avp::kOriginHost, "a.example").Add(avp::kOriginRealm, "example");
    avps.Add(avp::kDestinationRealm, "activation.example");
    more(avps);
    return {{kRequestBit | kProxiableBit, 8388000, 16777999, 1, 2}, avps.Take()};
  }
  ResultCode Code(const Message& request) const {
    const auto read = ReadRequest(application, settings, request);
    const auto* fault = std::get_if<MessageError>(&read);
    return fault == nullptr ? ResultCode::kSuccess : fault->code;
  }
  const Settings settings = TestSettings();
  const Application application = std::get<Application>(Parse(Example()));
};

TEST_F(ReadRequestTest, ReadsClassTenantKeysAndDeadline) {
  const auto read = ReadRequest(application, settings, Request([](AvpWriter& avps) {
                                  avps.Add(1, "activate", kMandatoryBit, 32473).Add(2, "group-a", 0, 32473);
                                  avps.Add(3, "6041234567", 0, 32473).Add(4, "k1", 0, 32473);
                                  avps.AddU32(5, 1500, 0, 32473).Add(7, "r-1", 0, 32473);
                                }));
  ASSERT_TRUE(std::holds_alternative<RequestInfo>(read)) << std::get<MessageError>(read).text;
  const RequestInfo& info = std::get<RequestInfo>(read);
  EXPECT_EQ(info.request_class, 1);
  EXPECT_EQ(info.tenant, 0);
  EXPECT_EQ(info.object, "6041234567");
  EXPECT_EQ(info.deadline, 1'500'000);
  EXPECT_EQ(info.id, "r-1");
}

TEST_F(ReadRequestTest, RejectsInvalidRequests) {
  const auto with = [&](const std::string& name, const std::function<void(AvpWriter&)>& more) {
    return Code(Request([&](AvpWriter& avps) {
      if (!name.empty()) avps.Add(1, name, kMandatoryBit, 32473);
      more(avps);
    }));
  };
  const auto nothing = [](AvpWriter&) {};
  const auto key = [](AvpWriter& avps) { avps.Add(4, "k1", 0, 32473); };
  EXPECT_EQ(with("number-port", nothing), ResultCode::kSuccess);
  EXPECT_EQ(with("", nothing), ResultCode::kMissingAvp);
  EXPECT_EQ(with("other", nothing), ResultCode::kInvalidAvpValue);
  EXPECT_EQ(with("activate", nothing), ResultCode::kMissingAvp);
  EXPECT_EQ(with("activate", key), ResultCode::kSuccess);
  EXPECT_EQ(with("number-port", key), ResultCode::kAvpNotAllowed);
  EXPECT_EQ(with("activate", [](AvpWriter& avps) { avps.Add(4, "a b", 0, 32473); }),
            ResultCode::kInvalidAvpValue);
  EXPECT_EQ(with("sim-lookup", [](AvpWriter& avps) { avps.AddU32(5, 0, 0, 32473); }),
            ResultCode::kInvalidAvpValue);
  EXPECT_EQ(with("sim-lookup", [](AvpWriter& avps) { avps.Add(5, "ab", 0, 32473); }),
            ResultCode::kInvalidAvpLength);
  EXPECT_EQ(with("sim-lookup", [](AvpWriter& avps) { avps.Add(1, "activate", kMandatoryBit, 32473); }),
            ResultCode::kAvpOccursTooManyTimes);
  Message other = Request(nothing);
  other.header.command = 8388001;
  EXPECT_EQ(Code(other), ResultCode::kCommandUnsupported);
  other.header.application = 4;
  EXPECT_EQ(Code(other), ResultCode::kApplicationUnsupported);
  Message unproxiable = Request([](AvpWriter& avps) { avps.Add(1, "sim-lookup", kMandatoryBit, 32473); });
  unproxiable.header.flags = kRequestBit;
  EXPECT_EQ(Code(unproxiable), ResultCode::kInvalidHeaderBits);
}

}  // namespace
}  // namespace merlinrun::diameter
