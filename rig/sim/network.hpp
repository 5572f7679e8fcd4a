// Simulated machines and TCP-like links with delay, bandwidth and in-order delivery. Faults: one-way
// partitions that hold back bytes, resets, killed processes (reset), power loss (silence), frozen processes.
#ifndef FENNELHOLLOW_RIG_SIM_NETWORK_HPP_
#define FENNELHOLLOW_RIG_SIM_NETWORK_HPP_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/random.hpp"
#include "rig/sim/event_queue.hpp"

namespace fennelhollow::sim {

using Address = std::string;

class Network {
 public:
  using LinkId = std::uint64_t;

  // Callbacks to a running process.
  class Process {
   public:
    virtual ~Process() = default;
    virtual void OnAccepted(LinkId link, const Address& from) = 0;
    virtual void OnUp(LinkId link) = 0;  // of a link that it dialed
    virtual void OnFrame(LinkId link, const std::string& frame) = 0;
    virtual void OnDown(LinkId link, bool refused) = 0;
  };

  Network(EventQueue& events, std::uint64_t seed) : events_(events), random_(seed) {}

  // ---- processes

  void Start(const Address& machine, Process& process, std::uint64_t incarnation);
  void Kill(const Address& machine);                  // resets its links
  void PowerOff(const Address& machine);              // peers are not notified; Start powers on
  void Freeze(const Address& machine, Micros until);  // never shortens a previous freeze
  bool IsRunning(const Address& machine) const;
  bool IsFrozen(const Address& machine) const;
  // Runs an event for one incarnation of a process; if it is frozen, when it resumes.
  void Deliver(Micros when, const Address& machine, std::uint64_t incarnation, std::function<void()> what);

  // ---- links; each call names the calling end

  LinkId Dial(const Address& from, const Address& to, Micros timeout);
  bool Send(LinkId link, const Address& from, std::string frame);
  void Close(LinkId link, const Address& from);

  // ---- faults

  void Cut(const Address& from, const Address& to) { cuts_.insert({from, to}); }
  void Heal(const Address& from, const Address& to);
  bool IsCut(const Address& from, const Address& to) const { return cuts_.count({from, to}) > 0; }
  void ResetLinks(const Address& machine, double share);
  void SetDelay(Micros least, Micros spread) { delay_ = {least, spread}; }
  // Bytes per second into this machine; 0: unlimited.
  void SetBandwidth(const Address& machine, double bytes_per_s) {
    machines_[machine].bandwidth = bytes_per_s;
  }

  std::uint64_t bytes() const { return bytes_; }
  std::size_t largest_frame() const { return largest_frame_; }

 private:
  struct Machine {
    Process* process = nullptr;
    std::uint64_t incarnation = 0;
    bool powered = true;
    Micros frozen_until = 0;
    double bandwidth = 0;
    Micros busy_until = 0;  // of its inbound bandwidth
  };
  struct Direction {
    std::deque<std::pair<Micros, std::string>> queue;  // delivery time, frame
    Micros last = 0;
    Micros blocked_since = -1;
  };
  struct End {
    Address machine;
    std::uint64_t incarnation = 0;
    bool open = false;
  };
  struct Link {
    std::array<End, 2> ends;  // dialer, acceptor
    std::array<Direction, 2> directions;
  };

  Micros Delay();
  bool Blocked(const Address& from, const Address& to) const;
  std::size_t EndOf(const Link& link, const Address& machine) const;
  bool IsAlive(const End& end) const;
  void Accept(LinkId id, Micros dialled, Micros timeout);
  void DeliverDue(LinkId id, std::size_t sender);
  void TimeOut(LinkId id, std::size_t sender, Micros since);
  void NotifyDown(LinkId id, std::size_t end, bool refused);
  void Reset(LinkId id, std::size_t by);
  void Drop(LinkId id);

  EventQueue& events_;
  merlinrun::Random random_;
  std::map<Address, Machine> machines_;
  std::map<LinkId, Link> links_;
  std::set<std::pair<Address, Address>> cuts_;
  std::pair<Micros, Micros> delay_{200, 800};
  LinkId last_link_ = 0;
  std::uint64_t bytes_ = 0;
  std::size_t largest_frame_ = 0;
};

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_NETWORK_HPP_
