#include "mesh/ingress/server_connection_pool.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <utility>

#include "mesh/transport/hop_by_hop.hpp"
#include "mesh/transport/read_buffer.hpp"
#include "net/address.hpp"

namespace fennelhollow::ingress {
namespace {

using Clock = std::chrono::steady_clock;
namespace beast = merlinrun::net::beast;
namespace http = merlinrun::net::http;

constexpr std::size_t kMostHead = std::size_t{32} * 1024;
// A connection that rests is closed by us before the server does it: guards against a request that meets the
// close.
constexpr auto kRest = std::chrono::milliseconds(8000);
constexpr auto kRestMargin = std::chrono::milliseconds(1500);
constexpr auto kSweep = std::chrono::milliseconds(500);
constexpr auto kDial = std::chrono::milliseconds(1000);
constexpr std::size_t kMostIdle = 64;  // to an address
// Answers of others that are read over on one connection before it is given up.
constexpr int kMostStrays = 4;

bool EndsHere(beast::string_view name) {
  return transport::IsHopByHop(name) || beast::iequals(name, "proxy-authenticate");
}

}  // namespace

class ServerPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ServerPool& pool, std::string address)
      : pool_(pool), socket_(pool.io_), dial_(pool.io_), address_(std::move(address)) {
    ++*open_;
  }
  ~Connection() { --*open_; }

  const std::string& address() const { return address_; }

  void Begin(Handle handle, Request request, Events events) {
    handle_ = handle;
    events_ = std::move(events);
    id_ = std::move(request.id);
    out_ = Written(request);
    body_ = std::move(request.body);
    is_head_ = request.method == "HEAD";
    parser_.reset();
    stray_responses_ = 0;
    sent_any_ = false;
    paused_ = false;
    if (up_)
      asio::post(socket_.get_executor(), [self = shared_from_this(), handle] {
        if (self->handle_ == handle) self->Write();
      });
    else
      Dial();
  }

  void Rest() {
    rests_ = true;
    since_ = Clock::now();
    Watch();
  }
  bool Rested(Clock::time_point now) const { return now - since_ >= rest_; }
  bool open() const { return !closed_; }

  void Close() {
    closed_ = true;
    handle_ = 0;
    events_ = {};
    dial_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  void Pause() { paused_ = true; }
  void Resume() {
    if (std::exchange(paused_, false) && !closed_) Watch();
  }

 private:
  static std::string Written(const Request& r) {
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

  void Dial() {
    const auto to = merlinrun::net::ParseAddress(address_);
    ErrorCode error;
    if (to) socket_.open(Tcp::v4(), error);
    ++pool_.connections_opened_;
    if (!to || error) {
      asio::post(pool_.io_, [self = shared_from_this(), handle = handle_] {
        if (self->handle_ == handle) self->Fail(Failure::kNotSent);
      });
      return;
    }
    dial_.expires_after(kDial);
    dial_.async_wait([weak = weak_from_this()](ErrorCode stopped) {
      const auto self = weak.lock();
      if (!stopped && self != nullptr && !self->up_ && !self->closed_) self->Fail(Failure::kNotSent);
    });
    socket_.async_connect(*to, [self = shared_from_this()](ErrorCode failed) {
      if (self->closed_) return;
      self->dial_.cancel();
      if (failed) return self->Fail(Failure::kNotSent);
      ErrorCode ignored;
      self->socket_.set_option(Tcp::no_delay(true), ignored);
      self->socket_.non_blocking(true, ignored);
      self->up_ = true;
      self->Write();
    });
  }

  void Write() {
    if (closed_) return;
    // What rests in the buffer now is nobody's; more of it may be on its way, and is told by its id.
    const std::array<asio::const_buffer, 2> both{asio::buffer(out_), asio::buffer(body_)};
    ErrorCode error;
    std::size_t n = socket_.write_some(both, error);
    if (error == asio::error::would_block || error == asio::error::try_again) error = {}, n = 0;
    if (error) return Fail(Failure::kNotSent);
    sent_any_ = true;  // or may have: the kernel has it
    if (n == out_.size() + body_.size()) return AfterWrite();
    rest_out_ = out_.substr(std::min(n, out_.size()));
    rest_out_ += body_.substr(n > out_.size() ? n - out_.size() : 0);
    writing_ = true;
    asio::async_write(socket_, asio::buffer(rest_out_),
                      [self = shared_from_this(), handle = handle_](ErrorCode failed, std::size_t) {
                        self->writing_ = false;
                        if (self->closed_ || self->handle_ != handle) return;
                        if (failed) return self->Fail(Failure::kBroken);
                      });
    AfterWrite();
  }

  void AfterWrite() {
    std::string().swap(body_);
    Watch();
  }

  void Watch() {
    if (watching_ || closed_ || paused_) return;
    watching_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      self->watching_ = false;
      if (self->closed_) return;
      if (error) return self->Gone();
      self->OnReadable();
    });
  }

  // The server has closed or reset it.
  void Gone() {
    if (rests_) return Drop();
    Fail(Failure::kBroken);
  }

  void OnReadable() {
    for (int turn = 0; turn < 4; ++turn) {
      ErrorCode error;
      const std::size_t n = socket_.read_some(asio::buffer(transport::ReadBuffer()), error);
      if (error == asio::error::would_block || error == asio::error::try_again) break;
      if (error || n == 0) return Gone();
      if (rests_) {  // a second answer that comes late: the connection has no use any more
        ++pool_.stray_responses_;
        return Drop();
      }
      in_.append(transport::ReadBuffer().data(), n);
      const Handle before = handle_;
      Parse();
      if (closed_ || handle_ != before || paused_) return;
      if (n < transport::kReadBufferBytes) break;
    }
    Watch();
  }

  void Parse() {
    while (!in_.empty() || (parser_ && parser_->is_done())) {
      if (!parser_) {
        parser_.emplace();
        parser_->header_limit(kMostHead);
        parser_->body_limit(boost::none);
        parser_->eager(true);
        if (is_head_) parser_->skip(true);
        stray_ = false;
        headed_ = false;
      }
      if (!parser_->is_done()) {
        ErrorCode error;
        const std::size_t used = parser_->put(asio::buffer(in_), error);
        in_.erase(0, used);
        if (error && error != http::error::need_more) return Fail(Failure::kGarbled);
        if (!headed_ && parser_->is_header_done() && !OnHead()) return;
        if (headed_ && !stray_) {
          std::string bytes = std::exchange(parser_->get().body(), {});
          const Handle before = handle_;
          if (!bytes.empty() && events_.piece) {
            const auto call = events_.piece;
            call(std::move(bytes));
          }
          if (closed_ || handle_ != before) return;
        } else if (headed_) {
          parser_->get().body().clear();
        }
        if (error == http::error::need_more || (used == 0 && !parser_->is_done())) return;
        if (!parser_->is_done()) continue;
      }
      const unsigned status = parser_->get().result_int();
      const bool keep = parser_->keep_alive();
      if (stray_ || status < 200) {
        parser_.reset();
        if (!keep && status >= 200) return Fail(Failure::kBroken);
        continue;
      }
      return Finish(keep);
    }
  }

  // False if it ended the exchange.
  bool OnHead() {
    headed_ = true;
    const auto& head = parser_->get();
    const unsigned status = head.result_int();
    if (status < 200) {
      if (status == 101) return Fail(Failure::kGarbled), false;
      return stray_ = true;
    }
    // An answer to another request, that comes late; an answer without an id is one only where nothing ran.
    const auto told = head["Attempt-Id"];
    const bool mine = told == beast::string_view(id_) || (told.empty() && status >= 300);
    if (!mine || head.count("Attempt-Id") > 1) {
      ++pool_.stray_responses_;
      if (++stray_responses_ > kMostStrays) return Fail(Failure::kGarbled), false;
      return stray_ = true;
    }
    const bool no_body = is_head_ || status == 204 || status == 304;
    if (head.count(http::field::content_length) + head.count(http::field::transfer_encoding) > 1)
      return Fail(Failure::kGarbled), false;
    // Guards against a body cut short that looks whole: its end has to be told.
    if (!no_body && !parser_->chunked() && !parser_->content_length()) return Fail(Failure::kGarbled), false;
    if (status < 300 && (head["Server-Seal"].empty() || head.count(http::field::content_encoding) > 0))
      return Fail(Failure::kGarbled), false;
    rest_ = kRest;
    if (const auto alive = head[http::field::keep_alive]; !alive.empty()) {
      const auto at = alive.find("timeout=");
      if (at != beast::string_view::npos) {
        const int seconds = std::atoi(std::string(alive.substr(at + 8)).c_str());
        rest_ = std::clamp(std::chrono::milliseconds(1000 * seconds) - kRestMargin,
                           std::chrono::milliseconds(0), std::chrono::milliseconds(60'000));
      }
    }
    Headers headers;
    for (const auto& field : head)
      if (!EndsHere(field.name_string()))
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    std::int64_t length = -1;
    if (const auto l = parser_->content_length()) length = static_cast<std::int64_t>(*l);
    if (no_body) length = 0;
    const Handle before = handle_;
    if (events_.head) {
      const auto call = events_.head;
      call(static_cast<std::uint16_t>(status), std::move(headers), length);
    }
    return !closed_ && handle_ == before;
  }

  void Finish(bool keep) {
    const auto self = shared_from_this();
    parser_.reset();
    const auto call = std::move(events_.end);
    const Handle handle = std::exchange(handle_, 0);
    events_ = {};
    pool_.busy_.erase(handle);
    // More than the answer came with it: what follows is nobody's.
    if (!in_.empty()) ++pool_.stray_responses_;
    // An answer that comes before the request is written: what is due on this connection is the rest of it.
    if (!keep || writing_ || !in_.empty() || rest_ <= std::chrono::milliseconds(0)) {
      Close();
    } else {
      auto& idle = pool_.idle_[address_];
      idle.push_back(self);
      if (idle.size() > kMostIdle) {
        idle.front()->Close();
        idle.pop_front();
      }
      Rest();
      pool_.SweepLater();
    }
    if (call) call();
  }

  void Fail(Failure why) {
    const auto self = shared_from_this();
    const auto call = std::move(events_.failed);
    const Handle handle = handle_;
    if (!sent_any_) why = Failure::kNotSent;
    Close();
    pool_.busy_.erase(handle);
    if (call) call(why);
  }

  void Drop() {
    const auto self = shared_from_this();
    Close();
    const auto it = pool_.idle_.find(address_);
    if (it != pool_.idle_.end()) it->second.remove(self);
  }

 public:
  void Wake() { rests_ = false; }

 private:
  ServerPool& pool_;
  const std::shared_ptr<std::size_t> open_ = pool_.open_;
  Tcp::socket socket_;
  asio::steady_timer dial_;
  const std::string address_;
  Handle handle_ = 0;
  Events events_;
  std::string id_, out_, body_, rest_out_, in_;
  std::optional<http::response_parser<merlinrun::net::IncrementalBody>> parser_;
  int stray_responses_ = 0;
  bool up_ = false, closed_ = false, watching_ = false, writing_ = false, paused_ = false, rests_ = false;
  bool headed_ = false, stray_ = false, sent_any_ = false, is_head_ = false;
  Clock::time_point since_;
  Clock::duration rest_ = kRest;
};

ServerPool::ServerPool(asio::io_context& io) : io_(io), sweep_(io) {}
ServerPool::~ServerPool() {
  try {
    for (auto& [handle, connection] : busy_) connection->Close();
    for (auto& [address, list] : idle_)
      for (auto& connection : list) connection->Close();
  } catch (const std::exception&) {  // a timer that can't be cancelled calls nothing back
  }
}

ServerPool::Handle ServerPool::Send(const std::string& address, Request request, Events events) {
  const Handle handle = ++last_;
  ConnectionPtr connection;
  if (const auto it = idle_.find(address); it != idle_.end()) {
    const auto now = Clock::now();
    while (!it->second.empty() && connection == nullptr) {
      connection = it->second.back();
      it->second.pop_back();
      if (!connection->open() || connection->Rested(now)) connection->Close(), connection = nullptr;
    }
    if (it->second.empty()) idle_.erase(it);
  }
  if (connection == nullptr)
    connection = std::make_shared<Connection>(*this, address);
  else
    connection->Wake();
  busy_[handle] = connection;
  connection->Begin(handle, std::move(request), std::move(events));
  return handle;
}

void ServerPool::Cancel(Handle handle) {
  const auto it = busy_.find(handle);
  if (it == busy_.end()) return;
  const auto connection = it->second;
  busy_.erase(it);
  connection->Close();
}

void ServerPool::Pause(Handle handle) {
  if (const auto it = busy_.find(handle); it != busy_.end()) it->second->Pause();
}
void ServerPool::Resume(Handle handle) {
  if (const auto it = busy_.find(handle); it != busy_.end()) it->second->Resume();
}

void ServerPool::Drop(const std::string& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return;
  for (const auto& connection : it->second) connection->Close();
  idle_.erase(it);
}

void ServerPool::SweepLater() {
  if (std::exchange(sweeping_, true)) return;
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](ErrorCode stopped) {
    if (stopped) return;
    sweeping_ = false;
    const auto now = Clock::now();
    for (auto it = idle_.begin(); it != idle_.end();) {
      it->second.remove_if([&](const ConnectionPtr& c) {
        if (c->open() && !c->Rested(now)) return false;
        c->Close();
        return true;
      });
      it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
    if (!idle_.empty()) SweepLater();
  });
}

}  // namespace fennelhollow::ingress
