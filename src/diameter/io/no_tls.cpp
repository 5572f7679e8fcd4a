// In a build without TLS: a file that asks for it is told so.
#include <stdexcept>

#include "diameter/io/tls.hpp"

namespace merlinrun::diameter {

struct Tls::State {};

Tls::Tls(boost::asio::io_context&, const TlsFiles&, Connection::Limits) {
  throw std::invalid_argument("diameter: [tls]: this program was built without TLS (FENNELHOLLOW_TLS)");
}
Tls::~Tls() = default;
Upstream::Connector Tls::Connector() const { return {}; }
Downstream::Wrap Tls::Wrap() const { return {}; }

}  // namespace merlinrun::diameter
