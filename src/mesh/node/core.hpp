// A core (control plane replica): replicates the configuration with the other cores and pushes it, with the
// registry of servers, to the sidecars.
#ifndef FENNELHOLLOW_MESH_NODE_CORE_HPP_
#define FENNELHOLLOW_MESH_NODE_CORE_HPP_

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

// Owns two worker threads, one for disk I/O and one for validating configurations.
class Core : public Node {
 public:
  // `incarnation`: random number drawn at each start of the process.
  Core(merlinrun::net::asio::io_context& io, const settings::Settings& settings, std::uint64_t incarnation,
       const ProcessOptions& options = {});
  ~Core() override;  // closes all connections; waits for disk I/O in progress
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  // Starts listening and opens the store, which is retried in the background: its failure is not reported
  // here.
  absl::Status Start() override;
  void OnSettings(const settings::Settings& settings) override;
  // Hands over leadership and its vote, and finishes calls in flight (2 s at most).
  void Stop(std::function<void()> done) override;
  std::string StatusText() const override;
  std::string_view role() const override { return "core"; }
  // Port of the control plane listener; 0 before Start or without one.
  std::uint16_t control_port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_CORE_HPP_
