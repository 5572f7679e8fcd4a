#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "loopback.hpp"
#include "net/address.hpp"
#include "tools/mesh/event_watcher.hpp"
#include "tools/mesh/retrying_client.hpp"

namespace fennelhollow::tools {
namespace {

using loopback::RawConnection;
using loopback::ScriptedHttpServer;

std::string Http(unsigned status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends the responses one per request, then repeats the last; "" sends none.
struct Core {
  Core(asio::io_context& io, std::vector<std::string> responses)
      : server(io, [this, responses](RawConnection& raw, const std::string&) {
          const std::string& response = responses[std::min(responses.size(), server.requests.size()) - 1];
          if (!response.empty()) raw.Write(response);
        }) {}
  Tcp::endpoint address() const { return *merlinrun::net::ParseAddress(server.address()); }
  ScriptedHttpServer server;
};

RetryLimits FastLimits() {
  RetryLimits out;
  out.http.connect_timeout = out.http.response_timeout = milliseconds(150);
  out.initial_backoff = out.max_backoff = milliseconds(1);
  out.total_timeout = milliseconds(8000);
  return out;
}

Outcome SendCall(asio::io_context& io, std::vector<Tcp::endpoint> cores,
                 const RetryLimits& limits = FastLimits()) {
  std::vector<Outcome> out;
  RetryingClient::Start(io, std::move(cores), {"POST", "/-/Configuration.Replace", "{\"version\":1}"}, limits,
                        [&out](Outcome outcome) { out.push_back(std::move(outcome)); });
  REQUIRE(loopback::RunUntil(io, [&] { return !out.empty(); }));
  return out.front();
}

TEST_CASE("a final response ends the call and sets the exit status") {
  const std::vector<std::pair<unsigned, int>> statuses = {{200, 0}, {400, 2}, {413, 2}, {422, 2},
                                                          {404, 2}, {409, 3}, {412, 3}};
  for (const auto& [status, exit] : statuses) {
    asio::io_context io;
    Core core(io, {Http(status, "{}")});
    const Outcome outcome = SendCall(io, {core.address()});
    CHECK(static_cast<int>(outcome.exit) == exit);
    CHECK(outcome.status == status);
    CHECK(outcome.responder == core.server.address());
    CHECK(core.server.requests.size() == 1);
  }
}

TEST_CASE("timeouts, refused connections, 5xx, 408 and 429 are retried unchanged at the next core") {
  asio::io_context io;
  Core first(io, {"", Http(503, "{}", "Retry-After: 0.001\r\n"), Http(408, "{}")});
  Core second(io, {Http(500, "{}"), "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", Http(200, "taken")});
  const Tcp::endpoint unreachable(asio::ip::make_address("127.0.0.1"), loopback::FreePort(io));
  const Outcome outcome = SendCall(io, {first.address(), unreachable, second.address()});
  CHECK(outcome.exit == ExitStatus::kSuccess);
  CHECK(outcome.body == "taken");
  CHECK(outcome.attempts == 9);
  REQUIRE(first.server.requests.size() == 3);
  REQUIRE(second.server.requests.size() == 3);
  const auto without_host = [](std::string request) {
    return request.replace(request.find("Host: "), 22, "");
  };
  for (const auto* server : {&first.server, &second.server}) {
    for (const std::string& request : server->requests) {
      CHECK(request.ends_with("{\"version\":1}"));
      CHECK(request.starts_with("POST /-/Configuration.Replace HTTP/1.1\r\n"));
      CHECK(without_host(request).size() == without_host(first.server.requests[0]).size());
    }
  }
  Core busy(io, {Http(429, "{}"), Http(200, "")});
  CHECK(SendCall(io, {busy.address()}).attempts == 2);
}

TEST_CASE("at most two redirects are followed") {
  asio::io_context io;
  Core end(io, {Http(200, "here")});
  const auto to = [](const Core& core) {
    return Http(307, "{}", "Location: http://" + core.server.address() + "/-/Configuration.Replace\r\n");
  };
  Core one_hop(io, {to(end)});
  Core two_hops(io, {to(one_hop)});
  CHECK(SendCall(io, {two_hops.address()}).responder == end.server.address());
  CHECK(end.server.requests.front().ends_with("{\"version\":1}"));
  Core three_hops(io, {to(two_hops), Http(412, "{}")});
  const Outcome outcome = SendCall(io, {three_hops.address()});
  CHECK(outcome.exit == ExitStatus::kConflict);
  CHECK(outcome.attempts == 2);
  CHECK(end.server.requests.size() == 1);
  Core bad_location(io, {Http(307, "{}", "Location: elsewhere\r\n"), Http(200, "")});
  CHECK(SendCall(io, {bad_location.address()}).attempts == 2);
}

TEST_CASE("without a final response the call ends at the total timeout") {
  asio::io_context io;
  Core core(io, {Http(503, "{}", "Retry-After: 3600\r\n")});
  RetryLimits limits = FastLimits();
  limits.total_timeout = milliseconds(40);
  limits.max_backoff = milliseconds(15);  // caps Retry-After
  const Outcome outcome = SendCall(io, {core.address()}, limits);
  CHECK(outcome.exit == ExitStatus::kUnavailable);
  CHECK(outcome.attempts >= 1);
  CHECK(outcome.attempts <= 4);
  CHECK(outcome.last_error == core.server.address() + " answered 503");
  limits.total_timeout = milliseconds(0);
  CHECK(SendCall(io, {core.address()}, limits).attempts == 1);
}

TEST_CASE("ParseCores takes addresses and drops duplicates") {
  CHECK(ParseCores("10.0.0.1:70,10.0.0.2:70,10.0.0.1:70")->size() == 2);
  for (const char* bad : {"", ",", "10.0.0.1", "host:70", "10.0.0.1:70000"})
    CHECK_FALSE(ParseCores(bad).ok());
}

struct RecordedEvents {
  std::vector<std::string> lines, errors;
  std::vector<bool> done;
  EventWatcher::Sink sink() {
    return {[this](std::string line) { lines.push_back(std::move(line)); },
            [this](std::string line) { errors.push_back(std::move(line)); },
            [this](bool answered) { done.push_back(answered); }};
  }
};

std::string EventsResponse(int epoch, int next, int lost, const std::string& events) {
  return Http(200, "{\"epoch\":" + std::to_string(epoch) + ",\"next\":" + std::to_string(next) +
                       ",\"lost\":" + std::to_string(lost) + ",\"events\":[" + events + "]}");
}

EventWatcherSettings FastWatcherSettings(std::vector<Tcp::endpoint> cores) {
  EventWatcherSettings out;
  out.cores = std::move(cores);
  out.poll_wait = milliseconds(0);
  out.http = FastLimits().http;
  out.initial_backoff = out.max_backoff = milliseconds(1);
  return out;
}

TEST_CASE("the watcher fails over between cores and resumes each at its own position") {
  asio::io_context io;
  const std::string event = "{\"number\":4,\"atMs\":1,\"kind\":\"holder\",\"address\":\"a\",\"epoch\":9}";
  Core first(io, {EventsResponse(7, 5, 2, event), Http(503, "{}"), EventsResponse(7, 5, 0, ""), ""});
  Core second(io, {EventsResponse(8, 2, 0, "{\"number\":1}"), "broken\r\n\r\n"});
  RecordedEvents recorded;
  EventWatcherSettings settings = FastWatcherSettings({first.address(), second.address()});
  settings.epoch = 7;
  settings.since = 2;
  const auto watcher = EventWatcher::Start(io, settings, recorded.sink());
  REQUIRE(loopback::RunUntil(io, [&] { return first.server.requests.size() == 4; }));
  const auto line_from = [](const Core& core, const std::string& rest) {
    return "{\"core\":\"" + core.server.address() + "\"," + rest;
  };
  CHECK(recorded.lines == std::vector<std::string>{
                              line_from(first, "\"feedEpoch\":7,\"kind\":\"following\"}"),
                              line_from(first, "\"feedEpoch\":7,\"kind\":\"lost\",\"count\":2}"),
                              line_from(first, "\"feedEpoch\":7," + event.substr(1)),
                              line_from(second, "\"feedEpoch\":8,\"kind\":\"following\"}"),
                              line_from(second, "\"feedEpoch\":8,\"number\":1}"),
                              line_from(first, "\"feedEpoch\":7,\"kind\":\"following\"}"),
                          });
  const auto polls = [](const std::string& request, const std::string& query) {
    return request.starts_with("GET /-/Events.Read?" + query + "&waitMs=0 HTTP/1.1\r\n");
  };
  CHECK(polls(first.server.requests[0], "epoch=7&since=2"));
  CHECK(polls(second.server.requests[0], "epoch=0&since=0"));
  CHECK(polls(first.server.requests[2], "epoch=7&since=5"));
  CHECK(recorded.errors.size() == 2);
  CHECK(recorded.done.empty());
}

TEST_CASE("with once, the watcher ends after the held events, or unsuccessfully if no core answers") {
  asio::io_context io;
  Core core(io, {EventsResponse(7, 2, 0, "{\"number\":1}"), EventsResponse(7, 2, 0, "")});
  Core no_feed(io, {Http(404, "{}")});
  Core invalid_body(io, {Http(200, "[]")});
  RecordedEvents recorded;
  EventWatcherSettings settings = FastWatcherSettings({no_feed.address(), core.address()});
  settings.once = true;
  const auto watcher = EventWatcher::Start(io, settings, recorded.sink());
  REQUIRE(loopback::RunUntil(io, [&] { return !recorded.done.empty(); }));
  CHECK(recorded.done == std::vector<bool>{true});
  CHECK(recorded.lines.size() == 2);
  RecordedEvents failed;
  settings.cores = {no_feed.address(), invalid_body.address()};
  const auto other = EventWatcher::Start(io, settings, failed.sink());
  REQUIRE(loopback::RunUntil(io, [&] { return !failed.done.empty(); }));
  CHECK(failed.done == std::vector<bool>{false});
  CHECK(failed.lines.empty());
}

}  // namespace
}  // namespace fennelhollow::tools
