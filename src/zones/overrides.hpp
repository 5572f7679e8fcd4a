// Parser of the operator's zone overrides (EDGE_ZONES; deploy/zones.example.toml), read at startup and on
// SIGHUP.
#ifndef MERLINRUN_ZONES_OVERRIDES_HPP_
#define MERLINRUN_ZONES_OVERRIDES_HPP_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::zones {

// `names`: zone names in the order of their numbers. Returns the error as "FILE:LINE:COLUMN: message".
// Evacuating all zones is an error.
std::variant<std::vector<ZoneOverride>, std::string> ParseZoneOverrides(
    std::string_view text, const std::string& file, const std::vector<std::string>& names);

}  // namespace merlinrun::zones

#endif  // MERLINRUN_ZONES_OVERRIDES_HPP_
