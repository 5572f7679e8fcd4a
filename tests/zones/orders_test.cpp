// Parsing of zone overrides, and the error messages for invalid files.
#include <gtest/gtest.h>

#include "zones/overrides.hpp"

namespace merlinrun::zones {
namespace {

std::string ErrorOf(std::string_view text) {
  const auto parsed = ParseZoneOverrides(text, "zones.toml", {"east", "west"});
  return std::holds_alternative<std::string>(parsed) ? std::get<std::string>(parsed) : "accepted";
}

TEST(OverridesTest, ZonesAreNamedAsInTheSettings) {
  const auto parsed =
      ParseZoneOverrides("leave = ['west']\nkeep = ['east']\n", "zones.toml", {"east", "west"});
  const auto& overrides = std::get<std::vector<ZoneOverride>>(parsed);
  ASSERT_EQ(overrides.size(), 2U);
  for (const ZoneOverride& entry : overrides)
    EXPECT_EQ(entry.kind, entry.zone == 1 ? ZoneOverride::Kind::kEvacuate : ZoneOverride::Kind::kKeep);
  EXPECT_EQ(ErrorOf(""), "accepted");
}

TEST(OverridesTest, AnInvalidFileIsReportedWithItsPosition) {
  EXPECT_EQ(ErrorOf("leave = ['north']\n"), "zones.toml:1:10: 'north' is no zone of the settings");
  EXPECT_EQ(ErrorOf("leave = ['west']\nkeep = ['west']\n").substr(0, 11), "zones.toml:");
  EXPECT_EQ(ErrorOf("leave = 'west'\n"),
            "zones.toml:1:9: 'leave': only leave and keep are known, as lists of zones");
  EXPECT_EQ(ErrorOf("leave = ['east', 'west']\n"), "zones.toml:1:1: every zone is ordered to be left");
  EXPECT_EQ(ErrorOf("drop = []\n").substr(0, 20), "zones.toml:1:8: 'dro");
}

}  // namespace
}  // namespace merlinrun::zones
