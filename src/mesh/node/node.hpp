// What the process needs of its node, a sidecar or a core.
#ifndef FENNELHOLLOW_MESH_NODE_NODE_HPP_
#define FENNELHOLLOW_MESH_NODE_NODE_HPP_

#include <absl/status/status.h>

#include <exception>
#include <functional>
#include <string>
#include <string_view>

#include "mesh/settings/settings.hpp"

namespace fennelhollow::node {

// Not thread-safe: its functions and callbacks run on the thread of the event loop.
class Node {
 public:
  virtual ~Node() = default;
  // Call once. kUnavailable: something is not available yet, such as an address that another process holds;
  // destroy the node and try again with a new one. Other errors are final.
  virtual absl::Status Start() = 0;
  // Applies the seeds of changed settings; the rest takes effect at the next start.
  virtual void OnSettings(const settings::Settings& settings) = 0;
  // Shuts down within the grace period of the settings, then calls `done` on the loop. Destroy the node only
  // after that.
  virtual void Stop(std::function<void()> done) = 0;
  // JSON, as GET /-/Status returns it.
  virtual std::string StatusText() const = 0;
  virtual std::string_view role() const = 0;
};

// The result of Start for an exception from the system, Asio or a thread.
absl::Status StartFailure(const std::exception& error);

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_NODE_HPP_
