// The signals of the platform, handled from the start of the process to its end.
#ifndef FENNELHOLLOW_NET_PROCESS_SIGNALS_HPP_
#define FENNELHOLLOW_NET_PROCESS_SIGNALS_HPP_

#include <pthread.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace merlinrun::net {

// Writing to a closed connection or beyond the limit of a file's size fails with an error instead of ending
// the process.
inline void IgnoreWriteSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

// Construct it before anything else that takes time, so that no signal has its default action, and destroy it
// last. A signal that arrives before it is waited for is kept.
class ProcessSignals {
 public:
  // `io` must outlive it.
  explicit ProcessSignals(boost::asio::io_context& io) : stop(io, SIGTERM, SIGINT), reload(io, SIGHUP) {}
  // Call from the last thread. Blocks the signals, as without a handler they would kill the process.
  ~ProcessSignals() {
    sigset_t signals;
    ::sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) ::sigaddset(&signals, signal);
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  }
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

  boost::asio::signal_set stop;    // SIGTERM and SIGINT: shut down
  boost::asio::signal_set reload;  // SIGHUP: the settings have changed
};

}  // namespace merlinrun::net

#endif  // FENNELHOLLOW_NET_PROCESS_SIGNALS_HPP_
