// A sidecar: the outbound and inbound proxy of one machine, configured by the control plane.
#ifndef FENNELHOLLOW_MESH_NODE_SIDECAR_HPP_
#define FENNELHOLLOW_MESH_NODE_SIDECAR_HPP_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "mesh/node/process_options.hpp"
#include "mesh/settings/settings.hpp"
#include "net/protocol.hpp"

namespace fennelhollow::node {

// Not thread-safe: everything runs on the thread of `io`.
class Sidecar {
 public:
  // `incarnation`: random number drawn at each start of the process.
  Sidecar(merlinrun::net::asio::io_context& io, const settings::Settings& settings, std::uint64_t incarnation,
          const ProcessOptions& options = {});
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Call once. kUnavailable: an address cannot be bound.
  absl::Status Start();
  // Applies the seeds of changed settings; the rest takes effect at the next start.
  void OnSettings(const settings::Settings& settings);
  // Reports not ready, drains, then posts `done` to the loop, within the grace period of the settings.
  // Requests that still arrive while clients are sent elsewhere are served.
  void Stop(std::function<void()> done);
  // JSON, for operators.
  std::string StatusText() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_SIDECAR_HPP_
