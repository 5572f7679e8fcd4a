#include "mesh/ingress/server_connection_pool.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <limits>
#include <optional>
#include <utility>

#include "mesh/memory/receive_buffer.hpp"
#include "mesh/transport/hop_by_hop.hpp"
#include "mesh/transport/read_buffer.hpp"
#include "net/address.hpp"

namespace fennelhollow::ingress {
namespace {

using Clock = std::chrono::steady_clock;
namespace beast = merlinrun::net::beast;
namespace http = merlinrun::net::http;

constexpr std::size_t kMaxHeadBytes = std::size_t{32} * 1024;
// Idle connections are closed before the server's own timeout, to avoid sending a request on a connection
// that the server is closing.
constexpr auto kIdleTimeout = std::chrono::milliseconds(8000);
constexpr auto kIdleTimeoutMargin = std::chrono::milliseconds(1500);
constexpr auto kSweepInterval = std::chrono::milliseconds(500);
constexpr auto kConnectTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t kMaxIdlePerAddress = 64;
// Responses to other requests that are skipped on a connection before it is closed.
constexpr int kMaxStrayResponses = 4;

bool IsNotForwarded(beast::string_view name) {
  return transport::IsHopByHop(name) || beast::iequals(name, "proxy-authenticate");
}

}  // namespace

class ServerConnectionPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ServerConnectionPool& pool, std::string address)
      : pool_(pool), socket_(pool.io_), connect_timer_(pool.io_), address_(std::move(address)) {
    ++*open_connections_;
  }
  ~Connection() { --*open_connections_; }

  const std::string& address() const { return address_; }

  void Start(Handle handle, Request request, Events events) {
    handle_ = handle;
    events_ = std::move(events);
    id_ = std::move(request.id);
    request_head_ = Serialize(request);
    request_body_ = std::move(request.body);
    is_head_request_ = request.method == "HEAD";
    parser_.reset();
    stray_responses_ = 0;
    bytes_sent_ = false;
    reading_paused_ = false;
    if (connected_)
      asio::post(socket_.get_executor(), [self = shared_from_this(), handle] {
        if (self->handle_ == handle) self->Write();
      });
    else
      Connect();
  }

  void MarkIdle() {
    is_idle_ = true;
    idle_since_ = Clock::now();
    WaitReadable();
  }
  bool IdleExpired(Clock::time_point now) const { return now - idle_since_ >= idle_timeout_; }
  bool open() const { return !closed_; }

  void Close() {
    closed_ = true;
    handle_ = 0;
    events_ = {};
    connect_timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  void Pause() { reading_paused_ = true; }
  void Resume() {
    if (std::exchange(reading_paused_, false) && !closed_) WaitReadable();
  }

 private:
  static std::string Serialize(const Request& r) {
    std::string out;
    out.reserve(512);
    out += r.method;
    out += ' ';
    out += r.target;
    out += " HTTP/1.1\r\n";
    for (const auto& [name, value] : r.headers) {
      out += name;
      out += ": ";
      out += value;
      out += "\r\n";
    }
    if (!r.body.empty() || (r.method != "GET" && r.method != "HEAD" && r.method != "DELETE")) {
      out += "Content-Length: ";
      out += std::to_string(r.body.size());
      out += "\r\n";
    }
    out += "\r\n";
    return out;
  }

  void Connect() {
    const auto endpoint = merlinrun::net::ParseAddress(address_);
    ErrorCode error;
    if (endpoint) socket_.open(Tcp::v4(), error);
    if (endpoint && !error) {
      ErrorCode ignored;
      socket_.set_option(asio::socket_base::receive_buffer_size(memory::kServerReceiveBytes), ignored);
    }
    ++pool_.connections_opened_;
    if (!endpoint || error) {
      const Failure failure = error ? Failure::kNoSocket : Failure::kNotSent;
      asio::post(pool_.io_, [self = shared_from_this(), handle = handle_, failure] {
        if (self->handle_ == handle) self->Fail(failure);
      });
      return;
    }
    connect_timer_.expires_after(kConnectTimeout);
    connect_timer_.async_wait([weak = weak_from_this()](ErrorCode stopped) {
      const auto self = weak.lock();
      if (!stopped && self != nullptr && !self->connected_ && !self->closed_) self->Fail(Failure::kNotSent);
    });
    socket_.async_connect(*endpoint, [self = shared_from_this()](ErrorCode failed) {
      if (self->closed_) return;
      self->connect_timer_.cancel();
      if (failed) return self->Fail(Failure::kNotSent);
      ErrorCode ignored;
      self->socket_.set_option(Tcp::no_delay(true), ignored);
      self->socket_.non_blocking(true, ignored);
      self->connected_ = true;
      self->Write();
    });
  }

  void Write() {
    if (closed_) return;
    // Bytes that are already in the socket's receive buffer belong to an earlier request, and more of them
    // may still arrive after this; OnHead recognizes such a response by its id and discards it.
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(request_head_), asio::buffer(request_body_)};
    ErrorCode error;
    std::size_t byte_count = socket_.write_some(buffers, error);
    if (error == asio::error::would_block || error == asio::error::try_again) error = {}, byte_count = 0;
    if (error) return Fail(Failure::kNotSent);
    bytes_sent_ = true;  // the server may have received it
    if (byte_count == request_head_.size() + request_body_.size()) return AfterWrite();
    writing_ = true;
    WriteRest(byte_count);
    WaitReadable();
  }

  // The rest is written from the request's own buffers, which stay until then: no request starts on this
  // connection before.
  void WriteRest(std::size_t written) {
    const std::size_t head_bytes = std::min(written, request_head_.size());
    const std::array<asio::const_buffer, 2> rest{asio::buffer(request_head_) + head_bytes,
                                                 asio::buffer(request_body_) + (written - head_bytes)};
    asio::async_write(socket_, rest,
                      [self = shared_from_this(), handle = handle_](ErrorCode failed, std::size_t) {
                        self->writing_ = false;
                        std::string().swap(self->request_body_);
                        if (self->closed_ || self->handle_ != handle) return;
                        if (failed) return self->Fail(Failure::kReset);
                      });
  }

  void AfterWrite() {
    std::string().swap(request_body_);
    WaitReadable();
  }

  void WaitReadable() {
    if (wait_pending_ || closed_ || reading_paused_) return;
    wait_pending_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      self->wait_pending_ = false;
      if (self->closed_) return;
      if (error) return self->OnPeerClosed();
      self->OnReadable();
    });
  }

  void OnPeerClosed() {
    if (is_idle_) return CloseIdleConnection();
    Fail(Failure::kReset);
  }

  void OnReadable() {
    for (int round = 0; round < 4; ++round) {
      ErrorCode error;
      const std::size_t byte_count = socket_.read_some(asio::buffer(transport::ReadBuffer()), error);
      if (error == asio::error::would_block || error == asio::error::try_again) break;
      if (error || byte_count == 0) return OnPeerClosed();
      if (is_idle_) {  // an unsolicited response: the connection can't be reused
        ++pool_.stray_responses_;
        return CloseIdleConnection();
      }
      read_buffer_.append(transport::ReadBuffer().data(), byte_count);
      const Handle before = handle_;
      Parse();
      if (closed_ || handle_ != before || reading_paused_) return;
      if (byte_count < transport::kReadBufferBytes) break;
    }
    WaitReadable();
  }

  void Parse() {
    while (!read_buffer_.empty() || (parser_ && parser_->is_done())) {
      if (!parser_) {
        parser_.emplace();
        parser_->header_limit(kMaxHeadBytes);
        // Not boost::none: to Boost 1.74 every announced length exceeds an absent limit.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_->eager(true);
        if (is_head_request_) parser_->skip(true);
        discarding_ = false;
        head_parsed_ = false;
      }
      if (!parser_->is_done()) {
        ErrorCode error;
        const std::size_t consumed = parser_->put(asio::buffer(read_buffer_), error);
        read_buffer_.erase(0, consumed);
        if (error && error != http::error::need_more) return Fail(Failure::kMalformed);
        if (!head_parsed_ && parser_->is_header_done() && !OnHead()) return;
        if (head_parsed_ && !discarding_) {
          std::string bytes = std::exchange(parser_->get().body(), {});
          const Handle before = handle_;
          if (!bytes.empty() && events_.on_body) {
            const auto call = events_.on_body;
            call(std::move(bytes));
          }
          if (closed_ || handle_ != before) return;
        } else if (head_parsed_) {
          parser_->get().body().clear();
        }
        if (error == http::error::need_more || (consumed == 0 && !parser_->is_done())) {
          // The parser takes a chunk's head and the trailer only as a whole: one without end fills the
          // memory.
          if (read_buffer_.size() > kMaxHeadBytes) Fail(Failure::kMalformed);
          return;
        }
        if (!parser_->is_done()) continue;
      }
      const unsigned status = parser_->get().result_int();
      const bool reusable = parser_->keep_alive();
      if (discarding_ || status < 200) {
        parser_.reset();
        if (!reusable && status >= 200) return Fail(Failure::kReset);
        continue;
      }
      return Complete(reusable);
    }
  }

  // Returns false if the request is over.
  bool OnHead() {
    head_parsed_ = true;
    const auto& head = parser_->get();
    const unsigned status = head.result_int();
    if (status < 200) {
      if (status == 101) return Fail(Failure::kMalformed), false;
      return discarding_ = true;
    }
    // A response with another id is a late one to an earlier request. A missing id is accepted only with a
    // status of 300 or more, which does not claim that the request succeeded.
    const auto response_id = head["Attempt-Id"];
    const bool matches = response_id == beast::string_view(id_) || (response_id.empty() && status >= 300);
    if (!matches || head.count("Attempt-Id") > 1) {
      ++pool_.stray_responses_;
      if (++stray_responses_ > kMaxStrayResponses) return Fail(Failure::kMalformed), false;
      return discarding_ = true;
    }
    const bool no_body = is_head_request_ || status == 204 || status == 304;
    if (head.count(http::field::content_length) + head.count(http::field::transfer_encoding) > 1)
      return Fail(Failure::kMalformed), false;
    // Without explicit framing a truncated body would look complete.
    if (!no_body && !parser_->chunked() && !parser_->content_length())
      return Fail(Failure::kMalformed), false;
    if (status < 300 && (head["Server-Seal"].empty() || head.count(http::field::content_encoding) > 0))
      return Fail(Failure::kMalformed), false;
    idle_timeout_ = kIdleTimeout;
    if (const auto keep_alive_header = head[http::field::keep_alive]; !keep_alive_header.empty()) {
      const auto at = keep_alive_header.find("timeout=");
      if (at != beast::string_view::npos) {
        const int seconds = std::atoi(std::string(keep_alive_header.substr(at + 8)).c_str());
        idle_timeout_ = std::clamp(std::chrono::milliseconds(1000 * seconds) - kIdleTimeoutMargin,
                                   std::chrono::milliseconds(0), std::chrono::milliseconds(60'000));
      }
    }
    Headers headers;
    for (const auto& field : head)
      if (!IsNotForwarded(field.name_string()))
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    std::int64_t body_length = -1;
    if (const auto declared_length = parser_->content_length())
      body_length = static_cast<std::int64_t>(*declared_length);
    if (no_body) body_length = 0;
    const Handle before = handle_;
    if (events_.on_head) {
      const auto call = events_.on_head;
      call(static_cast<std::uint16_t>(status), std::move(headers), body_length);
    }
    return !closed_ && handle_ == before;
  }

  void Complete(bool reusable) {
    const auto self = shared_from_this();
    parser_.reset();
    const auto call = std::move(events_.on_end);
    const Handle handle = std::exchange(handle_, 0);
    events_ = {};
    pool_.busy_.erase(handle);
    // Bytes after the response match no request.
    if (!read_buffer_.empty()) ++pool_.stray_responses_;
    // If the response came before the request was fully written, the server still expects the rest of it.
    if (!reusable || writing_ || !read_buffer_.empty() || idle_timeout_ <= std::chrono::milliseconds(0)) {
      Close();
    } else {
      auto& idle = pool_.idle_[address_];
      idle.push_back(self);
      if (idle.size() > kMaxIdlePerAddress) {
        idle.front()->Close();
        idle.pop_front();
      }
      MarkIdle();
      pool_.ScheduleSweep();
    }
    if (call) call();
  }

  void Fail(Failure failure) {
    const auto self = shared_from_this();
    const auto call = std::move(events_.on_failure);
    const Handle handle = handle_;
    if (!bytes_sent_ && failure != Failure::kNoSocket) failure = Failure::kNotSent;
    Close();
    pool_.busy_.erase(handle);
    if (call) call(failure);
  }

  void CloseIdleConnection() {
    const auto self = shared_from_this();
    Close();
    const auto it = pool_.idle_.find(address_);
    if (it != pool_.idle_.end()) it->second.remove(self);
  }

 public:
  void MarkBusy() { is_idle_ = false; }

 private:
  ServerConnectionPool& pool_;
  const std::shared_ptr<std::size_t> open_connections_ = pool_.open_connections_;
  Tcp::socket socket_;
  asio::steady_timer connect_timer_;
  const std::string address_;
  Handle handle_ = 0;
  Events events_;
  std::string id_, request_head_, request_body_, read_buffer_;
  std::optional<http::response_parser<merlinrun::net::IncrementalBody>> parser_;
  int stray_responses_ = 0;
  bool connected_ = false, closed_ = false, wait_pending_ = false, writing_ = false, reading_paused_ = false,
       is_idle_ = false;
  bool head_parsed_ = false, discarding_ = false, bytes_sent_ = false, is_head_request_ = false;
  Clock::time_point idle_since_;
  Clock::duration idle_timeout_ = kIdleTimeout;
};

ServerConnectionPool::ServerConnectionPool(asio::io_context& io) : io_(io), sweep_timer_(io) {}
ServerConnectionPool::~ServerConnectionPool() {
  try {
    for (auto& [handle, connection] : busy_) connection->Close();
    for (auto& [address, list] : idle_)
      for (auto& connection : list) connection->Close();
  } catch (const std::exception&) {  // cancelling a timer may throw; a destructor must not
  }
}

ServerConnectionPool::Handle ServerConnectionPool::Send(const std::string& address, Request request,
                                                        Events events) {
  const Handle handle = ++last_handle_;
  ConnectionPtr connection;
  if (const auto it = idle_.find(address); it != idle_.end()) {
    const auto now = Clock::now();
    while (!it->second.empty() && connection == nullptr) {
      connection = it->second.back();
      it->second.pop_back();
      if (!connection->open() || connection->IdleExpired(now)) connection->Close(), connection = nullptr;
    }
    if (it->second.empty()) idle_.erase(it);
  }
  if (connection == nullptr)
    connection = std::make_shared<Connection>(*this, address);
  else
    connection->MarkBusy();
  busy_[handle] = connection;
  connection->Start(handle, std::move(request), std::move(events));
  return handle;
}

void ServerConnectionPool::Cancel(Handle handle) {
  const auto it = busy_.find(handle);
  if (it == busy_.end()) return;
  const auto connection = it->second;
  busy_.erase(it);
  connection->Close();
}

void ServerConnectionPool::Pause(Handle handle) {
  if (const auto it = busy_.find(handle); it != busy_.end()) it->second->Pause();
}
void ServerConnectionPool::Resume(Handle handle) {
  if (const auto it = busy_.find(handle); it != busy_.end()) it->second->Resume();
}

void ServerConnectionPool::CloseIdle(const std::string& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return;
  for (const auto& connection : it->second) connection->Close();
  idle_.erase(it);
}

void ServerConnectionPool::ScheduleSweep() {
  if (std::exchange(sweep_scheduled_, true)) return;
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](ErrorCode stopped) {
    if (stopped) return;
    sweep_scheduled_ = false;
    const auto now = Clock::now();
    for (auto it = idle_.begin(); it != idle_.end();) {
      it->second.remove_if([&](const ConnectionPtr& c) {
        if (c->open() && !c->IdleExpired(now)) return false;
        c->Close();
        return true;
      });
      it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
    if (!idle_.empty()) ScheduleSweep();
  });
}

}  // namespace fennelhollow::ingress
