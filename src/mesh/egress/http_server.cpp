#include "mesh/egress/http_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include "mesh/memory/receive_buffer.hpp"
#include "mesh/transport/hop_by_hop.hpp"
#include "mesh/transport/read_buffer.hpp"
#include "net/listen.hpp"
#include "net/validate.hpp"

namespace fennelhollow::egress {
namespace {

namespace beast = merlinrun::net::beast;
namespace http = merlinrun::net::http;
using Clock = std::chrono::steady_clock;

constexpr auto kSweepInterval = std::chrono::milliseconds(250);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr std::size_t kAcceptsPerTurn = 64;
// Slower uploads, and responses that are read more slowly, are ended after a grace period.
using memory::kMinRequestBytesPerS;
using memory::kMinResponseBytesPerS;
constexpr auto kBodyGrace = std::chrono::milliseconds(5000);
// Input is drained for this long before a connection is closed, so that a TCP reset does not discard the
// response.
constexpr auto kLingerTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kMaxHeaderFields = 100;
// Of the head of a request in progress: the proxy's, its attempt's, and what waits in the link.
constexpr std::size_t kHeadCopies = 3;
// Of a streamed response on its way: what waits unread in its link while the client does not read, and what
// the link's own buffers hold.
constexpr std::size_t kStreamOverhead =
    memory::MaxUnreadBytes(memory::kDialedLinkReceiveBytes) + std::size_t{256} * 1024;
// Written bytes are dropped from a buffer once there are so many of them.
constexpr std::size_t kCompactAfter = transport::kReadBufferBytes;
// Capacity that an empty read buffer keeps.
constexpr std::size_t kKeptBufferBytes = 512;

using merlinrun::net::ToStringView;

bool IsNotForwarded(beast::string_view name) {
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
      : owner_(owner), socket_(std::move(socket)), phase_start_(Clock::now()) {}

  std::list<SessionPtr>::iterator position;
  std::uint64_t tag = 0;
  std::function<void()> drained;
  memory::BufferCharge charge;

  // `read_at_once`: a request that has arrived already is handled before this returns, and gives way to
  // nobody.
  void Start(bool read_at_once) {
    if (read_at_once) return OnReadable();
    WaitReadable();
  }
  bool open() const { return state_ != State::kClosed; }

  // Resets the connection in favor of others.
  void Evict() {
    ++owner_.counters_.evicted;
    ResetConnection();
  }

  memory::PeerActivity Activity(Clock::time_point now) const {
    using Kind = memory::PeerActivity::Kind;
    if (idle()) {
      const auto since = std::chrono::duration_cast<memory::Duration>(now - phase_start_);
      return {Kind::kIdle, since, since, was_served_};
    }
    if (state_ == State::kReading) return {Kind::kSendsRequest, wait_.Waited(now), wait_.Overdue(now)};
    if (state_ == State::kLingering || blocked_)
      return {Kind::kReadsResponse, wait_.Waited(now), wait_.Overdue(now)};
    return {};
  }

  void ChargeHeldResponse(std::size_t bytes) {
    if (state_ != State::kBusy) return;
    held_response_bytes_ = bytes;
    UpdateChargeOrReset();
  }

  // A request may have arrived on an idle connection.
  bool HasUnreadInput() const {
    ErrorCode ignored;
    return socket_.available(ignored) > 0;
  }
  bool idle() const { return state_ == State::kReading && read_buffer_.empty() && !request_started_; }

  void CheckTimeouts(Clock::time_point now) {
    if (state_ == State::kClosed) return;
    if (state_ == State::kLingering && now - phase_start_ > kLingerTimeout) return Close();
    if (blocked_ && ReadsTooSlowly(now)) {
      ++owner_.counters_.too_slow;
      return ResetConnection();
    }
    if (state_ != State::kReading) return;
    if (idle()) {
      if (now - phase_start_ > std::chrono::milliseconds(owner_.limits_.idle_timeout_ms) && !HasUnreadInput())
        Close();
      return;
    }
    if (!head_parsed_) {
      if (now - phase_start_ > std::chrono::milliseconds(owner_.limits_.header_timeout_ms))
        Reject(408, "the header took too long");
    } else {
      const double received = static_cast<double>(parser_->get().body().size());
      const auto max_duration =
          kBodyGrace + std::chrono::milliseconds(static_cast<int>(1000 * received / kMinRequestBytesPerS));
      if (now - phase_start_ > max_duration) Reject(408, "the body took too long");
    }
  }

  void Respond(unsigned status, const Headers& headers, std::string_view body) {
    if (state_ != State::kBusy) return;
    WriteHead(status, headers, static_cast<std::int64_t>(body.size()));
    if (!head_request_) write_buffer_.append(body);
    FinishResponse();
  }

  void Begin(unsigned status, const Headers& headers, std::int64_t body_length) {
    if (state_ != State::kBusy) return;
    streaming_ = true;
    if (body_length < 0 && version_ < 11) keep_alive_ = false;
    chunked_ = body_length < 0 && version_ >= 11;
    WriteHead(status, headers, body_length);
    Flush();
  }
  void Write(std::string_view bytes) {
    if (state_ != State::kBusy || bytes.empty() || head_request_) return;
    if (chunked_) {
      char size[24];
      write_buffer_.append(
          size, static_cast<std::size_t>(std::snprintf(size, sizeof size, "%zx\r\n", bytes.size())));
      write_buffer_.append(bytes);
      write_buffer_.append("\r\n");
    } else {
      write_buffer_.append(bytes);
    }
    Flush();
  }
  void Finish() {
    if (state_ != State::kBusy) return;
    if (chunked_ && !head_request_) write_buffer_.append("0\r\n\r\n");
    FinishResponse();
  }
  void Abort() {
    if (state_ == State::kClosed) return;
    // A TCP reset lets the client detect a truncated response that is delimited by the end of the connection
    // (RFC 9112, section 8).
    ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }
  std::size_t queued_bytes() const { return write_buffer_.size() - written_bytes_; }

  void HandleArrived() {
    if (state_ == State::kReading || state_ == State::kLingering) OnReadable();
  }

  void Close() {
    if (state_ == State::kClosed) return;
    const auto self = shared_from_this();
    SetBusy(false);
    state_ = State::kClosed;
    drained = nullptr;
    // A request in progress keeps the session, but not its buffers.
    parser_.reset();
    std::string().swap(read_buffer_);
    std::string().swap(write_buffer_);
    written_bytes_ = 0;
    charge.Release();
    ErrorCode ignored;
    socket_.close(ignored);
    owner_.sessions_.erase(position);
  }

 private:
  enum class State { kReading, kBusy, kWriting, kLingering, kClosed };

  void SetBusy(bool busy) {
    if (busy == counted_busy_) return;
    counted_busy_ = busy;
    busy ? ++owner_.busy_ : --owner_.busy_;
  }

  // What the buffers of this connection take, and the copies that the proxy keeps of its request.
  std::size_t BufferedBytes() const {
    std::size_t bytes = read_buffer_.capacity() + head_bytes_ + request_bytes_ +
                        std::max(write_buffer_.capacity(), held_response_bytes_);
    if (parser_ && parser_->is_header_done()) bytes += parser_->get().body().size();
    return streaming_ ? bytes + kStreamOverhead : bytes;
  }
  bool UpdateCharge() { return owner_.account_.ChargeOrReclaim(charge, BufferedBytes()); }
  // False if the connection was reset for lack of memory.
  bool UpdateChargeOrReset() {
    if (UpdateCharge()) return true;
    Evict();
    return false;
  }

  // As if the client had closed the connection.
  void ResetConnection() {
    ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    OnPeerClosed();
  }

  // By the time and the bytes since the response began to wait for the client.
  bool ReadsTooSlowly(Clock::time_point now) const {
    return wait_.Overdue(now) > std::chrono::milliseconds(owner_.limits_.response_grace_ms);
  }

  void WaitReadable() {
    if (wait_pending_ || state_ == State::kClosed || parse_posted_) return;
    // While a response is pending, reading serves only to detect that the client disconnects. Once pipelined
    // input has been read, the rest stays in the socket buffer.
    if (state_ != State::kReading && state_ != State::kLingering && !read_buffer_.empty()) return;
    wait_pending_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      self->wait_pending_ = false;
      if (self->state_ == State::kClosed) return;
      if (error) return self->OnPeerClosed();
      self->OnReadable();
    });
  }

