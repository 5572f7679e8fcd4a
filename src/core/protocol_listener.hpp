// What the sidecar's phase asks of a listener, whatever its protocol.
#ifndef MERLINRUN_CORE_PROTOCOL_LISTENER_HPP_
#define MERLINRUN_CORE_PROTOCOL_LISTENER_HPP_

#include <cstddef>

#include "merlinrun/balancer.hpp"

namespace merlinrun::core {

// A listener of any protocol, with the connections that it took.
class ProtocolListener {
 public:
  virtual ~ProtocolListener() = default;
  // While it drains, clients are told, in the protocol's own way, to take their next request elsewhere.
  virtual void SetDraining(bool draining) = 0;
  // Accepts what has connected already, then no more.
  virtual void StopAccepting() = 0;
  // Another process accepts from the same queue: leaves what has connected to it, and keeps the listener.
  virtual void PauseAccepting() = 0;
  virtual void ResumeAccepting() = 0;
  // Closes the connections that have had nothing under way for so many microseconds.
  virtual void CloseIdle(Micros rested) = 0;
  // Connections that are open, those included whose last answer is still being read.
  virtual std::size_t sessions() const = 0;
};

}  // namespace merlinrun::core

#endif  // MERLINRUN_CORE_PROTOCOL_LISTENER_HPP_
