// fennelhollow: a sidecar that balances the load of the application beside it over its servers.
// Exit status: 0 after SIGTERM or SIGINT, 1 if it cannot listen, 2 if the configuration makes no sense.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "net/asio_loop.hpp"
#include "net/config.hpp"
#include "net/sidecar.hpp"

namespace {

using merlinrun::net::Sidecar;

const char* Environment(const char* name) { return std::getenv(name); }

// Reads the configuration again at each SIGHUP. A file that makes no sense is told, and changes nothing.
class Reloader {
 public:
  explicit Reloader(boost::asio::io_context& io) : signals_(io, SIGHUP) {}

  void Serve(Sidecar& sidecar) {
    signals_.async_wait([this, &sidecar](const boost::system::error_code& stopped, int) {
      if (stopped) return;
      try {
        sidecar.Reload(merlinrun::net::ReloadConfig(Environment));
      } catch (const std::exception& error) {
        std::fprintf(stderr, "fennelhollow: the configuration is kept as it was: %s\n", error.what());
      }
      Serve(sidecar);
    });
  }

 private:
  boost::asio::signal_set signals_;
};

int Serve() {
  boost::asio::io_context io(1);
  Reloader reloader(io);  // before all else: from here on SIGHUP ends nothing, it waits for the loop
  Sidecar sidecar(io, merlinrun::net::LoadConfig(Environment));
  reloader.Serve(sidecar);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
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
  std::signal(SIGPIPE, SIG_IGN);  // a peer that has left is an error of the write, not the end
  try {
    return Serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow: %s\n", error.what());
    return 2;
  }
}
