// What a call to the second address means. Free of I/O.
#ifndef MERLINRUN_OPS_API_HPP_
#define MERLINRUN_OPS_API_HPP_

#include <string>
#include <string_view>

#include "ops/lifecycle.hpp"
#include "stats/counters.hpp"

namespace merlinrun::ops {

// The answer to a call.
struct Reply {
  unsigned status = 200;
  std::string body;
  std::string_view type = "text/plain";
  std::string_view allow = {};  // with 405: the method that the path has
};

// The figures as one JSON object, without its line's end: each class of the settings is there from the start.
std::string FiguresText(const stats::Counters& counters, const Settings& settings,
                        const BalancerSnapshot& beliefs);

// Answers calls by the phase and the figures of the moment. What it is given must outlive it.
class Api {
 public:
  Api(Phase& phase, const core::RequestManager& request_manager, const stats::Counters& counters)
      : phase_(phase), request_manager_(request_manager), counters_(counters) {}

  // `target` as the call has it; a query is ignored.
  Reply Handle(std::string_view method, std::string_view target);

 private:
  Reply Do(std::string_view path);

  Phase& phase_;
  const core::RequestManager& request_manager_;
  const stats::Counters& counters_;
};

}  // namespace merlinrun::ops

#endif  // MERLINRUN_OPS_API_HPP_
