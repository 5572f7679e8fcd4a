// Configurations in files, judged by the core's own code. Free of I/O but for ReadFile.
#ifndef FENNELHOLLOW_TOOLS_MESH_CONFIGURATION_FILES_HPP_
#define FENNELHOLLOW_TOOLS_MESH_CONFIGURATION_FILES_HPP_

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

#include "mesh/configuration/configuration.hpp"
#include "tools/mesh/repeater.hpp"

namespace fennelhollow::tools {

// At most 8 MiB, which is what a core reads. kInvalidArgument with one line.
absl::StatusOr<std::string> ReadFile(const std::string& path);

struct Report {
  Exit exit = Exit::kTaken;
  std::string text;  // whole lines
};

// What a core would say of `call` (a whole configuration, or a change: an object with `upsert` or `remove`)
// if `current`, as Configuration.Read gives it, were in place. Without `current` a whole configuration is
// checked by itself, whatever it builds on; a change can't be.
Report Check(std::string_view call, const std::optional<std::string>& current);

// What `next` (as for Check) changes of `old`, item by item; "!" marks what tightens: sidecars must have it
// in force before anybody may rely on it.
Report Diff(std::string_view old, std::string_view next);

}  // namespace fennelhollow::tools

#endif  // FENNELHOLLOW_TOOLS_MESH_CONFIGURATION_FILES_HPP_
