// Parsing of zone overrides, and the error messages for invalid files.
#include <gtest/gtest.h>

#include "zones/overrides.hpp"

namespace merlinrun::zones {
namespace {

std::string WrongOf(std::string_view text) {
  const auto read = ParseZoneOverrides(text, "zones.toml", {"east", "west"});
  return std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : "taken";
}

TEST(OverridesTest, ZonesAreNamedAsInTheSettings) {
  const auto read = ParseZoneOverrides("leave = ['west']\nkeep = ['east']\n", "zones.toml", {"east", "west"});
  const auto& orders = std::get<std::vector<ZoneOverride>>(read);
  ASSERT_EQ(orders.size(), 2U);
  for (const ZoneOverride& order : orders)
    EXPECT_EQ(order.kind, order.zone == 1 ? ZoneOverride::Kind::kEvacuate : ZoneOverride::Kind::kKeep);
  EXPECT_EQ(WrongOf(""), "taken");
}

TEST(OverridesTest, AnInvalidFileIsReportedWithItsPosition) {
  EXPECT_EQ(WrongOf("leave = ['north']\n"), "zones.toml:1:10: 'north' is no zone of the settings");
  EXPECT_EQ(WrongOf("leave = ['west']\nkeep = ['west']\n").substr(0, 11), "zones.toml:");
  EXPECT_EQ(WrongOf("leave = 'west'\n"),
            "zones.toml:1:9: 'leave': only leave and keep are known, as lists of zones");
  EXPECT_EQ(WrongOf("leave = ['east', 'west']\n"), "zones.toml:1:1: every zone is ordered to be left");
  EXPECT_EQ(WrongOf("drop = []\n").substr(0, 20), "zones.toml:1:8: 'dro");
}

}  // namespace
}  // namespace merlinrun::zones
