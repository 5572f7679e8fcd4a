// Tests streamed bodies through a whole sidecar: bounded memory, slow peers, and interrupted transfers.
#include <fstream>

#include "loopback.hpp"
#include "net/sidecar.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kLarge = std::size_t{32} * 1024 * 1024;

// The byte of the test body at an offset; without repeated sections, so that lost or duplicated data is
// noticed.
char ByteAt(std::size_t at) { return static_cast<char>((at * 2654435761U) >> 13); }

std::string BodyBytes(std::size_t from, std::size_t size) {
  std::string out(size, '\0');
  for (std::size_t i = 0; i < size; ++i) out[i] = ByteAt(from + i);
  return out;
}

// One end of a connection that sends a header and `size` bytes of the test body, and verifies what it
// receives.
class BulkPeer : public std::enable_shared_from_this<BulkPeer> {
 public:
  explicit BulkPeer(Tcp::socket connected) : socket(std::move(connected)) {}

  void Send(std::string first, std::size_t size, bool chunked = false) {
    left_ = size;
    chunked_ = chunked;
    out_ = std::move(first);
    Write();
  }
  // Reads until `stop` bytes of the body have been received.
  void Read(std::size_t stop = ~std::size_t{0}) {
    stop_ = stop;
    if (!std::exchange(reading_, true)) ReadSome();
  }
  void Reset() {
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }

  // For chunked messages: the last chunk has been received. Always true with a Content-Length.
  bool IsComplete() const { return last_chunk || !IsChunked(); }

  Tcp::socket socket;
  std::string head;                          // of the received message
  std::size_t received_bytes = 0;            // of the body
  bool content_valid = true;                 // the received body matches
  bool ended = false;                        // the connection is closed
  bool last_chunk = false;                   // received
  std::size_t send_limit = ~std::size_t{0};  // bytes of the body to send at most
  std::function<void()> on_head;
  std::function<void()> on_progress;

 private:
  void Write() {
    asio::async_write(socket, asio::buffer(out_), [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (!error) self->WriteMore();
    });
  }
  void WriteMore() {
    const std::size_t size = std::min<std::size_t>({left_, 65536, send_limit - sent_});
    if (size == 0) {
      if (left_ == 0 && std::exchange(chunked_, false)) out_ = "0\r\n\r\n", Write();
      return;
    }
    out_ = BodyBytes(sent_, size);
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
    if (received_bytes >= stop_) {
      reading_ = false;
      return;
    }
    socket.async_read_some(asio::buffer(in_), [self = shared_from_this()](ErrorCode error, std::size_t n) {
      self->ended = self->ended || error;
      if (error) return;
      self->ProcessInput({self->in_.data(), n});
      self->ReadSome();
    });
  }
  void ProcessInput(std::string_view bytes) {
    if (!header_complete_) {
      head.append(bytes);
      const auto end = head.find("\r\n\r\n");
      if (end == std::string::npos) return;
      const std::string rest = head.substr(end + 4);
      head.resize(end + 4);
      header_complete_ = true;
      if (on_head) on_head();
      return ProcessInput(rest);
    }
    if (IsChunked()) return ProcessChunks(bytes);
    ProcessBody(bytes);
  }
  bool IsChunked() const { return head.find("chunked") != std::string::npos; }
  void ProcessBody(std::string_view bytes) {
    for (const char c : bytes) content_valid = content_valid && c == ByteAt(received_bytes++);
    if (on_progress) on_progress();
  }
  void ProcessChunks(std::string_view bytes) {
    raw_.append(bytes);
    for (;;) {
      if (chunk_ == 0) {
        // The line break after the previous chunk may arrive with the next read.
        const std::size_t behind = any_chunk_ ? 2 : 0;
        const auto end = raw_.find("\r\n", behind);
        if (end == std::string::npos) return;
        chunk_ = std::stoul(raw_.substr(behind, end - behind), nullptr, 16);
        if (chunk_ == 0) {
          if (raw_.find("\r\n\r\n", behind) == std::string::npos) return;
          last_chunk = true;
          if (on_progress) on_progress();
          return;
        }
        raw_.erase(0, end + 2);
        any_chunk_ = true;
      }
      const std::size_t n = std::min(chunk_, raw_.size());
      ProcessBody(std::string_view(raw_).substr(0, n));
      raw_.erase(0, n);
      chunk_ -= n;
      if (chunk_ > 0) return;
    }
  }

  std::array<char, 65536> in_{};
  std::string out_;
  std::string raw_;
  std::size_t chunk_ = 0;   // remaining bytes of the current chunk
  bool any_chunk_ = false;  // received
  std::size_t left_ = 0;
  std::size_t sent_ = 0;
  std::size_t stop_ = 0;
  bool chunked_ = false;
  bool reading_ = false;
  bool header_complete_ = false;
};
using BulkPtr = std::shared_ptr<BulkPeer>;

