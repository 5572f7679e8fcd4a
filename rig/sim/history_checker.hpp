// Checks the history of a simulated run: operators' calls, committed entries of the cores, and configurations
// applied by sidecars. Independent of the code under test.
//
// The configuration is a single register with compare-and-set. A run is linearizable if each definite
// response agrees with the chain of committed versions at some point between call and response. Responses
// with a 5xx status and timeouts leave open whether the change was committed.
#ifndef FENNELHOLLOW_RIG_SIM_HISTORY_CHECKER_HPP_
#define FENNELHOLLOW_RIG_SIM_HISTORY_CHECKER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "rig/sim/event_queue.hpp"

namespace fennelhollow::sim {

// An invariant was violated.
struct Violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A configuration change by an operator; retried until there is a definite response.
struct ChangeRequest {
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

class HistoryChecker {
 public:
  // ---- operators
  ChangeRequest& Add(ChangeRequest change);
  ChangeRequest& Find(std::uint64_t id) { return changes_.at(id); }
  void OnResponse(ChangeRequest& change, Micros sent_at, Micros now, unsigned status);
  void OnRead(Micros sent_at, Micros now, unsigned status, const std::string& body);

  // ---- cores and sidecars
  // `text`: configuration of the committed entry; empty: none yet.
  void OnCommitted(Micros now, const std::string& core, std::uint64_t entry, const std::string& text);
  void OnApplied(const std::string& sidecar, std::uint64_t incarnation, std::uint64_t entry,
                 const std::string& text);

  // ---- state
  std::int64_t newest() const { return chain_.empty() ? 0 : chain_.back().version; }
  // The newest version acknowledged by `at`.
  std::int64_t AcknowledgedBy(Micros at) const;
  std::int64_t AppliedVersion(const std::string& sidecar) const;
  std::size_t acknowledged() const { return acknowledgements_.size(); }
  const std::vector<Micros>& acknowledgements() const { return acknowledgements_; }
  std::map<std::uint64_t, ChangeRequest>& changes() { return changes_; }
  std::size_t refusals() const { return refusals_; }
  std::size_t reads() const { return reads_; }
  // Id of the change that produced this configuration; 0: none.
  static std::uint64_t ChangeIdOf(const std::string& text);

 private:
  struct ChainEntry {
    std::int64_t version = 0;
    std::uint64_t change = 0;
    Micros at = 0;  // first seen as committed
  };
  std::optional<std::size_t> PositionOf(std::uint64_t change) const;
  std::size_t ChainLengthAt(Micros at) const;  // versions committed by then
  void CheckRefusal(const ChangeRequest& change, Micros sent_at, Micros now, unsigned status) const;

  std::map<std::uint64_t, ChangeRequest> changes_;
  std::vector<ChainEntry> chain_;
  std::map<std::uint64_t, std::size_t> position_of_change_;
  std::map<std::uint64_t, std::uint64_t> change_of_entry_;
  std::map<std::pair<std::string, std::uint64_t>, std::pair<std::uint64_t, std::int64_t>>
      applied_;  // by sidecar and incarnation: entry, version
  std::map<std::string, std::int64_t> applied_version_;
  std::vector<Micros> acknowledgements_;
  // What was acknowledged, or read, by time `at`: `at` and `chain_length` never decrease from one element to
  // the next. `version` is set for acknowledgements only.
  struct Observation {
    Micros at = 0;
    std::size_t chain_length = 0;  // versions in the chain up to this one
    std::int64_t version = 0;
  };
  static const Observation* LastBy(const std::vector<Observation>& known, Micros at);  // null: none
  std::vector<Observation> acknowledged_, read_;
  std::size_t refusals_ = 0, reads_ = 0;
};

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_HISTORY_CHECKER_HPP_
