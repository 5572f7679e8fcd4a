// fennelhollow: a sidecar proxy that balances the requests of its application over the servers.
// Exit status: 0 after SIGTERM or SIGINT, 1 if it can never listen, 2 if the configuration is invalid.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <utility>

#include "net/asio_loop.hpp"
#include "net/await_address.hpp"
#include "net/config.hpp"
#include "net/process_signals.hpp"
#include "net/sidecar.hpp"

namespace {

using merlinrun::net::Config;
using merlinrun::net::Sidecar;

const char* ReadEnvironment(const char* name) { return std::getenv(name); }

// Reloads the configuration on SIGHUP. Invalid configurations are logged and change nothing.
class Reloader {
 public:
  // `signals` must outlive it.
  explicit Reloader(boost::asio::signal_set& signals) : signals_(signals) {}

  void Watch(Sidecar& sidecar) {
    signals_.async_wait([this, &sidecar](const boost::system::error_code& stopped, int) {
      if (stopped) return;
      try {
        sidecar.Reload(merlinrun::net::ReloadConfig(ReadEnvironment));
      } catch (const std::exception& error) {
        std::fprintf(stderr, "fennelhollow: keeping the current configuration: %s\n", error.what());
      }
      Watch(sidecar);
    });
  }

 private:
  boost::asio::signal_set& signals_;
};

// With an operators' listener the sidecar takes the address over from its predecessor instead of waiting.
bool AwaitAddress(boost::asio::io_context& io, merlinrun::net::ProcessSignals& signals,
                  const Config& config) {
  if (config.ops) return true;
  return merlinrun::net::AwaitAddress(io, signals.stop, config.listen, [](const std::string& cause) {
    std::fprintf(stderr, "fennelhollow: waiting to start: %s\n", cause.c_str());
  });
}

int Run(boost::asio::io_context& io, merlinrun::net::ProcessSignals& signals) {
  Reloader reloader(signals.reload);
  Config config = merlinrun::net::LoadConfig(ReadEnvironment);
  if (!AwaitAddress(io, signals, config)) return 0;
  Sidecar sidecar(io, std::move(config));
  reloader.Watch(sidecar);
  signals.stop.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) sidecar.Stop([&io] { io.stop(); });
  });
  sidecar.OnReplaced([&] { sidecar.Stop([&io] { io.stop(); }); });
  try {
    sidecar.Start();
  } catch (const boost::system::system_error& error) {
    std::fprintf(stderr, "fennelhollow: cannot listen: %s\n", error.what());
    return 1;
  }
  merlinrun::net::RunUntilStopped(io,
                                  [](const char* what) { std::fprintf(stderr, "fennelhollow: %s\n", what); });
  return 0;
}

}  // namespace

int main() {
  merlinrun::net::IgnoreWriteSignals();
  try {
    boost::asio::io_context io(1);
    merlinrun::net::ProcessSignals signals(io);
    return Run(io, signals);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow: %s\n", error.what());
    return 2;
  }
}
