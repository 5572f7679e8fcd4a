// Default averaging window.
#ifndef MERLINRUN_BASE_AVERAGING_HPP_
#define MERLINRUN_BASE_AVERAGING_HPP_

namespace merlinrun {

// Number of requests.
inline constexpr double kAverageRequests = 100;

}  // namespace merlinrun

#endif  // MERLINRUN_BASE_AVERAGING_HPP_
