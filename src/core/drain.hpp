// The planned end of a sidecar: every front goes on taking for a short while, what is held is finished, what
// would outlast the time before the kill is answered, and only then is it over.
#ifndef MERLINRUN_CORE_DRAIN_HPP_
#define MERLINRUN_CORE_DRAIN_HPP_

#include <functional>
#include <memory>
#include <vector>

#include "core/exchange.hpp"

namespace merlinrun::core {

// A listener of any protocol, with the connections that it took.
class Front {
 public:
  virtual ~Front() = default;
  // From now on clients are told, in the protocol's own way, to take their next request elsewhere.
  virtual void Drain() = 0;
  // Accepts what has connected already, then no more.
  virtual void StopAccepting() = 0;
  // Closes the connections that have nothing under way.
  virtual void CloseIdle() = 0;
  // Connections that are open, those included whose last answer is still being read.
  virtual std::size_t sessions() const = 0;
};

class Drain {
 public:
  Drain(Loop& loop, Exchanges& exchanges);
  Drain(const Drain&) = delete;
  Drain& operator=(const Drain&) = delete;

  // Before Start. The front must outlive this.
  void Add(Front& front) { fronts_.push_back(&front); }
  // Calls `finished` once, from the loop, when all is done; a second call does nothing.
  void Start(std::function<void()> finished);

 private:
  void StopAccepting();
  void CloseIdle();
  void CheckFinished();
  std::size_t sessions() const;

  Loop& loop_;
  Exchanges& exchanges_;
  std::vector<Front*> fronts_;
  std::unique_ptr<Timer> timer_;
  std::function<void()> finished_;
  Micros end_ = 0;  // 0 while it does not drain
  bool closing_ = false;
};

}  // namespace merlinrun::core

#endif  // MERLINRUN_CORE_DRAIN_HPP_
