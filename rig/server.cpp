#include "rig/server.hpp"

#include <poll.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "diameter/messages.hpp"
#include "net/protocol.hpp"
#include "rig/avp_codes.hpp"

namespace merlinrun::rig {
namespace {

namespace http = boost::beast::http;
using diameter::ErrorCode;

constexpr std::size_t kMaxBaseMessages = 64;

void Reset(Tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// Whether the peer reset the connection. Unlike a read, this does not consume the error.
bool WasReset(Tcp::socket& socket) {
  pollfd descriptor{socket.native_handle(), 0, 0};
  return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & (POLLERR | POLLHUP)) != 0;
}

}  // namespace

// A request from arrival to response.
struct Server::Work {
  std::string id;
  std::string key;
  const TrafficClass* traffic_class = nullptr;
  std::function<void(Fault, const std::string& token)> answer;  // called once, unless the server crashes
  std::function<void()> decline;
  InvariantChecker::ConnectionReset connection_reset = [] { return false; };
  std::string token;
  Fault fault = Fault::kNone;
  bool gone = false;  // the client closed the connection: it is not executed if still queued

  // Responds if the client is still connected. The callback may release the session.
  void Answer(Fault how, const std::string& response_token) {
    const auto call = std::exchange(answer, nullptr);
    if (!gone && call) call(how, response_token);
    decline = nullptr;
  }
  // Releases the session, which owns this request.
  void Abandon() {
    gone = true;
    answer = nullptr;
    decline = nullptr;
  }
};

// ---- HTTP ----

class Server::HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(Server& owner, Tcp::socket socket, std::uint64_t number)
      : owner_(owner), socket_(std::move(socket)), number_(number) {}

  void Read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_,
                     [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnRead(error); });
  }
  void Kill() {
    if (work_ != nullptr) work_->Abandon();
    dead_ = true;
    Reset(socket_);
  }

 private:
  void OnRead(ErrorCode error) {
    if (dead_) return;
    if (error) return End();
    const auto text = [&](const char* name) { return std::string(request_[name]); };
    work_ = std::make_shared<Work>();
    work_->id = text(net::kIdHeader);
    work_->key = text(net::kIdempotencyHeader);
    const std::string name = text(net::kClassHeader);
    for (const TrafficClass& c : owner_.classes_)
      if (c.name == name) work_->traffic_class = &c;
    const auto self = shared_from_this();
    work_->answer = [self](Fault fault, const std::string& token) { self->Answer(fault, token); };
    work_->decline = [self] { self->Write(http::status::service_unavailable, "full", true); };
    work_->connection_reset = [weak = weak_from_this()] {
      const auto session = weak.lock();
      return session != nullptr && WasReset(session->socket_);
    };
    owner_.Handle(work_);
  }
  void Answer(Fault fault, const std::string& token) {
    if (dead_ || fault == Fault::kNoResponse) return;
    if (fault == Fault::kError) return Write(http::status::internal_server_error, "broken", false);
    if (fault == Fault::kGarbage || fault == Fault::kWrongAnswer || fault == Fault::kTruncate) {
      ErrorCode ignored;
      const std::string text =
          fault == Fault::kTruncate ? "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf" : "\1\2\3\r\n\r\n";
      boost::asio::write(socket_, boost::asio::buffer(text), ignored);
      return End();
    }
    Write(http::status::ok, token, false);
  }
  void Write(http::status status, const std::string& body, bool declined) {
    if (dead_) return;
    response_ = {status, 11};
    if (declined) response_.set(net::kDeclinedHeader, "1");
    response_.body() = body;
    response_.prepare_payload();
    http::async_write(socket_, response_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (self->dead_) return;
      if (error) return self->End();
      self->work_ = nullptr;
      self->Read();
    });
  }
  void End() {
    if (std::exchange(dead_, true)) return;
    if (work_ != nullptr) work_->Abandon();
    ErrorCode ignored;
    socket_.close(ignored);
    owner_.http_.erase(number_);
  }

  Server& owner_;
  Tcp::socket socket_;
  const std::uint64_t number_;
  boost::beast::flat_buffer buffer_;
  net::HttpRequest request_;
  net::HttpResponse response_;
  std::shared_ptr<Work> work_;
  bool dead_ = false;
};

