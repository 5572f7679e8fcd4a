// Peers over loopback for tests: raw connections and scripted HTTP servers on the test's own io_context. No
// threads; waits are turns of the loop until something holds.
#ifndef FENNELHOLLOW_TESTS_MESH_LOOPBACK_HPP_
#define FENNELHOLLOW_TESTS_MESH_LOOPBACK_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fennelhollow::loopback {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Runs the loop until `holds`; false if it doesn't within `most`, which is no measure but an end.
template <class Holds>
bool RunUntil(asio::io_context& io, Holds holds, std::chrono::milliseconds most = std::chrono::seconds(10)) {
  const auto end = std::chrono::steady_clock::now() + most;
  while (!holds() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return holds();
}
// So long, for what must not come.
inline void RunFor(asio::io_context& io, int ms) {
  RunUntil(
      io, [] { return false; }, std::chrono::milliseconds(ms));
}

// One end of a connection that keeps what comes.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(Tcp::socket socket) : socket_(std::move(socket)) {}
  static std::shared_ptr<RawConnection> Connect(asio::io_context& io, std::uint16_t port) {
    Tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    socket.set_option(Tcp::no_delay(true));
    auto raw = std::make_shared<RawConnection>(std::move(socket));
    raw->Read();
    return raw;
  }
  void Read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](ErrorCode error, std::size_t n) {
                              if (error) {
                                self->ended = true;
                                self->reset = error != asio::error::eof;
                                return;
                              }
                              self->received.append(self->buffer_, n);
                              if (self->on_bytes) self->on_bytes(*self);
                              if (!self->ended) self->Read();  // on_bytes may have closed it
                            });
  }
  void Write(std::string bytes) {
    out_ += bytes;
    Flush();
  }
  // In the kernel when it returns; for what is small.
  void WriteNow(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
  void CloseWhenWritten() {
    last_ = true;
    Flush();
  }
  void Close() {
    ErrorCode ignored;
    ended = true;
    socket_.close(ignored);
  }

  std::string received;
  bool ended = false, reset = false;
  std::function<void(RawConnection&)> on_bytes;

 private:
  void Flush() {
    if (writing_) return;
    if (out_.empty()) {
      if (last_) Close();
      return;
    }
    writing_ = true;
    going_ = std::exchange(out_, {});
    asio::async_write(socket_, asio::buffer(going_),
                      [self = shared_from_this()](ErrorCode error, std::size_t) {
                        self->writing_ = false;
                        if (!error) self->Flush();
                      });
  }
  Tcp::socket socket_;
  std::string out_, going_;
  bool writing_ = false, last_ = false;
  char buffer_[65536];
};
using RawConnectionPtr = std::shared_ptr<RawConnection>;

// Listens at a port of its own choice.
class Acceptor {
 public:
  Acceptor(asio::io_context& io, std::function<void(Tcp::socket)> accepted)
      : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}), accepted_(std::move(accepted)) {
    Accept();
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

 private:
  void Accept() {
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
      if (error) return;
      accepted_(std::move(socket));
      Accept();
    });
  }
  Tcp::acceptor acceptor_;
  std::function<void(Tcp::socket)> accepted_;
};

// A port at which nothing listens.
inline std::uint16_t FreePort(asio::io_context& io) {
  return Tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}).local_endpoint().port();
}

// Value of a header field of a request's head as it was written; empty if it has none.
inline std::string HeaderValue(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 4;
  return head.substr(from, head.find("\r\n", from) - from);
}

// Hands each request whole to `script`, which writes what it likes.
class ScriptedHttpServer {
 public:
  using Script = std::function<void(RawConnection&, const std::string& request)>;
  ScriptedHttpServer(asio::io_context& io, Script script)
      : script_(std::move(script)), acceptor_(io, [this](Tcp::socket socket) {
          auto raw = std::make_shared<RawConnection>(std::move(socket));
          raw->on_bytes = [this](RawConnection& mine) { OnBytes(mine); };
          raw->Read();
          connections.push_back(raw);
        }) {}
  ~ScriptedHttpServer() {
    for (const RawConnectionPtr& raw : connections) raw->Close();
  }
  std::string address() const { return acceptor_.address(); }

  std::vector<RawConnectionPtr> connections;
  std::vector<std::string> requests;

 private:
  void OnBytes(RawConnection& raw) {
    for (;;) {
      const auto end = raw.received.find("\r\n\r\n");
      if (end == std::string::npos) return;
      const std::string length = HeaderValue(raw.received.substr(0, end + 2), "Content-Length");
      const std::size_t whole = end + 4 + (length.empty() ? 0 : static_cast<std::size_t>(std::stoul(length)));
      if (raw.received.size() < whole) return;
      const std::string request = raw.received.substr(0, whole);
      raw.received.erase(0, whole);
      requests.push_back(request);
      script_(raw, request);
    }
  }
  Script script_;
  Acceptor acceptor_;
};

}  // namespace fennelhollow::loopback

#endif  // FENNELHOLLOW_TESTS_MESH_LOOPBACK_HPP_
