#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <new>
#include <random>
#include <stdexcept>

#include "loopback.hpp"
#include "mesh/transport/codec.hpp"
#include "mesh/transport/link.hpp"

namespace {
std::size_t g_largest_allocation = 0, g_total_allocated = 0;  // allocated bytes: largest request, and sum
}  // namespace
[[gnu::noinline]] void* operator new(std::size_t n) {
  g_largest_allocation = std::max(g_largest_allocation, n);
  g_total_allocated += n;
  if (void* p = std::malloc(n)) return p;
  throw std::bad_alloc();
}
[[gnu::noinline]] void* operator new(std::size_t n, const std::nothrow_t&) noexcept {
  g_largest_allocation = std::max(g_largest_allocation, n);
  g_total_allocated += n;
  return std::malloc(n);
}
[[gnu::noinline]] void operator delete(void* p) noexcept { std::free(p); }
[[gnu::noinline]] void operator delete(void* p, const std::nothrow_t&) noexcept { std::free(p); }
[[gnu::noinline]] void operator delete(void* p, std::size_t) noexcept { std::free(p); }

namespace fennelhollow::transport {
namespace {

using loopback::RawConnection;
using loopback::RunFor;
using loopback::RunUntil;

std::string Framed(const std::string& frame) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(frame.size() >> shift));
  return out + frame;
}

// A link connected to a raw socket.
struct Pair {
  Pair()
      : acceptor(io, [this](Tcp::socket socket) { link = Link::FromSocket(std::move(socket), {}); }),
        raw(RawConnection::Connect(io, acceptor.port())) {
    REQUIRE(RunUntil(io, [&] { return link != nullptr; }));
  }
  ~Pair() {
    link->Close();
    raw->Close();
    RunFor(io, 1);
  }
  void Start() {
    link->Start({[this](std::string_view frame) { frames.emplace_back(frame); }, [this] { ++closed; }, {}});
  }
  asio::io_context io;
  std::shared_ptr<Link> link;
  loopback::Acceptor acceptor;
  loopback::RawConnectionPtr raw;
  std::vector<std::string> frames;
  int closed = 0;
};

TEST_CASE("frames are reassembled wherever the stream is split") {
  Pair pair;
  pair.Start();
  const std::string bytes = Framed("one") + Framed("") + Framed(std::string(300, 'x')) + Framed("last");
  const std::vector<std::string> want = {"one", "", std::string(300, 'x'), "last"};
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    pair.frames.clear();
    pair.raw->Write(bytes.substr(0, cut));
    // Complete frames are delivered without waiting for the rest.
    const std::size_t complete = cut < 7 ? 0 : cut < 11 ? 1 : cut < 315 ? 2 : cut < bytes.size() ? 3 : 4;
    REQUIRE(RunUntil(pair.io, [&] { return pair.frames.size() == complete; }));
    pair.raw->Write(bytes.substr(cut));
    REQUIRE(RunUntil(pair.io, [&] { return pair.frames.size() == want.size(); }));
    REQUIRE(pair.frames == want);
  }
  CHECK(pair.closed == 0);
}

TEST_CASE("a length beyond the limit closes the link at once, and once") {
  Pair pair;
  pair.Start();
  pair.raw->Write(Framed("before") + std::string("\x7f\xff\xff\xff", 4) + "rest");
  REQUIRE(RunUntil(pair.io, [&] { return pair.closed > 0; }));
  RunFor(pair.io, 20);
  CHECK(pair.closed == 1);
  CHECK(pair.frames == std::vector<std::string>{"before"});
  CHECK_FALSE(pair.link->open());
  CHECK_FALSE(pair.link->Send("x"));
}

TEST_CASE("the largest frame goes both ways") {
  Pair pair;
  pair.Start();
  const std::string big(kMaxFrameBytes, 'b');
  pair.raw->Write(Framed(big));
  REQUIRE(RunUntil(pair.io, [&] { return !pair.frames.empty(); }));
  CHECK(pair.frames[0] == big);
  REQUIRE(pair.link->Send(big));
  REQUIRE(RunUntil(pair.io, [&] { return pair.raw->received.size() == big.size() + 4; }));
  CHECK(pair.raw->received == Framed(big));
}

