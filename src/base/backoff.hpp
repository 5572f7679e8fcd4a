// Exponential backoff without jitter, which the callers add.
#ifndef MERLINRUN_BASE_BACKOFF_HPP_
#define MERLINRUN_BASE_BACKOFF_HPP_

#include <algorithm>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

// Returns min(cap, base * 2^n), n from 0.
inline Micros ExponentialBackoff(Micros base, int n, Micros cap) {
  return std::min(cap, base << std::min(n, 20));  // 20: above any cap, and without overflow
}

}  // namespace merlinrun

#endif  // MERLINRUN_BASE_BACKOFF_HPP_
