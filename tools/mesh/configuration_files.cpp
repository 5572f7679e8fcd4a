#include "tools/mesh/configuration_files.hpp"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace fennelhollow::tools {
namespace {

using configuration::ChangeResult;
using configuration::Configuration;
using configuration::ReplicatedState;
using configuration::RoutingTables;
using nlohmann::ordered_json;

constexpr std::size_t kMaxFileBytes = std::size_t{8} * 1024 * 1024;

// Takes std::string, as absl::string_view is not std::string_view in this build.
absl::Status InvalidInput(const std::string& what, const std::string& why) {
  return absl::InvalidArgumentError(absl::StrCat(what, ": ", why));
}

// `text` with baseVersion 0, as a first configuration. FromText bounds the nesting depth, so parsing what it
// accepts is safe.
absl::StatusOr<std::string> WithBaseVersionZero(const std::string& what, std::string_view text) {
  const auto read = Configuration::FromText(std::string(text));
  if (!read.ok()) {
    // Evaluate gives the more specific message.
    const ChangeResult result = ReplicatedState().Evaluate(false, text);
    return InvalidInput(what, result.error.empty() ? std::string(read.status().message()) : result.error);
  }
  try {
    ordered_json object = ordered_json::parse(text);
    object["baseVersion"] = 0;
    return object.dump();
  } catch (const nlohmann::json::exception&) {
    return InvalidInput(what, "invalid JSON");
  }
}

absl::StatusOr<ReplicatedState> LoadState(const std::string& what, std::string_view text) {
  const auto first = WithBaseVersionZero(what, text);
  if (!first.ok()) return first.status();
  const ChangeResult result = ReplicatedState().Evaluate(false, *first);
  if (result.kind != ChangeResult::Kind::kAccepted) return InvalidInput(what, result.error);
  return ReplicatedState::Parse(result.next_state);
}

// Whether `text` has members that only a change has. Invalid JSON is no change; Evaluate reports the error.
bool IsChange(std::string_view text) {
  // Keeps only the keys of the outermost object.
  const auto keep_top_level = [](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
    return depth <= 1;
  };
  const auto object = nlohmann::json::parse(text, keep_top_level, false);
  return object.is_object() && (object.contains("upsert") || object.contains("remove"));
}

std::string ItemId(const ordered_json& item) {
  const std::string kind = item.at("resourceKind").get<std::string>();
  return kind == "limits" ? kind : kind + "/" + item.at("metadata").at("name").get<std::string>();
}

absl::StatusOr<std::shared_ptr<const RoutingTables>> BuildTables(const std::string& text) {
  const auto configuration = Configuration::FromText(text);
  if (!configuration.ok()) return configuration.status();
  return RoutingTables::Build(*configuration);
}

// Whether applying only the change of item `id` to `old` tightens the configuration. An item that is not
// valid on its own, such as a route to a service that is new as well, counts as tightening.
bool TightensAlone(const std::string& old, const std::string& next, const std::string& id) {
  try {
    ordered_json before = ordered_json::parse(old);
    const ordered_json after = ordered_json::parse(next);
    ordered_json items = ordered_json::array();
    for (const ordered_json& item : before.at("resourceList")) {
      if (ItemId(item) != id) items.push_back(item);
    }
    for (const ordered_json& item : after.at("resourceList")) {
      if (ItemId(item) == id) items.push_back(item);
    }
    before["resourceList"] = std::move(items);
    const auto a = BuildTables(old);
    const auto b = BuildTables(before.dump());
    return !a.ok() || !b.ok() || configuration::Compare(**a, **b).tightens;
  } catch (const nlohmann::json::exception&) {
    return true;
  }
}

Summary InvalidSummary(const absl::Status& status) {
  return {ExitStatus::kInvalidInput, absl::StrCat("invalid: ", status.message(), "\n")};
}

}  // namespace

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "rb"), std::fclose);
  if (!file) return InvalidInput(path, std::strerror(errno));
  std::string content(kMaxFileBytes + 1, '\0');
  content.resize(std::fread(content.data(), 1, content.size(), file.get()));
  if (std::ferror(file.get()) != 0) return InvalidInput(path, std::strerror(errno));
  if (content.size() > kMaxFileBytes) return InvalidInput(path, "larger than 8 MiB");
  return content;
}

Summary Check(std::string_view call, const std::optional<std::string>& current) {
  const bool change = IsChange(call);
  if (change && !current) {
    return {ExitStatus::kInvalidInput,
            "invalid: checking a change requires the current configuration: --on FILE\n"};
  }
  ReplicatedState state;
  std::string standalone;
  if (current) {
    auto read = LoadState("the current configuration", *current);
    if (!read.ok()) return InvalidSummary(read.status());
    state = *std::move(read);
  } else {
    auto first = WithBaseVersionZero("the configuration", call);
    if (!first.ok()) return InvalidSummary(first.status());
    standalone = *std::move(first);
    call = standalone;
  }
  const ChangeResult result = state.Evaluate(change, call);
  switch (result.kind) {
    case ChangeResult::Kind::kAccepted:
    case ChangeResult::Kind::kAlreadyApplied:
      return {ExitStatus::kSuccess, current ? "would be taken\n" : "valid by itself\n"};
    case ChangeResult::Kind::kConflict:
      return {ExitStatus::kConflict, absl::StrCat("conflict: ", result.error, "\n")};
    case ChangeResult::Kind::kInvalid:
    case ChangeResult::Kind::kUnknown:
      break;
  }
  return {ExitStatus::kInvalidInput, absl::StrCat("invalid: ", result.error, "\n")};
}

Summary Diff(std::string_view old, std::string_view next) {
  const auto before = LoadState("the old configuration", old);
  if (!before.ok()) return InvalidSummary(before.status());
  absl::StatusOr<ReplicatedState> after = ReplicatedState();
  if (IsChange(next)) {
    const ChangeResult result = before->Evaluate(true, next);
    if (result.kind == ChangeResult::Kind::kConflict)
      return {ExitStatus::kConflict, absl::StrCat("conflict: ", result.error, "\n")};
    if (result.kind != ChangeResult::Kind::kAccepted)
      return InvalidSummary(InvalidInput("the change", result.error));
    after = ReplicatedState::Parse(result.next_state);
  } else {
    after = LoadState("the new configuration", next);
  }
  if (!after.ok()) return InvalidSummary(after.status());
  const std::string& from = before->newest().text();
  const std::string& to = after->newest().text();
  const auto a = BuildTables(from);
  const auto b = BuildTables(to);
  if (!a.ok()) return InvalidSummary(a.status());
  if (!b.ok()) return InvalidSummary(b.status());
  const configuration::Difference difference = configuration::Compare(**a, **b);

  Summary summary;
  summary.text =
      absl::StrCat("version ", before->newest().version(), " to ", after->newest().version(), "\n");
  const auto append = [&](char marker, const std::vector<std::string>& ids) {
    for (const std::string& id : ids) {
      const bool tightens = difference.tightens && TightensAlone(from, to, id);
      absl::StrAppend(&summary.text, std::string(1, marker), tightens ? "! " : "  ", id, "\n");
    }
  };
  append('+', difference.added);
  append('-', difference.removed);
  append('~', difference.changed);
  absl::StrAppend(&summary.text, difference.tightens ? "tightens\n" : "tightens nothing\n");
  return summary;
}

}  // namespace fennelhollow::tools
