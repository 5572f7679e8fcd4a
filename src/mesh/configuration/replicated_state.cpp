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

struct State {
  std::uint32_t magic = kMagic;
  std::int64_t version = 0;
  std::string text;
  std::vector<AppliedCall> taken;
  std::int64_t forgotten_through = 0;
  template <class Archive>
  void serialize(Archive& a) {
    a(magic, version, text, taken, forgotten_through);
  }
};

// As the first release wrote it: digests in hexadecimal, 64 of them, and no word of what was forgotten.
constexpr std::uint32_t kFirstMagic = 0x464e4c31;  // "FNL1"
struct FirstState {
  std::uint32_t magic = kFirstMagic;
  std::int64_t version = 0;
  std::string text;
  std::vector<std::pair<std::int64_t, std::string>> taken;
  template <class Archive>
  void serialize(Archive& a) {
    a(magic, version, text, taken);
  }
};
constexpr std::size_t kFirstMostTaken = 64;
constexpr std::size_t kHexDigits = 16;  // of each half of a digest

absl::StatusOr<State> Upgrade(const FirstState& first) {
  State state;
  state.version = first.version;
  state.text = first.text;
  for (const auto& [version, digest] : first.taken) {
    AppliedCall& call = state.taken.emplace_back(AppliedCall{version, 0, 0});
    if (digest.size() != 2 * kHexDigits ||
        !absl::SimpleHexAtoi(digest.substr(0, kHexDigits), &call.digest_high) ||
        !absl::SimpleHexAtoi(digest.substr(kHexDigits), &call.digest_low)) {
      return absl::DataLossError("a ledger can't be read");
    }
  }
  // Some may have been dropped; which one was the newest of them is not known.
  if (state.taken.size() >= kFirstMostTaken) state.forgotten_through = state.taken.front().version - 1;
  return state;
}

absl::StatusOr<State> ReadState(std::string_view bytes) {
  auto state = transport::Unpack<State>(bytes);
  if (state.ok() && state->magic == kMagic) return state;
  const auto first = transport::Unpack<FirstState>(bytes);
  if (first.ok() && first->magic == kFirstMagic) return Upgrade(*first);
  return absl::DataLossError("a ledger can't be read");
}

// Two hashes that share no step, the same in every process.
std::uint64_t HashByXor(std::string_view bytes) {  // FNV-1a
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return hash;
}

std::uint64_t HashByMix(std::string_view bytes) {  // the finalizer of SplitMix64, chained
  std::uint64_t hash = bytes.size();
  for (const char c : bytes)
    hash = merlinrun::MixBits(hash + 0x9e3779b97f4a7c15 + static_cast<unsigned char>(c));
  return hash;
}

// Of a call whatever the order of its members and the space between them.
AppliedCall Digest(bool modify, const json& call) {
  const std::string text = (modify ? "modify " : "replace ") + call.dump();
  return {0, HashByXor(text), HashByMix(text)};
}

bool SameCall(const AppliedCall& a, const AppliedCall& b) {
  return a.digest_high == b.digest_high && a.digest_low == b.digest_low;
}

// The newest configuration (null: none yet) as `call`, a Modify whose form was checked, leaves it.
ordered_json Merge(ordered_json newest, const ordered_json& call) {
  if (newest.is_null())
    newest = {{"version", 0}, {"baseVersion", 0}, {"resourceList", ordered_json::array()}};
  newest["version"] = call.at("version");
  newest["baseVersion"] = call.contains("baseVersion") ? call["baseVersion"] : ordered_json(0);

  ordered_json& list = newest.at("resourceList");
  std::unordered_set<std::string> removed;
  if (const auto remove = call.find("remove"); remove != call.end() && remove->is_object()) {
    for (const auto& [kind, names] : remove->items()) {
      for (const ordered_json& name : names) removed.insert(kind + "/" + name.get<std::string>());
    }
  }
  ordered_json kept = ordered_json::array();
  std::unordered_map<std::string, std::size_t> places;
  for (ordered_json& item : list) {
    std::string id = ResourceId(item);
    if (removed.contains(id)) continue;
    places.emplace(std::move(id), kept.size());
    kept.push_back(std::move(item));
  }
  const auto upsert = call.find("upsert");
  if (upsert != call.end() && upsert->is_object() && upsert->contains("resourceList")) {
    for (const ordered_json& item : upsert->at("resourceList")) {
      const auto [at, is_new] = places.emplace(ResourceId(item), kept.size());
      if (is_new) {
        kept.push_back(item);
      } else {
        kept[at->second] = item;
      }
    }
  }
  list = std::move(kept);
  return newest;
}

