// Clients that keep to none of the limits, and what a sidecar must bear of them: see site.hpp.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "mesh/transport/codec.hpp"
#include "site.hpp"

namespace fennelhollow::rig {
namespace {

constexpr int kFloods = 6;
constexpr std::size_t kFloodBytes = 24 * kMebibyte;
constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;

// Guards against trailers without end behind a chunked body: they filled the memory, as nothing bounds what
// the parser has not consumed.
TEST_CASE("trailer fields without end do not fill the memory") {
  Site site;
  site.Connect(kFloods, Flood(Head("POST", "/plans/x", kChunked) + "1\r\nx\r\n0\r\n",
                              Repeated("Trailer-Field: value\r\n", kPieceBytes), kFloodBytes));
  site.Watch(kCrowdTimeout);
  site.Check();
}

// Guards against the same with one line that never ends.
TEST_CASE("a trailer line without end does not fill the memory") {
  Site site;
  site.Connect(kFloods, Flood(Head("POST", "/plans/x", kChunked) + "1\r\nx\r\n0\r\nTrailer: ",
                              std::string(kPieceBytes, 'a'), kFloodBytes));
  site.Watch(kCrowdTimeout);
  site.Check();
}

// Guards against the same with a chunk extension.
TEST_CASE("a chunk extension without end does not fill the memory") {
  Site site;
  site.Connect(kFloods, Flood(Head("POST", "/plans/x", kChunked) + "1;name=", std::string(kPieceBytes, 'a'),
                              kFloodBytes));
  site.Watch(kCrowdTimeout);
  site.Check();
}

// Guards against a buffer that grows with each request that is handled while more of them have arrived.
TEST_CASE("pipelined requests without end do not fill the memory") {
  Site site;
  const std::string request = Head("GET", "/plans/x", "");
  site.Connect(kFloods, Flood("", Repeated(request, kPieceBytes), kFloodBytes));
  site.Watch(std::chrono::seconds(4));
  site.Check();
}

// Guards against long responses that many clients do not read: each had a bound, all together had none.
TEST_CASE("downloads that are not read do not fill the memory") {
  Site site({.padding_bytes = 8 * kMebibyte});
  site.Connect(48, AskAndNeverRead(Head("GET", "/plans/x", "")));
  site.Watch(kCrowdHolds);
  site.Check();
}

// Guards against bodies whose copies are not counted.
TEST_CASE("large uploads at once do not fill the memory") {
  Site site;
  const std::size_t body_bytes = 12 * kMebibyte;
  site.Connect(12, Flood(Head("POST", "/plans/x", "Content-Length: " + std::to_string(body_bytes) + "\r\n"),
                         std::string(kPieceBytes, 'b'), body_bytes));
  site.Watch(kCrowdTimeout);
  site.Check();
}

// Guards against bodies that are kept for clients that send no more of them.
TEST_CASE("uploads that stop midway do not fill the memory") {
  Site site;
  const std::size_t sent_bytes = std::size_t{800} * 1024;
  site.Connect(120, AskAndNeverRead(Head("POST", "/plans/x", "Content-Length: 1000000\r\n") +
                                    std::string(sent_bytes, 'b')));
  site.Watch(kCrowdHolds);
  site.Check();
}

// Guards against connections that leave no descriptor for anybody else.
TEST_CASE("many connections do not take the last descriptor") {
  Site site;
  site.Connect(400, AskAndNeverRead("GET /plans/x HTTP/1.1\r\nHost: "));
  site.Watch(kCrowdHolds);
  site.Check();
}

// Guards against silent connections that keep other sidecars from the internal port for good.
TEST_CASE("silent connections at the internal port are closed") {
  Site site;
  site.Connect(100, WaitForEnd(), site.sidecar().internal());
  site.Watch(kCrowdTimeout);
  CHECK(site.connected == 0);
  site.Check();
}

// Sends what a sidecar says first to another, if `hello`, then a part of one frame, and stays.
Site::Client SendUnfinishedFrame(bool hello, std::size_t frame_bytes) {
  return [=](Tcp::socket& socket) -> asio::awaitable<void> {
    std::string bytes;
    transport::Hello first;
    first.incarnation = 1;
    if (hello) bytes = Frame(transport::Pack(first));
    const std::string frame = Frame(std::string(frame_bytes, 'f'));
    bytes += frame.substr(0, frame.size() - 1);
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (!error) co_await WaitForEnd()(socket);
  };
}

// Guards against frames at the internal port that never end: each link had a bound, all together had none.
TEST_CASE("unfinished frames at the internal port do not fill the memory") {
  Site site;
  const bool hello = GENERATE(false, true);
  const std::size_t frame_bytes = GENERATE(std::size_t{900} * 1024, 4 * kMebibyte);
  INFO((hello ? "after a Hello, " : "without a Hello, ") << frame_bytes << " bytes");
  site.Connect(100, SendUnfinishedFrame(hello, frame_bytes), site.sidecar().internal());
  site.Watch(kCrowdHolds);
  site.Check();
}

// Guards against bodies inside the limits that were always refused: more than 16 MiB were queued in a link.
TEST_CASE("a single upload near the limit is served in calm") {
  constexpr int kUsualMemoryMb = 256;
  Site site({.sidecar_memory_mb = kUsualMemoryMb});
  site.maximum_body_bytes = 40 * kMebibyte;
  site.route_timeout = kUploadDeadline;
  REQUIRE(site.ApplyLargerLimits() == 200);
  const bool served = site.Until(kStartTimeout, [&] {
    Request upload = ShopRequest(true, "/plans/x", AttemptId(++site.requests), kUploadDeadline);
    upload.body() = std::string(site.maximum_body_bytes - kMebibyte, 'u');
    upload.prepare_payload();
    return site.Call(site.sidecar().outbound(), upload, kUploadDeadline) == 200;
  });
  site.Look();
  CHECK(served);
  CHECK_FALSE(site.sidecar().Ended());
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
  CHECK(site.highest_resident < kUsualMemoryMb * kMebibyte);
#endif
}

}  // namespace
}  // namespace fennelhollow::rig
