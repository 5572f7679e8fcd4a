// A sidecar: the outbound and inbound proxy of one machine, configured by the control plane.
#ifndef FENNELHOLLOW_MESH_NODE_SIDECAR_HPP_
#define FENNELHOLLOW_MESH_NODE_SIDECAR_HPP_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mesh/node/node.hpp"
#include "mesh/node/process_options.hpp"
#include "mesh/settings/settings.hpp"
#include "net/protocol.hpp"

namespace fennelhollow::node {

class Sidecar : public Node {
 public:
  // `incarnation`: random number drawn at each start of the process.
  Sidecar(merlinrun::net::asio::io_context& io, const settings::Settings& settings, std::uint64_t incarnation,
          const ProcessOptions& options = {});
  ~Sidecar() override;
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  absl::Status Start() override;
  void OnSettings(const settings::Settings& settings) override;
  // Reports not ready and drains. Requests that still arrive while clients are sent elsewhere are served.
  void Stop(std::function<void()> done) override;
  std::string StatusText() const override;
  std::string_view role() const override { return "sidecar"; }

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_SIDECAR_HPP_
