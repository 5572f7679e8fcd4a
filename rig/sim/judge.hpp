// Judges a simulated run by what was seen: of the operators' calls, of what the cores committed and of what
// the sidecars put in force. Written from the rules, apart from the code that it judges.
//
// The configuration is one register with compare-and-set. Its history is the chain of committed versions; a
// run is linearizable if each clear answer agrees with the chain at some moment between call and answer. An
// answer that is unclear (5xx, silence) leaves open whether the change is in the chain.
#ifndef FENNELHOLLOW_RIG_SIM_JUDGE_HPP_
#define FENNELHOLLOW_RIG_SIM_JUDGE_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "rig/sim/event_queue.hpp"

namespace fennelhollow::sim {

// A rule is broken.
struct Violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One change of an operator; sent until there is a clear answer.
struct Order {
  std::uint64_t id = 0;
  bool modify = false;
  bool valid = true;
  std::int64_t version = 0, base = 0;
  std::string body;
  Micros first_sent = -1;
  Micros acknowledged_at = -1;
  bool refused = false;
  bool open() const { return acknowledged_at < 0 && !refused; }
};

class Judge {
 public:
  // ---- operators
  Order& Add(Order order);
  Order& Find(std::uint64_t id) { return orders_.at(id); }
  void OnAnswer(Order& order, Micros sent_at, Micros now, unsigned status);
  void OnRead(Micros sent_at, Micros now, unsigned status, const std::string& body);

  // ---- cores and sidecars
  // `text`: the configuration of this committed entry; empty: none yet.
  void OnCommitted(Micros now, const std::string& core, std::uint64_t entry, const std::string& text);
  void OnInForce(const std::string& sidecar, std::uint64_t incarnation, std::uint64_t entry,
                 const std::string& text);

  // ---- state
  std::int64_t newest() const { return chain_.empty() ? 0 : chain_.back().version; }
  // The newest version that was acknowledged by `at`.
  std::int64_t AcknowledgedBy(Micros at) const;
  std::int64_t InForce(const std::string& sidecar) const;
  std::size_t acknowledged() const { return acknowledgements_.size(); }
  const std::vector<Micros>& acknowledgements() const { return acknowledgements_; }
  std::map<std::uint64_t, Order>& orders() { return orders_; }
  std::size_t refusals() const { return refusals_; }
  std::size_t reads() const { return reads_; }
  // The id of the order that led to this configuration.
  static std::uint64_t OrderOf(const std::string& text);

 private:
  struct Link {  // of the chain
    std::int64_t version = 0;
    std::uint64_t order = 0;
    Micros at = 0;  // first seen committed
  };
  std::optional<std::size_t> PlaceOf(std::uint64_t order) const;
  std::size_t PlaceAt(Micros at) const;  // number of links that were committed by then
  void CheckRefusal(const Order& order, Micros sent_at, Micros now, unsigned status) const;

  std::map<std::uint64_t, Order> orders_;
  std::vector<Link> chain_;
  std::map<std::uint64_t, std::size_t> place_of_order_;
  std::map<std::uint64_t, std::uint64_t> order_of_entry_;
  std::map<std::pair<std::string, std::uint64_t>, std::pair<std::uint64_t, std::int64_t>>
      in_force_;  // of a sidecar's incarnation: entry, version
  std::map<std::string, std::int64_t> version_of_;
  std::vector<Micros> acknowledgements_;
  // What was acknowledged, or read back, by a time: rising in both.
  struct Known {
    Micros at = 0;
    std::size_t links = 0;  // of the chain
    std::int64_t version = 0;
  };
  static const Known* LastBy(const std::vector<Known>& known, Micros at);  // null: none
  std::vector<Known> acknowledged_, read_;
  std::size_t refusals_ = 0, reads_ = 0;
};

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_JUDGE_HPP_