  void OnReadable() {
    ErrorCode error;
    const std::size_t byte_count = socket_.read_some(asio::buffer(transport::ReadBuffer()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) return WaitReadable();
    if (error || byte_count == 0) return OnPeerClosed();
    if (state_ == State::kLingering) return WaitReadable();
    const auto now = Clock::now();
    if (read_buffer_.empty() && state_ == State::kReading && !request_started_) {
      phase_start_ = now;
      request_started_ = true;
      SetBusy(true);
      wait_.Begin(now, 0);
    }
    if (state_ == State::kReading) wait_.OnBytes(now, byte_count);
    read_buffer_.append(transport::ReadBuffer().data(), byte_count);
    if (state_ == State::kReading) Parse();
    ShrinkReadBuffer();
    if (state_ != State::kClosed && UpdateChargeOrReset()) WaitReadable();
  }

  void ShrinkReadBuffer() {
    if (read_buffer_.empty() && read_buffer_.capacity() > kKeptBufferBytes) std::string().swap(read_buffer_);
  }

  void OnPeerClosed() {
    const auto self = shared_from_this();
    const bool response_pending = state_ == State::kBusy;
    Close();
    if (response_pending && owner_.handler_.on_disconnect) owner_.handler_.on_disconnect(self);
  }

  void Parse() {
    if (!parser_) {
      parser_.emplace();
      parser_->header_limit(static_cast<std::uint32_t>(owner_.limits_.max_header_bytes));
      parser_->body_limit(owner_.limits_.max_body_bytes);
      parser_->eager(true);
      head_parsed_ = false;
    }
    while (!read_buffer_.empty() && !parser_->is_done()) {
      ErrorCode error;
      const std::size_t consumed = parser_->put(asio::buffer(read_buffer_), error);
      read_buffer_.erase(0, consumed);
      if (error && error != http::error::need_more) {
        if (error == http::error::body_limit) return Reject(413, "the body is too large");
        if (error == http::error::header_limit) return Reject(431, "the header is too large");
        return Reject(400, "malformed request");
      }
      if (!head_parsed_ && parser_->is_header_done() && !ValidateHead()) return;
      if (parser_->is_header_done() && !parser_->get().body().empty() && !UpdateCharge()) {
        ++owner_.counters_.refused_bodies;
        return Reject(503, "no memory for the body");
      }
      if (error == http::error::need_more && consumed == 0) break;
    }
    // The parser takes the header, a chunk's head and the trailer only as a whole; without this check a
    // client could send bytes without end that belong to one of them, and fill the memory.
    if (!parser_->is_done() && read_buffer_.size() > owner_.limits_.max_header_bytes) {
      const bool header_done = parser_->is_header_done();
      return Reject(431,
                    header_done ? "a chunk's head or the trailer is too large" : "the header is too large");
    }
    if (parser_->is_done()) HandleRequest();
  }

  bool ValidateHead() {
    head_parsed_ = true;
    wait_.Begin(Clock::now(), kMinRequestBytesPerS);
    auto& head = parser_->get();
    merlinrun::net::ConvertToOriginForm(head);
    version_ = head.version();
    if (static_cast<std::size_t>(std::distance(head.begin(), head.end())) > kMaxHeaderFields)
      return Reject(431, "too many header fields"), false;
    const auto length_fields = head.count(http::field::content_length),
               coding_fields = head.count(http::field::transfer_encoding);
    // Prevents request smuggling (RFC 9112, sections 6.1 and 11.2).
    if (length_fields + coding_fields > 1 ||
        (coding_fields == 1 &&
         (version_ < 11 || !beast::iequals(head[http::field::transfer_encoding], "chunked"))))
      return Reject(400, "the body's length is in doubt"), false;
    if (head.count(http::field::host) != 1) return Reject(400, "a request has one Host"), false;
    for (const char c : head[http::field::host])
      if (static_cast<unsigned char>(c) <= ' ' || c == 0x7f) return Reject(400, "Host is no host"), false;
    if (head.target().empty() || head.target().front() != '/')
      return Reject(400, "the target is no path"), false;
    head_bytes_ = memory::kFieldOverheadBytes + head.target().size();
    for (const auto& field : head)
      head_bytes_ += field.name_string().size() + field.value().size() + memory::kFieldOverheadBytes;
    for (const auto& field : head)
      for (const char c : field.value())
        if (c == '\r' || c == '\n' || c == '\0') return Reject(400, "a header field spans lines"), false;
    if (head.count(http::field::expect) > 0 && !parser_->is_done()) {
      ErrorCode ignored;
      socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }
    return true;
  }

  void HandleRequest() {
    auto& head = parser_->get();
    HttpRequest request;
    request.method = std::string(ToStringView(head.method_string()));
    request.target = std::string(ToStringView(head.target()));
    request.host = std::string(ToStringView(head[http::field::host]));
    // Headers listed in Connection are hop-by-hop (RFC 9110, section 7.6.1).
    std::vector<std::string> connection_options;
    for (const auto& token : http::token_list(head[http::field::connection]))
      connection_options.emplace_back(ToStringView(token));
    for (const auto& field : head) {
      const std::string_view name = ToStringView(field.name_string());
      if (IsNotForwarded(field.name_string())) continue;
      const bool is_connection_option =
          std::any_of(connection_options.begin(), connection_options.end(), [&](const std::string& option) {
            return option.size() == name.size() &&
                   beast::iequals(option, beast::string_view(name.data(), name.size())) &&
                   !beast::iequals(option, "host") && !beast::iequals(option, "attempt-id");
          });
      if (!is_connection_option)
        request.headers.emplace_back(std::string(name), std::string(ToStringView(field.value())));
    }
    request.body = std::move(head.body());
    request_bytes_ = request.body.size() + kHeadCopies * head_bytes_;
    keep_alive_ = parser_->keep_alive();
    head_request_ = request.method == "HEAD";
    chunked_ = false;
    parser_.reset();
    head_bytes_ = 0;
    if (!UpdateCharge()) {
      ++owner_.counters_.refused_bodies;
      return Reject(503, "no memory for the request");
    }
    state_ = State::kBusy;
    SetBusy(true);
    const auto self = shared_from_this();
    owner_.handler_.on_request(self, std::move(request));
  }

  // Responds with an error and closes the connection after it.
  void Reject(unsigned status, std::string_view reason) {
    state_ = State::kBusy;
    keep_alive_ = false;
    head_request_ = false;
    head_bytes_ = request_bytes_ = 0;
    parser_.reset();
    std::string().swap(read_buffer_);
    Respond(status, {{"Content-Type", "application/json"}}, "{\"error\":\"" + std::string(reason) + "\"}");
  }

  void WriteHead(unsigned status, const Headers& headers, std::int64_t body_length) {
    held_response_bytes_ = 0;
    if (owner_.draining_) keep_alive_ = false;
    write_buffer_ += "HTTP/1.1 ";
    write_buffer_ += std::to_string(status);
    write_buffer_ += ' ';
    write_buffer_ += ReasonOf(status);
    write_buffer_ += "\r\n";
    for (const auto& [name, value] : headers) {
      write_buffer_ += name;
      write_buffer_ += ": ";
      write_buffer_ += value;
      write_buffer_ += "\r\n";
    }
    if (body_length >= 0) {
      if (status != 204 && status != 304 && status >= 200)
        write_buffer_ += "Content-Length: " + std::to_string(body_length) + "\r\n";
    } else if (chunked_) {
      write_buffer_ += "Transfer-Encoding: chunked\r\n";
    }
    if (!keep_alive_)
      write_buffer_ += "Connection: close\r\n";
    else if (version_ < 11)
      write_buffer_ += "Connection: keep-alive\r\n";
    write_buffer_ += "\r\n";
  }

  void FinishResponse() {
    state_ = State::kWriting;
    Flush();
  }

  void Flush() {
    if (writing_ || state_ == State::kClosed) return;
    while (written_bytes_ < write_buffer_.size()) {
      ErrorCode error;
      const std::size_t byte_count = socket_.write_some(
          asio::buffer(write_buffer_.data() + written_bytes_, write_buffer_.size() - written_bytes_), error);
      if (error == asio::error::would_block || error == asio::error::try_again) {
        writing_ = true;
        socket_.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](ErrorCode failed) {
          self->writing_ = false;
          if (self->state_ == State::kClosed) return;
          if (failed) return self->OnPeerClosed();
          self->Flush();
        });
        if (!std::exchange(blocked_, true)) wait_.Begin(Clock::now(), kMinResponseBytesPerS);
        DropWritten();
        UpdateChargeOrReset();
        return;
      }
      if (error) return OnPeerClosed();
      written_bytes_ += byte_count;
      if (blocked_) wait_.OnBytes(Clock::now(), byte_count);
    }
    blocked_ = false;
    write_buffer_.clear();
    written_bytes_ = 0;
    if (write_buffer_.capacity() > transport::kReadBufferBytes) std::string().swap(write_buffer_);
    if (state_ == State::kWriting) return ReadNextRequest();
    UpdateCharge();
    if (drained) {
      const auto call = drained;
      call();
    }
  }

  void DropWritten() {
    if (written_bytes_ < kCompactAfter) return;
    write_buffer_.erase(0, std::exchange(written_bytes_, 0));
    if (write_buffer_.capacity() > 2 * (write_buffer_.size() + kCompactAfter)) write_buffer_.shrink_to_fit();
  }

  void ReadNextRequest() {
    drained = nullptr;
    was_served_ = true;
    request_bytes_ = 0;
    streaming_ = false;
    ShrinkReadBuffer();
    UpdateCharge();
    SetBusy(false);
    request_started_ = !read_buffer_.empty();
    head_parsed_ = false;
    phase_start_ = Clock::now();
    if (!keep_alive_) {
      ErrorCode error;
      socket_.shutdown(Tcp::socket::shutdown_send, error);
      if (error) return Close();
      state_ = State::kLingering;
      wait_.Begin(phase_start_, 0);
      read_buffer_.clear();
      return WaitReadable();
    }
    state_ = State::kReading;
    if (!request_started_) return WaitReadable();
    SetBusy(true);
    wait_.Begin(phase_start_, 0);
    ParseLater();
  }

  // Posted, because handling many pipelined requests recursively could overflow the stack. Nothing more is
  // read before, so that a client that goes on sending requests does not fill the buffer.
  void ParseLater() {
    parse_posted_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->parse_posted_ = false;
      if (self->state_ == State::kReading) self->Parse();
      self->WaitReadable();
    });
  }

  HttpServer& owner_;
  Tcp::socket socket_;
  State state_ = State::kReading;
  std::string read_buffer_, write_buffer_;
  std::size_t written_bytes_ = 0;  // of write_buffer_
  std::size_t head_bytes_ = 0;     // of a head whose body has not arrived
  std::size_t request_bytes_ = 0;  // of the request in progress, which the proxy holds
  std::size_t held_response_bytes_ = 0;
  std::optional<http::request_parser<merlinrun::net::IncrementalBody>> parser_;
  Clock::time_point phase_start_;
  memory::PeerWait wait_;  // for the rest of the request, or for the client to read the response
  unsigned version_ = 11;
  bool request_started_ = false, head_parsed_ = false, keep_alive_ = true, chunked_ = false,
       head_request_ = false;
  bool wait_pending_ = false, writing_ = false, counted_busy_ = false;
  bool streaming_ = false;
  bool was_served_ = false;
  bool blocked_ = false;       // response bytes wait for the client
  bool parse_posted_ = false;  // what is left in read_buffer_ is parsed in a later turn
};

