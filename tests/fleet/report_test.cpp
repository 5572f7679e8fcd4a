// What is read of a datagram, and what is not.
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

DecodeError FlawOf(std::string_view bytes) {
  const auto read = Decode(bytes, 8);
  EXPECT_TRUE(std::holds_alternative<DecodeError>(read));
  return std::holds_alternative<DecodeError>(read) ? std::get<DecodeError>(read) : DecodeError::kTooLong;
}

TEST(WordsTest, AreReadAsTheyWereWritten) {
  const auto read = Decode(Encode(Example()), 8);
  ASSERT_TRUE(std::holds_alternative<PeerReport>(read));
  EXPECT_EQ(std::get<PeerReport>(read), Example());
}

TEST(WordsTest, FitIntoADatagramWithEveryNumberAtItsLongest) {
  PeerReport words{4'000'000'000, std::uint64_t{1} << 60, std::uint64_t{1} << 60, std::int64_t{1} << 60, {}};
  for (int zone = 0; zone < 20; ++zone)
    words.zones.push_back(
        {100'000 + zone, zones::Stage::kReturning, std::uint64_t{1} << 60, 100, kMaxAgeMs, kMaxAgeMs});
  const std::string bytes = Encode(words);
  EXPECT_LE(bytes.size(), kMaxDatagramBytes);
  EXPECT_EQ(std::get<PeerReport>(Decode(bytes, 4'000'000'001)).zones.size(), kMaxZones);
}

TEST(WordsTest, CutAnywhereAreNoWords) {
  const std::string bytes = Encode(Example());
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_EQ(FlawOf(std::string_view(bytes).substr(0, size)), DecodeError::kNoWords) << size;
  EXPECT_EQ(FlawOf(bytes + "x"), DecodeError::kNoWords);
}

TEST(WordsTest, TooLongForeignOrOfAnotherVersionAreDropped) {
  EXPECT_EQ(FlawOf(std::string(kMaxDatagramBytes + 1, 'x')), DecodeError::kTooLong);
  EXPECT_EQ(FlawOf(Cbor({{"sender", 1}})), DecodeError::kShape);
  EXPECT_EQ(FlawOf(Cbor({2, 3, 1, 1, 1, nlohmann::json::array()})), DecodeError::kVersion);
  EXPECT_EQ(FlawOf(Cbor({1, 3, 1, 1})), DecodeError::kShape);
  EXPECT_EQ(FlawOf(Cbor({1, 8, 1, 1, 1, nlohmann::json::array()})), DecodeError::kRange);  // no such sidecar
  EXPECT_EQ(FlawOf(Cbor({1, -3, 1, 1, 1, nlohmann::json::array()})), DecodeError::kRange);
  EXPECT_EQ(FlawOf(Cbor({1, 3, 1.5, 1, 1, nlohmann::json::array()})), DecodeError::kRange);
  EXPECT_EQ(FlawOf(Cbor({1, 3, 1, 1, 1, {{0, 9, 1, 1, 1, 1}}})), DecodeError::kRange);  // no such stage
  EXPECT_EQ(FlawOf(Cbor({1, 3, 1, 1, 1, {{0, 0, 1, 1, 1}}})), DecodeError::kRange);
  EXPECT_EQ(FlawOf(Cbor({1, 3, 1, 1, 1, {{0, 0, 1, 1, 1, 1}, {0, 2, 1, 1, 1, 1}}})),
            DecodeError::kRange);  // twice
  EXPECT_EQ(FlawOf("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"),
            DecodeError::kNoWords);  // 2^64 - 1 entries are promised
}

TEST(WordsTest, TheOperatorsFileIsCheckedWithItsPlace) {
  const auto wrong = [](std::string_view text) {
    const auto read = ParseReportSettings(text, "fleet.toml");
    return std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : "taken";
  };
  EXPECT_EQ(wrong("every_ms = 50\n"), "fleet.toml:1:12: every_ms: a whole number from 100 to 2000 is needed");
  EXPECT_EQ(wrong("\nnews = 'x'\n"), "fleet.toml:2:8: news: a whole number from 1 to 64 is needed");
  EXPECT_EQ(wrong("loud = true\n"), "fleet.toml:1:8: 'loud' is unknown");
  EXPECT_EQ(wrong("news = 2\nevery_ms = 500\n"), "taken");
}

}  // namespace
}  // namespace merlinrun::fleet
