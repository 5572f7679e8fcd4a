#include "tools/mesh/follower.hpp"

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

std::shared_ptr<Follower> Follower::Start(asio::io_context& io, FollowerSettings settings, Sink sink) {
  std::shared_ptr<Follower> out(new Follower(io, std::move(settings), std::move(sink)));
  out->Ask();
  return out;
}

Follower::Follower(asio::io_context& io, FollowerSettings settings, Sink sink)
    : io_(io),
      settings_(std::move(settings)),
      sink_(std::move(sink)),
      timer_(io),
      pause_(settings_.first_pause),
      positions_(settings_.cores.size()) {}

void Follower::Ask() {
  const Position& from = positions_[at_];
  HttpCall call;
  const bool first = !begun_;
  // Not before it has answered: whoever answers first may have things to tell that are long past.
  const bool waits = !settings_.once && following_;
  const milliseconds wait = waits ? settings_.wait : milliseconds(0);
  call.target = absl::StrCat("/-/Events.Read?epoch=", first ? settings_.epoch : from.epoch,
                             "&since=", first ? settings_.since : from.since, "&waitMs=", wait.count());
  HttpLimits limits = settings_.http;
  limits.answer += wait;
  Exchange(io_, settings_.cores[at_], std::move(call), limits,
           [weak = weak_from_this(), wait,
            asked = std::chrono::steady_clock::now()](absl::StatusOr<HttpReply> reply) {
             const auto self = weak.lock();
             if (!self) return;
             if (!reply.ok()) return self->Fail(std::string(reply.status().message()));
             if (reply->status != 200) return self->Fail(absl::StrCat("answered ", reply->status));
             std::size_t events = 0;
             if (!self->Take(reply->body, events)) return self->Fail("its answer can't be read");
             if (self->settings_.once && events == 0) return self->sink_.done(true);
             // No event, and at once: it has no room for one more that waits.
             if (events == 0 && std::chrono::steady_clock::now() - asked < wait / 2) return self->AskLater();
             self->pause_ = self->settings_.first_pause;
             self->Ask();
           });
}

bool Follower::Take(const std::string& body, std::size_t& events) {
  try {
    const ordered_json read = ordered_json::parse(body);
    Position& position = positions_[at_];
    const std::string core = merlinrun::net::FormatAddress(settings_.cores[at_]);
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
    following_ = begun_ = true;
    failed_ = 0;
    for (std::string& line : lines) sink_.line(std::move(line));
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

void Follower::Fail(const std::string& trouble) {
  sink_.trouble(absl::StrCat(merlinrun::net::FormatAddress(settings_.cores[at_]), ": ", trouble));
  following_ = false;
  at_ = (at_ + 1) % settings_.cores.size();
  if (++failed_ >= settings_.cores.size() && settings_.once) return sink_.done(false);
  AskLater();
}

void Follower::AskLater() {
  timer_.expires_after(pause_);
  pause_ = std::min(2 * pause_, settings_.most_pause);
  timer_.async_wait([weak = weak_from_this()](const merlinrun::net::ErrorCode& stopped) {
    if (const auto self = weak.lock(); self && !stopped) self->Ask();
  });
}

}  // namespace fennelhollow::tools