HttpServer::HttpServer(asio::io_context& io, const settings::Address& address, Limits limits,
                       memory::BufferAccount& account, Handler handler)
    : io_(io),
      limits_(limits),
      handler_(std::move(handler)),
      acceptor_(merlinrun::net::Listen(io, Tcp::endpoint(asio::ip::make_address(address.ip), address.port),
                                       memory::kLocalReceiveBytes)),
      accept_retry_timer_(io),
      sweep_timer_(io),
      account_(account) {
  acceptor_.non_blocking(true);
  account_.AddHolder(*this);
  Accept();
  ScheduleSweep();
}

HttpServer::~HttpServer() {
  try {
    while (!sessions_.empty()) sessions_.front()->Close();
  } catch (const std::exception&) {  // a destructor must not throw
  }
  account_.RemoveHolder(*this);
}

void HttpServer::Accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](ErrorCode error) {
    if (error || !acceptor_.is_open()) return;
    try {
      AcceptSome();
    } catch (const std::exception&) {
      Accept();
      throw;
    }
  });
}

void HttpServer::AcceptSome() {
  giving_way_.clear();
  for (std::size_t i = 0; i < kAcceptsPerTurn; ++i) {
    Tcp::socket socket(io_);
    ErrorCode error;
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block || error == asio::error::try_again) break;
    if (error == asio::error::connection_aborted) continue;
    if (error) return AcceptLater(kAcceptRetryDelay);
    if (!Admit(socket)) return AcceptLater(memory::kRequestTime);
  }
  giving_way_.clear();
  Accept();
}

