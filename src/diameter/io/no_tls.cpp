// Build without TLS: settings that ask for TLS are rejected.
#include <stdexcept>

#include "diameter/io/tls.hpp"

namespace merlinrun::diameter {

struct Tls::State {};

Tls::Tls(boost::asio::io_context&, const TlsFiles&, Connection::Limits) {
  throw std::invalid_argument("diameter: [tls]: this program was built without TLS (FENNELHOLLOW_TLS)");
}
Tls::~Tls() = default;
Upstream::Connector Tls::Connector() const { return {}; }
Downstream::ConnectionFactory Tls::ConnectionFactory() const { return {}; }

}  // namespace merlinrun::diameter
