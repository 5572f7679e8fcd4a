#include "tools/mesh/event_watcher.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/address.hpp"

namespace fennelhollow::tools {
namespace {

using nlohmann::ordered_json;

std::string Dump(const ordered_json& json) {
  return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace

std::shared_ptr<EventWatcher> EventWatcher::Start(asio::io_context& io, EventWatcherSettings settings,
                                                  Sink sink) {
  std::shared_ptr<EventWatcher> watcher(new EventWatcher(io, std::move(settings), std::move(sink)));
  watcher->Poll();
  return watcher;
}

EventWatcher::EventWatcher(asio::io_context& io, EventWatcherSettings settings, Sink sink)
    : io_(io),
      settings_(std::move(settings)),
      sink_(std::move(sink)),
      timer_(io),
      backoff_(settings_.initial_backoff),
      positions_(settings_.cores.size()) {}

void EventWatcher::Poll() {
  const Position& from = positions_[current_core_];
  HttpCall call;
  const bool first_poll = !any_answered_;
  // The first poll of a core does not wait, so that events it already holds are read at once.
  const bool long_poll = !settings_.once && following_;
  const milliseconds wait = long_poll ? settings_.poll_wait : milliseconds(0);
  call.target = absl::StrCat("/-/Events.Read?epoch=", first_poll ? settings_.epoch : from.epoch,
                             "&since=", first_poll ? settings_.since : from.since, "&waitMs=", wait.count());
  HttpLimits limits = settings_.http;
  limits.response_timeout += wait;
  Exchange(io_, settings_.cores[current_core_], std::move(call), limits,
           [weak = weak_from_this(), wait,
            polled_at = std::chrono::steady_clock::now()](absl::StatusOr<HttpReply> reply) {
             const auto self = weak.lock();
             if (!self) return;
             if (!reply.ok()) return self->FailOver(std::string(reply.status().message()));
             if (reply->status != 200) return self->FailOver(absl::StrCat("answered ", reply->status));
             std::size_t events = 0;
             if (!self->HandleResponse(reply->body, events)) return self->FailOver("invalid response");
             if (self->settings_.once && events == 0) return self->sink_.on_done(true);
             // An early response without events: the core has too many waiting polls.
             if (events == 0 && std::chrono::steady_clock::now() - polled_at < wait / 2)
               return self->PollLater();
             self->backoff_ = self->settings_.initial_backoff;
             self->Poll();
           });
}

bool EventWatcher::HandleResponse(const std::string& body, std::size_t& events) {
  try {
    const ordered_json read = ordered_json::parse(body);
    Position& position = positions_[current_core_];
    const std::string core = merlinrun::net::FormatAddress(settings_.cores[current_core_]);
    const auto epoch = read.at("epoch").get<std::uint64_t>();
    const auto next = read.at("next").get<std::uint64_t>();
    const auto lost = read.at("lost").get<std::uint64_t>();
    const ordered_json& list = read.at("events");
    std::vector<std::string> lines;
    if (!following_ || epoch != position.epoch)
      lines.push_back(Dump({{"core", core}, {"feedEpoch", epoch}, {"kind", "following"}}));
    if (lost > 0)
      lines.push_back(Dump({{"core", core}, {"feedEpoch", epoch}, {"kind", "lost"}, {"count", lost}}));
    for (const ordered_json& event : list) {
      ordered_json line = {{"core", core}, {"feedEpoch", epoch}};
      for (const auto& [name, value] : event.items()) line[name] = value;
      lines.push_back(Dump(line));
    }
    events = list.size();
    position = {epoch, next};
    following_ = any_answered_ = true;
    consecutive_failures_ = 0;
    for (std::string& line : lines) sink_.on_line(std::move(line));
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

void EventWatcher::FailOver(const std::string& error) {
  sink_.on_error(absl::StrCat(merlinrun::net::FormatAddress(settings_.cores[current_core_]), ": ", error));
  following_ = false;
  current_core_ = (current_core_ + 1) % settings_.cores.size();
  if (++consecutive_failures_ >= settings_.cores.size() && settings_.once) return sink_.on_done(false);
  PollLater();
}

void EventWatcher::PollLater() {
  timer_.expires_after(backoff_);
  backoff_ = std::min(2 * backoff_, settings_.max_backoff);
  timer_.async_wait([weak = weak_from_this()](const merlinrun::net::ErrorCode& error_code) {
    if (const auto self = weak.lock(); self && !error_code) self->Poll();
  });
}

}  // namespace fennelhollow::tools
