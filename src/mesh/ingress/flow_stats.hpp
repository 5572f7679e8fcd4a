// What each flow asked of a server and got: tells a flow that is starved, and checks that none is.
//
// Free of I/O.
#ifndef FENNELHOLLOW_MESH_INGRESS_FLOW_STATS_HPP_
#define FENNELHOLLOW_MESH_INGRESS_FLOW_STATS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "merlinrun/balancer.hpp"
#include "mesh/ingress/flow.hpp"

namespace fennelhollow::ingress {

using merlinrun::Micros;

// Attempts of one flow at one server over a span of time that has just ended.
struct FlowInterval {
  Flow flow;
  std::uint64_t arrivals = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t capacity_rejections = 0;  // for want of room
  double minimum_share = 0;               // its least share of what was passed on to the server meanwhile
  std::uint64_t forwarded_total = 0;      // that was passed on, of all flows
  // False: it asked for more than it got, had less than a fair part of its least share, and others were
  // served.
  bool ReceivedMinimumShare() const;
};

class FlowAccount {
 public:
  void OnAsked(Micros now, const Flow& flow);
  void OnPassed(const Flow& flow);
  // One of its runs took so long.
  void OnRan(const Flow& flow, Micros took);
  // How long its runs take, in microseconds; 0 = none has ended.
  double RunOf(const Flow& flow) const;
  // For want of room. Ends the flow's span where enough has come in it to judge.
  std::optional<FlowInterval> OnTurnedAway(const Flow& flow);

  // Several of its attempts in a row were turned away while others were passed on many times.
  bool Starves(const Flow& flow) const;

 private:
  struct Record {
    Micros heard = 0;
    // Since its last attempt that was passed on.
    std::uint64_t turned_away_in_a_row = 0;
    std::uint64_t passed_total_then = 0;
    double run = 0;  // microseconds, averaged
    // The span.
    std::uint64_t asked = 0, passed = 0, turned_away = 0;
    std::uint64_t span_from = 0;  // passed_total_ at its begin
    std::size_t most_flows = 1;   // that asked, the most at a time meanwhile
  };
  void ForgetSilent(Micros now);
  void BeginSpan(Record& record) const;

  std::map<Flow, Record> records_;
  std::uint64_t passed_total_ = 0;
  Micros forgot_ = 0;
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_FLOW_STATS_HPP_
