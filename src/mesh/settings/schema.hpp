// A JSON schema, and one plain line for what does not fit it.
#ifndef FENNELHOLLOW_MESH_SETTINGS_SCHEMA_HPP_
#define FENNELHOLLOW_MESH_SETTINGS_SCHEMA_HPP_

#include <absl/status/status.h>

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace fennelhollow::settings {

// Immutable after it is made; one may be used by several threads at once.
class Schema {
 public:
  // `text`: a JSON schema of the source's own, in which each field's `description` says what is wanted there.
  // A `text` that can't be read ends the program.
  explicit Schema(std::string_view text);
  ~Schema();
  Schema(const Schema&) = delete;
  Schema& operator=(const Schema&) = delete;

  // kInvalidArgument, on one line: which field (its path, after `above`), what was found and what is wanted.
  // Strings at fields that the schema calls `writeOnly` (secrets) are not repeated. `value` has been through
  // Normalize.
  absl::Status Check(const nlohmann::json& value, const std::string& above = "") const;

 private:
  struct Compiled;
  std::unique_ptr<const Compiled> compiled_;
};

// Makes `value` plain to check and read: members that are null count as not told and go; numbers without a
// fraction become integers; integers too large for 64 bits with a sign become fractions.
void Normalize(nlohmann::json& value);

// A line out of foreign text: at most `most` bytes of it, what can't be printed replaced.
std::string PrintableLine(std::string_view text, std::size_t most = 40);

}  // namespace fennelhollow::settings

#endif  // FENNELHOLLOW_MESH_SETTINGS_SCHEMA_HPP_
