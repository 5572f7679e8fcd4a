// Large bodies through a whole sidecar over loopback sockets: bounded memory, slow peers, breaks in the
// middle.
#include <fstream>

#include "loopback.hpp"
#include "net/sidecar.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kLarge = std::size_t{32} * 1024 * 1024;

// A body's byte at this place: no two stretches alike, so that a lost or doubled one shows.
char ByteAt(std::size_t at) { return static_cast<char>((at * 2654435761U) >> 13); }

std::string Piece(std::size_t from, std::size_t size) {
  std::string out(size, '\0');
  for (std::size_t i = 0; i < size; ++i) out[i] = ByteAt(from + i);
  return out;
}

// One side of a connection that sends a head and then so many bytes of that body, and checks what it is sent.
class Bulk : public std::enable_shared_from_this<Bulk> {
 public:
  explicit Bulk(Tcp::socket connected) : socket(std::move(connected)) {}

  void Send(std::string first, std::size_t size, bool chunked = false) {
    left_ = size;
    chunked_ = chunked;
    out_ = std::move(first);
    Write();
  }
  // Reads until `stop` bytes of body have come; more is left to the kernel.
  void Read(std::size_t stop = ~std::size_t{0}) {
    stop_ = stop;
    if (!std::exchange(reading_, true)) ReadSome();
  }
  void Reset() {
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }

  // Nothing more belongs to the message, by its framing; where that is a length it is not counted.
  bool whole() const { return last_chunk || !InChunks(); }

  Tcp::socket socket;
  std::string head;                         // of the message that comes
  std::size_t come = 0;                     // bytes of its body
  bool right = true;                        // they were what they should be
  bool ended = false;                       // the connection has
  bool last_chunk = false;                  // its body ended, where it comes in chunks
  std::size_t send_most = ~std::size_t{0};  // bytes of body after which nothing more is sent
  std::function<void()> on_head;
  std::function<void()> on_come;

 private:
  void Write() {
    asio::async_write(socket, asio::buffer(out_), [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (!error) self->WriteMore();
    });
  }
  void WriteMore() {
    const std::size_t size = std::min<std::size_t>({left_, 65536, send_most - sent_});
    if (size == 0) {
      if (left_ == 0 && std::exchange(chunked_, false)) out_ = "0\r\n\r\n", Write();
      return;
    }
    out_ = Piece(sent_, size);
    if (chunked_) {
      char length[32];
      std::snprintf(length, sizeof length, "%zx;name=value\r\n", size);  // extensions are ignored
      out_ = length + out_ + "\r\n";
    }
    sent_ += size;
    left_ -= size;
    Write();
  }
  void ReadSome() {
    if (come >= stop_) {
      reading_ = false;
      return;
    }
    socket.async_read_some(asio::buffer(in_), [self = shared_from_this()](ErrorCode error, std::size_t n) {
      self->ended = self->ended || error;
      if (error) return;
      self->Take({self->in_.data(), n});
      self->ReadSome();
    });
  }
  void Take(std::string_view bytes) {
    if (!whole_head_) {
      head.append(bytes);
      const auto end = head.find("\r\n\r\n");
      if (end == std::string::npos) return;
      const std::string rest = head.substr(end + 4);
      head.resize(end + 4);
      whole_head_ = true;
      if (on_head) on_head();
      return Take(rest);
    }
    if (InChunks()) return TakeChunks(bytes);
    TakeBody(bytes);
  }
  bool InChunks() const { return head.find("chunked") != std::string::npos; }
  void TakeBody(std::string_view bytes) {
    for (const char c : bytes) right = right && c == ByteAt(come++);
    if (on_come) on_come();
  }
  void TakeChunks(std::string_view bytes) {
    raw_.append(bytes);
    for (;;) {
      if (chunk_ == 0) {
        // The line end behind the chunk before it may come with the next read.
        const std::size_t behind = any_chunk_ ? 2 : 0;
        const auto end = raw_.find("\r\n", behind);
        if (end == std::string::npos) return;
        chunk_ = std::stoul(raw_.substr(behind, end - behind), nullptr, 16);
        if (chunk_ == 0) {
          if (raw_.find("\r\n\r\n", behind) == std::string::npos) return;
          last_chunk = true;
          if (on_come) on_come();
          return;
        }
        raw_.erase(0, end + 2);
        any_chunk_ = true;
      }
      const std::size_t n = std::min(chunk_, raw_.size());
      TakeBody(std::string_view(raw_).substr(0, n));
      raw_.erase(0, n);
      chunk_ -= n;
      if (chunk_ > 0) return;
    }
  }