// False if it has to wait: it is kept, and admitted before others are accepted.
bool HttpServer::Admit(Tcp::socket& socket) {
  const bool crowded = sessions_.size() >= limits_.max_connections;
  switch (MakeRoom()) {
    case Admission::kAdmitted:
      AddSession(std::move(socket), crowded);
      return true;
    case Admission::kLater:
      newcomer_.emplace(std::move(socket));
      return false;
    case Admission::kRefused:
      break;
  }
  return true;  // nothing has been read from the new socket, which is closed
}

void HttpServer::AcceptLater(Clock::duration delay) {
  giving_way_.clear();
  accept_retry_timer_.expires_after(delay);
  accept_retry_timer_.async_wait([this](ErrorCode stopped) {
    if (stopped) return;
    try {
      AdmitNewcomer();
    } catch (const std::exception&) {
      Accept();
      throw;
    }
  });
}

void HttpServer::AdmitNewcomer() {
  if (newcomer_) {
    Tcp::socket socket = std::move(*newcomer_);
    newcomer_.reset();
    if (!Admit(socket)) return AcceptLater(memory::kRequestTime);
  }
  Accept();
}

void HttpServer::AddSession(Tcp::socket socket, bool read_at_once) {
  ErrorCode error;
  socket.set_option(Tcp::no_delay(true), error);
  socket.non_blocking(true, error);
  if (error) return;
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->position = sessions_.insert(sessions_.end(), session);
  session->Start(read_at_once);
}

