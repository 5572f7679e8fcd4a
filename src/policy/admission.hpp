// Overload: which work is let in. Under pressure the work of least worth is refused first, before it fills a
// queue. Guards against servers that choke and against answers that all come late, each retried by its client
// on top of the load.
#ifndef MERLINRUN_POLICY_ADMISSION_HPP_
#define MERLINRUN_POLICY_ADMISSION_HPP_

#include <array>
#include <optional>

#include "base/mix.hpp"
#include "policy/concurrency.hpp"
#include "policy/records.hpp"

namespace merlinrun {

class Admission {
 public:
  Admission(Common& common, const ColdStart& cold_start) : c_(common), cold_start_(cold_start) {}

  // So much time has passed: what was learnt of an overload fades.
  void Age(Micros time) {
    for (Load& load : loads_) load.admit = Aged(load.admit, time);
  }
  // The pool's list has changed, and had so many servers before.
  void Rescale(std::size_t pool, std::size_t before);
  void OnArrival(const Held& held, std::optional<Micros> cost) { mix_.OnArrival(held.request_class, cost); }
  // Whether the request may be sent at all; sets its pool and, where it may not, what stood in its way.
  bool LetIn(Held& held);
  void OnSent(std::size_t pool) { loads_[pool].concurrency.OnSent(loads_[pool].admit); }
  void OnOver(const Held& held, const Server& server, Micros sent, const Outcome& outcome);
  // What an outcome tells of the pressure on the servers.
  void Feel(const Held& held, Server& server, const Outcome& outcome);
  BalancerSnapshot::Pool TakeSnapshot(std::size_t pool, Micros now) const;

 private:
  struct Load {  // of a pool
    Concurrency concurrency;
    double admit = 1;        // share of the arriving work that answers leave room for
    double usual = 0;        // elapsed time over aim, averaged
    double unloaded = 1e9;   // the least that was usual
    double answers = 0;      // that say so
    double lates = 0;        // outcomes in a row that were late or refused, each server's once a row
    std::uint64_t row = 1;   // number of the row; a new one begins when all its servers have been counted
    double row_servers = 0;  // that have been counted in it
    void NextRow() {
      ++row;
      row_servers = 0;
    }
  };
  static double Aged(double admit, Micros time);
  bool Admits(const Load& load, std::size_t own, bool late);
  double AdmitTarget(const Load& load) const;
  double LeastTarget(const Load& load, const Pool& pool) const;
  double Target(const Load& load) const;

  Common& c_;
  const ColdStart& cold_start_;
  std::array<Load, std::tuple_size_v<Pools>> loads_{Load{{c_, 0}}, Load{{c_, 1}}};
  Mix mix_{c_.set};
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_ADMISSION_HPP_
