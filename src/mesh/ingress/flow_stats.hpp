// Per-flow statistics of one server: detects flows that starve, and checks that each flow receives its
// minimum share.
//
// No I/O.
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

// Counts of one flow's attempts at one server over an interval that has just ended.
struct FlowInterval {
  Flow flow;
  std::uint64_t arrivals = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t capacity_rejections = 0;
  double minimum_share = 0;           // the flow's minimum share of `forwarded_total`
  std::uint64_t forwarded_total = 0;  // attempts of all flows forwarded to the server
  // False if the flow had capacity rejections and received clearly less than its minimum share.
  bool ReceivedMinimumShare() const;
};

class FlowStats {
 public:
  void OnArrival(Micros now, const Flow& flow);
  void OnForwarded(const Flow& flow);
  void OnFinished(const Flow& flow, Micros took);
  // Mean duration of the flow's requests in microseconds; 0 if none has finished.
  double MeanDuration(const Flow& flow) const;
  // Ends the flow's interval and returns it once it has enough attempts for a check.
  std::optional<FlowInterval> OnCapacityRejection(const Flow& flow);

  // Whether several consecutive attempts of the flow were rejected while many of other flows were forwarded.
  bool IsStarving(const Flow& flow) const;

 private:
  struct Record {
    Micros last_arrival = 0;
    // Since the flow's last forwarded attempt:
    std::uint64_t consecutive_rejections = 0;
    std::uint64_t forwarded_total_before = 0;  // value of forwarded_total_ at that time
    double mean_duration = 0;                  // microseconds
    // Since the start of the interval:
    std::uint64_t arrivals = 0, forwarded = 0, capacity_rejections = 0;
    std::uint64_t interval_start = 0;  // value of forwarded_total_ at the start
    std::size_t max_flows = 1;         // most flows that were active at once
  };
  void ExpireIdle(Micros now);
  void BeginInterval(Record& record) const;

  std::map<Flow, Record> records_;
  std::uint64_t forwarded_total_ = 0;
  Micros last_expiry_ = 0;
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_FLOW_STATS_HPP_