// Makes room for a new connection, if there is none.
HttpServer::Admission HttpServer::MakeRoom() {
  if (sessions_.size() < limits_.max_connections) return Admission::kAdmitted;
  if (giving_way_.empty()) RankForPlaces();
  const auto now = Clock::now();
  while (!giving_way_.empty()) {
    const SessionPtr session = giving_way_.back();
    giving_way_.pop_back();
    // It may have gone on, or be gone, since it was ranked.
    if (!session->open() || !memory::RankForPlace(session->Activity(now))) continue;
    if (session->HasUnreadInput()) continue;
    if (session->idle()) {
      session->Close();
    } else {
      session->Evict();
    }
    return Admission::kAdmitted;
  }
  const bool some_may_soon =
      std::any_of(sessions_.begin(), sessions_.end(), [now](const SessionPtr& session) {
        return memory::MayGiveWaySoon(session->Activity(now), session->HasUnreadInput());
      });
  return some_may_soon ? Admission::kLater : Admission::kRefused;
}

// The first to give way is the last of the list.
void HttpServer::RankForPlaces() {
  const auto now = Clock::now();
  std::vector<std::pair<memory::Duration, SessionPtr>> ranked;
  for (const SessionPtr& session : sessions_) {
    if (const auto rank = memory::RankForPlace(session->Activity(now))) ranked.emplace_back(*rank, session);
  }
  const std::size_t count = std::min(ranked.size(), kAcceptsPerTurn);
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  for (std::size_t i = count; i > 0; --i) giving_way_.push_back(std::move(ranked[i - 1].second));
}

