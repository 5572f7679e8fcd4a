// Formats errors in TOML files: "FILE:LINE:COLUMN: what is wrong".
#ifndef MERLINRUN_CONFIG_TOML_ERROR_HPP_
#define MERLINRUN_CONFIG_TOML_ERROR_HPP_

#include <toml++/toml.h>

#include <string>
#include <string_view>

namespace merlinrun::config {

inline std::string FormatTomlError(const toml::source_region& where, const std::string& file,
                                   std::string_view what) {
  return file + ":" + std::to_string(where.begin.line) + ":" + std::to_string(where.begin.column) + ": " +
         std::string(what);
}

}  // namespace merlinrun::config

#endif  // MERLINRUN_CONFIG_TOML_ERROR_HPP_