  std::array<char, 65536> in_{};
  std::string out_;
  std::string raw_;
  std::size_t chunk_ = 0;   // bytes of the chunk under way that are still to come
  bool any_chunk_ = false;  // one has come before
  std::size_t left_ = 0;
  std::size_t sent_ = 0;
  std::size_t stop_ = 0;
  bool chunked_ = false;
  bool reading_ = false;
  bool whole_head_ = false;
};
using BulkPtr = std::shared_ptr<Bulk>;

// Hands each connection to the test.
class BulkServer {
 public:
  BulkServer(asio::io_context& io, std::function<void(const BulkPtr&)> on_peer)
      : acceptor_(io, Loopback()), on_peer_(std::move(on_peer)) {
    Accept();
  }
  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::vector<BulkPtr> peers;

 private:
  void Accept() {
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Bulk>(std::move(socket)));
      on_peer_(peers.back());
      peers.back()->Read();
      Accept();
    });
  }
  Tcp::acceptor acceptor_;
  std::function<void(const BulkPtr&)> on_peer_;
};

std::string Post(const std::string& id, const std::string& framing) {
  return "POST /api HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: port\r\n" + framing + "\r\n\r\n";
}
std::string Length(std::size_t size) { return "Content-Length: " + std::to_string(size); }
constexpr const char* kChunked = "Transfer-Encoding: chunked";

class StreamingTest : public ::testing::Test {
 protected:
  StreamingTest() : server(io, [this](const BulkPtr& peer) { on_peer(peer); }) {}
  void Start() {
    Config config = ParseConfig(ConfigJson(NoDiscovery(), {Entry("s1", server.address())}).dump(), "", "");
    config.listen = Loopback();
    sidecar = std::make_unique<Sidecar>(io, std::move(config));
    sidecar->Start();
  }
  static Tcp::endpoint NoDiscovery() { return {asio::ip::make_address("127.0.0.1"), 1}; }
  BulkPtr Client() {
    auto client = std::make_shared<Bulk>(Tcp::socket(io));
    client->socket.connect(sidecar->address());
    return client;
  }
  // Answers once `size` bytes have come, and the end of the body where it comes in chunks: an answer ahead of
  // it belongs to no request.
  static void AnswerAfter(const BulkPtr& peer, std::size_t size, const std::string& head, std::size_t body,
                          bool chunked = false) {
    peer->on_come = [weak = std::weak_ptr<Bulk>(peer), size, head, body, chunked] {
      const auto self = weak.lock();
      if (self->come == size && self->whole()) self->Send(head, body, chunked);
    };
  }

  asio::io_context io;
  BulkServer server;
  std::function<void(const BulkPtr&)> on_peer = [](const BulkPtr&) {};
  std::unique_ptr<Sidecar> sidecar;
};

TEST_F(StreamingTest, ThirtyTwoMegabytesGoThroughBothWays) {
  on_peer = [](const BulkPtr& peer) {
    AnswerAfter(peer, kLarge, "HTTP/1.1 200 OK\r\n" + Length(kLarge) + "\r\n\r\n", kLarge);
  };
  Start();
  auto client = Client();
  client->Send(Post("r1", Length(kLarge)), kLarge);
  client->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return client->come == kLarge; }));
  EXPECT_TRUE(client->right && server.peers.at(0)->right);
  EXPECT_NE(server.peers[0]->head.find(Length(kLarge)), std::string::npos);
  EXPECT_NE(client->head.find("200 OK"), std::string::npos);
  EXPECT_TRUE(
      RunUntil(io, [&] { return sidecar->active_requests() == 0 && sidecar->counters().active == 0; }));
  EXPECT_EQ(sidecar->counters().attempts_sent, 1);
  EXPECT_EQ(sidecar->counters().classes[2].ok, 1);
}