HttpServer::SessionPtr HttpServer::FindHighestRanked(memory::BufferAccount::Pool pool,
                                                     const memory::BufferCharge* except) const {
  const auto now = Clock::now();
  return memory::FindHighestRanked(sessions_,
                                   [&](const SessionPtr& session) -> std::optional<memory::Duration> {
                                     const memory::BufferCharge& charge = session->charge;
                                     if (&charge == except || charge.bytes() == 0 || charge.pool() != pool)
                                       return std::nullopt;
                                     return memory::RankForMemory(session->Activity(now));
                                   });
}

std::optional<memory::Duration> HttpServer::HighestRank(memory::BufferAccount::Pool pool,
                                                        const memory::BufferCharge* except) const {
  const SessionPtr session = FindHighestRanked(pool, except);
  if (session == nullptr) return std::nullopt;
  return session->Activity(Clock::now()).waited;
}

void HttpServer::EndHighestRanked(memory::BufferAccount::Pool pool, const memory::BufferCharge* except) {
  if (const SessionPtr session = FindHighestRanked(pool, except)) session->Evict();
}

void HttpServer::ScheduleSweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](ErrorCode stopped) {
    if (stopped) return;
    ScheduleSweep();  // before the sweep, which may throw
    const auto now = Clock::now();
    const std::vector<SessionPtr> all(sessions_.begin(), sessions_.end());  // some may be closed meanwhile
    for (const SessionPtr& session : all) session->CheckTimeouts(now);
  });
}

