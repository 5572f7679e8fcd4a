// fennelhollow: a sidecar proxy that balances the requests of its application over the servers.
// Exit status: 0 after SIGTERM or SIGINT, 1 if it can never listen, 2 if the configuration is invalid.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <utility>

#include "net/asio_loop.hpp"
#include "net/config.hpp"
#include "net/listen.hpp"
#include "net/process_signals.hpp"
#include "net/sidecar.hpp"

namespace {

using merlinrun::net::Config;
using merlinrun::net::Sidecar;

constexpr std::chrono::milliseconds kListenRetryInterval{200};

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

// Waits while another process holds the address that the sidecar is to listen at. False after SIGTERM. With
// an operators' listener the sidecar takes the address over from its predecessor instead.
bool AwaitAddress(boost::asio::io_context& io, merlinrun::net::ProcessSignals& signals,
                  const Config& config) {
  if (config.ops) return true;
  bool stopped = false;
  signals.stop.async_wait([&](const boost::system::error_code& error, int) { stopped = !error; });
  for (std::string last_failure; !stopped; io.restart()) {
    try {
      merlinrun::net::Listen(io, config.listen);
      break;
    } catch (const boost::system::system_error& error) {
      if (!merlinrun::net::IsTransient(error.code())) break;  // reported by Sidecar::Start
      if (std::exchange(last_failure, error.what()) != error.what())
        std::fprintf(stderr, "fennelhollow: waiting to start: %s\n", error.what());
    }
    io.run_for(kListenRetryInterval);
  }
  signals.stop.cancel();
  io.restart();
  io.poll();
  io.restart();
  return !stopped;
}

int Run() {
  boost::asio::io_context io(1);
  merlinrun::net::ProcessSignals signals(io);
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
    return Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow: %s\n", error.what());
    return 2;
  }
}
