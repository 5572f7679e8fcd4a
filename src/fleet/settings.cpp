#include "fleet/settings.hpp"

#include <cstdint>

#include "config/toml_error.hpp"

namespace merlinrun::fleet {
namespace {

using config::FormatTomlError;

struct Key {
  std::string_view name;
  std::int64_t min_value;
  std::int64_t max_value;
  void (*set)(ReportSettings& to, std::int64_t value);
};

// Bounds keep rounds frequent enough for reports not to expire, and the load small.
constexpr Key kKeys[] = {
    {"every_ms", 100, 2000, [](ReportSettings& to, std::int64_t value) { to.interval = value * 1000; }},
    {"usual", 1, 64,
     [](ReportSettings& to, std::int64_t value) { to.fanout = static_cast<std::size_t>(value); }},
    {"news", 1, 64,
     [](ReportSettings& to, std::int64_t value) { to.urgent_fanout = static_cast<std::size_t>(value); }},
    {"bytes_per_s", 256, 1'000'000,
     [](ReportSettings& to, std::int64_t value) { to.bytes_per_s = static_cast<double>(value); }},
};

const Key* Find(std::string_view name) {
  for (const Key& key : kKeys)
    if (key.name == name) return &key;
  return nullptr;
}

}  // namespace

std::variant<ReportSettings, std::string> ParseReportSettings(std::string_view text,
                                                              const std::string& file) {
  try {
    const toml::table root = toml::parse(text, file);
    ReportSettings out;
    for (const auto& [name, node] : root) {
      const Key* key = Find(name.str());
      if (key == nullptr)
        return FormatTomlError(node.source(), file, "'" + std::string(name.str()) + "' is unknown");
      const auto value = node.value<std::int64_t>();
      if (!node.is_integer() || *value < key->min_value || *value > key->max_value)
        return FormatTomlError(node.source(), file,
                               std::string(key->name) + ": a whole number from " +
                                   std::to_string(key->min_value) + " to " + std::to_string(key->max_value) +
                                   " is needed");
      key->set(out, *value);
    }
    return out;
  } catch (const toml::parse_error& error) {
    return FormatTomlError(error.source(), file, error.description());
  }
}

}  // namespace merlinrun::fleet
