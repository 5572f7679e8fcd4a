// The interface of listeners for the sidecar's lifecycle, independent of the protocol.
#ifndef MERLINRUN_CORE_PROTOCOL_LISTENER_HPP_
#define MERLINRUN_CORE_PROTOCOL_LISTENER_HPP_

#include <cstddef>

#include "merlinrun/balancer.hpp"

namespace merlinrun::core {

// A listener and the client connections that it has accepted.
class ProtocolListener {
 public:
  virtual ~ProtocolListener() = default;
  // While draining, clients are told, by the means of the protocol, to send further requests elsewhere.
  virtual void SetDraining(bool draining) = 0;
  // Accepts the connections in the backlog, then closes the listener.
  virtual void StopAccepting() = 0;
  // Leaves the backlog to another process that accepts on the same listener, which stays open.
  virtual void PauseAccepting() = 0;
  virtual void ResumeAccepting() = 0;
  // Closes the connections that have been idle for at least `min_idle` microseconds.
  virtual void CloseIdle(Micros min_idle) = 0;
  // Open connections, including those whose last response is still being read.
  virtual std::size_t sessions() const = 0;
};

}  // namespace merlinrun::core

#endif  // MERLINRUN_CORE_PROTOCOL_LISTENER_HPP_