// ---- Diameter: implemented here, independently of the peer state machine under test ----

class Server::DiameterSession : public std::enable_shared_from_this<DiameterSession> {
 public:
  DiameterSession(Server& owner, Tcp::socket socket, std::uint64_t number)
      : owner_(owner), connection_(diameter::Connection::Plain(std::move(socket), {})), number_(number) {}

  void Start(bool introduces) {
    diameter::Connection::Events events;
    events.on_frame = [self = shared_from_this()](std::string_view frame) { self->OnFrame(frame); };
    events.on_framing_error = [self = shared_from_this()](const diameter::MalformedMessage&) { self->End(); };
    events.on_closed = [self = shared_from_this()] { self->End(); };
    connection_->Start(std::move(events));
    if (introduces) Send(diameter::MakeCer(owner_.identity_));
  }
  void Send(const diameter::Message& message) {
    connection_->Write(diameter::Encode(message.header, message.avps));
  }
  void Kill() {
    dead_ = true;
    for (const auto& work : std::exchange(works_, {})) work->Abandon();
    connection_->Reset();
  }

 private:
  void OnFrame(std::string_view frame) {
    if (dead_) return;
    const auto decoded = diameter::Decode(frame);
    const auto* message = std::get_if<diameter::Message>(&decoded);
    if (message == nullptr) return End();
    if (message->header.application != 0 && message->header.request()) return OnRequest(*message);
    if (owner_.base_messages_.size() < kMaxBaseMessages) owner_.base_messages_.push_back(*message);
    if (message->header.command == diameter::kDeviceWatchdog) ++owner_.watchdogs_;
    if (message->header.request()) {
      const bool cer = message->header.command == diameter::kCapabilitiesExchange;
      Send(cer ? diameter::MakeCea(owner_.identity_, *message)
               : diameter::MakeAnswer(owner_.identity_, *message, diameter::ResultCode::kSuccess));
    }
    if (message->header.command == diameter::kDisconnectPeer) {
      connection_->Close();
      End();
    }
  }
  void OnRequest(const diameter::Message& request) {
    const diameter::CommandMapping* const map = owner_.application_.FindCommand(request.header.command);
    const auto text = [&](const diameter::AvpId& at) {
      const auto avp = diameter::Find(request.avps, at.code, at.vendor);
      return avp ? std::string(avp->data) : std::string();
    };
    auto work = std::make_shared<Work>();
    work->id = text(map->id);
    work->key = text(map->idempotency);
    for (const TrafficClass& c : owner_.classes_)
      if (c.name == text(map->class_name)) work->traffic_class = &c;
    const auto self = shared_from_this();
    work->answer = [self, request](Fault fault, const std::string& token) {
      self->Answer(request, fault, token);
    };
    work->decline = [self, request] {
      self->Send(
          diameter::MakeError(self->owner_.identity_, request, {diameter::ResultCode::kTooBusy, {}, "full"}));
    };
    works_.push_back(work);
    if (works_.size() > 2 * kMaxBaseMessages)
      std::erase_if(works_, [](const auto& w) { return w.use_count() == 1; });
    owner_.Handle(std::move(work));
  }
  void Answer(const diameter::Message& request, Fault fault, const std::string& token) {
    if (dead_ || fault == Fault::kNoResponse || owner_.unresponsive_) return;
    if (fault == Fault::kError)
      return Send(diameter::MakeError(owner_.identity_, request,
                                      {diameter::ResultCode::kUnableToComply, {}, "broken"}));
    if (fault == Fault::kGarbage) {
      connection_->Write("\7\7\7\7\7\7\7\7\7\7\7\7\7\7\7\7\7\7\7\7");
      return;
    }
    diameter::Message answer =
        diameter::MakeAnswer(owner_.identity_, request, diameter::ResultCode::kSuccess);
    diameter::AvpWriter more;
    diameter::AvpReader reader(request.avps);
    while (const auto avp = reader.Next())
      if (avp->Is(diameter::avp::kProxyInfo)) more.Copy(*avp);
    more.Add(kTokenCode, token, 0, kVendor);
    answer.avps += more.bytes();
    if (fault == Fault::kWrongAnswer) ++answer.header.end_to_end;
    if (fault == Fault::kTruncate) {
      const std::string encoded = diameter::Encode(answer.header, answer.avps);
      connection_->Write(std::string_view(encoded).substr(0, encoded.size() / 2));
      return connection_->Close();
    }
    Send(answer);
  }
  void End() {
    if (std::exchange(dead_, true)) return;
    for (const auto& work : std::exchange(works_, {})) work->Abandon();
    const auto self = shared_from_this();
    connection_->Close();
    owner_.diameter_.erase(number_);
  }

