// Loopback peers for tests: raw connections and scripted HTTP servers on the test's io_context. No threads;
// to wait, a test runs the event loop.
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

// Runs the event loop until `condition` holds. Returns false if it doesn't within `timeout`.
template <class Condition>
bool RunUntil(asio::io_context& io, Condition condition,
              std::chrono::milliseconds timeout = std::chrono::seconds(10)) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return condition();
}
// Runs the event loop for this long, to check that something does not happen.
inline void RunFor(asio::io_context& io, int ms) {
  RunUntil(
      io, [] { return false; }, std::chrono::milliseconds(ms));
}

// A TCP connection that records everything it receives.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(Tcp::socket socket) : socket_(std::move(socket)) {}
  static std::shared_ptr<RawConnection> Connect(asio::io_context& io, std::uint16_t port) {
    auto connection = ConnectWithoutReading(io, port);
    connection->Read();
    return connection;
  }
  // Receives nothing before Read.
  static std::shared_ptr<RawConnection> ConnectWithoutReading(asio::io_context& io, std::uint16_t port) {
    Tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    socket.set_option(Tcp::no_delay(true));
    return std::make_shared<RawConnection>(std::move(socket));
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
    write_queue_ += bytes;
    Flush();
  }
  // Blocks until the bytes are in the socket buffer; for small writes.
  void WriteNow(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
  void CloseWhenWritten() {
    close_when_written_ = true;
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
    if (write_queue_.empty()) {
      if (close_when_written_) Close();
      return;
    }
    writing_ = true;
    writing_buffer_ = std::exchange(write_queue_, {});
    asio::async_write(socket_, asio::buffer(writing_buffer_),
                      [self = shared_from_this()](ErrorCode error, std::size_t) {
                        self->writing_ = false;
                        if (!error) self->Flush();
                      });
  }
  Tcp::socket socket_;
  std::string write_queue_, writing_buffer_;
  bool writing_ = false, close_when_written_ = false;
  char buffer_[65536];
};
using RawConnectionPtr = std::shared_ptr<RawConnection>;

// Listens on a free port.
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

// A port on which nothing listens.
inline std::uint16_t FreePort(asio::io_context& io) {
  return Tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}).local_endpoint().port();
}

// Value of a header in a request or response head; the name must match in case. Empty if there is none.
inline std::string HeaderValue(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 4;
  return head.substr(from, head.find("\r\n", from) - from);
}

// HTTP server that passes each complete request to `script`, which writes the response.
class ScriptedHttpServer {
 public:
  using Script = std::function<void(RawConnection&, const std::string& request)>;
  ScriptedHttpServer(asio::io_context& io, Script script)
      : script_(std::move(script)), acceptor_(io, [this](Tcp::socket socket) {
          auto connection = std::make_shared<RawConnection>(std::move(socket));
          connection->on_bytes = [this](RawConnection& mine) { OnBytes(mine); };
          connection->Read();
          connections.push_back(connection);
        }) {}
  ~ScriptedHttpServer() {
    for (const RawConnectionPtr& connection : connections) connection->Close();
  }
  std::string address() const { return acceptor_.address(); }

  std::vector<RawConnectionPtr> connections;
  std::vector<std::string> requests;

 private:
  void OnBytes(RawConnection& connection) {
    for (;;) {
      const auto end = connection.received.find("\r\n\r\n");
      if (end == std::string::npos) return;
      const std::string length = HeaderValue(connection.received.substr(0, end + 2), "Content-Length");
      const std::size_t request_size =
          end + 4 + (length.empty() ? 0 : static_cast<std::size_t>(std::stoul(length)));
      if (connection.received.size() < request_size) return;
      const std::string request = connection.received.substr(0, request_size);
      connection.received.erase(0, request_size);
      requests.push_back(request);
      script_(connection, request);
    }
  }
  Script script_;
  Acceptor acceptor_;
};

}  // namespace fennelhollow::loopback

#endif  // FENNELHOLLOW_TESTS_MESH_LOOPBACK_HPP_
