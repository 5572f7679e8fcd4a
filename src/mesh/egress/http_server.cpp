#include "mesh/egress/http_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <chrono>
#include <optional>

#include "mesh/transport/hop_by_hop.hpp"
#include "mesh/transport/read_buffer.hpp"
#include "net/validate.hpp"

namespace fennelhollow::egress {
namespace {

namespace beast = merlinrun::net::beast;
namespace http = merlinrun::net::http;
using Clock = std::chrono::steady_clock;

constexpr auto kSweep = std::chrono::milliseconds(250);
constexpr auto kAcceptPause = std::chrono::milliseconds(20);
// A body has to keep up with this, after a grace: guards against bodies that trickle.
constexpr double kBodyBytesPerS = 16 * 1024;
constexpr auto kBodyGrace = std::chrono::milliseconds(5000);
// A client that was turned away is read on for a moment, so that the answer is not lost to a reset.
constexpr auto kLinger = std::chrono::milliseconds(500);
constexpr std::size_t kMostFields = 100;

using merlinrun::net::ToStringView;

bool EndsHere(beast::string_view name) {
  return transport::IsHopByHop(name) || beast::iequals(name, "proxy-authorization") ||
         beast::iequals(name, "expect") || beast::iequals(name, "http2-settings");
}

const char* ReasonOf(unsigned status) {
  const auto text = http::obsolete_reason(static_cast<http::status>(status));
  return text.data() == nullptr ? "" : text.data();
}

}  // namespace

class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(HttpServer& owner, Tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), since_(Clock::now()) {}

  std::list<SessionPtr>::iterator place;
  std::uint64_t tag = 0;
  std::function<void()> drained;

  void Start() { Watch(); }

  bool idle() const { return state_ == State::kReading && in_.empty() && !begun_; }

  void Expire(Clock::time_point now) {
    if (state_ == State::kLingering && now - since_ > kLinger) return Close();
    if (state_ != State::kReading) return;
    if (idle()) {
      if (now - since_ > std::chrono::milliseconds(owner_.limits_.idle_timeout_ms)) Close();
      return;
    }
    if (!headed_) {
      if (now - since_ > std::chrono::milliseconds(owner_.limits_.header_timeout_ms))
        Reject(408, "the header took too long");
    } else {
      const double had = static_cast<double>(parser_->get().body().size());
      const auto due = kBodyGrace + std::chrono::milliseconds(static_cast<int>(1000 * had / kBodyBytesPerS));
      if (now - since_ > due) Reject(408, "the body took too long");
    }
  }

  void Respond(unsigned status, const Headers& headers, std::string_view body) {
    if (state_ != State::kBusy) return;
    WriteHead(status, headers, static_cast<std::int64_t>(body.size()));
    if (!head_request_) out_.append(body);
    Done();
  }

  void Begin(unsigned status, const Headers& headers, std::int64_t length) {
    if (state_ != State::kBusy) return;
    if (length < 0 && version_ < 11) keep_ = false;
    chunked_ = length < 0 && version_ >= 11;
    WriteHead(status, headers, length);
    Flush();
  }
  void Write(std::string_view bytes) {
    if (state_ != State::kBusy || bytes.empty() || head_request_) return;
    if (chunked_) {
      char size[24];
      out_.append(size, static_cast<std::size_t>(std::snprintf(size, sizeof size, "%zx\r\n", bytes.size())));
      out_.append(bytes);
      out_.append("\r\n");
    } else {
      out_.append(bytes);
    }
    Flush();
  }
  void Finish() {
    if (state_ != State::kBusy) return;
    if (chunked_ && !head_request_) out_.append("0\r\n\r\n");
    Done();
  }
  void Abort() {
    if (state_ == State::kClosed) return;
    // A reset where nothing else would show that the answer is cut (RFC 9112, 8).
    ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }
  std::size_t queued() const { return out_.size() - written_; }

  void Close() {
    if (state_ == State::kClosed) return;
    const auto self = shared_from_this();
    SetBusy(false);
    Release();
    state_ = State::kClosed;
    drained = nullptr;
    ErrorCode ignored;
    socket_.close(ignored);
    owner_.sessions_.erase(place);
  }

