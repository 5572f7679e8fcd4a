#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <cereal/types/utility.hpp>
#include <unordered_map>
#include <unordered_set>

#include "base/random.hpp"
#include "mesh/configuration/configuration.hpp"
#include "mesh/configuration/document.hpp"
#include "mesh/settings/schema.hpp"
#include "mesh/transport/codec.hpp"

namespace fennelhollow::configuration {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::uint32_t kMagic = 0x464e4c32;  // "FNL2"

struct SerializedState {
  std::uint32_t magic = kMagic;
  std::int64_t version = 0;
  std::string text;
  std::vector<AppliedCall> applied_calls;
  std::int64_t forgotten_through = 0;
  template <class Archive>
  void serialize(Archive& a) {
    a(magic, version, text, applied_calls, forgotten_through);
  }
};

// Format of the first release: at most 64 calls with hexadecimal digests, and no `forgotten_through`.
constexpr std::uint32_t kLegacyMagic = 0x464e4c31;  // "FNL1"
struct LegacyState {
  std::uint32_t magic = kLegacyMagic;
  std::int64_t version = 0;
  std::string text;
  std::vector<std::pair<std::int64_t, std::string>> applied_calls;
  template <class Archive>
  void serialize(Archive& a) {
    a(magic, version, text, applied_calls);
  }
};
constexpr std::size_t kLegacyMaxAppliedCalls = 64;
constexpr std::size_t kHexDigits = 16;  // of each half of a digest

absl::StatusOr<SerializedState> UpgradeLegacy(const LegacyState& legacy) {
  SerializedState state;
  state.version = legacy.version;
  state.text = legacy.text;
  for (const auto& [version, digest] : legacy.applied_calls) {
    AppliedCall& call = state.applied_calls.emplace_back(AppliedCall{version, 0, 0});
    if (digest.size() != 2 * kHexDigits ||
        !absl::SimpleHexAtoi(digest.substr(0, kHexDigits), &call.digest_high) ||
        !absl::SimpleHexAtoi(digest.substr(kHexDigits), &call.digest_low)) {
      return absl::DataLossError("replicated state is malformed");
    }
  }
  // Older calls may have been dropped; the newest dropped version is unknown.
  if (state.applied_calls.size() >= kLegacyMaxAppliedCalls)
    state.forgotten_through = state.applied_calls.front().version - 1;
  return state;
}

absl::StatusOr<SerializedState> ParseState(std::string_view bytes) {
  auto state = transport::Unpack<SerializedState>(bytes);
  if (state.ok() && state->magic == kMagic) return state;
  const auto legacy = transport::Unpack<LegacyState>(bytes);
  if (legacy.ok() && legacy->magic == kLegacyMagic) return UpgradeLegacy(*legacy);
  return absl::DataLossError("replicated state is malformed");
}

// Two independent hashes, stable across processes and releases.
std::uint64_t Fnv1a(std::string_view bytes) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return hash;
}

std::uint64_t SplitMixHash(std::string_view bytes) {  // the finalizer of SplitMix64, chained
  std::uint64_t hash = bytes.size();
  for (const char c : bytes)
    hash = merlinrun::MixBits(hash + 0x9e3779b97f4a7c15 + static_cast<unsigned char>(c));
  return hash;
}

// Independent of member order and whitespace.
AppliedCall DigestOf(bool modify, const json& call) {
  const std::string text = (modify ? "modify " : "replace ") + call.dump();
  return {0, Fnv1a(text), SplitMixHash(text)};
}

bool SameCall(const AppliedCall& a, const AppliedCall& b) {
  return a.digest_high == b.digest_high && a.digest_low == b.digest_low;
}

// Applies `call`, a validated Modify, to the newest configuration (null: none yet).
ordered_json ApplyModify(ordered_json newest, const ordered_json& call) {
  if (newest.is_null())
    newest = {{"version", 0}, {"baseVersion", 0}, {"resourceList", ordered_json::array()}};
  newest["version"] = call.at("version");
  newest["baseVersion"] = call.contains("baseVersion") ? call["baseVersion"] : ordered_json(0);

  ordered_json& resource_list = newest.at("resourceList");
  std::unordered_set<std::string> removed;
  if (const auto remove = call.find("remove"); remove != call.end() && remove->is_object()) {
    for (const auto& [kind, names] : remove->items()) {
      for (const ordered_json& name : names) removed.insert(kind + "/" + name.get<std::string>());
    }
  }
  ordered_json kept = ordered_json::array();
  std::unordered_map<std::string, std::size_t> positions;
  for (ordered_json& resource : resource_list) {
    std::string id = ResourceId(resource);
    if (removed.contains(id)) continue;
    positions.emplace(std::move(id), kept.size());
    kept.push_back(std::move(resource));
  }
  const auto upsert = call.find("upsert");
  if (upsert != call.end() && upsert->is_object() && upsert->contains("resourceList")) {
    for (const ordered_json& resource : upsert->at("resourceList")) {
      const auto [at, is_new] = positions.emplace(ResourceId(resource), kept.size());
      if (is_new) {
        kept.push_back(resource);
      } else {
        kept[at->second] = resource;
      }
    }
  }
  resource_list = std::move(kept);
  return newest;
}

