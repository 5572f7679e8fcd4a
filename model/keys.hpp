// Keys of requests, and each server's cache of recently used keys: a request for a cached key needs less
// work.
#ifndef MERLINRUN_MODEL_KEYS_HPP_
#define MERLINRUN_MODEL_KEYS_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "model/random.hpp"

namespace merlinrun::model {

// Zipf distribution: the n-th most popular key has a weight of n^-skew.
class ZipfKeys {
 public:
  // `key_count` 0: requests have no keys.
  ZipfKeys(std::size_t key_count, double skew) {
    double sum = 0;
    for (std::size_t n = 1; n <= key_count; ++n)
      cumulative_.push_back(sum += Exp(-skew * Log(static_cast<double>(n))));
  }
  bool enabled() const { return !cumulative_.empty(); }
  // The rank of the key drawn, from 1; 0 if requests have no keys.
  std::uint32_t operator()(RandomStream& draws) const {
    if (!enabled()) return 0;
    const auto at =
        std::upper_bound(cumulative_.begin(), cumulative_.end(), draws.Uniform() * cumulative_.back());
    return static_cast<std::uint32_t>(
        std::min<std::ptrdiff_t>(at - cumulative_.begin() + 1, std::ssize(cumulative_)));
  }

 private:
  std::vector<double> cumulative_;
};

// LRU cache of at most `capacity` keys, each valid for `ttl` after its last access.
class WarmKeyCache {
 public:
  WarmKeyCache(std::size_t capacity, Micros ttl) : capacity_(capacity), ttl_(ttl) {}

  // Records an access; returns whether the key was cached.
  bool Access(std::uint32_t key, Micros now) {
    const auto found = index_.find(key);
    const bool warm = found != index_.end() && now - found->second->accessed_at <= ttl_;
    if (found != index_.end()) lru_.erase(found->second);
    lru_.push_front({key, now});
    index_[key] = lru_.begin();
    if (lru_.size() > capacity_) {
      index_.erase(lru_.back().key);
      lru_.pop_back();
    }
    return warm;
  }
  std::size_t size() const { return lru_.size(); }

 private:
  struct Entry {
    std::uint32_t key;
    Micros accessed_at;
  };
  std::size_t capacity_;
  Micros ttl_;
  std::list<Entry> lru_;  // most recent first
  std::unordered_map<std::uint32_t, std::list<Entry>::iterator> index_;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_KEYS_HPP_