 private:
  enum class State { kReading, kBusy, kWriting, kLingering, kClosed };

  void SetBusy(bool busy) {
    if (busy == counted_) return;
    counted_ = busy;
    busy ? ++owner_.busy_ : --owner_.busy_;
  }
  void Release() {
    owner_.held_ -= charged_;
    charged_ = 0;
  }

  void Watch() {
    if (watching_ || state_ == State::kClosed) return;
    // While a request is answered a client's leaving is noticed; what it sends behind is left in the kernel.
    if (state_ != State::kReading && state_ != State::kLingering && !in_.empty()) return;
    watching_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      self->watching_ = false;
      if (self->state_ == State::kClosed) return;
      if (error) return self->Gone();
      self->OnReadable();
    });
  }

  void OnReadable() {
    ErrorCode error;
    const std::size_t n = socket_.read_some(asio::buffer(transport::ReadBuffer()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) return Watch();
    if (error || n == 0) return Gone();
    if (state_ == State::kLingering) return Watch();
    if (in_.empty() && state_ == State::kReading && !begun_)
      since_ = Clock::now(), begun_ = true, SetBusy(true);
    in_.append(transport::ReadBuffer().data(), n);
    if (state_ == State::kReading) Parse();
    Watch();
  }

  void Gone() {
    const auto self = shared_from_this();
    const bool owed = state_ == State::kBusy;
    Close();
    if (owed && owner_.handler_.on_disconnect) owner_.handler_.on_disconnect(self);
  }

  void Parse() {
    if (!parser_) {
      parser_.emplace();
      parser_->header_limit(static_cast<std::uint32_t>(owner_.limits_.max_header_bytes));
      parser_->body_limit(owner_.limits_.max_body_bytes);
      parser_->eager(true);
      headed_ = false;
    }
    while (!in_.empty() && !parser_->is_done()) {
      ErrorCode error;
      const std::size_t used = parser_->put(asio::buffer(in_), error);
      in_.erase(0, used);
      if (error && error != http::error::need_more) {
        if (error == http::error::body_limit) return Reject(413, "the body is too large");
        if (error == http::error::header_limit) return Reject(431, "the header is too large");
        return Reject(400, "malformed request");
      }
      if (!headed_ && parser_->is_header_done() && !TakeHead()) return;
      const std::size_t held = parser_->is_header_done() ? parser_->get().body().size() : 0;
      if (held > charged_) {
        if (owner_.held_ + (held - charged_) > owner_.limits_.max_buffered_bytes)
          return Reject(503, "no memory for the body");
        owner_.held_ += held - charged_;
        charged_ = held;
      }
      if (error == http::error::need_more && used == 0) break;
    }
    // Guards against a header whose lines trickle in without end before the parser sees one whole.
    if (!parser_->is_header_done() && in_.size() > owner_.limits_.max_header_bytes)
      return Reject(431, "the header is too large");
    if (parser_->is_done()) Dispatch();
  }

  bool TakeHead() {
    headed_ = true;
    auto& head = parser_->get();
    merlinrun::net::ConvertToOriginForm(head);
    version_ = head.version();
    if (static_cast<std::size_t>(std::distance(head.begin(), head.end())) > kMostFields)
      return Reject(431, "too many header fields"), false;
    const auto lengths = head.count(http::field::content_length),
               codings = head.count(http::field::transfer_encoding);
    // Guards against a second request hidden in the body of a first one (RFC 9112, 6.1 and 11.2).
    if (lengths + codings > 1 ||
        (codings == 1 && (version_ < 11 || !beast::iequals(head[http::field::transfer_encoding], "chunked"))))
      return Reject(400, "the body's length is in doubt"), false;
    if (head.count(http::field::host) != 1) return Reject(400, "a request has one Host"), false;
    for (const char c : head[http::field::host])
      if (static_cast<unsigned char>(c) <= ' ' || c == 0x7f) return Reject(400, "Host is no host"), false;
    if (head.target().empty() || head.target().front() != '/')
      return Reject(400, "the target is no path"), false;
    for (const auto& field : head)
      for (const char c : field.value())
        if (c == '\r' || c == '\n' || c == '\0') return Reject(400, "a header field spans lines"), false;
    if (head.count(http::field::expect) > 0 && !parser_->is_done()) {
      ErrorCode ignored;
      socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }
    return true;
  }

  void Dispatch() {
    auto& head = parser_->get();
    HttpRequest in;
    in.method = std::string(ToStringView(head.method_string()));
    in.target = std::string(ToStringView(head.target()));
    in.host = std::string(ToStringView(head[http::field::host]));
    // What Connection names concerns this connection alone (RFC 9110, 7.6.1).
    std::vector<std::string> named;
    for (const auto& token : http::token_list(head[http::field::connection]))
      named.emplace_back(ToStringView(token));
    for (const auto& field : head) {
      const std::string_view name = ToStringView(field.name_string());
      if (EndsHere(field.name_string())) continue;
      const bool dropped = std::any_of(named.begin(), named.end(), [&](const std::string& n) {
        return n.size() == name.size() && beast::iequals(n, beast::string_view(name.data(), name.size())) &&
               !beast::iequals(n, "host") && !beast::iequals(n, "attempt-id");
      });
      if (!dropped) in.headers.emplace_back(std::string(name), std::string(ToStringView(field.value())));
    }
    in.body = std::move(head.body());
    keep_ = parser_->keep_alive();
    head_request_ = in.method == "HEAD";
    chunked_ = false;
    parser_.reset();
    state_ = State::kBusy;
    SetBusy(true);
    const auto self = shared_from_this();
    owner_.handler_.on_request(self, std::move(in));
  }

  // Turned away for its form: nothing more is read of it.
  void Reject(unsigned status, std::string_view why) {
    state_ = State::kBusy;
    keep_ = false;
    head_request_ = false;
    Respond(status, {{"Content-Type", "application/json"}}, "{\"error\":\"" + std::string(why) + "\"}");
  }

  void WriteHead(unsigned status, const Headers& headers, std::int64_t length) {
    if (owner_.draining_) keep_ = false;
    out_ += "HTTP/1.1 ";
    out_ += std::to_string(status);
    out_ += ' ';
    out_ += ReasonOf(status);
    out_ += "\r\n";
    for (const auto& [name, value] : headers) {
      out_ += name;
      out_ += ": ";
      out_ += value;
      out_ += "\r\n";
    }
    if (length >= 0) {
      if (status != 204 && status != 304 && status >= 200)
        out_ += "Content-Length: " + std::to_string(length) + "\r\n";
    } else if (chunked_) {
      out_ += "Transfer-Encoding: chunked\r\n";
    }
    if (!keep_)
      out_ += "Connection: close\r\n";
    else if (version_ < 11)
      out_ += "Connection: keep-alive\r\n";
    out_ += "\r\n";
  }

  void Done() {
    state_ = State::kWriting;
    Flush();
  }

  void Flush() {
    if (writing_ || state_ == State::kClosed) return;
    while (written_ < out_.size()) {
      ErrorCode error;
      const std::size_t n =
          socket_.write_some(asio::buffer(out_.data() + written_, out_.size() - written_), error);
      if (error == asio::error::would_block || error == asio::error::try_again) {
        writing_ = true;
        socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](ErrorCode failed) {
          self->writing_ = false;
          if (self->state_ == State::kClosed) return;
          if (failed) return self->Gone();
          self->Flush();
        });
        return;
      }
      if (error) return Gone();
      written_ += n;
    }
    out_.clear();
    written_ = 0;
    if (out_.capacity() > transport::kReadBufferBytes) std::string().swap(out_);
    if (state_ == State::kWriting) return Next();
    if (drained) {
      const auto call = drained;
      call();
    }
  }

  void Next() {
    drained = nullptr;
    Release();
    SetBusy(false);
    begun_ = !in_.empty();
    since_ = Clock::now();
    if (!keep_) {
      ErrorCode error;
      socket_.shutdown(Tcp::socket::shutdown_send, error);
      if (error) return Close();
      state_ = State::kLingering;
      in_.clear();
      return Watch();
    }
    state_ = State::kReading;
    if (begun_) {
      SetBusy(true);
      // In a later turn: guards against a client that sends many requests at once and a stack that grows with
      // them.
      asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->state_ == State::kReading) self->Parse();
      });
    }
    Watch();
  }

  HttpServer& owner_;
  Tcp::socket socket_;
  State state_ = State::kReading;
  std::string in_, out_;
  std::size_t written_ = 0, charged_ = 0;
  std::optional<http::request_parser<merlinrun::net::IncrementalBody>> parser_;
  Clock::time_point since_;
  unsigned version_ = 11;
  bool begun_ = false, headed_ = false, keep_ = true, chunked_ = false, head_request_ = false;
  bool watching_ = false, writing_ = false, counted_ = false;
};

