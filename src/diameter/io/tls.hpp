// Diameter over TLS on its own port (RFC 6733, section 13.1), with OpenSSL. Both sides present certificates,
// which are checked against the configured CAs and the Origin-Host.
#ifndef MERLINRUN_DIAMETER_IO_TLS_HPP_
#define MERLINRUN_DIAMETER_IO_TLS_HPP_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "diameter/application.hpp"
#include "diameter/io/downstream.hpp"
#include "diameter/io/upstream.hpp"

namespace merlinrun::diameter {

class Tls {
 public:
  // Throws std::invalid_argument, with a one-line message, if a file can't be used or the program was built
  // without TLS.
  Tls(boost::asio::io_context& io, const TlsFiles& files, Connection::Limits limits);
  ~Tls();
  Tls(const Tls&) = delete;
  Tls& operator=(const Tls&) = delete;

  // Connects and performs the handshake; the certificate must be valid for the host. The returned functions
  // may outlive this object.
  Upstream::Connector Connector() const;
  // Performs the handshake on accepted sockets. Their number and duration are bounded, so that stalled
  // handshakes don't block others.
  Downstream::ConnectionFactory ConnectionFactory() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_TLS_HPP_
