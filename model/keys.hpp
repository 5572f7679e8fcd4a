// What requests are about, and what a server has lately met of it: a server that has met a key needs less
// work for it. Free of the world; time and chance are given.
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

// Zipf's law: the n-th most popular key is asked for in proportion to n^-skew.
class KeyLaw {
 public:
  // `distinct`: 0 = requests have no keys.
  KeyLaw(std::size_t distinct, double skew) {
    double sum = 0;
    for (std::size_t n = 1; n <= distinct; ++n)
      upto_.push_back(sum += Exp(-skew * Log(static_cast<double>(n))));
  }
  bool any() const { return !upto_.empty(); }
  // The key's rank, from 1; 0 = none.
  std::uint32_t operator()(Draws& draws) const {
    if (!any()) return 0;
    const auto at = std::upper_bound(upto_.begin(), upto_.end(), draws.Unit() * upto_.back());
    return static_cast<std::uint32_t>(std::min<std::ptrdiff_t>(at - upto_.begin() + 1, std::ssize(upto_)));
  }

 private:
  std::vector<double> upto_;
};

// The keys that a server keeps warm: the last `most` that it met, each for `kept` after it was met.
class WarmKeys {
 public:
  WarmKeys(std::size_t most, Micros kept) : most_(most), kept_(kept) {}

  // The server meets the key now. Whether it was warm.
  bool Meet(std::uint32_t key, Micros now) {
    const auto known = where_.find(key);
    const bool warm = known != where_.end() && now - known->second->met <= kept_;
    if (known != where_.end()) order_.erase(known->second);
    order_.push_front({key, now});
    where_[key] = order_.begin();
    if (order_.size() > most_) {
      where_.erase(order_.back().key);
      order_.pop_back();
    }
    return warm;
  }
  std::size_t size() const { return order_.size(); }

 private:
  struct Met {
    std::uint32_t key;
    Micros met;
  };
  std::size_t most_;
  Micros kept_;
  std::list<Met> order_;  // the latest first
  std::unordered_map<std::uint32_t, std::list<Met>::iterator> where_;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_KEYS_HPP_
