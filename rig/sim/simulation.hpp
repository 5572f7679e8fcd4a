// Simulated control plane: cores, sidecars and operators run production code in virtual time under a fault
// schedule. Deterministic for a given schedule.
#ifndef FENNELHOLLOW_RIG_SIM_SIMULATION_HPP_
#define FENNELHOLLOW_RIG_SIM_SIMULATION_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "rig/sim/core_process.hpp"
#include "rig/sim/event_queue.hpp"
#include "rig/sim/history_checker.hpp"
#include "rig/sim/network.hpp"
#include "rig/sim/operators.hpp"
#include "rig/sim/schedule.hpp"
#include "rig/sim/sidecar_process.hpp"

namespace fennelhollow::sim {

struct RunResult {
  std::string violation;  // empty: none
  std::size_t acknowledged = 0, refused = 0, reads = 0, faults = 0;
  Micros longest_pause = 0;  // between two acknowledgements after the first fault
  std::uint64_t bytes = 0;
  std::size_t largest_frame = 0;  // bytes, on any link
  std::uint64_t fingerprint = 0;  // of the history
};

class Simulation {
 public:
  explicit Simulation(const Schedule& schedule);
  ~Simulation();

  // Call once: runs the schedule, ends all faults, requires full recovery, then injects final faults.
  RunResult Run();

  // Time limits that the control plane must meet.
  static constexpr Micros kReconnectTimeout = 3 * kSecond;
  static constexpr Micros kAcknowledgeTimeout = 5 * kSecond;
  static constexpr Micros kApplyTimeout = 2500 * kMillisecond;
  static constexpr Micros kCatchUpTime = 4 * kSecond;

 private:
  struct Core {
    Disk disk;
    std::unique_ptr<CoreProcess> process;
    bool removed = false;   // permanently
    Micros lost_until = 0;  // counts as lost: down or not caught up
    Micros disturbed_until = 0;
    std::uint64_t entry = 0;  // last checked entry of this process
    Micros started = 0;
  };
  struct Sidecar {
    std::unique_ptr<SidecarProcess> process;
    Micros started = 0;
  };

  // ---- machines
  Address AddCore(bool first);
  void StartCore(const Address& id, bool first_start);
  void StopCore(const Address& id, bool power, bool wipe);
  void RestartAfter(const Address& id, Micros after);
  void StartSidecar(const Address& id);
  std::vector<Address> Cores() const;  // without removed ones
  std::vector<Address> Seeds();
  Address Leader() const;
  Address Target(int target) const;
  int CountLost(const Address& but) const;
  void MarkDisturbed(Core& core, Micros duration);
  bool MayWipe(const Address& id) const { return CountLost(id) < tolerated_losses_; }

  // ---- faults
  void InjectFault(const Fault& fault);
  void NoteDisturbance() { last_disturbance_ = events_.now(); }
  void CutBetween(const std::set<Address>& side, const std::set<Address>& others, bool in, bool out,
                  Micros duration);
  void Replace(const Fault& fault);
  void KillAllCores(bool power);
  void OnAcknowledged(const Address& core);
  void EndAllFaults();
  void RestoreDisk(const Address& id, Micros duration, const std::function<void(Disk&)>& restore);

  // ---- checks
  void OnCoreStep(const CoreProcess& core);
  void OnApplied(const Address& sidecar, std::uint64_t incarnation, std::uint64_t entry,
                 const std::string& state);
  void CheckLiveness();
  void RequireProgress(const char* after);
  void RequireAgreement(const char* after);
  void InjectFinalFaults();
  Micros EndOfFaults() const;
  void CallCore(std::uint64_t turn, control::CallKind kind, const std::string& body,
                const Operators::Done& done);
  void CallCoreAt(const Address& id, int redirects, control::CallKind kind, const std::string& body,
                  const Operators::Done& done);
  void UpdateFingerprint(std::uint64_t what);

  const Schedule schedule_;
  const int tolerated_losses_;
  EventQueue events_;
  merlinrun::Random random_;
  Network network_;
  HistoryChecker checker_;
  std::map<Address, Core> cores_;
  std::map<Address, Sidecar> sidecars_;
  std::vector<std::unique_ptr<Network::Process>> retired_;  // may still have pending events
  std::unique_ptr<Operators> operators_;
  std::vector<Address> initial_voters_;
  std::uint64_t incarnations_ = 0;
  int machines_ = 0;
  Micros last_disturbance_ = 0;  // start or end of a fault
  // Until this time a wiped or replaced machine has not caught up, and no more than the tolerated number of
  // cores may be lost. Without a lost disk any number may be down.
  Micros disk_gone_until_ = 0;
  double response_loss_ = 0;
  bool power_on_ack_ = false, wipe_on_ack_ = false;
  Micros on_ack_duration_ = 0;
  std::size_t faults_ = 0;
  std::uint64_t fingerprint_ = 0;
};

// Runs a schedule to its end or its first violation.
RunResult RunSchedule(const Schedule& schedule);
// Greedily removes faults while the schedule still produces a violation.
Schedule Shrink(Schedule schedule);

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_SIMULATION_HPP_
