// Pseudo-random numbers and hashes that are identical on every machine.
#ifndef MERLINRUN_BASE_RANDOM_HPP_
#define MERLINRUN_BASE_RANDOM_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

inline std::uint64_t MixBits(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// FNV-1a with a finalizer. Unlike std::hash it is the same at every sidecar. Never 0.
inline std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return std::max<std::uint64_t>(MixBits(hash), 1);
}

class Random {  // SplitMix64
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() { return MixBits(state_ += 0x9e3779b97f4a7c15ULL); }
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Unit() * static_cast<double>(n)); }
  Micros Upto(Micros bound) { return static_cast<Micros>(Unit() * static_cast<double>(bound)); }

 private:
  std::uint64_t state_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_BASE_RANDOM_HPP_
