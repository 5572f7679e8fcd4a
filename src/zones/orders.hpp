// What the operator orders of zones (EDGE_ZONES; deploy/zones.example.toml), read at the start and at SIGHUP.
#ifndef MERLINRUN_ZONES_ORDERS_HPP_
#define MERLINRUN_ZONES_ORDERS_HPP_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::zones {

// `names`: the zones as the settings have them, whose numbers are their places. On failure one line:
// "FILE:LINE:COLUMN: what is wrong". An order to leave every zone is refused.
std::variant<std::vector<ZoneOverride>, std::string> ParseZoneOverrides(
    std::string_view text, const std::string& file, const std::vector<std::string>& names);

}  // namespace merlinrun::zones

#endif  // MERLINRUN_ZONES_ORDERS_HPP_
