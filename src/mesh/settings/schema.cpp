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

std::string DescribeFound(const json& value, bool secret) {
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

// The schema of member `name`, or null.
const json* MemberSchema(const json& schema, const std::string& name) {
  if (const auto of = schema.find("properties"); of != schema.end() && of->contains(name))
    return &(*of)[name];
  if (const auto of = schema.find("additionalProperties"); of != schema.end() && of->is_object()) return &*of;
  return nullptr;
}

std::string DescribeWanted(const json* schema) {
  return schema != nullptr && schema->contains("description") ? (*schema)["description"].get<std::string>()
                                                              : "another kind of value";
}

void AppendMember(std::string& path, std::string_view name) {
  if (!path.empty()) path += '.';
  path += PrintableLine(name);
}

// Describes the error at `context`, the path reported by the validator: "<root>", then "[name]" or "[index]".
std::string DescribeError(const json& root, const json& value, const std::vector<std::string>& context,
                          const std::string& parent_path) {
  std::string path(parent_path);
  const json *schema = &root, *found_at = &value;
  bool secret = false;
  for (std::size_t i = 1; i < context.size() && schema != nullptr; ++i) {
    const std::string& step = context[i];
    if (step.size() < 2) break;
    const std::string name = step.substr(1, step.size() - 2);
    if (found_at->is_array()) {
      std::size_t index = 0;
      std::from_chars(name.data(), name.data() + name.size(), index);
      if (index >= found_at->size()) break;
      absl::StrAppend(&path, "[", index, "]");
      found_at = &(*found_at)[index];
      schema = schema->contains("items") ? &(*schema)["items"] : nullptr;
    } else {
      if (!found_at->is_object() || !found_at->contains(name)) break;
      AppendMember(path, name);
      found_at = &(*found_at)[name];
      schema = MemberSchema(*schema, name);
    }
    secret = secret || (schema != nullptr && schema->value("writeOnly", false));
  }
  if (schema != nullptr && found_at->is_object() && schema->contains("required")) {
    for (const json& needed : (*schema)["required"]) {
      const std::string name = needed.get<std::string>();
      if (found_at->contains(name)) continue;
      AppendMember(path, name);
      return absl::StrCat(path, ": found nothing, wanted ", DescribeWanted(MemberSchema(*schema, name)));
    }
  }
  if (path.empty()) path = "the whole";
  return absl::StrCat(path, ": found ", DescribeFound(*found_at, secret), ", wanted ",
                      DescribeWanted(schema));
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
    LOG(FATAL) << "invalid built-in JSON schema: " << e.what();
  }
  compiled_ = std::move(compiled);
}

Schema::~Schema() = default;

absl::Status Schema::Check(const json& value, const std::string& parent_path) const {
  try {
    const valijson::adapters::NlohmannJsonAdapter adapter(value);
    // Without results first, which is cheaper; most values are valid.
    if (valijson::Validator().validate(compiled_->schema, adapter, nullptr)) return absl::OkStatus();
    valijson::ValidationResults results;
    valijson::Validator().validate(compiled_->schema, adapter, &results);
    valijson::ValidationResults::Error error;
    if (!results.popError(error)) error.context.clear();  // the first error is the innermost
    return absl::InvalidArgumentError(DescribeError(compiled_->text, value, error.context, parent_path));
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(
        absl::StrCat(parent_path, ": can't be checked: ", PrintableLine(e.what(), 200)));
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

std::string PrintableLine(std::string_view text, std::size_t max_bytes) {
  std::string line(text.substr(0, max_bytes));
  for (char& c : line) {
    if (c < ' ' || c > '~') c = '?';  // also bytes of a truncated UTF-8 character
  }
  if (text.size() > max_bytes) line += "...";
  return line;
}

}  // namespace fennelhollow::settings
