// A sidecar of the mesh: the outbound proxy and the last hop of one machine, with what control tells them.
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

// Threading: all of it on the thread of `io`.
class Sidecar {
 public:
  // `life`: drawn at random at each start of the process.
  Sidecar(merlinrun::net::asio::io_context& io, const settings::Settings& settings, std::uint64_t life,
          const ProcessOptions& options = {});
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Once. kUnavailable: an address can't be listened on.
  absl::Status Start();
  // The settings file has changed: takes over the seeds.
  void OnSettings(const settings::Settings& settings);
  // Is not ready from here on, finishes what has come and what still comes, then `done`, from the loop;
  // within the grace period of the settings.
  void Stop(std::function<void()> done);
  std::string StatusText() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_SIDECAR_HPP_
