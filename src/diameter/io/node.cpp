#include "diameter/io/node.hpp"

#include <boost/asio/ip/address.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "diameter/io/messages.hpp"
#include "diameter/io/tls.hpp"
#include "net/address.hpp"

namespace merlinrun::diameter {
namespace {

constexpr Micros kSecond = 1'000'000;
// Timeout for dialling and the capabilities exchange, unless the settings have one.
constexpr Micros kDefaultConnectTimeout = 2 * kSecond;
// Descriptors besides client connections: listeners, and connections being closed.
constexpr std::size_t kOtherSockets = 8;

Tcp::endpoint AddressOf(const std::string& text) {
  const auto address = net::ParseAddress(text, /*to_listen_on=*/true);
  if (!address) throw std::invalid_argument("diameter: '" + text + "': not an address with a port");
  return *address;
}

Identity IdentityOf(core::Loop& loop, const Application& application) {
  Identity self;
  self.host = application.host;
  self.realm = application.realm;
  // Section 8.16: increases with every start.
  self.state_id = static_cast<std::uint32_t>(loop.Now() / kSecond);
  const std::string& listen = application.listen.empty() ? application.tls_listen : application.listen;
  const auto address = AddressOf(listen).address();
  if (address.is_v4()) {
    const auto bytes = address.to_v4().to_bytes();
    self.addresses = {AddressData({reinterpret_cast<const char*>(bytes.data()), bytes.size()})};
  } else {
    const auto bytes = address.to_v6().to_bytes();
    self.addresses = {AddressData({reinterpret_cast<const char*>(bytes.data()), bytes.size()})};
  }
  self.applications = {application.id};
  return self;
}

Connection::Limits ConnectionLimits(const Application& application) {
  Connection::Limits limits;
  limits.max_message_bytes = application.max_message_bytes;
  return limits;
}

Upstream::Connector PlainConnector(boost::asio::io_context& io, Connection::Limits limits) {
  return [&io, limits](const Tcp::endpoint& address, const std::string&,
                       std::function<void(ConnectionPtr)> done) {
    const auto socket = std::make_shared<Tcp::socket>(io);
    socket->async_connect(address, [socket, limits, done = std::move(done)](ErrorCode error) {
      done(error ? nullptr : Connection::Plain(std::move(*socket), limits));
    });
    return [socket] {
      ErrorCode ignored;
      socket->close(ignored);
    };
  };
}

Downstream::ConnectionFactory PlainConnectionFactory(Connection::Limits limits) {
  return [limits](Tcp::socket socket, const std::function<void(ConnectionPtr)>& done) {
    done(Connection::Plain(std::move(socket), limits));
  };
}

}  // namespace

Node::Node(boost::asio::io_context& io, core::Loop& loop, Application application, Limits limits,
           std::uint64_t seed, std::function<void(const std::string&)> usable_changed)
    : io_(io),
      loop_(loop),
      application_(std::move(application)),
      identity_(IdentityOf(loop, application_)),
      seed_(seed) {
  const Connection::Limits connection = ConnectionLimits(application_);
  if (!application_.listen.empty())
    listeners_.push_back({AddressOf(application_.listen), PlainConnectionFactory(connection)});
  std::optional<Tls> tls;
  if (!application_.tls.certificate.empty()) tls.emplace(io, application_.tls, connection);
  if (!application_.tls_listen.empty())
    listeners_.push_back({AddressOf(application_.tls_listen), tls->ConnectionFactory()});
  Upstream::Limits upstream;
  upstream.connect_timeout = limits.dial_timeout > 0 ? limits.dial_timeout : kDefaultConnectTimeout;
  upstream.max_connections = limits.server_connections;
  upstream.connection = connection;
  upstream_ =
      std::make_unique<Upstream>(loop, application_, identity_, upstream, seed,
                                 application_.servers_tls ? tls->Connector() : PlainConnector(io, connection),
                                 std::move(usable_changed));
}

Node::~Node() = default;

void Node::Listen(net::MemoryBudget& budget, stats::Counters& counters,
                  core::RequestManager& request_manager) {
  Downstream::Limits limits;
  limits.connection = ConnectionLimits(application_);
  downstream_ = std::make_unique<Downstream>(io_, loop_, listeners_, limits, application_, identity_, budget,
                                             counters, request_manager, *upstream_, seed_);
  upstream_->SetCounters(counters);
}

void Node::Apply(bool is_full_list, const std::vector<ServerAddress>& servers) {
  upstream_->Apply(is_full_list, servers);
}

unsigned Node::ProtocolBits(const std::string& server) const {
  return upstream_->Usable(server) ? 1U << kDiameterProtocol : 0U;
}

std::size_t Node::MaxSockets(const Application& application) {
  return application.clients.size() + Downstream::Limits{}.max_unidentified + kOtherSockets;
}

}  // namespace merlinrun::diameter
