#include "zones/overrides.hpp"

#include <algorithm>

#include "config/toml_error.hpp"

namespace merlinrun::zones {
namespace {

using config::FormatTomlError;

}  // namespace

std::variant<std::vector<ZoneOverride>, std::string> ParseZoneOverrides(
    std::string_view text, const std::string& file, const std::vector<std::string>& names) {
  try {
    const toml::table root = toml::parse(text, file);
    std::vector<ZoneOverride> out;
    for (const auto& [key, node] : root) {
      const bool evacuate = key == "leave";
      if ((!evacuate && key != "keep") || !node.is_array())
        return FormatTomlError(
            node.source(), file,
            "'" + std::string(key.str()) + "': only leave and keep are known, as lists of zones");
      for (const toml::node& entry : *node.as_array()) {
        const auto name = entry.value<std::string>();
        const auto it = std::find(names.begin(), names.end(), name.value_or(""));
        if (!name || it == names.end())
          return FormatTomlError(entry.source(), file,
                                 "'" + name.value_or("") + "' is no zone of the settings");
        const auto zone = static_cast<int>(it - names.begin());
        const auto is_listed = [&](const ZoneOverride& listed) { return listed.zone == zone; };
        if (std::any_of(out.begin(), out.end(), is_listed))
          return FormatTomlError(entry.source(), file, "'" + *name + "' is ordered twice");
        out.push_back({zone, evacuate ? ZoneOverride::Kind::kEvacuate : ZoneOverride::Kind::kKeep});
      }
    }
    const auto evacuated = std::count_if(out.begin(), out.end(), [](const ZoneOverride& o) {
      return o.kind == ZoneOverride::Kind::kEvacuate;
    });
    if (evacuated > 0 && static_cast<std::size_t>(evacuated) == names.size())
      return FormatTomlError(root.source(), file, "every zone is ordered to be left");
    return out;
  } catch (const toml::parse_error& error) {
    return FormatTomlError(error.source(), file, error.description());
  }
}

}  // namespace merlinrun::zones
