// JSON schema validation with one-line error messages.
#ifndef FENNELHOLLOW_MESH_SETTINGS_SCHEMA_HPP_
#define FENNELHOLLOW_MESH_SETTINGS_SCHEMA_HPP_

#include <absl/status/status.h>

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace fennelhollow::settings {

// Immutable; may be used by several threads at once.
class Schema {
 public:
  // `text`: a built-in JSON schema; the `description` of each field is used in error messages. Terminates the
  // program if it is malformed.
  explicit Schema(std::string_view text);
  ~Schema();
  Schema(const Schema&) = delete;
  Schema& operator=(const Schema&) = delete;

  // kInvalidArgument with one line: the path of the field (prefixed with `parent_path`), what was found and
  // what is wanted. Values of `writeOnly` fields (secrets) are not included. Expects the output of Normalize.
  absl::Status Check(const nlohmann::json& value, const std::string& parent_path = "") const;

 private:
  struct Compiled;
  std::unique_ptr<const Compiled> compiled_;
};

// Canonicalizes `value`: drops null members, turns integral floats into integers, and integers beyond int64
// into floats.
void Normalize(nlohmann::json& value);

// Makes untrusted text printable on one line: truncated to `max_bytes`, with unprintable bytes replaced.
std::string PrintableLine(std::string_view text, std::size_t max_bytes = 40);

}  // namespace fennelhollow::settings

#endif  // FENNELHOLLOW_MESH_SETTINGS_SCHEMA_HPP_