HttpServer::HttpServer(asio::io_context& io, const settings::Address& at, Limits limits, Handler handler)
    : io_(io), limits_(limits), handler_(std::move(handler)), acceptor_(io), pause_(io), sweep_(io) {
  const Tcp::endpoint endpoint(asio::ip::make_address(at.ip), at.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  Accept();
  SweepLater();
}

HttpServer::~HttpServer() {
  try {
    while (!sessions_.empty()) sessions_.front()->Close();
  } catch (const std::exception&) {  // none is to be told anything any more
  }
}

void HttpServer::Accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](ErrorCode error) {
    if (error || !acceptor_.is_open()) return;
    for (int i = 0; i < 64; ++i) {
      Tcp::socket socket(io_);
      acceptor_.accept(socket, error);
      if (error == asio::error::would_block || error == asio::error::try_again) break;
      if (error == asio::error::connection_aborted) continue;
      if (error) {
        pause_.expires_after(kAcceptPause);
        pause_.async_wait([this](ErrorCode stopped) {
          if (!stopped) Accept();
        });
        return;
      }
      Add(std::move(socket));
    }
    Accept();
  });
}

void HttpServer::Add(Tcp::socket socket) {
  ErrorCode error;
  socket.set_option(Tcp::no_delay(true), error);
  socket.non_blocking(true, error);
  if (error) return;
  if (sessions_.size() >= limits_.max_connections) {  // the one that has rested longest makes room
    const auto it =
        std::find_if(sessions_.begin(), sessions_.end(), [](const SessionPtr& s) { return s->idle(); });
    if (it == sessions_.end()) return;  // closes it: its client has sent nothing that was read
    const SessionPtr kept = *it;
    kept->Close();
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->place = sessions_.insert(sessions_.end(), session);
  session->Start();
}

void HttpServer::SweepLater() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](ErrorCode stopped) {
    if (stopped) return;
    const auto now = Clock::now();
    for (auto it = sessions_.begin(); it != sessions_.end();) {
      const SessionPtr session = *it++;
      session->Expire(now);
    }
    SweepLater();
  });
}

void HttpServer::SetDraining() { draining_ = true; }

void HttpServer::StopAccepting() {
  ErrorCode error;
  while (acceptor_.is_open() && !error) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) Add(std::move(socket));
  }
  acceptor_.close(error);
}

void HttpServer::Respond(const SessionPtr& s, unsigned status, const Headers& headers,
                         std::string_view body) {
  s->Respond(status, headers, body);
}
void HttpServer::Begin(const SessionPtr& s, unsigned status, const Headers& headers, std::int64_t length) {
  s->Begin(status, headers, length);
}
void HttpServer::Write(const SessionPtr& s, std::string_view bytes) { s->Write(bytes); }
void HttpServer::Finish(const SessionPtr& s) { s->Finish(); }
void HttpServer::Abort(const SessionPtr& s) { s->Abort(); }
std::size_t HttpServer::Queued(const SessionPtr& s) { return s->queued(); }
void HttpServer::OnDrained(const SessionPtr& s, std::function<void()> drained) {
  s->drained = std::move(drained);
}
std::uint64_t& HttpServer::Tag(const SessionPtr& s) { return s->tag; }

}  // namespace fennelhollow::egress
