#include "rig/sim/judge.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace fennelhollow::sim {

namespace {

std::string Text(std::int64_t number) { return std::to_string(number); }

bool IsRefusal(unsigned status) { return status >= 400 && status < 500 && status != 408 && status != 429; }

}  // namespace

// The operators of the simulation put it into the limits.
std::uint64_t Judge::OrderOf(const std::string& text) {
  if (text.empty()) return 0;
  const nlohmann::json configuration = nlohmann::json::parse(text);
  for (const auto& item : configuration.at("resourceList")) {
    if (item.at("resourceKind") == "limits")
      return item.at("specification").at("maximumHeaderBytes").get<std::uint64_t>() - 1024;
  }
  throw Violation("CONFIG: a configuration that no operator sent: " + text.substr(0, 200));
}

Order& Judge::Add(Order order) {
  const std::uint64_t id = order.id;
  return orders_.emplace(id, std::move(order)).first->second;
}

std::optional<std::size_t> Judge::PlaceOf(std::uint64_t order) const {
  const auto it = place_of_order_.find(order);
  return it == place_of_order_.end() ? std::nullopt : std::optional(it->second);
}

const Judge::Known* Judge::LastBy(const std::vector<Known>& known, Micros at) {
  const auto after = std::upper_bound(known.begin(), known.end(), at,
                                      [](Micros when, const Known& k) { return when < k.at; });
  return after == known.begin() ? nullptr : &*std::prev(after);
}

std::size_t Judge::PlaceAt(Micros at) const {
  const auto after = std::upper_bound(chain_.begin(), chain_.end(), at,
                                      [](Micros when, const Link& link) { return when < link.at; });
  return static_cast<std::size_t>(after - chain_.begin());
}

void Judge::OnAnswer(Order& order, Micros sent_at, Micros now, unsigned status) {
  const std::string name = "order " + Text(static_cast<std::int64_t>(order.id));
  if (status == 200) {
    if (!order.valid) throw Violation("CONFIG: an invalid configuration is acknowledged, " + name);
    if (!PlaceOf(order.id))
      throw Violation("CONFIG: acknowledged, and not in the chain: " + name + ", version " +
                      Text(order.version));
    if (order.refused) throw Violation("CONFIG: acknowledged after it was refused: " + name);
    if (order.acknowledged_at < 0) {
      order.acknowledged_at = now;
      acknowledgements_.push_back(now);
      const Known before = acknowledged_.empty() ? Known{} : acknowledged_.back();
      acknowledged_.push_back(
          {now, std::max(before.links, *PlaceOf(order.id) + 1), std::max(before.version, order.version)});
    }
    return;
  }
  if (!IsRefusal(status)) return;
  CheckRefusal(order, sent_at, now, status);
  order.refused = true;
  ++refusals_;
}

void Judge::CheckRefusal(const Order& order, Micros sent_at, Micros now, unsigned status) const {
  const std::string name = "order " + Text(static_cast<std::int64_t>(order.id)) + ", version " +
                           Text(order.version) + " on " + Text(order.base);
  if (PlaceOf(order.id))
    throw Violation("CONFIG: refused with " + Text(status) + " though it was taken: " + name);
  if (!order.valid) return;
  if (status != 412) throw Violation("CONFIG: valid, and refused with " + Text(status) + ": " + name);
  // Wrong if its base was the newest version all the while from call to answer.
  const std::size_t first = PlaceAt(sent_at), last = PlaceAt(now);
  const std::int64_t base = first == 0 ? 0 : chain_[first - 1].version;
  if (first == last && base == order.base)
    throw Violation("CONFIG: refused with 412 on top of the newest version: " + name);
}

void Judge::OnRead(Micros sent_at, Micros now, unsigned status, const std::string& body) {
  if (status != 200 && status != 404) return;
  ++reads_;
  std::size_t place = 0;
  if (status == 200) {
    const auto at = PlaceOf(OrderOf(body));
    if (!at) throw Violation("CONFIG: read back, and not in the chain: " + body.substr(0, 200));
    place = *at + 1;
  }
  // Not older than what was acknowledged or read before the call.
  std::size_t least = 0;
  for (const auto* known : {&acknowledged_, &read_}) {
    if (const Known* last = LastBy(*known, sent_at)) least = std::max(least, last->links);
  }
  if (place < least)
    throw Violation("CONFIG: an old configuration is read back: place " +
                    Text(static_cast<std::int64_t>(place)) + " of the chain, at least " +
                    Text(static_cast<std::int64_t>(least)) + " was known");
  if (read_.empty() || read_.back().links < place) read_.push_back({now, place, 0});
}

void Judge::OnCommitted(Micros now, const std::string& core, std::uint64_t entry, const std::string& text) {
  const std::uint64_t id = OrderOf(text);
  const auto [known, fresh] = order_of_entry_.emplace(entry, id);
  if (!fresh) {
    if (known->second != id)
      throw Violation("CONFIG: entry " + Text(static_cast<std::int64_t>(entry)) + " has two contents, at " +
                      core);
    return;
  }
  if (id == 0 || (!chain_.empty() && chain_.back().order == id)) return;
  if (PlaceOf(id)) {
    if (std::next(known) == order_of_entry_.end())
      throw Violation("CONFIG: the state went back to order " + Text(static_cast<std::int64_t>(id)) +
                      ", at " + core);
    return;
  }
  const auto order = orders_.find(id);
  if (order == orders_.end()) throw Violation("CONFIG: a configuration that no operator sent, at " + core);
  const Order& taken = order->second;
  if (!taken.valid) throw Violation("CONFIG: an invalid configuration is committed, at " + core);
  if (taken.refused) throw Violation("CONFIG: refused, and committed all the same, at " + core);
  if (taken.base != newest() || taken.version <= newest())
    throw Violation("CONFIG: version " + Text(taken.version) + " on " + Text(taken.base) +
                    " is committed on top of " + Text(newest()));
  place_of_order_[id] = chain_.size();
  chain_.push_back({taken.version, id, now});
}

void Judge::OnInForce(const std::string& sidecar, std::uint64_t incarnation, std::uint64_t entry,
                      const std::string& text) {
  const auto known = order_of_entry_.find(entry);
  if (known == order_of_entry_.end() || known->second != OrderOf(text))
    throw Violation("CONFIG: what was not committed is in force at " + sidecar);
  auto& [last_entry, version] = in_force_[{sidecar, incarnation}];
  if (entry <= last_entry) throw Violation("CONFIG: goes back at " + sidecar);
  last_entry = entry;
  const std::int64_t now_in_force = known->second == 0 ? 0 : orders_.at(known->second).version;
  if (now_in_force < version) throw Violation("CONFIG: goes back at " + sidecar);
  version = now_in_force;
  version_of_[sidecar] = version;
}

std::int64_t Judge::AcknowledgedBy(Micros at) const {
  const Known* last = LastBy(acknowledged_, at);
  return last == nullptr ? 0 : last->version;
}

std::int64_t Judge::InForce(const std::string& sidecar) const {
  const auto it = version_of_.find(sidecar);
  return it == version_of_.end() ? 0 : it->second;
}

}  // namespace fennelhollow::sim
