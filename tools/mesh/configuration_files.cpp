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

constexpr std::size_t kMostFile = std::size_t{8} * 1024 * 1024;

// absl's own string_view is not the standard's here.
absl::Status Bad(const std::string& what, const std::string& why) {
  return absl::InvalidArgumentError(absl::StrCat(what, ": ", why));
}

// As if it were the first. FromText guards: a text that it takes can be parsed without recursing too far.
absl::StatusOr<std::string> AsFirst(const std::string& what, std::string_view text) {
  const auto read = Configuration::FromText(std::string(text));
  if (!read.ok()) {
    // The judge knows better what is wrong.
    const ChangeResult verdict = ReplicatedState().Evaluate(false, text);
    return Bad(what, verdict.error.empty() ? std::string(read.status().message()) : verdict.error);
  }
  try {
    ordered_json object = ordered_json::parse(text);
    object["baseVersion"] = 0;
    return object.dump();
  } catch (const nlohmann::json::exception&) {
    return Bad(what, "can't be read");
  }
}

absl::StatusOr<ReplicatedState> LedgerOf(const std::string& what, std::string_view text) {
  const auto first = AsFirst(what, text);
  if (!first.ok()) return first.status();
  const ChangeResult verdict = ReplicatedState().Evaluate(false, *first);
  if (verdict.kind != ChangeResult::Kind::kAccepted) return Bad(what, verdict.error);
  return ReplicatedState::Parse(verdict.next_state);
}

// The members that only a change has. A text that can't be read is no change: the judge will say why.
bool IsChange(std::string_view text) {
  // Keys of the outermost object alone; what is deeper is not kept.
  const auto top = [](int depth, nlohmann::json::parse_event_t, nlohmann::json&) { return depth <= 1; };
  const auto object = nlohmann::json::parse(text, top, false);
  return object.is_object() && (object.contains("upsert") || object.contains("remove"));
}

std::string IdOf(const ordered_json& item) {
  const std::string kind = item.at("resourceKind").get<std::string>();
  return kind == "limits" ? kind : kind + "/" + item.at("metadata").at("name").get<std::string>();
}

absl::StatusOr<std::shared_ptr<const RoutingTables>> TablesOf(const std::string& text) {
  const auto configuration = Configuration::FromText(text);
  if (!configuration.ok()) return configuration.status();
  return RoutingTables::Build(*configuration);
}

// `old` with this one item as `next` has it, or without it; what that alone does. One that can't stand alone
// (a route to a service that is new, too) counts as what tightens.
bool TightensAlone(const std::string& old, const std::string& next, const std::string& id) {
  try {
    ordered_json before = ordered_json::parse(old);
    const ordered_json after = ordered_json::parse(next);
    ordered_json kept = ordered_json::array();
    for (const ordered_json& item : before.at("resourceList")) {
      if (IdOf(item) != id) kept.push_back(item);
    }
    for (const ordered_json& item : after.at("resourceList")) {
      if (IdOf(item) == id) kept.push_back(item);
    }
    before["resourceList"] = std::move(kept);
    const auto a = TablesOf(old);
    const auto b = TablesOf(before.dump());
    return !a.ok() || !b.ok() || configuration::Compare(**a, **b).tightens;
  } catch (const nlohmann::json::exception&) {
    return true;
  }
}

Report Refused(const absl::Status& status) {
  return {Exit::kBadInput, absl::StrCat("invalid: ", status.message(), "\n")};
}

}  // namespace

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "rb"), std::fclose);
  if (!file) return Bad(path, std::strerror(errno));
  std::string out(kMostFile + 1, '\0');
  out.resize(std::fread(out.data(), 1, out.size(), file.get()));
  if (std::ferror(file.get()) != 0) return Bad(path, std::strerror(errno));
  if (out.size() > kMostFile) return Bad(path, "larger than 8 MiB");
  return out;
}

Report Check(std::string_view call, const std::optional<std::string>& current) {
  const bool change = IsChange(call);
  if (change && !current) {
    return {Exit::kBadInput, "invalid: a change is checked on the current configuration: --on FILE\n"};
  }
  ReplicatedState ledger;
  std::string alone;
  if (current) {
    auto read = LedgerOf("the current configuration", *current);
    if (!read.ok()) return Refused(read.status());
    ledger = *std::move(read);
  } else {
    auto first = AsFirst("the configuration", call);
    if (!first.ok()) return Refused(first.status());
    alone = *std::move(first);
    call = alone;
  }
  const ChangeResult verdict = ledger.Evaluate(change, call);
  switch (verdict.kind) {
    case ChangeResult::Kind::kAccepted:
    case ChangeResult::Kind::kAlreadyApplied:
      return {Exit::kTaken, current ? "would be taken\n" : "valid by itself\n"};
    case ChangeResult::Kind::kConflict:
      return {Exit::kConflict, absl::StrCat("conflict: ", verdict.error, "\n")};
    case ChangeResult::Kind::kInvalid:
    case ChangeResult::Kind::kUnknown:
      break;
  }
  return {Exit::kBadInput, absl::StrCat("invalid: ", verdict.error, "\n")};
}

Report Diff(std::string_view old, std::string_view next) {
  const auto before = LedgerOf("the old configuration", old);
  if (!before.ok()) return Refused(before.status());
  absl::StatusOr<ReplicatedState> after = ReplicatedState();
  if (IsChange(next)) {
    const ChangeResult verdict = before->Evaluate(true, next);
    if (verdict.kind == ChangeResult::Kind::kConflict)
      return {Exit::kConflict, absl::StrCat("conflict: ", verdict.error, "\n")};
    if (verdict.kind != ChangeResult::Kind::kAccepted) return Refused(Bad("the change", verdict.error));
    after = ReplicatedState::Parse(verdict.next_state);
  } else {
    after = LedgerOf("the new configuration", next);
  }
  if (!after.ok()) return Refused(after.status());
  const std::string& from = before->newest().text();
  const std::string& to = after->newest().text();
  const auto a = TablesOf(from);
  const auto b = TablesOf(to);
  if (!a.ok()) return Refused(a.status());
  if (!b.ok()) return Refused(b.status());
  const configuration::Difference difference = configuration::Compare(**a, **b);

  Report out;
  out.text = absl::StrCat("version ", before->newest().version(), " to ", after->newest().version(), "\n");
  const auto list = [&](char sign, const std::vector<std::string>& ids) {
    for (const std::string& id : ids) {
      const bool tightens = difference.tightens && TightensAlone(from, to, id);
      absl::StrAppend(&out.text, std::string(1, sign), tightens ? "! " : "  ", id, "\n");
    }
  };
  list('+', difference.added);
  list('-', difference.removed);
  list('~', difference.changed);
  absl::StrAppend(&out.text, difference.tightens ? "tightens\n" : "tightens nothing\n");
  return out;
}

}  // namespace fennelhollow::tools
