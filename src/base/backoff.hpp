// The wait that doubles: everywhere the same, with chance put to it by whoever waits.
#ifndef MERLINRUN_BASE_BACKOFF_HPP_
#define MERLINRUN_BASE_BACKOFF_HPP_

#include <algorithm>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

// min(cap, base * 2^n), n from 0.
inline Micros ExponentialBackoff(Micros base, int n, Micros cap) {
  return std::min(cap, base << std::min(n, 20));  // 20: far past any cap, short of overflow
}

}  // namespace merlinrun

#endif  // MERLINRUN_BASE_BACKOFF_HPP_
