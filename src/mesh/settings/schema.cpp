#include "mesh/settings/schema.hpp"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace fennelhollow::settings {
namespace {

using nlohmann::json;

std::string Found(const json& value, bool secret) {
  switch (value.type()) {
    case json::value_t::object:
      return "a table";
    case json::value_t::array:
      return value.empty() ? "an empty list" : "a list";
    case json::value_t::string:
      return secret ? "a string"
                    : absl::StrCat("\"", PrintableLine(value.get_ref<const std::string&>()), "\"");
    default:
      return PrintableLine(value.dump());
  }
}

// The schema of member `name` of what `schema` describes; null if it has none.
const json* Below(const json& schema, const std::string& name) {
  if (const auto of = schema.find("properties"); of != schema.end() && of->contains(name))
    return &(*of)[name];
  if (const auto of = schema.find("additionalProperties"); of != schema.end() && of->is_object()) return &*of;
  return nullptr;
}

std::string Wanted(const json* schema) {
  return schema != nullptr && schema->contains("description") ? (*schema)["description"].get<std::string>()
                                                              : "another kind of value";
}

void Join(std::string& path, std::string_view name) {
  if (!path.empty()) path += '.';
  path += PrintableLine(name);
}

// What `context` (the validator's: "<root>", then "[name]" or "[number]") leads to, in words.
std::string Say(const json& root, const json& value, const std::vector<std::string>& context,
                const std::string& above) {
  std::string path(above);
  const json *schema = &root, *at = &value;
  bool secret = false;
  for (std::size_t i = 1; i < context.size() && schema != nullptr; ++i) {
    const std::string& step = context[i];
    if (step.size() < 2) break;
    const std::string name = step.substr(1, step.size() - 2);
    if (at->is_array()) {
      std::size_t index = 0;
      std::from_chars(name.data(), name.data() + name.size(), index);
      if (index >= at->size()) break;
      absl::StrAppend(&path, "[", index, "]");
      at = &(*at)[index];
      schema = schema->contains("items") ? &(*schema)["items"] : nullptr;
    } else {
      if (!at->is_object() || !at->contains(name)) break;
      Join(path, name);
      at = &(*at)[name];
      schema = Below(*schema, name);
    }
    secret = secret || (schema != nullptr && schema->value("writeOnly", false));
  }
  if (schema != nullptr && at->is_object() && schema->contains("required")) {
    for (const json& needed : (*schema)["required"]) {
      const std::string name = needed.get<std::string>();
      if (at->contains(name)) continue;
      Join(path, name);
      return absl::StrCat(path, ": found nothing, wanted ", Wanted(Below(*schema, name)));
    }
  }
  if (path.empty()) path = "the whole";
  return absl::StrCat(path, ": found ", Found(*at, secret), ", wanted ", Wanted(schema));
}

}  // namespace

struct Schema::Compiled {
  json text;
  valijson::Schema schema;
};

Schema::Schema(std::string_view text) {
  auto compiled = std::make_unique<Compiled>();
  try {
    compiled->text = json::parse(text);
    valijson::SchemaParser(valijson::SchemaParser::kDraft7)
        .populateSchema(valijson::adapters::NlohmannJsonAdapter(compiled->text), compiled->schema);
  } catch (const std::exception& e) {
    LOG(FATAL) << "a schema of the program's own can't be read: " << e.what();
  }
  compiled_ = std::move(compiled);
}

Schema::~Schema() = default;

absl::Status Schema::Check(const json& value, const std::string& above) const {
  try {
    const valijson::adapters::NlohmannJsonAdapter adapter(value);
    // First without results: it stops at the first fault, and gathers nothing where there is none.
    if (valijson::Validator().validate(compiled_->schema, adapter, nullptr)) return absl::OkStatus();
    valijson::ValidationResults results;
    valijson::Validator().validate(compiled_->schema, adapter, &results);
    valijson::ValidationResults::Error error;
    if (!results.popError(error)) error.context.clear();  // the first is the innermost
    return absl::InvalidArgumentError(Say(compiled_->text, value, error.context, above));
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(
        absl::StrCat(above, ": can't be checked: ", PrintableLine(e.what(), 200)));
  }
}

void Normalize(json& value) {
  if (value.is_object()) {
    for (auto member = value.begin(); member != value.end();) {
      if (member->is_null()) {
        member = value.erase(member);
      } else {
        Normalize(*member++);
      }
    }
  } else if (value.is_array()) {
    for (json& item : value) Normalize(item);
  } else if (value.is_number_float()) {
    const double number = value.get<double>();
    if (std::abs(number) <= 0x1p53 && std::trunc(number) == number) value = static_cast<std::int64_t>(number);
  } else if (value.is_number_unsigned() && value.get<std::uint64_t>() > std::uint64_t{INT64_MAX}) {
    value = static_cast<double>(value.get<std::uint64_t>());
  }
}

std::string PrintableLine(std::string_view text, std::size_t most) {
  std::string line(text.substr(0, most));
  for (char& c : line) {
    if (c < ' ' || c > '~') c = '?';  // also half of a character that was cut
  }
  if (text.size() > most) line += "...";
  return line;
}

}  // namespace fennelhollow::settings