TEST_F(StreamingTest, ChunksWithExtensionsGoThroughBothWays) {
  constexpr std::size_t kSize = 3'000'001;
  on_peer = [](const BulkPtr& peer) {
    AnswerAfter(peer, kSize, std::string("HTTP/1.1 200 OK\r\n") + kChunked + "\r\n\r\n", kSize, true);
  };
  Start();
  auto client = Client();
  client->Send(Post("r1", kChunked), kSize, true);
  client->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return client->last_chunk; }));
  EXPECT_EQ(client->come, kSize);
  EXPECT_TRUE(client->right && server.peers.at(0)->right);
}

// Forty at once, as a program of its own would hold them: what is held is counted, not guessed, and flat in
// the bodies' size.
TEST_F(StreamingTest, FortyAtOnceHoldTheirPipesAndNoMore) {
  constexpr std::size_t kSize = 4'000'000;
  on_peer = [](const BulkPtr& peer) {
    AnswerAfter(peer, kSize, "HTTP/1.1 200 OK\r\n" + Length(kSize) + "\r\n\r\n", kSize);
  };
  Start();
  std::vector<BulkPtr> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(Client());
    clients.back()->Send(Post("r" + std::to_string(i), Length(kSize)), kSize);
    clients.back()->Read();
  }
  std::size_t most = 0;
  ASSERT_TRUE(RunUntil(io, [&] {
    most = std::max(most, sidecar->reserved_memory());
    return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->come == kSize; });
  }));
  for (const auto& client : clients) EXPECT_TRUE(client->right);
  EXPECT_GT(most, 0U);
  EXPECT_LE(most, 40 * 2 * kPipeReservation);
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->reserved_memory() == 0; }));
}