TEST_CASE("frames sent before the link is connected are delivered in order") {
  asio::io_context io;
  std::vector<std::shared_ptr<Link>> links;
  std::vector<std::string> got;
  const auto port = loopback::FreePort(io);
  Listener listener(io, "127.0.0.1", port, {}, [&](std::shared_ptr<Link> link) {
    link->Start({[&](std::string_view frame) { got.emplace_back(frame); }, [] {}, {}});
    links.push_back(std::move(link));
  });
  const auto link = Link::Dial(io, {asio::ip::address_v4::loopback(), port}, 1000, {});
  CHECK(link->Send("first"));
  link->Start({[](std::string_view) {}, [] {}, {}});
  CHECK(link->Send("second"));
  CHECK_FALSE(link->connected());
  REQUIRE(RunUntil(io, [&] { return got.size() == 2; }));
  CHECK(got == std::vector<std::string>{"first", "second"});
  link->Close();
  for (const auto& other : links) other->Close();
  RunFor(io, 1);
}

TEST_CASE("a refused connection is reported once, and not from inside a call") {
  asio::io_context io;
  const auto link = Link::Dial(io, {asio::ip::address_v4::loopback(), loopback::FreePort(io)}, 1000, {});
  int closed = 0;
  link->Start({[](std::string_view) {}, [&] { ++closed; }, {}});
  CHECK(closed == 0);
  REQUIRE(RunUntil(io, [&] { return closed > 0; }));
  RunFor(io, 20);
  CHECK(closed == 1);
}

TEST_CASE("a link whose frame handler throws is closed, as it would never be read again") {
  Pair pair;
  pair.link->Start(
      {[](std::string_view) { throw std::runtime_error("broken"); }, [&] { ++pair.closed; }, {}});
  pair.raw->Write(Framed("frame"));
  CHECK_THROWS_AS(RunUntil(pair.io, [&] { return pair.closed > 0; }), std::runtime_error);
  CHECK(RunUntil(pair.io, [&] { return pair.closed == 1 && pair.raw->ended; }));
}

TEST_CASE("a listener whose callback throws accepts the next link") {
  asio::io_context io;
  const std::uint16_t port = loopback::FreePort(io);
  int accepted = 0;
  const Listener listener(io, "127.0.0.1", port, {}, [&](const std::shared_ptr<Link>&) {
    if (++accepted == 1) throw std::runtime_error("broken");
  });
  const auto first = RawConnection::Connect(io, port);
  CHECK_THROWS_AS(RunUntil(io, [&] { return accepted > 1; }), std::runtime_error);
  const auto second = RawConnection::Connect(io, port);
  CHECK(RunUntil(io, [&] { return accepted == 2; }));
}

TEST_CASE("a paused link delivers nothing until it resumes, also if paused inside a callback") {
  Pair pair;
  pair.link->Start({[&](std::string_view frame) {
                      pair.frames.emplace_back(frame);
                      if (frame == "stop") pair.link->PauseReading();
                    },
                    [&] { ++pair.closed; },
                    {}});
  pair.raw->Write(Framed("a") + Framed("stop") + Framed("b"));
  REQUIRE(RunUntil(pair.io, [&] { return pair.frames.size() == 2; }));
  pair.raw->Write(Framed("c"));
  RunFor(pair.io, 30);
  CHECK(pair.frames.size() == 2);
  pair.link->ResumeReading();
  CHECK(pair.frames.size() == 2);  // not from inside the call
  REQUIRE(RunUntil(pair.io, [&] { return pair.frames.size() == 4; }));
  CHECK(pair.frames == std::vector<std::string>{"a", "stop", "b", "c"});
}

TEST_CASE("the peer's close is reported once, after its last frame, and not after Close") {
  Pair pair;
  pair.Start();
  pair.raw->Write(Framed("last"));
  REQUIRE(RunUntil(pair.io, [&] { return pair.frames.size() == 1; }));
  pair.raw->Close();
  REQUIRE(RunUntil(pair.io, [&] { return pair.closed > 0; }));
  pair.link->Close();
  RunFor(pair.io, 20);
  CHECK(pair.closed == 1);

  Pair other;
  other.Start();
  other.link->Close();
  other.raw->Close();
  RunFor(other.io, 20);
  CHECK(other.closed == 0);
}

// on_closed: "not after Close()".
TEST_CASE("a link closed between its failure and the callback reports nothing") {
  Pair pair;
  pair.Start();
  CHECK_FALSE(pair.link->Send(std::string(kMaxFrameBytes + 1, 'x')));  // fails
  CHECK(pair.closed == 0);
  pair.link->Close();
  RunFor(pair.io, 20);
  CHECK(pair.closed == 0);
}

// ---- codec ----