// Passes each connection to the test.
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
      peers.push_back(std::make_shared<BulkPeer>(std::move(socket)));
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
    auto client = std::make_shared<BulkPeer>(Tcp::socket(io));
    client->socket.connect(sidecar->address());
    return client;
  }
  // Responds after `size` bytes of the body, and the last chunk if chunked.
  static void RespondAfter(const BulkPtr& peer, std::size_t size, const std::string& head, std::size_t body,
                           bool chunked = false) {
    peer->on_progress = [weak = std::weak_ptr<BulkPeer>(peer), size, head, body, chunked] {
      const auto self = weak.lock();
      if (self->received_bytes == size && self->IsComplete()) self->Send(head, body, chunked);
    };
  }

  asio::io_context io;
  BulkServer server;
  std::function<void(const BulkPtr&)> on_peer = [](const BulkPtr&) {};
  std::unique_ptr<Sidecar> sidecar;
};

TEST_F(StreamingTest, StreamsThirtyTwoMegabytesInBothDirections) {
  on_peer = [](const BulkPtr& peer) {
    RespondAfter(peer, kLarge, "HTTP/1.1 200 OK\r\n" + Length(kLarge) + "\r\n\r\n", kLarge);
  };
  Start();
  auto client = Client();
  client->Send(Post("r1", Length(kLarge)), kLarge);
  client->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return client->received_bytes == kLarge; }));
  EXPECT_TRUE(client->content_valid && server.peers.at(0)->content_valid);
  EXPECT_NE(server.peers[0]->head.find(Length(kLarge)), std::string::npos);
  EXPECT_NE(client->head.find("200 OK"), std::string::npos);
  EXPECT_TRUE(
      RunUntil(io, [&] { return sidecar->active_requests() == 0 && sidecar->counters().active == 0; }));
  EXPECT_EQ(sidecar->counters().attempts_sent, 1);
  EXPECT_EQ(sidecar->counters().classes[2].ok, 1);
}

TEST_F(StreamingTest, StreamsChunksWithExtensionsInBothDirections) {
  constexpr std::size_t kSize = 3'000'001;
  on_peer = [](const BulkPtr& peer) {
    RespondAfter(peer, kSize, std::string("HTTP/1.1 200 OK\r\n") + kChunked + "\r\n\r\n", kSize, true);
  };
  Start();
  auto client = Client();
  client->Send(Post("r1", kChunked), kSize, true);
  client->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return client->last_chunk; }));
  EXPECT_EQ(client->received_bytes, kSize);
  EXPECT_TRUE(client->content_valid && server.peers.at(0)->content_valid);
}

// The reserved memory does not depend on the size of the bodies.
TEST_F(StreamingTest, ConcurrentStreamsReserveOnlyTheirPipes) {
  constexpr std::size_t kSize = 4'000'000;
  on_peer = [](const BulkPtr& peer) {
    RespondAfter(peer, kSize, "HTTP/1.1 200 OK\r\n" + Length(kSize) + "\r\n\r\n", kSize);
  };
  Start();
  std::vector<BulkPtr> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(Client());
    clients.back()->Send(Post("r" + std::to_string(i), Length(kSize)), kSize);
    clients.back()->Read();
  }
  std::size_t max_reserved = 0;
  ASSERT_TRUE(RunUntil(io, [&] {
    max_reserved = std::max(max_reserved, sidecar->reserved_memory());
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& c) { return c->received_bytes == kSize; });
  }));
  for (const auto& client : clients) EXPECT_TRUE(client->content_valid);
  EXPECT_GT(max_reserved, 0U);
  EXPECT_LE(max_reserved, 40 * 2 * kPipeReservation);
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->reserved_memory() == 0; }));
}