// A client that takes nothing more: what its server gives stays with the server.
TEST_F(StreamingTest, AStalledReaderHoldsItsServerBack) {
  on_peer = [](const BulkPtr& peer) {
    AnswerAfter(peer, 4, "HTTP/1.1 200 OK\r\n" + Length(kLarge) + "\r\n\r\n", kLarge);
  };
  Start();
  auto client = Client();
  client->socket.set_option(Tcp::socket::receive_buffer_size(65536));
  client->Send(Post("r1", Length(4)), 4);
  client->Read(200'000);
  ASSERT_TRUE(RunUntil(io, [&] { return client->come >= 200'000; }));
  RunFor(io, 200ms);
  EXPECT_LE(sidecar->reserved_memory(), 2 * kPipeReservation);
  client->Read();  // it goes on, and nothing was lost
  ASSERT_TRUE(RunUntil(io, [&] { return client->come == kLarge; }));
  EXPECT_TRUE(client->right);
}

TEST_F(StreamingTest, AClientThatLeavesInTheMiddleFreesAllThatItHeld) {
  on_peer = [](const BulkPtr& peer) {
    AnswerAfter(peer, 4, "HTTP/1.1 200 OK\r\n" + Length(kLarge) + "\r\n\r\n", kLarge);
  };
  Start();
  auto client = Client();
  client->Send(Post("r1", Length(4)), 4);
  client->Read(100'000);
  ASSERT_TRUE(RunUntil(io, [&] { return client->come >= 100'000; }));
  client->Reset();
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers.at(0)->ended && sidecar->reserved_memory() == 0; }));
  EXPECT_EQ(sidecar->upstream_connections(), 0U);
  EXPECT_EQ(sidecar->counters().active, 0);
}

TEST_F(StreamingTest, AnAnswerThatBreaksOffIsSeenToBeCut) {
  for (const bool chunked : {false, true}) {
    on_peer = [&](const BulkPtr& peer) {
      peer->send_most = 1'000'000;
      const std::string framing = chunked ? kChunked : Length(kLarge);
      AnswerAfter(peer, 4, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n", kLarge, chunked);
    };
    Start();
    auto client = Client();
    client->Send(Post("r1", Length(4)), 4);
    client->Read();
    ASSERT_TRUE(RunUntil(io, [&] { return client->come > 500'000; }));
    server.peers.back()->Reset();
    EXPECT_TRUE(RunUntil(io, [&] { return client->ended; }));
    EXPECT_LT(client->come, kLarge);
    EXPECT_FALSE(client->last_chunk);
    EXPECT_TRUE(client->right);
    EXPECT_EQ(sidecar->counters().classes[2].errors, 1);
    EXPECT_EQ(sidecar->counters().active, 0);
    sidecar = nullptr;
  }
}

// What was sent on of the body is gone, and its server never had it whole: it is refused, as trying again is
// harmless, and sent to nobody else.
TEST_F(StreamingTest, ARequestThatBreaksOffAtItsServerIsRefusedAndNotSentAgain) {
  on_peer = [](const BulkPtr& peer) {
    peer->on_come = [weak = std::weak_ptr<Bulk>(peer)] {
      if (weak.lock()->come > 500'000) weak.lock()->Reset();
    };
  };
  Start();
  auto client = Client();
  client->Send(Post("r1", Length(kLarge)), kLarge);
  client->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return !client->head.empty(); }));
  EXPECT_NE(client->head.find("503"), std::string::npos) << client->head;
  EXPECT_NE(client->head.find("Connection: close"), std::string::npos);
  RunFor(io, 300ms);
  EXPECT_EQ(server.peers.size(), 1U);
  EXPECT_EQ(sidecar->counters().attempts_sent, 0);
}

// Before anything of it is gone it goes to another server like any other.
TEST_F(StreamingTest, ALargeRequestWhoseServerCannotBeReachedGoesToAnother) {
  on_peer = [](const BulkPtr& peer) {
    AnswerAfter(peer, 300'000, "HTTP/1.1 200 OK\r\nConnection: close\r\n" + Length(2) + "\r\n\r\n", 2);
  };
  Tcp::acceptor nobody(io, Loopback());
  const Tcp::endpoint dead = nobody.local_endpoint();
  nobody.close();
  Config config = ParseConfig(
      ConfigJson(NoDiscovery(), {Entry("s0", dead), Entry("s1", server.address())}).dump(), "", "");
  config.listen = Loopback();
  sidecar = std::make_unique<Sidecar>(io, std::move(config));
  sidecar->Start();
  for (int i = 0; i < 8; ++i) {  // chance decides which of the two is first
    auto client = Client();
    client->Send(Post("r" + std::to_string(i), Length(300'000)), 300'000);
    client->Read();
    ASSERT_TRUE(RunUntil(io, [&] { return client->come == 2; }));
    EXPECT_NE(client->head.find("200 OK"), std::string::npos) << client->head;
  }
}

// A client that is slow but keeps to its rate is waited for, though its body takes longer than its deadline.
TEST_F(StreamingTest, TheTimeOfARequestCountsFromItsLastByte) {
  on_peer = [](const BulkPtr& peer) {
    AnswerAfter(peer, 200'000, "HTTP/1.1 200 OK\r\n" + Length(2) + "\r\n\r\n", 2);
  };
  Start();
  auto client = Client();
  client->send_most = 150'000;
  client->Send(Post("r1", "Req-Deadline: 0.300\r\n" + Length(200'000)), 200'000);
  client->Read();
  RunFor(io, 900ms);
  EXPECT_EQ(client->head, "");
  asio::write(client->socket, asio::buffer(Piece(150'000, 50'000)));
  ASSERT_TRUE(RunUntil(io, [&] { return client->come == 2; }));
  EXPECT_NE(client->head.find("200 OK"), std::string::npos);
}

TEST_F(StreamingTest, ABodyThatStopsInTheMiddleIsToldOff) {
  Start();
  auto client = Client();
  client->send_most = 150'000;
  client->Send(Post("r1", Length(200'000)), 200'000);
  client->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return !client->head.empty(); }));
  EXPECT_NE(client->head.find("408"), std::string::npos);
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->active_requests() == 0 && server.peers.at(0)->ended; }));
}

TEST_F(StreamingTest, ExpectContinueIsAnsweredBeforeTheBody) {
  on_peer = [](const BulkPtr& peer) {
    AnswerAfter(peer, 5, "HTTP/1.1 200 OK\r\n" + Length(2) + "\r\n\r\n", 2);
  };
  Start();
  auto client = Connect(io, sidecar->address());
  client->Write(Post("r1", "Expect: 100-continue\r\n" + Length(5)));
  ASSERT_TRUE(RunUntil(io, [&] { return client->received == "HTTP/1.1 100 Continue\r\n\r\n"; }));
  client->Write(Piece(0, 5));
  ASSERT_TRUE(RunUntil(io, [&] { return client->requests() == 2; }));
  EXPECT_NE(client->received.find("200 OK"), std::string::npos);
}

}  // namespace
}  // namespace merlinrun::net
