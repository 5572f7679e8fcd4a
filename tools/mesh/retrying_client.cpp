#include "tools/mesh/retrying_client.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "net/address.hpp"

namespace fennelhollow::tools {
namespace {

struct RedirectTarget {
  Tcp::endpoint core;
  std::string target;
};

// Accepts "http://ip:port/path", or "/path" on the core that sent it.
std::optional<RedirectTarget> ParseLocation(std::string_view location, const Tcp::endpoint& from) {
  constexpr std::string_view kScheme = "http://";
  if (location.starts_with('/')) return RedirectTarget{from, std::string(location)};
  if (!location.starts_with(kScheme)) return std::nullopt;
  location.remove_prefix(kScheme.size());
  const std::size_t slash = location.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto core = merlinrun::net::ParseAddress(location.substr(0, slash));
  if (!core) return std::nullopt;
  return RedirectTarget{*core, std::string(location.substr(slash))};
}

}  // namespace

bool IsFinal(unsigned status) {
  return (status >= 200 && status < 300) || (status >= 400 && status < 500 && status != 408 && status != 429);
}

ExitStatus ExitStatusFor(unsigned status) {
  if (status < 300) return ExitStatus::kSuccess;
  return status == 409 || status == 412 ? ExitStatus::kConflict : ExitStatus::kInvalidInput;
}

void RetryingClient::Start(asio::io_context& io, std::vector<Tcp::endpoint> cores, HttpCall call,
                           const RetryLimits& limits, std::function<void(Outcome)> done) {
  std::shared_ptr<RetryingClient>(
      new RetryingClient(io, std::move(cores), std::move(call), limits, std::move(done)))
      ->StartAttempt();
}

RetryingClient::RetryingClient(asio::io_context& io, std::vector<Tcp::endpoint> cores, HttpCall call,
                               const RetryLimits& limits, std::function<void(Outcome)> done)
    : io_(io),
      cores_(std::move(cores)),
      call_(std::move(call)),
      limits_(limits),
      done_(std::move(done)),
      timer_(io),
      deadline_(std::chrono::steady_clock::now() + limits.total_timeout),
      backoff_(limits.initial_backoff) {}

void RetryingClient::StartAttempt() {
  ++outcome_.attempts;
  Send(cores_[next_core_++ % cores_.size()], call_.target, limits_.max_redirects);
}

void RetryingClient::Send(const Tcp::endpoint& core, const std::string& target, int redirects_left) {
  HttpCall call = call_;
  call.target = target;
  Exchange(io_, core, std::move(call), limits_.http,
           [self = shared_from_this(), core, redirects_left](absl::StatusOr<HttpReply> reply) {
             const std::string from = merlinrun::net::FormatAddress(core);
             if (!reply.ok()) return self->RetryLater(absl::StrCat(from, ": ", reply.status().message()), "");
             if (reply->status == 307 || reply->status == 308) {
               const auto redirect = ParseLocation(reply->location, core);
               if (!redirect)
                 return self->RetryLater(absl::StrCat(from, " sent a redirect without a usable Location"),
                                         "");
               if (redirects_left == 0)
                 return self->RetryLater(absl::StrCat(from, " sent too many redirects"), "");
               return self->Send(redirect->core, redirect->target, redirects_left - 1);
             }
             if (!IsFinal(reply->status)) {
               return self->RetryLater(absl::StrCat(from, " answered ", reply->status), reply->retry_after);
             }
             self->outcome_.exit = ExitStatusFor(reply->status);
             self->outcome_.status = reply->status;
             self->outcome_.body = std::move(reply->body);
             self->outcome_.responder = from;
             self->outcome_.last_error.clear();
             self->done_(std::move(self->outcome_));
           });
}

void RetryingClient::RetryLater(std::string error, const std::string& retry_after) {
  outcome_.last_error = std::move(error);
  milliseconds delay = backoff_;
  backoff_ = std::min(2 * backoff_, limits_.max_backoff);
  double seconds = 0;
  if (absl::SimpleAtod(retry_after, &seconds) && seconds > 0) {
    const double max_ms = static_cast<double>(limits_.max_backoff.count());
    delay = std::max(delay, milliseconds(static_cast<std::int64_t>(std::min(max_ms, seconds * 1000))));
  }
  if (std::chrono::steady_clock::now() + delay >= deadline_) return done_(std::move(outcome_));
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this()](const merlinrun::net::ErrorCode& error_code) {
    if (!error_code) self->StartAttempt();
  });
}

}  // namespace fennelhollow::tools
