// The phase of the whole sidecar: starting, serving, evacuated, yielding, stopping. What each says on both
// addresses, and what it asks of the fronts. Free of I/O; one thread, that of its Loop.
#ifndef MERLINRUN_OPS_LIFECYCLE_HPP_
#define MERLINRUN_OPS_LIFECYCLE_HPP_

#include <functional>
#include <memory>
#include <vector>

#include "core/loop.hpp"
#include "core/protocol_listener.hpp"
#include "core/request_manager.hpp"

namespace merlinrun::ops {

class Phase {
 public:
  // kYielding: another process of this sidecar serves, and this one finishes what it has.
  enum class State { kStarting, kServing, kEvacuated, kYielding, kStopping };

  // Both must outlive it.
  Phase(core::Loop& loop, core::RequestManager& request_manager);
  Phase(const Phase&) = delete;
  Phase& operator=(const Phase&) = delete;

  // Before all else. The front must outlive this.
  void Add(core::ProtocolListener& front) { fronts_.push_back(&front); }

  // From now on it can serve: it listens and knows servers. Does nothing a second time, nor once it stops.
  void Started();
  // Clients are to go elsewhere; what they have sent is finished, and their connections end within
  // kEvacuated. False if it stops, which outranks this. A second call does nothing.
  bool Evacuate();
  // Back to work at once, also amid a drain. False if it stops. Does nothing if it was not evacuated.
  bool Rejoin();
  // Another process has the listener now. It accepts no more, finishes what it has and lets its clients'
  // connections end as after Evacuate. Does nothing if it stops.
  void Yield();
  // The other process has gone: back to what it was before. Does nothing if it does not yield.
  void Resume();
  // The planned end: takes what still comes for a short while, finishes what is held, answers what would
  // outlast the kill, then calls `finished` once, from the loop. Final; a second call does nothing.
  void Stop(std::function<void()> finished);

  State state() const { return state_; }
  // What GET /ready says to clients. On connections kept from before it yielded it speaks for the sidecar,
  // which the other process serves.
  bool TakesClients() const { return !away_ && (state_ == State::kServing || yielded_); }
  // Whether this process can serve, as the operators ask at the second address.
  bool CanServe() const { return state_ != State::kStarting && state_ != State::kStopping; }
  bool evacuated() const { return away_; }

  // After Evacuate, until no connection is held idle any more, in microseconds.
  static constexpr Micros kEvacuated = 1'500'000;

 private:
  void BeginEnding();
  void EndIdle();
  void LeaveDrain();
  void StopAccepting();
  void CloseIdle();
  void CheckFinished();
  std::size_t sessions() const;
  void SetDraining(bool draining);

  core::Loop& loop_;
  core::RequestManager& request_manager_;
  std::vector<core::ProtocolListener*> fronts_;
  std::unique_ptr<core::Timer> timer_;
  std::function<void()> finished_;
  State state_ = State::kStarting;
  bool started_ = false;  // it could serve at some time
  bool away_ = false;     // clients were told to go elsewhere
  bool yielded_ = false;  // another process has the listener
  Micros ending_ = 0;     // when connections began to be ended
  Micros end_ = 0;        // of stopping
  bool closing_ = false;
};

}  // namespace merlinrun::ops

#endif  // MERLINRUN_OPS_LIFECYCLE_HPP_
