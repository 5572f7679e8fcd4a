#include "diameter/io/tls.hpp"

#include <openssl/err.h>
#include <openssl/x509v3.h>

#include <array>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <list>
#include <stdexcept>
#include <utility>

namespace merlinrun::diameter {
namespace {

namespace ssl = boost::asio::ssl;
using Stream = ssl::stream<Tcp::socket>;

constexpr std::size_t kMaxHandshakes = 32;
constexpr auto kHandshakeTimeout = std::chrono::seconds(5);
constexpr std::size_t kReadBufferSize = std::size_t{4} * 1024;

class TlsConnection : public Connection {
 public:
  TlsConnection(std::unique_ptr<Stream> stream, Limits limits)
      : Connection(stream->get_executor(), limits), stream_(std::move(stream)) {}

  // RFC 6125 by OpenSSL: subject alternative names, or the common name if there are none.
  bool MatchesHost(const std::string& host) const override {
    X509* const certificate = SSL_get_peer_certificate(stream_->native_handle());
    if (certificate == nullptr) return false;
    const bool is = X509_check_host(certificate, host.data(), host.size(),
                                    X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS, nullptr) == 1;
    X509_free(certificate);
    return is;
  }
  bool tls() const override { return true; }

 private:
  std::shared_ptr<TlsConnection> Self() {
    return std::static_pointer_cast<TlsConnection>(shared_from_this());
  }
  void ReadSome() override {
    stream_->async_read_some(boost::asio::buffer(input_), [self = Self()](ErrorCode error, std::size_t n) {
      self->OnRead(error, {self->input_.data(), n});
    });
  }
  void WriteSome() override {
    boost::asio::async_write(*stream_, boost::asio::buffer(writing()),
                             [self = Self()](ErrorCode error, std::size_t n) { self->OnWritten(error, n); });
  }
  void ShutdownSend() override {
    stream_->async_shutdown([self = Self()](ErrorCode) { self->CloseSocket(/*reset=*/false); });
  }
  void CloseSocket(bool reset) override {
    ErrorCode ignored;
    auto& socket = stream_->lowest_layer();
    if (reset) socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }

  const std::unique_ptr<Stream> stream_;
  std::array<char, kReadBufferSize> input_{};
};

void ThrowOnError(const ErrorCode& error, const std::string& file) {
  if (error) throw std::invalid_argument("diameter: " + file + ": " + error.message());
}

// A TLS handshake with a timeout.
struct Handshake : std::enable_shared_from_this<Handshake> {
  Handshake(boost::asio::io_context& io, std::unique_ptr<Stream> with) : stream(std::move(with)), timer(io) {}

  void Run(Stream::handshake_type type, std::function<void(bool)> done) {
    timer.expires_after(kHandshakeTimeout);
    timer.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (!stopped) self->Stop();
    });
    stream->async_handshake(type, [self = shared_from_this(), done = std::move(done)](ErrorCode error) {
      self->timer.cancel();
      done(!error);
    });
  }

  void Stop() {
    ErrorCode ignored;
    if (stream != nullptr) stream->lowest_layer().close(ignored);
  }

  std::unique_ptr<Stream> stream;
  boost::asio::steady_timer timer;
};

}  // namespace

struct Tls::State {
  State(boost::asio::io_context& its_io, Connection::Limits its_limits) : io(its_io), limits(its_limits) {}
  boost::asio::io_context& io;
  const Connection::Limits limits;
  ssl::context context{ssl::context::tls};
  std::list<std::shared_ptr<Handshake>> handshakes;  // of accepted sockets, oldest first
};

Tls::Tls(boost::asio::io_context& io, const TlsFiles& files, Connection::Limits limits)
    : state_(std::make_shared<State>(io, limits)) {
  ssl::context& context = state_->context;
  ErrorCode error;
  SSL_CTX_set_min_proto_version(context.native_handle(), TLS1_2_VERSION);
  context.use_certificate_chain_file(files.certificate, error);
  ThrowOnError(error, files.certificate);
  context.use_private_key_file(files.key, ssl::context::pem, error);
  ThrowOnError(error, files.key);
  context.load_verify_file(files.authorities, error);
  ThrowOnError(error, files.authorities);
  if (SSL_CTX_check_private_key(context.native_handle()) != 1)
    throw std::invalid_argument("diameter: " + files.key + ": not the key of " + files.certificate);
  ERR_clear_error();
  context.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
}

Tls::~Tls() = default;

Upstream::Connector Tls::Connector() const {
  return [state = state_](const Tcp::endpoint& address, const std::string& host,
                          std::function<void(ConnectionPtr)> done) -> std::function<void()> {
    const auto handshake =
        std::make_shared<Handshake>(state->io, std::make_unique<Stream>(state->io, state->context));
    SSL_set_tlsext_host_name(handshake->stream->native_handle(), host.c_str());
    handshake->stream->lowest_layer().async_connect(address, [state, handshake, host,
                                                              done = std::move(done)](ErrorCode error) {
      if (error) return done(nullptr);
      handshake->Run(Stream::client, [state, handshake, host, done](bool good) {
        if (!good) return done(nullptr);
        const auto connection = std::make_shared<TlsConnection>(std::move(handshake->stream), state->limits);
        const bool is = connection->MatchesHost(host);
        if (!is) connection->Reset();
        done(is ? connection : nullptr);
      });
    });
    return [handshake] { handshake->Stop(); };
  };
}

Downstream::ConnectionFactory Tls::ConnectionFactory() const {
  return [state = state_](Tcp::socket socket, std::function<void(ConnectionPtr)> done) {
    // Drops the oldest handshake to make room, so that stalled clients don't block new ones.
    if (state->handshakes.size() >= kMaxHandshakes) {
      state->handshakes.front()->Stop();
      state->handshakes.pop_front();
    }
    const auto handshake =
        std::make_shared<Handshake>(state->io, std::make_unique<Stream>(std::move(socket), state->context));
    state->handshakes.push_back(handshake);
    handshake->Run(Stream::server, [state, handshake, done = std::move(done)](bool good) {
      state->handshakes.remove(handshake);
      done(good ? std::make_shared<TlsConnection>(std::move(handshake->stream), state->limits) : nullptr);
    });
  };
}

}  // namespace merlinrun::diameter
