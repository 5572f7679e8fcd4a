#include "rig/sim/history_checker.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace fennelhollow::sim {

namespace {

std::string Text(std::int64_t number) { return std::to_string(number); }

bool IsRejection(unsigned status) { return status >= 400 && status < 500 && status != 408 && status != 429; }

}  // namespace

// Operators of the simulation encode the change id in the limits.
std::uint64_t HistoryChecker::ChangeIdOf(const std::string& text) {
  if (text.empty()) return 0;
  const nlohmann::json configuration = nlohmann::json::parse(text);
  for (const auto& item : configuration.at("resourceList")) {
    if (item.at("resourceKind") == "limits")
      return item.at("specification").at("maximumHeaderBytes").get<std::uint64_t>() - 1024;
  }
  throw Violation("CONFIG: a configuration without the limits of an operator: " + text.substr(0, 200));
}

ChangeRequest& HistoryChecker::Add(ChangeRequest change) {
  const std::uint64_t id = change.id;
  return changes_.emplace(id, std::move(change)).first->second;
}

std::optional<std::size_t> HistoryChecker::PositionOf(std::uint64_t change) const {
  const auto it = position_of_change_.find(change);
  return it == position_of_change_.end() ? std::nullopt : std::optional(it->second);
}

const HistoryChecker::Observation* HistoryChecker::LastBy(const std::vector<Observation>& known, Micros at) {
  const auto after = std::upper_bound(known.begin(), known.end(), at,
                                      [](Micros when, const Observation& k) { return when < k.at; });
  return after == known.begin() ? nullptr : &*std::prev(after);
}

std::size_t HistoryChecker::ChainLengthAt(Micros at) const {
  const auto after = std::upper_bound(
      chain_.begin(), chain_.end(), at,
      [](Micros when, const ChainEntry& entry_in_chain) { return when < entry_in_chain.at; });
  return static_cast<std::size_t>(after - chain_.begin());
}

void HistoryChecker::OnResponse(ChangeRequest& change, Micros sent_at, Micros now, unsigned status) {
  const std::string name = "change " + Text(static_cast<std::int64_t>(change.id));
  if (status == 200) {
    if (!change.valid) throw Violation("CONFIG: an invalid configuration was acknowledged: " + name);
    if (!PositionOf(change.id))
      throw Violation("CONFIG: acknowledged but not committed: " + name + ", version " +
                      Text(change.version));
    if (change.refused) throw Violation("CONFIG: acknowledged after it was refused: " + name);
    if (change.acknowledged_at < 0) {
      change.acknowledged_at = now;
      acknowledgements_.push_back(now);
      const Observation before = acknowledged_.empty() ? Observation{} : acknowledged_.back();
      acknowledged_.push_back({now, std::max(before.chain_length, *PositionOf(change.id) + 1),
                               std::max(before.version, change.version)});
    }
    return;
  }
  if (!IsRejection(status)) return;
  CheckRefusal(change, sent_at, now, status);
  change.refused = true;
  ++refusals_;
}

void HistoryChecker::CheckRefusal(const ChangeRequest& change, Micros sent_at, Micros now,
                                  unsigned status) const {
  const std::string name = "change " + Text(static_cast<std::int64_t>(change.id)) + ", version " +
                           Text(change.version) + " on " + Text(change.base);
  if (PositionOf(change.id))
    throw Violation("CONFIG: refused with " + Text(status) + " after it was committed: " + name);
  if (!change.valid) return;
  if (status != 412) throw Violation("CONFIG: a valid change was refused with " + Text(status) + ": " + name);
  // Wrong if the base was the newest version during the whole call.
  const std::size_t first = ChainLengthAt(sent_at), last = ChainLengthAt(now);
  const std::int64_t base = first == 0 ? 0 : chain_[first - 1].version;
  if (first == last && base == change.base)
    throw Violation("CONFIG: refused with 412 although based on the newest version: " + name);
}

void HistoryChecker::OnRead(Micros sent_at, Micros now, unsigned status, const std::string& body) {
  if (status != 200 && status != 404) return;
  ++reads_;
  std::size_t position = 0;
  if (status == 200) {
    const auto at = PositionOf(ChangeIdOf(body));
    if (!at) throw Violation("CONFIG: a read returned an uncommitted configuration: " + body.substr(0, 200));
    position = *at + 1;
  }
  // Must not be older than what was acknowledged or read before the call.
  std::size_t least = 0;
  for (const auto* known : {&acknowledged_, &read_}) {
    if (const Observation* last = LastBy(*known, sent_at)) least = std::max(least, last->chain_length);
  }
  if (position < least)
    throw Violation("CONFIG: stale read: position " + Text(static_cast<std::int64_t>(position)) +
                    " of the chain, at least " + Text(static_cast<std::int64_t>(least)) + " was known");
  if (read_.empty() || read_.back().chain_length < position) read_.push_back({now, position, 0});
}

void HistoryChecker::OnCommitted(Micros now, const std::string& core, std::uint64_t entry,
                                 const std::string& text) {
  const std::uint64_t id = ChangeIdOf(text);
  const auto [known, fresh] = change_of_entry_.emplace(entry, id);
  if (!fresh) {
    if (known->second != id)
      throw Violation("CONFIG: entry " + Text(static_cast<std::int64_t>(entry)) +
                      " has two different values, at " + core);
    return;
  }
  if (id == 0 || (!chain_.empty() && chain_.back().change == id)) return;
  if (PositionOf(id)) {
    if (std::next(known) == change_of_entry_.end())
      throw Violation("CONFIG: the state was reverted to change " + Text(static_cast<std::int64_t>(id)) +
                      ", at " + core);
    return;
  }
  const auto change = changes_.find(id);
  if (change == changes_.end())
    throw Violation("CONFIG: a configuration that no operator sent is committed at " + core);
  const ChangeRequest& committed_change = change->second;
  if (!committed_change.valid) throw Violation("CONFIG: an invalid configuration was committed at " + core);
  if (committed_change.refused) throw Violation("CONFIG: a refused change was committed at " + core);
  if (committed_change.base != newest() || committed_change.version <= newest())
    throw Violation("CONFIG: version " + Text(committed_change.version) + " on " +
                    Text(committed_change.base) + " was committed on top of " + Text(newest()));
  position_of_change_[id] = chain_.size();
  chain_.push_back({committed_change.version, id, now});
}

void HistoryChecker::OnApplied(const std::string& sidecar, std::uint64_t incarnation, std::uint64_t entry,
                               const std::string& text) {
  const auto known = change_of_entry_.find(entry);
  if (known == change_of_entry_.end() || known->second != ChangeIdOf(text))
    throw Violation("CONFIG: an uncommitted state was applied at " + sidecar);
  auto& [last_entry, version] = applied_[{sidecar, incarnation}];
  if (entry <= last_entry) throw Violation("CONFIG: an older state was applied at " + sidecar);
  last_entry = entry;
  const std::int64_t new_version = known->second == 0 ? 0 : changes_.at(known->second).version;
  if (new_version < version) throw Violation("CONFIG: an older state was applied at " + sidecar);
  version = new_version;
  applied_version_[sidecar] = version;
}

std::int64_t HistoryChecker::AcknowledgedBy(Micros at) const {
  const Observation* last = LastBy(acknowledged_, at);
  return last == nullptr ? 0 : last->version;
}

std::int64_t HistoryChecker::AppliedVersion(const std::string& sidecar) const {
  const auto it = applied_version_.find(sidecar);
  return it == applied_version_.end() ? 0 : it->second;
}

}  // namespace fennelhollow::sim
