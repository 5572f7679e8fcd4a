// Settings file of the report exchange between sidecars (EDGE_FLEET; deploy/fleet.example.toml).
#ifndef MERLINRUN_FLEET_SETTINGS_HPP_
#define MERLINRUN_FLEET_SETTINGS_HPP_

#include <string>
#include <string_view>
#include <variant>

#include "fleet/report_scheduler.hpp"

namespace merlinrun::fleet {

// On failure returns one line: "FILE:LINE:COLUMN: reason".
std::variant<ReportSettings, std::string> ParseReportSettings(std::string_view text, const std::string& file);

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_SETTINGS_HPP_
