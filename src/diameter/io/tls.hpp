// Diameter over TLS, on a port of its own (RFC 6733, section 13.1): certificates of both sides, checked
// against the operator's authorities, and the name in them against the Origin-Host. Cryptography is
// OpenSSL's.
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
  // Throws std::invalid_argument, with one plain line that names the file, if a file can't be used, or if
  // this program was built without TLS.
  Tls(boost::asio::io_context& io, const TlsFiles& files, Connection::Limits limits);
  ~Tls();
  Tls(const Tls&) = delete;
  Tls& operator=(const Tls&) = delete;

  // Dials and shakes hands; the certificate has to be the host's that was asked for. What they give back may
  // outlive this object.
  Upstream::Connector Connector() const;
  // Shakes hands with who has connected. So many at once, and each for so long: a client that connects and
  // says nothing, or shakes hands without end, holds nobody up.
  Downstream::Wrap Wrap() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_TLS_HPP_
