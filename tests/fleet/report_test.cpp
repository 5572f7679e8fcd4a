// Tests which datagrams are decoded and which are rejected.
#include "fleet/report.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "fleet/settings.hpp"

namespace merlinrun::fleet {
namespace {

PeerReport Example() {
  return {3,
          1'796'000'000'000,
          17,
          41,
          {{0, zones::Stage::kServing, 4, 0, 120, 600'000}, {1, zones::Stage::kEjected, 4, 3, 2'000, 900}}};
}

std::string Cbor(const nlohmann::json& json) {
  std::string out;
  nlohmann::json::to_cbor(json, out);
  return out;
}

DecodeError DecodeErrorOf(std::string_view bytes) {
  const auto decoded = Decode(bytes, 8);
  EXPECT_TRUE(std::holds_alternative<DecodeError>(decoded));
  return std::holds_alternative<DecodeError>(decoded) ? std::get<DecodeError>(decoded)
                                                      : DecodeError::kTooLong;
}

TEST(PeerReportTest, RoundTrip) {
  const auto decoded = Decode(Encode(Example()), 8);
  ASSERT_TRUE(std::holds_alternative<PeerReport>(decoded));
  EXPECT_EQ(std::get<PeerReport>(decoded), Example());
}

TEST(PeerReportTest, FitsIntoADatagramWithEveryNumberAtItsLongest) {
  PeerReport report{4'000'000'000, std::uint64_t{1} << 60, std::uint64_t{1} << 60, std::int64_t{1} << 60, {}};
  for (int zone = 0; zone < 20; ++zone)
    report.zones.push_back(
        {100'000 + zone, zones::Stage::kReturning, std::uint64_t{1} << 60, 100, kMaxAgeMs, kMaxAgeMs});
  const std::string bytes = Encode(report);
  EXPECT_LE(bytes.size(), kMaxDatagramBytes);
  EXPECT_EQ(std::get<PeerReport>(Decode(bytes, 4'000'000'001)).zones.size(), kMaxZones);
}

TEST(PeerReportTest, TruncatedDatagramsAreRejected) {
  const std::string bytes = Encode(Example());
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_EQ(DecodeErrorOf(std::string_view(bytes).substr(0, size)), DecodeError::kNotCbor) << size;
  EXPECT_EQ(DecodeErrorOf(bytes + "x"), DecodeError::kNotCbor);
}

TEST(PeerReportTest, InvalidDatagramsAreRejected) {
  EXPECT_EQ(DecodeErrorOf(std::string(kMaxDatagramBytes + 1, 'x')), DecodeError::kTooLong);
  EXPECT_EQ(DecodeErrorOf(Cbor({{"sender", 1}})), DecodeError::kWrongShape);
  EXPECT_EQ(DecodeErrorOf(Cbor({2, 3, 1, 1, 1, nlohmann::json::array()})), DecodeError::kVersion);
  EXPECT_EQ(DecodeErrorOf(Cbor({1, 3, 1, 1})), DecodeError::kWrongShape);
  EXPECT_EQ(DecodeErrorOf(Cbor({1, 8, 1, 1, 1, nlohmann::json::array()})),
            DecodeError::kOutOfRange);  // no such sidecar
  EXPECT_EQ(DecodeErrorOf(Cbor({1, -3, 1, 1, 1, nlohmann::json::array()})), DecodeError::kOutOfRange);
  EXPECT_EQ(DecodeErrorOf(Cbor({1, 3, 1.5, 1, 1, nlohmann::json::array()})), DecodeError::kOutOfRange);
  EXPECT_EQ(DecodeErrorOf(Cbor({1, 3, 1, 1, 1, {{0, 9, 1, 1, 1, 1}}})),
            DecodeError::kOutOfRange);  // no such stage
  EXPECT_EQ(DecodeErrorOf(Cbor({1, 3, 1, 1, 1, {{0, 0, 1, 1, 1}}})), DecodeError::kOutOfRange);
  EXPECT_EQ(DecodeErrorOf(Cbor({1, 3, 1, 1, 1, {{0, 0, 1, 1, 1, 1}, {0, 2, 1, 1, 1, 1}}})),
            DecodeError::kOutOfRange);  // duplicate zone
  EXPECT_EQ(DecodeErrorOf("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"),
            DecodeError::kNotCbor);  // announces 2^64 - 1 entries
}

TEST(PeerReportTest, SettingsErrorsNameTheirPosition) {
  const auto error_for = [](std::string_view text) {
    const auto decoded = ParseReportSettings(text, "fleet.toml");
    return std::holds_alternative<std::string>(decoded) ? std::get<std::string>(decoded) : "taken";
  };
  EXPECT_EQ(error_for("every_ms = 50\n"),
            "fleet.toml:1:12: every_ms: a whole number from 100 to 2000 is needed");
  EXPECT_EQ(error_for("\nnews = 'x'\n"), "fleet.toml:2:8: news: a whole number from 1 to 64 is needed");
  EXPECT_EQ(error_for("loud = true\n"), "fleet.toml:1:8: 'loud' is unknown");
  EXPECT_EQ(error_for("news = 2\nevery_ms = 500\n"), "taken");
}

}  // namespace
}  // namespace merlinrun::fleet
