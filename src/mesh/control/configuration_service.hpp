// Operators' calls at the leader: decide, replicate, await the sidecars, answer. Free of I/O.
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

// What ConfigurationService needs of its core. None of these may call back into ConfigurationService before
// it returns.
class ConfigurationServiceHost {
 public:
  virtual ~ConfigurationServiceHost() = default;
  virtual bool IsLeader() const = 0;
  virtual std::uint64_t CommittedIndex() const = 0;  // of the settled entry
  virtual std::string ConfigurationText()
      const = 0;  // its configuration as operators read it; empty: there is none yet
  // Decides on top of the newest entry; ends in OnChangeResult. False: no room now.
  virtual bool EvaluateChange(std::uint64_t call, bool modify, std::shared_ptr<const std::string> body) = 0;
  // As consensus::Replica has them; both end in OnOutcome.
  virtual void Propose(std::uint64_t call, std::uint64_t on_top_of, std::string state) = 0;
  virtual void ConfirmLeadership(std::uint64_t call) = 0;
  // All sidecars that were heard lately have the entry in force.
  virtual bool IsActiveOnSidecars(std::uint64_t number) const = 0;
};

// One change is worked on at a time, the others wait behind it and are decided on top of what came before; so
// of two on one version one wins. Nothing but 503 is said before what it rests on is certain: a
// change that is committed, a judgment that a majority has confirmed.
class ConfigurationService {
 public:
  struct Limits {
    std::size_t calls = 64;  // changes at once, those that await sidecars included; as many reads
    std::size_t bytes = std::size_t{16} * 1024 * 1024;  // of the changes' bodies
    Micros acks = 600'000;  // for sidecars to have a change in force; then it is answered all the same
    Micros outcome =
        3'000'000;  // for the replica to say what came of it; then the change behind it is taken up
  };
  struct Counters {
    std::uint64_t committed = 0, duplicates = 0, conflicts = 0, invalid = 0, unknown_outcome = 0, reads = 0,
                  overloaded = 0;
    std::uint64_t missing_acks = 0;  // answered though some sidecar did not have it in force
  };
  // Called once, maybe from inside Submit or Read; may not call back into ConfigurationService. Absent: this
  // core does not lead, and nothing was begun.
  using Done = std::function<void(std::optional<Response>)>;

  // `host` must outlive it.
  ConfigurationService(ConfigurationServiceHost& host, Limits limits) : host_(host), limits_(limits) {}

  // Answered by `deadline` (503 if nothing is settled by then).
  void Submit(Micros now, Micros deadline, bool modify, std::shared_ptr<const std::string> body, Done done);
  void Read(Micros now, Micros deadline, Done done);

  void OnChangeResult(Micros now, std::uint64_t call, configuration::ChangeResult verdict);
  void OnOutcome(Micros now, std::uint64_t call, consensus::Outcome outcome);
  void OnLeadership(Micros now);  // it leads now, or no longer
  void OnAcks(Micros now);        // a sidecar has a newer entry in force
  void OnTick(Micros now);

  bool empty() const { return changes_.empty() && awaiting_.empty() && reads_.empty() && reading_.empty(); }
  const Counters& counters() const { return counters_; }

 private:
  enum class Stage { kWaiting, kDeciding, kProposing, kConfirming };
  struct Change {
    bool modify = false;
    std::shared_ptr<const std::string> body;
    Micros deadline = 0;
    Done done;  // empty once it is answered
    Stage stage = Stage::kWaiting;
    std::uint64_t call = 0;  // what it waits for
    std::uint64_t on_top_of = 0;
    std::optional<configuration::ChangeResult> verdict;
    Micros stage_until = 0;
  };
  struct Awaiting {
    std::uint64_t number = 0;
    Micros until = 0;
    Done done;
  };
  struct Reader {
    Micros deadline = 0;
    Done done;
  };

  void Work(Micros now);  // takes the first change further as far as that is possible now
  void Act(Micros now);   // on the first change's verdict
  void OnProposed(Micros now, consensus::Outcome outcome);
  void OnConfirmed(Micros now, consensus::Outcome outcome);
  void OnRead(consensus::Outcome outcome);
  // The first change is settled in this entry: its 200 waits for the sidecars.
  void Await(Micros now, std::uint64_t number);
  // All that has not begun is answered as not the holder's.
  void Pass();
  void AnswerFirst(std::optional<Response> answer);
  void StartReading(Micros now);

  ConfigurationServiceHost& host_;
  const Limits limits_;
  std::uint64_t calls_ = 0;
  std::deque<Change> changes_;     // the first one is worked on
  std::deque<Awaiting> awaiting_;  // settled, not answered
  std::vector<Reader> reads_;      // wait for the next confirmation: one begun before them proves nothing
  std::vector<Reader> reading_;    // wait for the one under way
  std::uint64_t reading_call_ = 0;
  Micros reading_until_ = 0;
  std::size_t bytes_ = 0;  // of the bodies in changes_
  Counters counters_;
};

}  // namespace fennelhollow::control

#endif  // FENNELHOLLOW_MESH_CONTROL_CONFIGURATION_SERVICE_HPP_