  Server& owner_;
  const diameter::ConnectionPtr connection_;
  const std::uint64_t number_;
  std::vector<std::shared_ptr<Work>> works_;
  bool dead_ = false;
};

// ---- The server ----

Server::Server(boost::asio::io_context& io, core::Loop& loop, InvariantChecker& checker, DataCentre& centre,
               const std::vector<TrafficClass>& classes, const diameter::Application& application,
               ServerOptions options)
    : io_(io),
      loop_(loop),
      checker_(checker),
      centre_(centre),
      classes_(classes),
      application_(application),
      options_(std::move(options)) {
  identity_.host = application.ServerHost(options_.id);
  identity_.realm = application.realms.front();
  identity_.addresses = {diameter::AddressData(std::string("\177\0\0\1", 4))};
  identity_.applications = {application.id};
  const Tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
  http_address_ = diameter_address_ = any;
  Listen();
}

Server::~Server() { Crash(); }

void Server::Listen() {
  started_ = options_.cold_start_time > 0 ? loop_.Now() : 0;
  identity_.state_id =
      static_cast<std::uint32_t>(loop_.Now() / 1'000'000) + static_cast<std::uint32_t>(life_);
  http_acceptor_ = std::make_unique<Tcp::acceptor>(io_, http_address_, true);
  diameter_acceptor_ = std::make_unique<Tcp::acceptor>(io_, diameter_address_, true);
  http_address_ = http_acceptor_->local_endpoint();
  diameter_address_ = diameter_acceptor_->local_endpoint();
  AcceptHttp();
  AcceptDiameter();
}

void Server::AcceptHttp() {
  http_acceptor_->async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error) return;
    if (connections() < options_.connections) {
      ErrorCode ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      const auto session = std::make_shared<HttpSession>(*this, std::move(socket), ++last_session_);
      http_[last_session_] = session;
      session->Read();
    }
    AcceptHttp();
  });
}

void Server::AcceptDiameter() {
  diameter_acceptor_->async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error) return;
    if (connections() < options_.connections) {
      const auto session = std::make_shared<DiameterSession>(*this, std::move(socket), ++last_session_);
      diameter_[last_session_] = session;
      session->Start(/*introduces=*/false);
    }
    AcceptDiameter();
  });
}

void Server::ConnectTo(const Tcp::endpoint& sidecar) {
  const auto socket = std::make_shared<Tcp::socket>(io_);
  socket->async_connect(sidecar, [this, socket](ErrorCode error) {
    if (error || dead_) return;
    const auto session = std::make_shared<DiameterSession>(*this, std::move(*socket), ++last_session_);
    diameter_[last_session_] = session;
    session->Start(/*introduces=*/true);
  });
}

void Server::Disconnect(diameter::DisconnectCause cause) {
  for (const auto& [number, session] : diameter_) session->Send(diameter::MakeDpr(identity_, cause));
}

