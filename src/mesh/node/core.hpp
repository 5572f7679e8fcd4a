// A core (control plane replica): replicates the configuration with the other cores and pushes it, with the
// registry of servers, to the sidecars.
#ifndef FENNELHOLLOW_MESH_NODE_CORE_HPP_
#define FENNELHOLLOW_MESH_NODE_CORE_HPP_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "mesh/node/process_options.hpp"
#include "mesh/settings/settings.hpp"
#include "net/protocol.hpp"

namespace fennelhollow::node {

// Not thread-safe: its functions and callbacks run on the thread of `io`. It owns two worker threads, one for
// disk I/O and one for validating configurations.
class Core {
 public:
  // `incarnation`: random number drawn at each start of the process.
  Core(merlinrun::net::asio::io_context& io, const settings::Settings& settings, std::uint64_t incarnation,
       const ProcessOptions& options = {});
  ~Core();  // closes all connections; waits for disk I/O in progress
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  // Call once: starts listening and opens the store. kUnavailable: an address cannot be bound or a thread
  // cannot be started. Opening the store is retried in the background; its failure is not reported here.
  absl::Status Start();
  // Applies the seeds of changed settings; the rest takes effect at the next start.
  void OnSettings(const settings::Settings& settings);
  // Hands over leadership and its vote, finishes calls in flight (2 s at most), then posts `done` to the
  // loop. Destroy it only after that.
  void Stop(std::function<void()> done);

  // JSON, as GET /-/Status returns it.
  std::string StatusText() const;
  // Port of the control plane listener; 0 before Start or without one.
  std::uint16_t control_port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_CORE_HPP_
