#include "rig/clients.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <utility>

#include "net/protocol.hpp"
#include "rig/avp_codes.hpp"

namespace merlinrun::rig {
namespace {

namespace http = boost::beast::http;
using diameter::ErrorCode;

}  // namespace

TrafficGenerator::TrafficGenerator(const std::vector<TrafficClass>& classes, std::uint64_t count,
                                   std::uint64_t seed)
    : classes_(classes), count_(count), random_(seed) {
  for (const TrafficClass& c : classes_) total_weight_ += c.weight;
}

const TrafficClass* TrafficGenerator::Next() {
  if (issued_ >= count_) return nullptr;
  ++issued_;
  int at = static_cast<int>(random_() % static_cast<std::uint64_t>(total_weight_));
  for (const TrafficClass& c : classes_)
    if ((at -= c.weight) < 0) return &c;
  return &classes_.back();
}

// ---- HTTP ----

struct HttpClient::Session {
  explicit Session(boost::asio::io_context& io) : socket(io) {}
  bool over = false;  // replaced by another session, or the client is gone
  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  net::HttpRequest request;
  net::HttpResponse response;
};

HttpClient::HttpClient(boost::asio::io_context& io, core::Loop& loop, InvariantChecker& checker,
                       TrafficGenerator& traffic, Tcp::endpoint sidecar, std::string name, Micros pause)
    : io_(io),
      loop_(loop),
      checker_(checker),
      traffic_(traffic),
      sidecar_(sidecar),
      name_(std::move(name)),
      pause_(pause),
      timer_(loop.NewTimer()) {}

HttpClient::~HttpClient() {
  ErrorCode ignored;
  if (session_ == nullptr) return;
  session_->over = true;
  session_->socket.close(ignored);
}

void HttpClient::Crash() {
  if (!idle_) checker_.OnClientCrash(name_ + "-" + std::to_string(last_id_));
}

void HttpClient::Start() {
  if (session_ != nullptr) session_->over = true;
  session_ = std::make_shared<Session>(io_);
  session_->socket.async_connect(sidecar_, [this, session = session_](ErrorCode error) {
    if (error || session->over) return;
    ErrorCode ignored;
    session->socket.set_option(Tcp::no_delay(true), ignored);
    Next();
  });
}

void HttpClient::Next() {
  const TrafficClass* const traffic_class = traffic_.Next();
  idle_ = traffic_class == nullptr;
  if (idle_) return;
  const std::string id = name_ + "-" + std::to_string(++last_id_);
  const bool safe = traffic_class->retry_safety == RetrySafety::kSafe;
  const auto session = session_;
  session->request = {safe ? http::verb::get : http::verb::post, "/api", 11};
  session->request.set(http::field::host, "origin.svc");
  session->request.set(net::kIdHeader, id);
  session->request.set(net::kClassHeader, traffic_class->name);
  char deadline[32];
  std::snprintf(deadline, sizeof deadline, "%.3f", static_cast<double>(traffic_class->deadline) / 1e6);
  session->request.set(net::kDeadlineHeader, deadline);
  if (traffic_class->retry_safety == RetrySafety::kDeduplicated)
    session->request.set(net::kIdempotencyHeader, "k" + id);
  if (!safe) session->request.body() = "a port or an activation";
  session->request.prepare_payload();
  checker_.OnRequest(id, *traffic_class, loop_.Now());
  http::async_write(session->socket, session->request, [this, session, id](ErrorCode error, std::size_t) {
    if (session->over) return;
    session->response = {};
    if (error) return OnAnswerReceived(session, id);
    http::async_read(session->socket, session->buffer, session->response,
                     [this, session, id](ErrorCode failed, std::size_t) {
                       if (session->over) return;
                       if (failed) session->response = {};
                       OnAnswerReceived(session, id);
                     });
  });
}

void HttpClient::OnAnswerReceived(const std::shared_ptr<Session>& session, const std::string& id) {
  const net::HttpResponse& response = session->response;
  const unsigned status = response.result_int();
  if (response.version() == 0 || status == 0) return Start();  // no complete response: it stays due
  const auto outcome = status == 200                    ? InvariantChecker::Outcome::kServed
                       : status == 503 || status == 429 ? InvariantChecker::Outcome::kRefused
                                                        : InvariantChecker::Outcome::kFailed;
  checker_.OnResponse(id, outcome, response.body(), loop_.Now());
  const bool kept = response.keep_alive();
  if (pause_ == 0) return kept ? Next() : Start();
  timer_->Start(pause_, [this, kept] { kept ? Next() : Start(); });
}

// ---- Diameter ----

DiameterClient::DiameterClient(boost::asio::io_context& io, core::Loop& loop, InvariantChecker& checker,
                               TrafficGenerator& traffic, Tcp::endpoint sidecar, std::string host,
                               std::uint32_t application, std::size_t window, std::uint32_t state_id)
    : io_(io),
      loop_(loop),
      checker_(checker),
      traffic_(traffic),
      sidecar_(sidecar),
      application_(application),
      window_(window) {
  identity_.host = std::move(host);
  identity_.realm = "franchise.example";
  identity_.state_id = state_id;
  last_end_ = state_id << 20;
  identity_.addresses = {diameter::AddressData(std::string("\177\0\0\1", 4))};
  identity_.applications = {application};
}

DiameterClient::~DiameterClient() {
  *alive_ = false;
  if (connection_ != nullptr) connection_->Close();
}

void DiameterClient::Start() { Connect(); }

void DiameterClient::Connect() {
  const auto socket = std::make_shared<Tcp::socket>(io_);
  socket->async_connect(sidecar_, [this, socket, alive = alive_](ErrorCode error) {
    if (error || !*alive) return;
    connection_ = diameter::Connection::Plain(std::move(*socket), {});
    diameter::Connection::Events events;
    events.on_frame = [this, alive](std::string_view frame) {
      if (*alive) OnFrame(frame);
    };
    events.on_framing_error = [](const diameter::MalformedMessage&) {};
    events.on_closed = [this, alive] {
      if (*alive) up_ = false;
    };
    connection_->Start(std::move(events));
    Send(diameter::MakeCer(identity_));
  });
}

void DiameterClient::Restart() {
  up_ = false;
  if (connection_ != nullptr) connection_->Reset();
  ++identity_.state_id;
  for (const auto& [hop, pending] : in_flight_) checker_.OnClientCrash(pending.id);
  Connect();
}

void DiameterClient::Send(const diameter::Message& message) {
  connection_->Write(diameter::Encode(message.header, message.avps));
}

void DiameterClient::OnFrame(std::string_view frame) {
  const auto decoded = diameter::Decode(frame);
  const auto* message = std::get_if<diameter::Message>(&decoded);
  if (message == nullptr) return;
  if (message->header.request())
    return Send(diameter::MakeAnswer(identity_, *message, diameter::ResultCode::kSuccess));
  if (message->header.application != 0) return OnAnswerReceived(*message);
  if (message->header.command != diameter::kCapabilitiesExchange || up_) return;
  up_ = true;
  for (auto& [hop, pending] : in_flight_) {  // unanswered before the restart
    pending.message.header.flags |= diameter::kRetransmitBit;
    checker_.OnRetransmit(pending.id);
    Send(pending.message);
  }
  FillWindow();
}

void DiameterClient::FillWindow() {
  while (up_ && in_flight_.size() < window_) {
    const TrafficClass* const traffic_class = traffic_.Next();
    if (traffic_class == nullptr) return;
    SendRequest(*traffic_class);
  }
}

std::string DiameterClient::SendRequest(const TrafficClass& traffic_class) {
  diameter::Message request;
  request.header = {diameter::kRequestBit | diameter::kProxiableBit, kCommand, application_, ++last_hop_,
                    ++last_end_};
  const std::string id = "D" + identity_.host + "-" + std::to_string(last_end_);
  diameter::AvpWriter avps;
  avps.Add(diameter::avp::kSessionId, identity_.host + ";1;" + std::to_string(last_end_));
  avps.Add(diameter::avp::kOriginHost, identity_.host).Add(diameter::avp::kOriginRealm, identity_.realm);
  avps.Add(diameter::avp::kDestinationRealm, "activation.example");
  avps.Add(kClassCode, traffic_class.name, diameter::kMandatoryBit, kVendor);
  avps.AddU32(kDeadlineCode, static_cast<std::uint32_t>(traffic_class.deadline / 1000), 0, kVendor);
  avps.Add(kIdCode, id, 0, kVendor);
  if (traffic_class.retry_safety == RetrySafety::kDeduplicated) avps.Add(kKeyCode, "k" + id, 0, kVendor);
  request.avps = avps.Take();
  checker_.OnRequest(id, traffic_class, loop_.Now());
  in_flight_[last_hop_] = {id, request};
  Send(request);
  return id;
}

void DiameterClient::OnAnswerReceived(const diameter::Message& answer) {
  ++answers_;
  last_answer_ = answer;
  const auto it = in_flight_.find(answer.header.hop_by_hop);
  if (it == in_flight_.end())
    return checker_.OnResponse("?", InvariantChecker::Outcome::kFailed, "", loop_.Now());
  const auto code = diameter::ResultCodeOf(answer);
  const auto outcome =
      code == diameter::ResultCode::kSuccess ? InvariantChecker::Outcome::kServed
      : code == diameter::ResultCode::kTooBusy || code == diameter::ResultCode::kUnableToDeliver
          ? InvariantChecker::Outcome::kRefused
          : InvariantChecker::Outcome::kFailed;
  const auto token = diameter::Find(answer.avps, kTokenCode, kVendor);
  checker_.OnResponse(it->second.id, outcome, token ? std::string(token->data) : "", loop_.Now());
  in_flight_.erase(it);
  FillWindow();
}

}  // namespace merlinrun::rig
