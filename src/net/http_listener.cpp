#include "http_listener.hpp"

#include <boost/beast/http.hpp>
#include <utility>

#include "core/names.hpp"
#include "validate.hpp"

namespace merlinrun::net {
namespace {

constexpr double kMicrosASecond = 1e6;

struct RequestMessage : core::Message {
  explicit RequestMessage(Inbound::Request taken) : request(std::move(taken)) {}
  Inbound::Request request;
};

struct AnswerMessage : core::Message {
  explicit AnswerMessage(UpstreamAnswer from) : answer(std::move(from)) {}
  UpstreamAnswer answer;
};

// The query parameter that says what a request is about; empty if it has none.
std::string_view KeyOf(std::string_view target) {
  const std::string name = std::string(kKeyParameter) + "=";
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::string_view rest = target.substr(at + 1);
    const std::string_view pair = rest.substr(0, rest.find('&'));
    if (pair.substr(0, name.size()) == name) return pair.substr(name.size());
    at = target.find('&', at + 1);
  }
  return {};
}

// What the protocol names and nothing else: whatever else came along may mean something to a server.
HttpRequest Forwarded(const HttpRequest& request, Micros left) {
  HttpRequest out(request.method(), request.target(), 11);
  for (const char* name : kRequestHeaders)
    if (const auto it = request.find(name); it != request.end()) out.set(name, it->value());
  out.set(kDeadlineHeader, FormatSeconds(left));
  out.body() = request.body();
  out.prepare_payload();
  return out;
}

// Answers over the connection that the request came by.
class HttpCaller : public core::ResponseSink {
 public:
  explicit HttpCaller(Inbound::SessionPtr session) : session_(std::move(session)) {}

  void Deliver(core::MessagePtr answer) override {
    UpstreamAnswer& from = static_cast<AnswerMessage&>(*answer).answer;
    HttpResponse response(http::status::ok, 11);
    if (const auto type = from.response[http::field::content_type]; !type.empty())
      response.set(http::field::content_type, type);
    if (from.rest != nullptr)
      return Inbound::Stream(session_, std::move(response), std::move(from.rest), from.length,
                             std::move(from.charge));
    response.body() = std::move(from.response.body());
    Inbound::Respond(session_, std::move(response), std::move(from.charge));
  }

  void Refuse(Micros retry_after) override {
    HttpResponse response = TextResponse(http::status::service_unavailable, "refused\n");
    if (retry_after > 0) response.set(http::field::retry_after, FormatSeconds(retry_after));
    Inbound::Respond(session_, std::move(response), {});
  }

  void Fail(core::FailureReason why, core::MessagePtr) override {
    Inbound::Respond(session_,
                     why == core::FailureReason::kDeadlineExceeded
                         ? TextResponse(http::status::gateway_timeout, "out of time\n")
                         : TextResponse(http::status::bad_gateway, "failed\n"),
                     {});
  }

 private:
  const Inbound::SessionPtr session_;
};

}  // namespace

core::Egress::AttemptId HttpEgress::Send(const std::string& server, const core::Message& request,
                                         const SendOptions& order, Done done) {
  const Inbound::Request& from = static_cast<const RequestMessage&>(request).request;
  return upstream_.Send(server, {Forwarded(from.head, order.response_timeout), from.rest, from.length},
                        [done = std::move(done)](UpstreamAnswer answer) {
                          core::AttemptResult out;
                          out.result = answer.result;
                          out.cannot_retry = answer.spent;
                          if (answer.result == Result::kSuccess)
                            out.message = std::make_unique<AnswerMessage>(std::move(answer));
                          done(std::move(out));
                        });
}

HttpFront::HttpFront(asio::io_context& io, const Inbound::Listening& listening, Inbound::Limits limits,
                     MemoryBudget& budget, stats::Counters& counters, core::RequestManager& request_manager,
                     core::Egress& egress, std::function<bool()> ready)
    : request_manager_(request_manager),
      egress_(egress),
      inbound_(io, listening, limits, budget, counters,
               {[this](const Inbound::SessionPtr& session, Inbound::Request request, int request_class) {
                  OnRequest(session, std::move(request), request_class);
                },
                [this](const std::string& id) { request_manager_.OnRequestComplete(id); },
                [this](const RequestHeader& header) {
                  return core::ClassIndex(request_manager_.settings(), ToStringView(header[kClassHeader]));
                },
                [this](const std::string& id) { request_manager_.OnClientGone(id); }, std::move(ready)}) {}

std::optional<RequestError> HttpFront::Check(const HttpRequest& request, int request_class) const {
  if (request_class < 0) return RequestError{http::status::not_found, "unknown Req-Kind\n"};
  if (request_manager_.Contains(std::string(ToStringView(request[kIdHeader]))))
    return RequestError{http::status::conflict, "Req-Id is in use\n"};
  return ValidateForClass(
      request, request_manager_.settings().classes[static_cast<std::size_t>(request_class)].retry_safety);
}

void HttpFront::OnRequest(const Inbound::SessionPtr& session, Inbound::Request from, int request_class) {
  HttpRequest& request = from.head;
  const Settings& settings = request_manager_.settings();
  core::IncomingRequest arrival;
  arrival.request_class = request_class;
  if (const auto fault = Check(request, arrival.request_class)) return Inbound::Reject(session, *fault);
  arrival.id = std::string(ToStringView(request[kIdHeader]));
  arrival.tenant = core::TenantIndex(settings, ToStringView(request[kTenantHeader]));
  if (const auto seconds = ParseDecimal(ToStringView(request[kDeadlineHeader])))
    arrival.client_timeout = static_cast<Micros>(*seconds * kMicrosASecond);
  arrival.is_retry = request[kRetryHeader] == "1";
  arrival.write = request.method() != http::verb::get;
  if (const auto cost = ParseDecimal(ToStringView(request[kCostHeader])); cost && *cost < 1e12)
    arrival.cost = static_cast<Micros>(*cost);
  arrival.key = std::string(KeyOf(ToStringView(request.target())));
  if (from.rest != nullptr) arrival.upload_time = from.upload;
  arrival.request = std::make_unique<RequestMessage>(std::move(from));
  arrival.response_sink = std::make_unique<HttpCaller>(session);
  arrival.egress = &egress_;
  request_manager_.Submit(std::move(arrival));
}

}  // namespace merlinrun::net