// If a client stops reading, the sidecar stops reading from the server.
TEST_F(StreamingTest, AStalledReaderAppliesBackpressure) {
  on_peer = [](const BulkPtr& peer) {
    RespondAfter(peer, 4, "HTTP/1.1 200 OK\r\n" + Length(kLarge) + "\r\n\r\n", kLarge);
  };
  Start();
  auto client = Client();
  client->socket.set_option(Tcp::socket::receive_buffer_size(65536));
  client->Send(Post("r1", Length(4)), 4);
  client->Read(200'000);
  ASSERT_TRUE(RunUntil(io, [&] { return client->received_bytes >= 200'000; }));
  RunFor(io, 200ms);
  EXPECT_LE(sidecar->reserved_memory(), 2 * kPipeReservation);
  client->Read();  // continues without data loss
  ASSERT_TRUE(RunUntil(io, [&] { return client->received_bytes == kLarge; }));
  EXPECT_TRUE(client->content_valid);
}

TEST_F(StreamingTest, ADisconnectWhileStreamingReleasesAllResources) {
  on_peer = [](const BulkPtr& peer) {
    RespondAfter(peer, 4, "HTTP/1.1 200 OK\r\n" + Length(kLarge) + "\r\n\r\n", kLarge);
  };
  Start();
  auto client = Client();
  client->Send(Post("r1", Length(4)), 4);
  client->Read(100'000);
  ASSERT_TRUE(RunUntil(io, [&] { return client->received_bytes >= 100'000; }));
  client->Reset();
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers.at(0)->ended && sidecar->reserved_memory() == 0; }));
  EXPECT_EQ(sidecar->upstream_connections(), 0U);
  EXPECT_EQ(sidecar->counters().active, 0);
}

TEST_F(StreamingTest, ATruncatedResponseIsNoticedByTheClient) {
  for (const bool chunked : {false, true}) {
    on_peer = [&](const BulkPtr& peer) {
      peer->send_limit = 1'000'000;
      const std::string framing = chunked ? kChunked : Length(kLarge);
      RespondAfter(peer, 4, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n", kLarge, chunked);
    };
    Start();
    auto client = Client();
    client->Send(Post("r1", Length(4)), 4);
    client->Read();
    ASSERT_TRUE(RunUntil(io, [&] { return client->received_bytes > 500'000; }));
    server.peers.back()->Reset();
    EXPECT_TRUE(RunUntil(io, [&] { return client->ended; }));
    EXPECT_LT(client->received_bytes, kLarge);
    EXPECT_FALSE(client->last_chunk);
    EXPECT_TRUE(client->content_valid);
    EXPECT_EQ(sidecar->counters().classes[2].errors, 1);
    EXPECT_EQ(sidecar->counters().active, 0);
    sidecar = nullptr;
  }
}

// The streamed body is consumed, so the sidecar can't retry; the server did not receive all of it, so the
// client can.
TEST_F(StreamingTest, APartlySentRequestIsRefusedAndNotRetried) {
  on_peer = [](const BulkPtr& peer) {
    peer->on_progress = [weak = std::weak_ptr<BulkPeer>(peer)] {
      if (weak.lock()->received_bytes > 500'000) weak.lock()->Reset();
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

// Before any of the body is consumed, the request can be retried.
TEST_F(StreamingTest, ALargeRequestIsRetriedIfItsServerIsUnreachable) {
  on_peer = [](const BulkPtr& peer) {
    RespondAfter(peer, 300'000, "HTTP/1.1 200 OK\r\nConnection: close\r\n" + Length(2) + "\r\n\r\n", 2);
  };
  Tcp::acceptor nobody(io, Loopback());
  const Tcp::endpoint dead = nobody.local_endpoint();
  nobody.close();
  Config config = ParseConfig(
      ConfigJson(NoDiscovery(), {Entry("s0", dead), Entry("s1", server.address())}).dump(), "", "");
  config.listen = Loopback();
  sidecar = std::make_unique<Sidecar>(io, std::move(config));
  sidecar->Start();
  for (int i = 0; i < 8; ++i) {  // the first choice is random
    auto client = Client();
    client->Send(Post("r" + std::to_string(i), Length(300'000)), 300'000);
    client->Read();
    ASSERT_TRUE(RunUntil(io, [&] { return client->received_bytes == 2; }));
    EXPECT_NE(client->head.find("200 OK"), std::string::npos) << client->head;
  }
}

// An upload that keeps up with the minimum rate may take longer than the deadline.
TEST_F(StreamingTest, TheDeadlineCountsFromTheEndOfTheBody) {
  on_peer = [](const BulkPtr& peer) {
    RespondAfter(peer, 200'000, "HTTP/1.1 200 OK\r\n" + Length(2) + "\r\n\r\n", 2);
  };
  Start();
  auto client = Client();
  client->send_limit = 150'000;
  client->Send(Post("r1", "Req-Deadline: 0.300\r\n" + Length(200'000)), 200'000);
  client->Read();
  RunFor(io, 900ms);
  EXPECT_EQ(client->head, "");
  asio::write(client->socket, asio::buffer(BodyBytes(150'000, 50'000)));
  ASSERT_TRUE(RunUntil(io, [&] { return client->received_bytes == 2; }));
  EXPECT_NE(client->head.find("200 OK"), std::string::npos);
}

TEST_F(StreamingTest, AStalledUploadIsRejected) {
  Start();
  auto client = Client();
  client->send_limit = 150'000;
  client->Send(Post("r1", Length(200'000)), 200'000);
  client->Read();
  ASSERT_TRUE(RunUntil(io, [&] { return !client->head.empty(); }));
  EXPECT_NE(client->head.find("408"), std::string::npos);
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->active_requests() == 0 && server.peers.at(0)->ended; }));
}

TEST_F(StreamingTest, ExpectContinueIsAnsweredBeforeTheBody) {
  on_peer = [](const BulkPtr& peer) {
    RespondAfter(peer, 5, "HTTP/1.1 200 OK\r\n" + Length(2) + "\r\n\r\n", 2);
  };
  Start();
  auto client = Connect(io, sidecar->address());
  client->Write(Post("r1", "Expect: 100-continue\r\n" + Length(5)));
  ASSERT_TRUE(RunUntil(io, [&] { return client->received == "HTTP/1.1 100 Continue\r\n\r\n"; }));
  client->Write(BodyBytes(0, 5));
  ASSERT_TRUE(RunUntil(io, [&] { return client->requests() == 2; }));
  EXPECT_NE(client->received.find("200 OK"), std::string::npos);
}

}  // namespace
}  // namespace merlinrun::net
