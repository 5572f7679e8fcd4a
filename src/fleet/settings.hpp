// The operator's file on what sidecars tell one another (EDGE_FLEET; deploy/fleet.example.toml).
#ifndef MERLINRUN_FLEET_SETTINGS_HPP_
#define MERLINRUN_FLEET_SETTINGS_HPP_

#include <string>
#include <string_view>
#include <variant>

#include "fleet/report_scheduler.hpp"

namespace merlinrun::fleet {

// On failure one line: "FILE:LINE:COLUMN: what is wrong".
std::variant<ReportSettings, std::string> ParseReportSettings(std::string_view text, const std::string& file);

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_SETTINGS_HPP_
