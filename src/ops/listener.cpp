#include "ops/listener.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string>
#include <utility>

namespace merlinrun::ops {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Bodies are read and ignored.
constexpr std::uint32_t kMaxHeaderBytes = 4096;
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{16} * 1024;
// Delay before accepting again after an error such as EMFILE; avoids a busy loop.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

unsigned StatusOf(ErrorCode error) {
  if (error == http::error::header_limit) return 431;
  return error == http::error::body_limit ? 413 : 400;
}

}  // namespace

class Listener::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Listener& owner, Tcp::socket socket) : owner_(&owner), tcp_(std::move(socket)) {}

  void Start() {
    parser_.header_limit(kMaxHeaderBytes);
    parser_.body_limit(kMaxBodyBytes);
    tcp_.expires_after(std::chrono::microseconds(owner_->limits_.io_timeout));
    http::async_read(tcp_, buffer_, parser_,
                     [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnRead(error); });
  }

  // Closes without notifying the owner, which has dropped this connection or is being destroyed.
  void Abandon() {
    owner_ = nullptr;
    tcp_.close();
  }

  std::list<ConnectionPtr>::iterator position;

 private:
  void OnRead(ErrorCode error) {
    if (owner_ == nullptr) return;
    if (!error) {
      const auto& request = parser_.get();
      const auto method = request.method_string();
      const auto target = request.target();
      return Write(owner_->api_.Handle({method.data(), method.size()}, {target.data(), target.size()}));
    }
    // Disconnected or timed out: no response is possible.
    if (error == beast::error::timeout || error == asio::error::eof || error == http::error::end_of_stream ||
        error == http::error::partial_message || error.category() == asio::error::get_system_category())
      return Close();
    Write({StatusOf(error), "unreadable call\n"});
  }

  void Write(Reply reply) {
    response_.result(reply.status);
    response_.version(11);
    response_.set(http::field::content_type, beast::string_view(reply.type.data(), reply.type.size()));
    if (!reply.allow.empty())
      response_.set(http::field::allow, beast::string_view(reply.allow.data(), reply.allow.size()));
    response_.keep_alive(false);
    response_.body() = std::move(reply.body);
    response_.prepare_payload();
    tcp_.expires_after(std::chrono::microseconds(owner_->limits_.io_timeout));
    http::async_write(tcp_, response_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->Close();
      self->Linger();
    });
  }

  // Waits until the client closes: closing with unread input would reset the connection and lose the
  // response.
  void Linger() {
    if (owner_ == nullptr) return;
    ErrorCode error;
    tcp_.socket().shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    buffer_.clear();
    tcp_.async_read_some(buffer_.prepare(kMaxHeaderBytes),
                         [self = shared_from_this()](ErrorCode ended, std::size_t n) {
                           if (ended || (self->lingered_bytes_ += n) > kMaxBodyBytes) return self->Close();
                           self->Linger();
                         });
  }

  void Close() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    std::exchange(owner_, nullptr)->connections_.erase(position);
    tcp_.close();
  }

  Listener* owner_;  // null once closed
  beast::tcp_stream tcp_;
  beast::flat_buffer buffer_{kMaxHeaderBytes + kMaxBodyBytes};
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> response_;
  std::size_t lingered_bytes_ = 0;
};

Listener::Listener(asio::io_context& io, const Tcp::endpoint& address, Limits limits, Api& api)
    : io_(io),
      limits_(limits),
      api_(api),
      acceptor_(io, address, /*reuse_addr=*/true),
      accept_retry_timer_(io) {
  Accept();
}

Listener::~Listener() {
  for (const ConnectionPtr& connection : connections_) connection->Abandon();
}

void Listener::Accept() {
  acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error || error == asio::error::connection_aborted) {
      if (!error) Add(std::move(socket));
      return Accept();
    }
    accept_retry_timer_.expires_after(kAcceptRetryDelay);
    accept_retry_timer_.async_wait([this](ErrorCode stopped) {
      if (!stopped) Accept();
    });
  });
}

void Listener::Add(Tcp::socket socket) {
  if (connections_.size() >= limits_.max_connections) {
    const ConnectionPtr oldest = connections_.front();
    connections_.pop_front();
    oldest->Abandon();
  }
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connection->position = connections_.insert(connections_.end(), connection);
  connection->Start();
}

}  // namespace merlinrun::ops