ChangeResult Refuse(ChangeResult::Kind kind, std::string error) {
  ChangeResult verdict;
  verdict.kind = kind;
  verdict.error = std::move(error);
  return verdict;
}

ChangeResult Refuse(const absl::Status& status) {
  return Refuse(ChangeResult::Kind::kInvalid, std::string(status.message()));
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
  std::string bytes =
      transport::Pack(State{kMagic, newest_.version_, newest_.text_, applied_calls_, forgotten_through_});
  return bytes + transport::Pack(HashByXor(bytes));
}

absl::StatusOr<ReplicatedState> ReplicatedState::Parse(std::string_view written) {
  // The sum comes first: of other bytes the archive would believe the lengths, and ask for as much memory.
  static const std::size_t sum_bytes = transport::Pack(std::uint64_t{0}).size();
  if (written.size() < sum_bytes) return absl::DataLossError("a ledger is cut short");
  const std::string_view bytes = written.substr(0, written.size() - sum_bytes);
  const auto sum = transport::Unpack<std::uint64_t>(written.substr(bytes.size()));
  if (!sum.ok() || *sum != HashByXor(bytes)) return absl::DataLossError("a ledger's sum is wrong");
  auto state = ReadState(bytes);
  if (!state.ok()) return state.status();
  if (state->version < 0 || state->taken.size() > kMaxAppliedCalls)
    return absl::DataLossError("a ledger can't be read");
  ReplicatedState ledger;
  ledger.newest_.version_ = state->version;
  ledger.newest_.text_ = std::move(state->text);
  ledger.applied_calls_ = std::move(state->taken);
  ledger.forgotten_through_ = state->forgotten_through;
  return ledger;
}

ReplicatedState ReplicatedState::WithoutAppliedCalls() const {
  ReplicatedState ledger;
  ledger.newest_ = newest_;
  return ledger;
}

ChangeResult ReplicatedState::Evaluate(bool modify, std::string_view body) const {
  try {
    auto call = ParseObject(body);
    if (!call.ok()) return Refuse(call.status());
    AppliedCall digest = Digest(modify, *call);
    for (const AppliedCall& taken : applied_calls_) {
      if (SameCall(taken, digest)) return Refuse(ChangeResult::Kind::kAlreadyApplied, "");
    }
    settings::Normalize(*call);
    const auto checked = CheckCall(modify, *call);
    if (!checked.ok()) return Refuse(checked);

    const std::int64_t version = (*call)["version"].get<std::int64_t>();
    const std::int64_t base = call->value("baseVersion", std::int64_t{0});
    if (version <= forgotten_through_) {
      return Refuse(ChangeResult::Kind::kUnknown,
                    "version: older than what is remembered; read the newest one");
    }
    if (base != newest_.version_) {
      return Refuse(ChangeResult::Kind::kConflict, absl::StrCat("baseVersion: found ", base, ", wanted ",
                                                                newest_.version_, ", which is in place"));
    }
    if (version <= newest_.version_) {
      return Refuse(ChangeResult::Kind::kInvalid,
                    absl::StrCat("version: found ", version, ", wanted one above ", newest_.version_));
    }
    ordered_json next = ordered_json::parse(body);
    if (modify) {
      next = Merge(newest_.version_ == 0 ? ordered_json() : ordered_json::parse(newest_.text_), next);
      *call = next;
      settings::Normalize(*call);
    }
    const auto joined = CheckReferences(ParseResources(*call));
    if (!joined.ok()) return Refuse(joined);

    ReplicatedState ledger = *this;
    ledger.newest_.version_ = version;
    ledger.newest_.text_ = next.dump();
    digest.version = version;
    ledger.applied_calls_.push_back(digest);
    if (ledger.applied_calls_.size() > kMaxAppliedCalls) {
      ledger.forgotten_through_ = ledger.applied_calls_.front().version;
      ledger.applied_calls_.erase(ledger.applied_calls_.begin());
    }
    ChangeResult verdict;
    verdict.kind = ChangeResult::Kind::kAccepted;
    verdict.next_state = ledger.Serialize();
    return verdict;
  } catch (const std::exception&
               e) {  // a form that was checked is read without; guard against what that overlooks
    return Refuse(ChangeResult::Kind::kInvalid,
                  "the body can't be read: " + settings::PrintableLine(e.what(), 120));
  }
}

}  // namespace fennelhollow::configuration
