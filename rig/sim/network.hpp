// Simulated machines and TCP-like links between them: delay, bandwidth, order within a link, cuts each way
// that hold bytes up, resets, processes that are killed (reset) or lose power (silence), frozen processes.
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

  // What a running process is told.
  class Process {
   public:
    virtual ~Process() = default;
    virtual void OnAccepted(LinkId link, const Address& from) = 0;
    virtual void OnUp(LinkId link) = 0;  // of one that it dialled
    virtual void OnFrame(LinkId link, const std::string& frame) = 0;
    virtual void OnDown(LinkId link, bool refused) = 0;
  };

  Network(EventQueue& events, std::uint64_t seed) : events_(events), random_(seed) {}

  // ---- processes

  void Start(const Address& machine, Process& process, std::uint64_t incarnation);
  void Kill(const Address& machine);                  // its links are reset
  void PowerOff(const Address& machine);              // nobody is told; on again at Start
  void Freeze(const Address& machine, Micros until);  // never shorter than it was told before
  bool Runs(const Address& machine) const;
  bool Frozen(const Address& machine) const;
  // Something that happens to one incarnation of a process; while it is frozen, once it wakes.
  void Deliver(Micros when, const Address& machine, std::uint64_t incarnation, std::function<void()> what);

  // ---- links; all of them to be called by the process at that end

  LinkId Dial(const Address& from, const Address& to, Micros timeout);
  bool Send(LinkId link, const Address& from, std::string frame);
  void Close(LinkId link, const Address& from);

  // ---- trouble

  void Cut(const Address& from, const Address& to) { cuts_.insert({from, to}); }
  void Heal(const Address& from, const Address& to);
  bool IsCut(const Address& from, const Address& to) const { return cuts_.count({from, to}) > 0; }
  void ResetLinks(const Address& machine, double share);
  void SetDelay(Micros least, Micros spread) { delay_ = {least, spread}; }
  // Bytes a second into this machine; 0 = no bound.
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
    Micros busy_until = 0;  // its link, inwards
  };
  struct Direction {
    std::deque<std::pair<Micros, std::string>> queue;  // due at
    Micros last = 0;
    Micros held_since = -1;
  };
  struct End {
    Address machine;
    std::uint64_t incarnation = 0;
    bool open = false;
  };
  struct Link {
    std::array<End, 2> ends;  // who dialled, who accepted
    std::array<Direction, 2> ways;
  };

  Micros Delay();
  bool Blocked(const Address& from, const Address& to) const;
  std::size_t EndOf(const Link& link, const Address& machine) const;
  bool Alive(const End& end) const;
  void Accept(LinkId id, Micros dialled, Micros timeout);
  void Pump(LinkId id, std::size_t way);
  void GiveUp(LinkId id, std::size_t way, Micros since);
  void TellDown(LinkId id, std::size_t end, bool refused);
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
