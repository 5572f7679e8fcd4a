#include "tools/mesh/repeater.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "net/address.hpp"

namespace fennelhollow::tools {
namespace {

struct Place {
  Tcp::endpoint core;
  std::string target;
};

// "http://ip:port/path", or "/path" at the same core.
std::optional<Place> PlaceOf(std::string_view location, const Tcp::endpoint& from) {
  constexpr std::string_view kScheme = "http://";
  if (location.starts_with('/')) return Place{from, std::string(location)};
  if (!location.starts_with(kScheme)) return std::nullopt;
  location.remove_prefix(kScheme.size());
  const std::size_t slash = location.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto core = merlinrun::net::ParseAddress(location.substr(0, slash));
  if (!core) return std::nullopt;
  return Place{*core, std::string(location.substr(slash))};
}

}  // namespace

bool IsClear(unsigned status) {
  return (status >= 200 && status < 300) || (status >= 400 && status < 500 && status != 408 && status != 429);
}

Exit ExitOf(unsigned status) {
  if (status < 300) return Exit::kTaken;
  return status == 409 || status == 412 ? Exit::kConflict : Exit::kBadInput;
}

void Repeater::Start(asio::io_context& io, std::vector<Tcp::endpoint> cores, HttpCall call,
                     const RepeaterLimits& limits, std::function<void(Outcome)> done) {
  std::shared_ptr<Repeater>(new Repeater(io, std::move(cores), std::move(call), limits, std::move(done)))
      ->Try();
}

Repeater::Repeater(asio::io_context& io, std::vector<Tcp::endpoint> cores, HttpCall call,
                   const RepeaterLimits& limits, std::function<void(Outcome)> done)
    : io_(io),
      cores_(std::move(cores)),
      call_(std::move(call)),
      limits_(limits),
      done_(std::move(done)),
      timer_(io),
      end_(std::chrono::steady_clock::now() + limits.whole),
      pause_(limits.first_pause) {}

void Repeater::Try() {
  ++outcome_.tries;
  Ask(cores_[at_++ % cores_.size()], call_.target, limits_.redirects);
}

void Repeater::Ask(const Tcp::endpoint& core, const std::string& target, int redirects) {
  HttpCall call = call_;
  call.target = target;
  Exchange(io_, core, std::move(call), limits_.http,
           [self = shared_from_this(), core, redirects](absl::StatusOr<HttpReply> reply) {
             const std::string from = merlinrun::net::FormatAddress(core);
             if (!reply.ok()) return self->Again(absl::StrCat(from, ": ", reply.status().message()), "");
             if (reply->status == 307 || reply->status == 308) {
               const auto place = PlaceOf(reply->location, core);
               if (!place) return self->Again(absl::StrCat(from, " redirects to no place"), "");
               if (redirects == 0) return self->Again(absl::StrCat(from, " redirects once more"), "");
               return self->Ask(place->core, place->target, redirects - 1);
             }
             if (!IsClear(reply->status)) {
               return self->Again(absl::StrCat(from, " answered ", reply->status), reply->retry_after);
             }
             self->outcome_.exit = ExitOf(reply->status);
             self->outcome_.status = reply->status;
             self->outcome_.body = std::move(reply->body);
             self->outcome_.from = from;
             self->outcome_.trouble.clear();
             self->done_(std::move(self->outcome_));
           });
}

void Repeater::Again(std::string trouble, const std::string& retry_after) {
  outcome_.trouble = std::move(trouble);
  milliseconds pause = pause_;
  pause_ = std::min(2 * pause_, limits_.most_pause);
  double seconds = 0;
  if (absl::SimpleAtod(retry_after, &seconds) && seconds > 0) {
    const double most = static_cast<double>(limits_.most_pause.count());
    pause = std::max(pause, milliseconds(static_cast<std::int64_t>(std::min(most, seconds * 1000))));
  }
  if (std::chrono::steady_clock::now() + pause >= end_) return done_(std::move(outcome_));
  timer_.expires_after(pause);
  timer_.async_wait([self = shared_from_this()](const merlinrun::net::ErrorCode& stopped) {
    if (!stopped) self->Try();
  });
}

}  // namespace fennelhollow::tools
