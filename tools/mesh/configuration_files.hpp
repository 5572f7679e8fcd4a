// Validates and compares configuration files with the code that the cores use. No I/O except in ReadFile.
#ifndef FENNELHOLLOW_TOOLS_MESH_CONFIGURATION_FILES_HPP_
#define FENNELHOLLOW_TOOLS_MESH_CONFIGURATION_FILES_HPP_

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

#include "mesh/configuration/configuration.hpp"
#include "tools/mesh/retrying_client.hpp"

namespace fennelhollow::tools {

// Reads a file of at most 8 MiB, a core's limit. kInvalidArgument, with a one-line message, if it cannot.
absl::StatusOr<std::string> ReadFile(const std::string& path);

// What a program prints, and its exit status.
struct Summary {
  ExitStatus exit = ExitStatus::kSuccess;
  std::string text;  // complete lines
};

// Reports whether a core would accept `call`, a full configuration or a change (an object with `upsert` or
// `remove`), on top of `current`, as returned by Configuration.Read. Without `current`, a full configuration
// is validated on its own, ignoring its baseVersion; a change cannot be checked.
Summary Check(std::string_view call, const std::optional<std::string>& current);

// Lists what `next` (as `call` of Check) adds to, removes from and changes in `old`. "!" marks items that
// tighten the configuration: they may only be relied on once every sidecar has applied them.
Summary Diff(std::string_view old, std::string_view next);

}  // namespace fennelhollow::tools

#endif  // FENNELHOLLOW_TOOLS_MESH_CONFIGURATION_FILES_HPP_
