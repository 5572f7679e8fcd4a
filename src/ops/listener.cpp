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

// A call is a short head; what comes as a body is read and left aside, up to its own limit.
constexpr std::uint32_t kMostHead = 4096;
constexpr std::uint64_t kMostBody = std::uint64_t{16} * 1024;
// How long accepting rests when descriptors have run out: guards against a loop that spins on EMFILE.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

unsigned StatusOf(ErrorCode error) {
  if (error == http::error::header_limit) return 431;
  return error == http::error::body_limit ? 413 : 400;
}

}  // namespace

class Listener::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(Listener& owner, Tcp::socket socket) : owner_(&owner), tcp_(std::move(socket)) {}

  void Start() {
    parser_.header_limit(kMostHead);
    parser_.body_limit(kMostBody);
    tcp_.expires_after(std::chrono::microseconds(owner_->limits_.call));
    http::async_read(tcp_, buffer_, parser_,
                     [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnRead(error); });
  }

  // Without a word to the owner: it has let go of this, or is going itself.
  void Abandon() {
    owner_ = nullptr;
    tcp_.close();
  }

  std::list<CallerPtr>::iterator place;

 private:
  void OnRead(ErrorCode error) {
    if (owner_ == nullptr) return;
    if (!error) {
      const auto& request = parser_.get();
      const auto method = request.method_string();
      const auto target = request.target();
      return Write(owner_->api_.Handle({method.data(), method.size()}, {target.data(), target.size()}));
    }
    // Gone, silent too long, or half a call and a close: there is nobody to be told.
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
    tcp_.expires_after(std::chrono::microseconds(owner_->limits_.call));
    http::async_write(tcp_, response_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->Close();
      self->Linger();
    });
  }

  // Until the caller has read its answer and gone: a close with input unread would reset it.
  void Linger() {
    if (owner_ == nullptr) return;
    ErrorCode error;
    tcp_.socket().shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    buffer_.clear();
    tcp_.async_read_some(buffer_.prepare(kMostHead),
                         [self = shared_from_this()](ErrorCode ended, std::size_t n) {
                           if (ended || (self->lingered_ += n) > kMostBody) return self->Close();
                           self->Linger();
                         });
  }

  void Close() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    std::exchange(owner_, nullptr)->callers_.erase(place);
    tcp_.close();
  }

  Listener* owner_;  // null once it is closed
  beast::tcp_stream tcp_;
  beast::flat_buffer buffer_{kMostHead + kMostBody};
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> response_;
  std::size_t lingered_ = 0;
};

Listener::Listener(asio::io_context& io, const Tcp::endpoint& address, Limits limits, Api& api)
    : io_(io), limits_(limits), api_(api), acceptor_(io, address, /*reuse_addr=*/true), pause_(io) {
  Accept();
}

Listener::~Listener() {
  for (const CallerPtr& caller : callers_) caller->Abandon();
}

void Listener::Accept() {
  acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error || error == asio::error::connection_aborted) {
      if (!error) Add(std::move(socket));
      return Accept();
    }
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([this](ErrorCode stopped) {
      if (!stopped) Accept();
    });
  });
}

void Listener::Add(Tcp::socket socket) {
  if (callers_.size() >= limits_.callers) {
    const CallerPtr oldest = callers_.front();
    callers_.pop_front();
    oldest->Abandon();
  }
  const auto caller = std::make_shared<Caller>(*this, std::move(socket));
  caller->place = callers_.insert(callers_.end(), caller);
  caller->Start();
}

}  // namespace merlinrun::ops
