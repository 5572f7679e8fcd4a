// The HTTP API for operators. Does no I/O.
#ifndef MERLINRUN_OPS_API_HPP_
#define MERLINRUN_OPS_API_HPP_

#include <string>
#include <string_view>

#include "ops/lifecycle.hpp"
#include "stats/counters.hpp"

namespace merlinrun::ops {

struct Reply {
  unsigned status = 200;
  std::string body;
  std::string_view type = "text/plain";
  std::string_view allow = {};  // with status 405: the allowed method
};

// The metrics as a JSON object without a line break. Contains every class of the settings, even without
// requests.
std::string MetricsJson(const stats::Counters& counters, const Settings& settings,
                        const BalancerSnapshot& snapshot);

// The references must outlive this.
class Api {
 public:
  Api(Lifecycle& lifecycle, const core::RequestManager& request_manager, const stats::Counters& counters)
      : lifecycle_(lifecycle), request_manager_(request_manager), counters_(counters) {}

  // `target`: the request target; its query is ignored.
  Reply Handle(std::string_view method, std::string_view target);

 private:
  Reply Execute(std::string_view path);

  Lifecycle& lifecycle_;
  const core::RequestManager& request_manager_;
  const stats::Counters& counters_;
};

}  // namespace merlinrun::ops

#endif  // MERLINRUN_OPS_API_HPP_
