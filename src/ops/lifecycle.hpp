// The lifecycle of the sidecar: its readiness for clients and operators, draining, hot restart and shutdown.
// Drives the protocol listeners; does no I/O of its own. Runs on the thread of the Loop.
#ifndef MERLINRUN_OPS_LIFECYCLE_HPP_
#define MERLINRUN_OPS_LIFECYCLE_HPP_

#include <functional>
#include <memory>
#include <vector>

#include "core/loop.hpp"
#include "core/protocol_listener.hpp"
#include "core/request_manager.hpp"

namespace merlinrun::ops {

class Lifecycle {
 public:
  // kYielding: the successor of this process serves; this one finishes its requests.
  enum class State { kStarting, kServing, kEvacuated, kYielding, kStopping };

  // The references must outlive this.
  Lifecycle(core::Loop& loop, core::RequestManager& request_manager);
  Lifecycle(const Lifecycle&) = delete;
  Lifecycle& operator=(const Lifecycle&) = delete;

  // To be called before all other methods. The listener must outlive this.
  void Add(core::ProtocolListener& listener) { listeners_.push_back(&listener); }

  // The sidecar listens and knows servers. Does nothing if called again or after Stop.
  void MarkReady();
  // Drains: tells clients to go elsewhere, finishes their requests and closes their idle connections within
  // kEvacuationTime. Returns false after Stop. Repeated calls do nothing.
  bool Evacuate();
  // Ends an evacuation immediately, also while draining. Returns false after Stop.
  bool Rejoin();
  // The successor accepts on the listener now: stops accepting and drains as after Evacuate. Does nothing
  // after Stop.
  void Yield();
  // The successor is gone: returns to the state before Yield.
  void Resume();
  // Graceful shutdown: accepts for a short grace period, finishes the active requests, answers those that
  // would outlast the kill, then calls `finished` once from the loop. Final; repeated calls do nothing.
  void Stop(std::function<void()> finished);

  State state() const { return state_; }
  // The result of GET /ready for clients. After Yield it is the readiness of the sidecar, which the successor
  // serves.
  bool AcceptsClients() const { return !evacuated_ && (state_ == State::kServing || yielded_); }
  // Whether this process can serve: the result of GET /api/ready for operators.
  bool CanServe() const { return state_ != State::kStarting && state_ != State::kStopping; }
  bool evacuated() const { return evacuated_; }

  // Microseconds from Evacuate until no idle connection is left.
  static constexpr Micros kEvacuationTime = 1'500'000;

 private:
  void BeginDrain();
  void CloseIdleWhileDraining();
  void EndDrain();
  void StopAccepting();
  void CloseAllIdle();
  void CheckFinished();
  std::size_t sessions() const;
  void SetDraining(bool draining);

  core::Loop& loop_;
  core::RequestManager& request_manager_;
  std::vector<core::ProtocolListener*> listeners_;
  std::unique_ptr<core::Timer> timer_;
  std::function<void()> finished_;
  State state_ = State::kStarting;
  bool ready_ = false;      // MarkReady was called
  bool evacuated_ = false;  // by the operator
  bool yielded_ = false;    // the successor accepts on the listener
  Micros drain_start_ = 0;
  Micros stop_deadline_ = 0;  // 0 = not stopping
  bool closing_idle_ = false;
};

}  // namespace merlinrun::ops

#endif  // MERLINRUN_OPS_LIFECYCLE_HPP_