struct Inner {
  std::string name;
  std::vector<std::uint64_t> numbers;
  bool flag = false;
  char padding[200] = {};  // needs far more memory than bytes in a frame
  template <class Archive>
  void serialize(Archive& a) {
    a(name, numbers, flag);
  }
};
struct Outer {
  Purpose purpose = Purpose::kProxy;
  double number = 0;
  std::vector<Inner> list;
  std::map<std::string, std::int32_t> map;
  template <class Archive>
  void serialize(Archive& a) {
    a(purpose, number, list, map);
  }
};

Outer Example() {
  Outer out;
  out.purpose = Purpose::kCore;
  out.number = -0.25;
  out.list.resize(2);
  out.list[0].name = std::string("with\0zero", 9);
  out.list[0].numbers = {1, ~std::uint64_t{0}};
  out.list[1].flag = true;
  out.map = {{"x", -1}, {"y", 2}};
  return out;
}

TEST_CASE("Unpack restores what Pack wrote") {
  const auto read = Unpack<Outer>(Pack(Example()));
  REQUIRE(read.ok());
  CHECK(read->purpose == Purpose::kCore);
  CHECK(read->number == -0.25);
  REQUIRE(read->list.size() == 2);
  CHECK(read->list[0].name == Example().list[0].name);
  CHECK(read->list[0].numbers == Example().list[0].numbers);
  CHECK(read->list[1].flag);
  CHECK(read->map == Example().map);
}

// Guards against a message that is taken for one of another kind, or an exception from a short frame.
TEST_CASE("a message's first number is read without the rest of it") {
  CHECK(PeekNumber(Pack(std::uint64_t{0x0102030405060708})) == 0x0102030405060708);
  CHECK(PeekNumber(Pack(std::uint64_t{7}) + "the rest") == 7);
  CHECK(PeekNumber("") == 0);
  CHECK(PeekNumber(Pack(std::uint32_t{7})) == 0);
}

TEST_CASE("a truncated frame or trailing bytes are an error") {
  const std::string bytes = Pack(Example());
  for (std::size_t n = 0; n < bytes.size(); ++n) CHECK_FALSE(Unpack<Outer>(bytes.substr(0, n)).ok());
  CHECK_FALSE(Unpack<Outer>(bytes + '\0').ok());
}

TEST_CASE("no memory is allocated for claimed lengths before the bytes arrive") {
  const auto claimed = [](std::uint64_t n) {
    std::string out(1, '\1');
    out.append(reinterpret_cast<const char*>(&n), sizeof n);
    return out + "few bytes";
  };
  for (const std::uint64_t n : {std::uint64_t{10}, std::uint64_t{1} << 20, std::uint64_t{1} << 28,
                                std::uint64_t{1} << 40, std::uint64_t{1} << 61, ~std::uint64_t{0}}) {
    INFO(n);
    const std::string frame = claimed(n);
    g_largest_allocation = g_total_allocated = 0;
    const bool read = Unpack<std::string>(frame).ok() || Unpack<std::vector<std::uint64_t>>(frame).ok() ||
                      Unpack<std::vector<Inner>>(frame).ok() ||
                      Unpack<std::vector<std::string>>(frame).ok() ||
                      Unpack<std::map<std::string, std::int32_t>>(frame).ok();
    const std::size_t largest = g_largest_allocation, sum = g_total_allocated;
    CHECK_FALSE(read);
    CHECK(largest < 4096);
    CHECK(sum < 16384);
  }
  // A count that the frame could hold, of elements that need far more memory than their bytes.
  std::string frame(1, '\1');
  const std::uint64_t n = 100'000;
  frame.append(reinterpret_cast<const char*>(&n), sizeof n);
  frame.append(n, '\xff');
  g_largest_allocation = 0;
  CHECK_FALSE(Unpack<std::vector<Inner>>(frame).ok());
  CHECK(g_largest_allocation < 4096);
}

TEST_CASE("random bytes are an error or a value, with bounded memory") {
  std::mt19937 random(7);
  const std::string good = Pack(Example());
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    if (i % 2 == 0) {
      bytes.resize(random() % 200);
      for (char& c : bytes) c = static_cast<char>(random());
    }
    for (unsigned n = random() % 4; n > 0 && !bytes.empty(); --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    g_largest_allocation = 0;
    const bool read = Unpack<Outer>(bytes).ok();
    if (g_largest_allocation >= 65536) FAIL("asked for " << g_largest_allocation << " bytes, read " << read);
  }
}

}  // namespace
}  // namespace fennelhollow::transport