void HttpServer::SetDraining() { draining_ = true; }

void HttpServer::StopAccepting() {
  ErrorCode error;
  while (acceptor_.is_open() && !error) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error && MakeRoom() == Admission::kAdmitted) AddSession(std::move(socket), false);
  }
  if (newcomer_) AddSession(std::move(*newcomer_), false);
  newcomer_.reset();
  accept_retry_timer_.cancel();
  giving_way_.clear();
  acceptor_.close(error);
}

void HttpServer::HandleArrived() {
  StopAccepting();
  const std::list<SessionPtr> open_sessions = sessions_;  // a session may close and leave the list
  for (const SessionPtr& session : open_sessions) session->HandleArrived();
}

void HttpServer::Respond(const SessionPtr& s, unsigned status, const Headers& headers,
                         std::string_view body) {
  s->Respond(status, headers, body);
}
void HttpServer::Begin(const SessionPtr& s, unsigned status, const Headers& headers,
                       std::int64_t body_length) {
  s->Begin(status, headers, body_length);
}
void HttpServer::Write(const SessionPtr& s, std::string_view bytes) { s->Write(bytes); }
void HttpServer::Finish(const SessionPtr& s) { s->Finish(); }
void HttpServer::Abort(const SessionPtr& s) { s->Abort(); }
void HttpServer::ChargeHeldResponse(const SessionPtr& s, std::size_t bytes) { s->ChargeHeldResponse(bytes); }
std::size_t HttpServer::QueuedBytes(const SessionPtr& s) { return s->queued_bytes(); }
void HttpServer::OnDrained(const SessionPtr& s, std::function<void()> drained) {
  s->drained = std::move(drained);
}
std::uint64_t& HttpServer::Tag(const SessionPtr& s) { return s->tag; }

}  // namespace fennelhollow::egress
