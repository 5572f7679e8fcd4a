// Operators' calls at the leader: evaluates changes, replicates them, waits until sidecars have applied them,
// and responds. No I/O.
#ifndef FENNELHOLLOW_MESH_CONTROL_CONFIGURATION_SERVICE_HPP_
#define FENNELHOLLOW_MESH_CONTROL_CONFIGURATION_SERVICE_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mesh/configuration/configuration.hpp"
#include "mesh/consensus/replica.hpp"
#include "mesh/control/command.hpp"

namespace fennelhollow::control {

using merlinrun::Micros;

// Implemented by the core. No function may call back into ConfigurationService before it returns.
class ConfigurationServiceHost {
 public:
  virtual ~ConfigurationServiceHost() = default;
  virtual bool IsLeader() const = 0;
  virtual std::uint64_t CommittedIndex() const = 0;
  // The committed configuration as JSON; empty if there is none yet.
  virtual std::string ConfigurationText() const = 0;
  // Evaluates a change against the last committed entry, then calls OnChangeResult. False if busy.
  virtual bool EvaluateChange(std::uint64_t request_id, bool modify,
                              std::shared_ptr<const std::string> body) = 0;
  // See consensus::Replica; both finish with OnOutcome.
  virtual void Propose(std::uint64_t request_id, std::uint64_t base_index, std::string state) = 0;
  virtual void ConfirmLeadership(std::uint64_t request_id) = 0;
  // Whether all sidecars that reported recently have applied the entry; silent ones are not waited for.
  virtual bool IsAppliedBySidecars(std::uint64_t index) const = 0;
};

// Changes are processed one at a time, each evaluated against the result of those before it, so only one of
// two changes with the same base version succeeds. Responses other than 503 are sent only after the change is
// committed or a majority has confirmed the state that the change was evaluated against.
class ConfigurationService {
 public:
  struct Limits {
    std::size_t max_calls = 64;  // of changes including those waiting for sidecars; also of reads
    std::size_t max_bytes = std::size_t{16} * 1024 * 1024;  // of request bodies of changes
    Micros ack_timeout = 600'000;        // for sidecars; a committed change is then acknowledged anyway
    Micros outcome_timeout = 3'000'000;  // for Propose and ConfirmLeadership
  };
  struct Counters {
    std::uint64_t committed = 0, duplicates = 0, conflicts = 0, invalid = 0, unknown_outcome = 0, reads = 0,
                  overloaded = 0;
    std::uint64_t missing_acks = 0;  // acknowledged before all sidecars had applied the change
  };
  // Called exactly once, possibly before Submit or Read returns; must not call back into
  // ConfigurationService. nullopt: this core is not the leader and the call had no effect.
  using Done = std::function<void(std::optional<Response>)>;

  // `host` must outlive it.
  ConfigurationService(ConfigurationServiceHost& host, Limits limits) : host_(host), limits_(limits) {}

  // Responds by `deadline`, with 503 if there is no result by then.
  void Submit(Micros now, Micros deadline, bool modify, std::shared_ptr<const std::string> body, Done done);
  void Read(Micros now, Micros deadline, Done done);

  void OnChangeResult(Micros now, std::uint64_t request_id, configuration::ChangeResult result);
  void OnOutcome(Micros now, std::uint64_t request_id, consensus::Outcome outcome);
  void OnLeadership(Micros now);  // leadership was won or lost
  void OnSidecarAck(Micros now);  // a sidecar has applied a newer entry
  void OnTick(Micros now);

  bool empty() const {
    return changes_.empty() && awaiting_sidecars_.empty() && queued_reads_.empty() && active_reads_.empty();
  }
  const Counters& counters() const { return counters_; }

 private:
  enum class Stage { kQueued, kEvaluating, kProposing, kConfirming };
  struct Change {
    bool modify = false;
    std::shared_ptr<const std::string> body;
    Micros deadline = 0;
    Done done;  // empty once responded
    Stage stage = Stage::kQueued;
    std::uint64_t request_id = 0;  // of the pending request to the host
    std::uint64_t base_index = 0;
    std::optional<configuration::ChangeResult> result;
    Micros stage_deadline = 0;
  };
  struct AwaitingSidecars {
    std::uint64_t index = 0;
    Micros ack_deadline = 0;
    Done done;
  };
  struct Reader {
    Micros deadline = 0;
    Done done;
  };

  void Advance(Micros now);        // runs the first change up to its next asynchronous step
  void ExecuteResult(Micros now);  // proposes the first change or confirms leadership
  void OnProposed(Micros now, consensus::Outcome outcome);
  void OnConfirmed(Micros now, consensus::Outcome outcome);
  void OnReadConfirmed(consensus::Outcome outcome);
  // The first change is committed in entry `index`: responds once sidecars have applied it.
  void AwaitSidecars(Micros now, std::uint64_t index);
  // After loss of leadership: completes everything that was not proposed with nullopt.
  void HandBackUnproposed();
  void RespondToFirst(std::optional<Response> response);
  void StartReadRound(Micros now);

  ConfigurationServiceHost& host_;
  const Limits limits_;
  std::uint64_t last_request_id_ = 0;
  std::deque<Change> changes_;                      // the first one is being processed
  std::deque<AwaitingSidecars> awaiting_sidecars_;  // committed, response pending
  // For the next confirmation round: one that started before a read proves nothing for it.
  std::vector<Reader> queued_reads_;
  std::vector<Reader> active_reads_;  // covered by the pending confirmation round
  std::uint64_t read_request_id_ = 0;
  Micros read_round_deadline_ = 0;
  std::size_t queued_bytes_ = 0;  // of bodies in changes_
  Counters counters_;
};

}  // namespace fennelhollow::control

#endif  // FENNELHOLLOW_MESH_CONTROL_CONFIGURATION_SERVICE_HPP_
