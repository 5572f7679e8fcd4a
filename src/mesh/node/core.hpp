// A core: keeps the configuration with the other cores, and the list of servers for the sidecars.
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

// Threading: its functions, and all that it calls, on the thread of `io`; two threads of its own for the disk
// and for checks.
class Core {
 public:
  // `life`: drawn at random at each start of the process.
  Core(merlinrun::net::asio::io_context& io, const settings::Settings& settings, std::uint64_t life,
       const ProcessOptions& options = {});
  ~Core();  // closes all; waits for the disk's work under way
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  // Once: listens and opens its disk. kUnavailable: an address can't be listened on, or there is no thread to
  // be had. A disk that can't be opened is tried again and is no error here.
  absl::Status Start();
  // The settings file has changed: takes over whom to ask. The rest holds until the next start.
  void OnSettings(const settings::Settings& settings);
  // Hands its duty on, ends calls under way (two seconds at most), then `done`, from the loop; destroy it
  // after that.
  void Stop(std::function<void()> done);

  // For operators, as GET /-/Status gives it.
  std::string StatusText() const;
  // Of the control plane's address, once started (0 before).
  std::uint16_t control_port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_CORE_HPP_
