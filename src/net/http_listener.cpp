#include "http_listener.hpp"

#include <boost/beast/http.hpp>
#include <utility>

#include "core/names.hpp"
#include "validate.hpp"

namespace merlinrun::net {
namespace {

constexpr double kMicrosPerSecond = 1e6;

struct RequestMessage : core::Message {
  explicit RequestMessage(Downstream::Request received) : request(std::move(received)) {}
  Downstream::Request request;
};

struct ResponseMessage : core::Message {
  explicit ResponseMessage(UpstreamResult received) : upstream_result(std::move(received)) {}
  UpstreamResult upstream_result;
};

// The value of the query parameter that names the request's object; empty if there is none.
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

// Copies only the headers that the protocol defines, as a server could act on any other.
HttpRequest BuildUpstreamRequest(const HttpRequest& request, Micros timeout) {
  HttpRequest out(request.method(), request.target(), 11);
  for (const char* name : kRequestHeaders)
    if (const auto it = request.find(name); it != request.end()) out.set(name, it->value());
  out.set(kDeadlineHeader, FormatSeconds(timeout));
  out.body() = request.body();
  out.prepare_payload();
  return out;
}

// Sends the response on the connection that the request came on.
class HttpResponseSink : public core::ResponseSink {
 public:
  explicit HttpResponseSink(Downstream::SessionPtr session) : session_(std::move(session)) {}

  void Deliver(core::MessagePtr upstream_message) override {
    UpstreamResult& upstream_result = static_cast<ResponseMessage&>(*upstream_message).upstream_result;
    HttpResponse response(http::status::ok, 11);
    if (const auto type = upstream_result.response[http::field::content_type]; !type.empty())
      response.set(http::field::content_type, type);
    if (upstream_result.body_pipe != nullptr)
      return Downstream::Stream(session_, std::move(response), std::move(upstream_result.body_pipe),
                                upstream_result.content_length, std::move(upstream_result.reservation));
    response.body() = std::move(upstream_result.response.body());
    Downstream::Respond(session_, std::move(response), std::move(upstream_result.reservation));
  }

  void Refuse(Micros retry_after) override {
    HttpResponse response = TextResponse(http::status::service_unavailable, "refused\n");
    if (retry_after > 0) response.set(http::field::retry_after, FormatSeconds(retry_after));
    Downstream::Respond(session_, std::move(response), {});
  }

  void Fail(core::FailureReason reason, core::MessagePtr) override {
    Downstream::Respond(session_,
                        reason == core::FailureReason::kDeadlineExceeded
                            ? TextResponse(http::status::gateway_timeout, "out of time\n")
                            : TextResponse(http::status::bad_gateway, "failed\n"),
                        {});
  }

 private:
  const Downstream::SessionPtr session_;
};

}  // namespace

core::Egress::AttemptId HttpEgress::Send(const std::string& server, const core::Message& request,
                                         const SendOptions& options, Done done) {
  const Downstream::Request& from = static_cast<const RequestMessage&>(request).request;
  return upstream_.Send(
      server,
      {BuildUpstreamRequest(from.message, options.response_timeout), from.body_pipe, from.content_length},
      [done = std::move(done)](UpstreamResult upstream_result) {
        core::AttemptResult out;
        out.result = upstream_result.result;
        out.cannot_retry = upstream_result.cannot_retry;
        if (upstream_result.result == Result::kSuccess)
          out.message = std::make_unique<ResponseMessage>(std::move(upstream_result));
        done(std::move(out));
      });
}

HttpListener::HttpListener(asio::io_context& io, const Downstream::ListenOptions& options,
                           Downstream::Limits limits, MemoryBudget& budget, stats::Counters& counters,
                           core::RequestManager& request_manager, core::Egress& egress,
                           std::function<bool()> ready)
    : request_manager_(request_manager),
      egress_(egress),
      downstream_(io, options, limits, budget, counters,
                  {[this](const Downstream::SessionPtr& session, Downstream::Request request,
                          int request_class) { OnRequest(session, std::move(request), request_class); },
                   [this](const std::string& id) { request_manager_.OnUploadComplete(id); },
                   [this](const RequestHeader& header) {
                     return core::ClassIndex(request_manager_.settings(), ToStringView(header[kClassHeader]));
                   },
                   [this](const std::string& id) { request_manager_.OnClientGone(id); }, std::move(ready)}) {}

std::optional<RequestError> HttpListener::Check(const HttpRequest& request, int request_class) const {
  if (request_class < 0) return RequestError{http::status::not_found, "unknown Req-Kind\n"};
  if (request_manager_.Contains(std::string(ToStringView(request[kIdHeader]))))
    return RequestError{http::status::conflict, "Req-Id is in use\n"};
  return ValidateForClass(
      request, request_manager_.settings().classes[static_cast<std::size_t>(request_class)].retry_safety);
}

void HttpListener::OnRequest(const Downstream::SessionPtr& session, Downstream::Request received,
                             int request_class) {
  HttpRequest& request = received.message;
  const Settings& settings = request_manager_.settings();
  core::IncomingRequest incoming;
  incoming.request_class = request_class;
  if (const auto error = Check(request, incoming.request_class)) return Downstream::Reject(session, *error);
  incoming.id = std::string(ToStringView(request[kIdHeader]));
  incoming.tenant = core::TenantIndex(settings, ToStringView(request[kTenantHeader]));
  if (const auto seconds = ParseDecimal(ToStringView(request[kDeadlineHeader])))
    incoming.client_timeout = static_cast<Micros>(*seconds * kMicrosPerSecond);
  incoming.is_retry = request[kRetryHeader] == "1";
  incoming.write = request.method() != http::verb::get;
  if (const auto cost = ParseDecimal(ToStringView(request[kCostHeader])); cost && *cost < 1e12)
    incoming.cost = static_cast<Micros>(*cost);
  incoming.key = std::string(KeyOf(ToStringView(request.target())));
  if (received.body_pipe != nullptr) incoming.upload_time = received.upload_time;
  incoming.request = std::make_unique<RequestMessage>(std::move(received));
  incoming.response_sink = std::make_unique<HttpResponseSink>(session);
  incoming.egress = &egress_;
  request_manager_.Submit(std::move(incoming));
}

}  // namespace merlinrun::net
