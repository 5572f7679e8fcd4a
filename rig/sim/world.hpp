// A simulated control plane: cores, sidecars and operators of the product's own code under a schedule of
// faults, in virtual time. Deterministic: one schedule, one history.
#ifndef FENNELHOLLOW_RIG_SIM_WORLD_HPP_
#define FENNELHOLLOW_RIG_SIM_WORLD_HPP_

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
#include "rig/sim/judge.hpp"
#include "rig/sim/network.hpp"
#include "rig/sim/operators.hpp"
#include "rig/sim/schedule.hpp"
#include "rig/sim/sidecar_process.hpp"

namespace fennelhollow::sim {

struct Outcome {
  std::string violation;  // empty: no rule was broken
  std::size_t acknowledged = 0, refused = 0, reads = 0, faults = 0;
  Micros longest_pause = 0;  // between two acknowledgements after the first fault
  std::uint64_t bytes = 0;
  std::size_t largest_frame = 0;  // bytes, on any link
  std::uint64_t fingerprint = 0;  // of the history
};

class World {
 public:
  explicit World(const Schedule& schedule);
  ~World();

  // Once: the schedule, then all trouble ends and everything has to be well again, then one closing fault.
  Outcome Run();

  // Bounds of the rules; the operators' figures on the small sites.
  static constexpr Micros kContact = 3 * kSecond;
  static constexpr Micros kAcknowledge = 5 * kSecond;
  static constexpr Micros kApply = 2500 * kMillisecond;
  static constexpr Micros kCatchUp = 4 * kSecond;

 private:
  struct Core {
    Disk disk;
    std::unique_ptr<CoreProcess> process;
    bool removed = false;   // for good
    Micros lost_until = 0;  // counts as lost: away, or not yet caught up
    Micros troubled_until = 0;
    std::uint64_t entry = 0;  // of this process, as judged last
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
  void StartAgain(const Address& id, Micros after);
  void StartSidecar(const Address& id);
  std::vector<Address> Cores() const;  // that are not removed
  std::vector<Address> Seeds();
  Address Leader() const;
  Address Target(int target) const;
  int Lost(const Address& but) const;
  void Lose(Core& core, Micros lasts);
  bool MayLose(const Address& id) const { return Lost(id) < tolerated_; }

  // ---- faults
  void Begin(const Fault& fault);
  void Trouble() { trouble_at_ = events_.now(); }
  void CutBetween(const std::set<Address>& side, const std::set<Address>& others, bool in, bool out,
                  Micros lasts);
  void Replace(const Fault& fault);
  void KillAll(bool power);
  void OnAcknowledged(const Address& core);
  void EndAllTrouble();
  void RestoreDisk(const Address& id, Micros lasts, const std::function<void(Disk&)>& restore);

  // ---- judgement
  void OnStep(const CoreProcess& core);
  void OnInForce(const Address& sidecar, std::uint64_t incarnation, std::uint64_t entry,
                 const std::string& state);
  void Watch();
  void RequireProgress(const char* after);
  void RequireAgreement(const char* after);
  void Closing();
  Micros EndOfFaults() const;
  void CallCore(std::uint64_t turn, control::CallKind kind, const std::string& body,
                const Operators::Done& done);
  void CallAt(const Address& id, int redirections, control::CallKind kind, const std::string& body,
              const Operators::Done& done);
  void Mark(std::uint64_t what);

  const Schedule schedule_;
  const int tolerated_;
  EventQueue events_;
  merlinrun::Random random_;
  Network network_;
  Judge judge_;
  std::map<Address, Core> cores_;
  std::map<Address, Sidecar> sidecars_;
  std::vector<std::unique_ptr<Network::Process>> ended_;  // whose events may still be on their way
  std::unique_ptr<Operators> operators_;
  std::vector<Address> founders_;
  std::uint64_t incarnations_ = 0;
  int machines_ = 0;
  Micros trouble_at_ = 0;  // a fault began or ended
  // A machine is gone with its disk, and the one in its place has not caught up: until then no more are lost
  // at once than is tolerated. Without such a loss any number may be away.
  Micros disk_gone_until_ = 0;
  double answers_lost_ = 0;
  bool power_on_ack_ = false, wipe_on_ack_ = false;
  Micros on_ack_lasts_ = 0;
  std::size_t faults_ = 0;
  std::uint64_t fingerprint_ = 0;
};

// Runs it, whatever happens.
Outcome RunSchedule(const Schedule& schedule);
// The shortest list of its faults that still breaks a rule, found greedily.
Schedule Shrink(Schedule schedule);

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_WORLD_HPP_