ChangeResult Rejected(ChangeResult::Kind kind, std::string error) {
  ChangeResult result;
  result.kind = kind;
  result.error = std::move(error);
  return result;
}

ChangeResult Rejected(const absl::Status& status) {
  return Rejected(ChangeResult::Kind::kInvalid, std::string(status.message()));
}

}  // namespace

absl::StatusOr<Configuration> Configuration::FromText(std::string text) {
  try {
    const auto object = ParseObject(text);
    if (!object.ok()) return absl::DataLossError(object.status().message());
    Configuration configuration;
    configuration.version_ = object->at("version").get<std::int64_t>();
    if (configuration.version_ < 1 || !object->at("resourceList").is_array()) {
      return absl::DataLossError("a configuration has no version or no items");
    }
    configuration.text_ = std::move(text);
    return configuration;
  } catch (const std::exception&) {
    return absl::DataLossError("a configuration can't be read");
  }
}

std::string ReplicatedState::Serialize() const {
  std::string bytes = transport::Pack(
      SerializedState{kMagic, newest_.version_, newest_.text_, applied_calls_, forgotten_through_});
  return bytes + transport::Pack(Fnv1a(bytes));
}

absl::StatusOr<ReplicatedState> ReplicatedState::Parse(std::string_view serialized) {
  // Verified first: in corrupt bytes the archive would trust the lengths and allocate accordingly.
  static const std::size_t checksum_bytes = transport::Pack(std::uint64_t{0}).size();
  if (serialized.size() < checksum_bytes) return absl::DataLossError("replicated state is truncated");
  const std::string_view bytes = serialized.substr(0, serialized.size() - checksum_bytes);
  const auto checksum = transport::Unpack<std::uint64_t>(serialized.substr(bytes.size()));
  if (!checksum.ok() || *checksum != Fnv1a(bytes))
    return absl::DataLossError("checksum mismatch in replicated state");
  auto state = ParseState(bytes);
  if (!state.ok()) return state.status();
  if (state->version < 0 || state->applied_calls.size() > kMaxAppliedCalls)
    return absl::DataLossError("replicated state is malformed");
  ReplicatedState parsed;
  parsed.newest_.version_ = state->version;
  parsed.newest_.text_ = std::move(state->text);
  parsed.applied_calls_ = std::move(state->applied_calls);
  parsed.forgotten_through_ = state->forgotten_through;
  return parsed;
}

ReplicatedState ReplicatedState::WithoutAppliedCalls() const {
  ReplicatedState stripped;
  stripped.newest_ = newest_;
  return stripped;
}

ChangeResult ReplicatedState::Evaluate(bool modify, std::string_view body) const {
  try {
    auto call = ParseObject(body);
    if (!call.ok()) return Rejected(call.status());
    AppliedCall digest = DigestOf(modify, *call);
    for (const AppliedCall& applied : applied_calls_) {
      if (SameCall(applied, digest)) return Rejected(ChangeResult::Kind::kAlreadyApplied, "");
    }
    settings::Normalize(*call);
    const auto checked = CheckCall(modify, *call);
    if (!checked.ok()) return Rejected(checked);

    const std::int64_t version = (*call)["version"].get<std::int64_t>();
    const std::int64_t base = call->value("baseVersion", std::int64_t{0});
    if (version <= forgotten_through_) {
      return Rejected(ChangeResult::Kind::kUnknown,
                      "version: older than what is remembered; read the newest one");
    }
    if (base != newest_.version_) {
      return Rejected(ChangeResult::Kind::kConflict, absl::StrCat("baseVersion: found ", base, ", wanted ",
                                                                  newest_.version_, ", which is in place"));
    }
    if (version <= newest_.version_) {
      return Rejected(ChangeResult::Kind::kInvalid,
                      absl::StrCat("version: found ", version, ", wanted one above ", newest_.version_));
    }
    ordered_json next = ordered_json::parse(body);
    if (modify) {
      next = ApplyModify(newest_.version_ == 0 ? ordered_json() : ordered_json::parse(newest_.text_), next);
      *call = next;
      settings::Normalize(*call);
    }
    const auto references = CheckReferences(ParseResources(*call));
    if (!references.ok()) return Rejected(references);

    ReplicatedState updated = *this;
    updated.newest_.version_ = version;
    updated.newest_.text_ = next.dump();
    digest.version = version;
    updated.applied_calls_.push_back(digest);
    if (updated.applied_calls_.size() > kMaxAppliedCalls) {
      updated.forgotten_through_ = updated.applied_calls_.front().version;
      updated.applied_calls_.erase(updated.applied_calls_.begin());
    }
    ChangeResult result;
    result.kind = ChangeResult::Kind::kAccepted;
    result.next_state = updated.Serialize();
    return result;
  } catch (const std::exception& e) {  // validated calls should not throw
    return Rejected(ChangeResult::Kind::kInvalid,
                    "the body can't be read: " + settings::PrintableLine(e.what(), 120));
  }
}

}  // namespace fennelhollow::configuration
