// Long responses and clients that leave: what one crowd does to the places of a server must not keep others
// from it. See site.hpp.
#include <boost/asio/socket_base.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "site.hpp"

namespace fennelhollow::rig {
namespace {

constexpr int kSlots = 8;
constexpr std::size_t kLongResponseBytes = 8 * kMebibyte;
// Less than a client may take to go on reading.
constexpr milliseconds kReadingPause{5'000};

// Sends `request` and leaves with a reset after a moment.
Site::Client AskAndLeave(std::string request, milliseconds after) {
  return [=](Tcp::socket& socket) -> asio::awaitable<void> {
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(request),
                               asio::redirect_error(asio::use_awaitable, error));
    asio::steady_timer timer(co_await asio::this_coro::executor, after);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    socket.set_option(asio::socket_base::linger(true, 0), error);
  };
}

// Guards against clients that keep a server's slots by reading long responses slowly, yet fast enough to
// stay.
TEST_CASE("clients that read long responses slowly leave slots to others") {
  // More than the sockets' buffers on the way hold.
  Site site({.padding_bytes = 4 * kLongResponseBytes, .slots = kSlots});
  site.Connect(3 * kSlots,
               AskAndReadSteadily(Head("GET", "/plans/x", ""), std::size_t{64} * 1024, milliseconds(500)));
  site.Watch(std::chrono::seconds(4));
  site.Check();
}

// Guards against a long response that is cut because its client does not read for some seconds.
TEST_CASE("a client that pauses while it reads a long response gets the whole of it") {
  Site site({.padding_bytes = 4 * kLongResponseBytes});
  std::size_t received = 0;
  site.Connect(1, [&received](Tcp::socket& socket) -> asio::awaitable<void> {
    boost::system::error_code error;
    const std::string request = Head("GET", "/plans/x", "");
    co_await asio::async_write(socket, asio::buffer(request),
                               asio::redirect_error(asio::use_awaitable, error));
    std::vector<char> piece(std::size_t{64} * 1024);
    received += co_await asio::async_read(socket, asio::buffer(piece),
                                          asio::redirect_error(asio::use_awaitable, error));
    asio::steady_timer pause(co_await asio::this_coro::executor, kReadingPause);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
    while (!error && received < 4 * kLongResponseBytes)
      received += co_await socket.async_read_some(asio::buffer(piece),
                                                  asio::redirect_error(asio::use_awaitable, error));
  });
  site.Watch(kCrowdTimeout, std::numeric_limits<std::uint64_t>::max());  // one client, also under sanitizers
  CHECK(received >= 4 * kLongResponseBytes);
  site.Check();
}

// Guards against slots that a server keeps for good, as it no longer sends the rest of its responses.
TEST_CASE("responses that a server no longer sends leave slots to others") {
  Site site(
      {.padding_bytes = kLongResponseBytes, .slots = kSlots, .stall_after_bytes = kLongResponseBytes / 4});
  site.Connect(3 * kSlots,
               AskAndReadSteadily(Head("GET", "/plans/stall", ""), std::size_t{64} * 1024, milliseconds(1)));
  site.Watch(std::chrono::seconds(4));
  site.Check();
}

// Guards against a server, or its route, that is avoided because strangers leave before their responses.
TEST_CASE("clients that leave before their responses do not close a route") {
  Site site({.slots = kSlots});
  for (int round = 0; round < 10; ++round) {
    site.Connect(60, AskAndLeave(Head("GET", "/plans/x", ""), milliseconds(round)));
    site.Watch(kCrowdTimeout);
  }
  site.Check();
}

// Guards against long responses whose parts wait in the links to several other sidecars: each link had a
// bound, all together had none.
TEST_CASE("downloads over several sidecars do not fill the memory of the server's sidecar") {
  Site site({.padding_bytes = kLongResponseBytes, .sidecar_descriptors = 1024, .slots = 400});
  for (const std::string& ip : {site.ips[1], site.ips[2]}) {
    NodeProcess& caller = site.AddCaller(ip);
    REQUIRE(site.Until(kStartTimeout, [&] { return site.Get(caller.readiness(), "/-/readiness") == 200; }));
    site.Connect(180, AskAndNeverRead(Head("GET", "/plans/x", "")), caller.outbound());
  }
  site.Watch(std::chrono::seconds(4));
  site.Check();
}

}  // namespace
}  // namespace fennelhollow::rig