void Server::Crash() {
  if (std::exchange(dead_, true)) return;
  ++life_;
  ErrorCode ignored;
  http_acceptor_->close(ignored);
  diameter_acceptor_->close(ignored);
  for (const auto& [number, session] : std::exchange(http_, {})) session->Kill();
  for (const auto& [number, session] : std::exchange(diameter_, {})) session->Kill();
  for (const auto& work : std::exchange(running_, {})) checker_.OnExecutionEnd(work->id, work->token);
  queue_.clear();
  busy_ = 0;
  cold_load_.clear();
  cold_load_sum_ = 0;
}

void Server::Restart() {
  Crash();
  dead_ = false;
  Listen();
}

double Server::WarmupFactor() const {
  if (started_ == 0 || options_.cold_start_time <= 0) return 1;
  const double age =
      static_cast<double>(loop_.Now() - started_) / static_cast<double>(options_.cold_start_time);
  return std::min(1.0, options_.cold_share + (1 - options_.cold_share) * age);
}

// Adds a request to the load of a cold server, whether it is accepted or not.
void Server::TrackColdLoad(const Work& work) {
  if (WarmupFactor() >= 1) return;
  const Micros now = loop_.Now();
  cold_load_.emplace_back(now, work.traffic_class->service_time);
  cold_load_sum_ += work.traffic_class->service_time;
  while (cold_load_.front().first < now - options_.overload_window) {
    cold_load_sum_ -= cold_load_.front().second;
    cold_load_.pop_front();
  }
  const double capacity =
      options_.cores * options_.speed * WarmupFactor() * static_cast<double>(options_.overload_window);
  if (static_cast<double>(cold_load_sum_) <= options_.overload_factor * capacity) return;
  checker_.OnOverload(options_.id);
  cold_load_.clear();
  cold_load_sum_ = 0;
}

void Server::Handle(std::shared_ptr<Work> work) {
  ++arrived_;
  checker_.OnArrival(options_.id, loop_.Now());
  if (work->traffic_class == nullptr || work->id.empty()) return work->decline();
  TrackColdLoad(*work);
  work->fault = script_ ? script_(work->id, work->traffic_class->name) : Fault::kNone;
  if (work->fault == Fault::kDecline || queue_.size() >= options_.queue) return work->decline();
  if (!work->key.empty()) {
    const auto seen = centre_.keys.find(work->key);
    if (seen != centre_.keys.end() && loop_.Now() < seen->second.at + centre_.window) {
      const std::string token = seen->second.token;  // deduplicated: gets the first response
      return loop_.After(0, [work, token] { work->Answer(Fault::kNone, token); });
    }
  }
  if (busy_ < options_.cores) return Run(work);
  queue_.push_back(std::move(work));
}

void Server::Run(const std::shared_ptr<Work>& work) {
  ++busy_;
  running_.push_back(work);
  work->token = options_.id + "/" + std::to_string(++last_token_);
  checker_.OnExecutionStart(work->id, options_.id, work->token, work->connection_reset);
  if (!work->key.empty()) centre_.keys[work->key] = {loop_.Now(), work->token};
  if (work->fault == Fault::kCrash) return loop_.Post([this] { Crash(); });
  const auto time = static_cast<Micros>(static_cast<double>(work->traffic_class->service_time) /
                                        (options_.speed * WarmupFactor()));
  loop_.After(time, [this, work, life = life_] {
    if (life == life_) Finish(work);
  });
}

void Server::Finish(const std::shared_ptr<Work>& work) {
  --busy_;
  std::erase(running_, work);
  checker_.OnExecutionEnd(work->id, work->token);
  work->Answer(work->fault, work->token);
  while (busy_ < options_.cores && !queue_.empty()) {
    const auto next = queue_.front();
    queue_.pop_front();
    if (!next->gone) Run(next);
  }
}

}  // namespace merlinrun::rig
