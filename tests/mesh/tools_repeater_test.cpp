#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "loopback.hpp"
#include "net/address.hpp"
#include "tools/mesh/follower.hpp"
#include "tools/mesh/repeater.hpp"

namespace fennelhollow::tools {
namespace {

using loopback::RawConnection;
using loopback::ScriptedHttpServer;

std::string Http(unsigned status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Answers one after the other, the last again and again; "" is silence.
struct Core {
  Core(asio::io_context& io, std::vector<std::string> answers)
      : script(io, [this, answers](RawConnection& raw, const std::string&) {
          const std::string& answer = answers[std::min(answers.size(), script.requests.size()) - 1];
          if (!answer.empty()) raw.Write(answer);
        }) {}
  Tcp::endpoint address() const { return *merlinrun::net::ParseAddress(script.address()); }
  ScriptedHttpServer script;
};

RepeaterLimits Quick() {
  RepeaterLimits out;
  out.http.connect = out.http.answer = milliseconds(150);
  out.first_pause = out.most_pause = milliseconds(1);
  out.whole = milliseconds(8000);
  return out;
}

Outcome Ask(asio::io_context& io, std::vector<Tcp::endpoint> cores, const RepeaterLimits& limits = Quick()) {
  std::vector<Outcome> out;
  Repeater::Start(io, std::move(cores), {"POST", "/-/Configuration.Replace", "{\"version\":1}"}, limits,
                  [&out](Outcome outcome) { out.push_back(std::move(outcome)); });
  REQUIRE(loopback::RunUntil(io, [&] { return !out.empty(); }));
  return out.front();
}

TEST_CASE("a clear answer is final, and gives the exit status") {
  const std::vector<std::pair<unsigned, int>> statuses = {{200, 0}, {400, 2}, {413, 2}, {422, 2},
                                                          {404, 2}, {409, 3}, {412, 3}};
  for (const auto& [status, exit] : statuses) {
    asio::io_context io;
    Core core(io, {Http(status, "{}")});
    const Outcome outcome = Ask(io, {core.address()});
    CHECK(static_cast<int>(outcome.exit) == exit);
    CHECK(outcome.status == status);
    CHECK(outcome.from == core.script.address());
    CHECK(core.script.requests.size() == 1);
  }
}

TEST_CASE("silence, refused connections, 5xx, 408 and 429 are repeated unchanged at the next core") {
  asio::io_context io;
  Core first(io, {"", Http(503, "{}", "Retry-After: 0.001\r\n"), Http(408, "{}")});
  Core second(io, {Http(500, "{}"), "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", Http(200, "taken")});
  const Tcp::endpoint nobody(asio::ip::make_address("127.0.0.1"), loopback::FreePort(io));
  const Outcome outcome = Ask(io, {first.address(), nobody, second.address()});
  CHECK(outcome.exit == Exit::kTaken);
  CHECK(outcome.body == "taken");
  CHECK(outcome.tries == 9);
  REQUIRE(first.script.requests.size() == 3);
  REQUIRE(second.script.requests.size() == 3);
  const auto without_host = [](std::string request) {
    return request.replace(request.find("Host: "), 22, "");
  };
  for (const auto* script : {&first.script, &second.script}) {
    for (const std::string& request : script->requests) {
      CHECK(request.ends_with("{\"version\":1}"));
      CHECK(request.starts_with("POST /-/Configuration.Replace HTTP/1.1\r\n"));
      CHECK(without_host(request).size() == without_host(first.script.requests[0]).size());
    }
  }
  Core busy(io, {Http(429, "{}"), Http(200, "")});
  CHECK(Ask(io, {busy.address()}).tries == 2);
}

TEST_CASE("a redirect is followed twice, and no further") {
  asio::io_context io;
  Core end(io, {Http(200, "here")});
  const auto to = [](const Core& core) {
    return Http(307, "{}", "Location: http://" + core.script.address() + "/-/Configuration.Replace\r\n");
  };
  Core near(io, {to(end)});
  Core far(io, {to(near)});
  CHECK(Ask(io, {far.address()}).from == end.script.address());
  CHECK(end.script.requests.front().ends_with("{\"version\":1}"));
  Core farther(io, {to(far), Http(412, "{}")});
  const Outcome outcome = Ask(io, {farther.address()});
  CHECK(outcome.exit == Exit::kConflict);
  CHECK(outcome.tries == 2);
  CHECK(end.script.requests.size() == 1);
  Core lost(io, {Http(307, "{}", "Location: elsewhere\r\n"), Http(200, "")});
  CHECK(Ask(io, {lost.address()}).tries == 2);
}

TEST_CASE("nobody answers: an end after the time given") {
  asio::io_context io;
  Core core(io, {Http(503, "{}", "Retry-After: 3600\r\n")});
  RepeaterLimits limits = Quick();
  limits.whole = milliseconds(40);
  limits.most_pause = milliseconds(15);  // which the far Retry-After is cut to
  const Outcome outcome = Ask(io, {core.address()}, limits);
  CHECK(outcome.exit == Exit::kNobody);
  CHECK(outcome.tries >= 1);
  CHECK(outcome.tries <= 4);
  CHECK(outcome.trouble == core.script.address() + " answered 503");
  limits.whole = milliseconds(0);
  CHECK(Ask(io, {core.address()}, limits).tries == 1);
}

TEST_CASE("cores are addresses, each once") {
  CHECK(ParseCores("10.0.0.1:70,10.0.0.2:70,10.0.0.1:70")->size() == 2);
  for (const char* bad : {"", ",", "10.0.0.1", "host:70", "10.0.0.1:70000"})
    CHECK_FALSE(ParseCores(bad).ok());
}

struct Told {
  std::vector<std::string> lines, troubles;
  std::vector<bool> done;
  Follower::Sink sink() {
    return {[this](std::string line) { lines.push_back(std::move(line)); },
            [this](std::string line) { troubles.push_back(std::move(line)); },
            [this](bool answered) { done.push_back(answered); }};
  }
};

std::string Feed(int epoch, int next, int lost, const std::string& events) {
  return Http(200, "{\"epoch\":" + std::to_string(epoch) + ",\"next\":" + std::to_string(next) +
                       ",\"lost\":" + std::to_string(lost) + ",\"events\":[" + events + "]}");
}

FollowerSettings QuickFollower(std::vector<Tcp::endpoint> cores) {
  FollowerSettings out;
  out.cores = std::move(cores);
  out.wait = milliseconds(0);
  out.http = Quick().http;
  out.first_pause = out.most_pause = milliseconds(1);
  return out;
}

TEST_CASE("events are followed from core to core, each from its own place") {
  asio::io_context io;
  const std::string event = "{\"number\":4,\"atMs\":1,\"kind\":\"holder\",\"address\":\"a\",\"epoch\":9}";
  Core first(io, {Feed(7, 5, 2, event), Http(503, "{}"), Feed(7, 5, 0, ""), ""});
  Core second(io, {Feed(8, 2, 0, "{\"number\":1}"), "broken\r\n\r\n"});
  Told told;
  FollowerSettings settings = QuickFollower({first.address(), second.address()});
  settings.epoch = 7;
  settings.since = 2;
  const auto follower = Follower::Start(io, settings, told.sink());
  REQUIRE(loopback::RunUntil(io, [&] { return first.script.requests.size() == 4; }));
  const auto begin = [](const Core& core, const std::string& rest) {
    return "{\"core\":\"" + core.script.address() + "\"," + rest;
  };
  CHECK(told.lines == std::vector<std::string>{
                          begin(first, "\"feedEpoch\":7,\"kind\":\"following\"}"),
                          begin(first, "\"feedEpoch\":7,\"kind\":\"lost\",\"count\":2}"),
                          begin(first, "\"feedEpoch\":7," + event.substr(1)),
                          begin(second, "\"feedEpoch\":8,\"kind\":\"following\"}"),
                          begin(second, "\"feedEpoch\":8,\"number\":1}"),
                          begin(first, "\"feedEpoch\":7,\"kind\":\"following\"}"),
                      });
  const auto asks = [](const std::string& request, const std::string& query) {
    return request.starts_with("GET /-/Events.Read?" + query + "&waitMs=0 HTTP/1.1\r\n");
  };
  CHECK(asks(first.script.requests[0], "epoch=7&since=2"));
  CHECK(asks(second.script.requests[0], "epoch=0&since=0"));
  CHECK(asks(first.script.requests[2], "epoch=7&since=5"));
  CHECK(told.troubles.size() == 2);
  CHECK(told.done.empty());
}

TEST_CASE("once: what is held, then the end, and false if nobody answers") {
  asio::io_context io;
  Core core(io, {Feed(7, 2, 0, "{\"number\":1}"), Feed(7, 2, 0, "")});
  Core no_feed(io, {Http(404, "{}")});
  Core nonsense(io, {Http(200, "[]")});
  Told told;
  FollowerSettings settings = QuickFollower({no_feed.address(), core.address()});
  settings.once = true;
  const auto follower = Follower::Start(io, settings, told.sink());
  REQUIRE(loopback::RunUntil(io, [&] { return !told.done.empty(); }));
  CHECK(told.done == std::vector<bool>{true});
  CHECK(told.lines.size() == 2);
  Told nobody;
  settings.cores = {no_feed.address(), nonsense.address()};
  const auto other = Follower::Start(io, settings, nobody.sink());
  REQUIRE(loopback::RunUntil(io, [&] { return !nobody.done.empty(); }));
  CHECK(nobody.done == std::vector<bool>{false});
  CHECK(nobody.lines.empty());
}

}  // namespace
}  // namespace fennelhollow::tools
