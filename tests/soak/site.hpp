// A site under a crowd of clients that keep to none of the limits: one core, one sidecar with small limits,
// and one server. Whatever the crowd does, the sidecar lives on within the memory and the descriptors that
// its settings grant, and an ordinary request is answered. Memory is what is resident and what has arrived at
// the process's sockets without being read. Nothing here depends on how fast the machine is.
#ifndef FENNELHOLLOW_TESTS_SOAK_SITE_HPP_
#define FENNELHOLLOW_TESTS_SOAK_SITE_HPP_

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/transport/codec.hpp"
#include "nodes.hpp"
#include "rig/mesh/server.hpp"

namespace fennelhollow::rig {

// What the settings grant the sidecar; its resident size must stay below that.
inline constexpr int kSidecarMemoryMb = 64;
inline constexpr int kSidecarDescriptors = 256;
// A crowd that needs this much is stopped, to spare the machine.
inline constexpr std::uint64_t kStopAtBytes = 4 * kSidecarMemoryMb * kMebibyte;
inline constexpr std::size_t kMaximumBodyBytes = 16 * kMebibyte;
inline constexpr milliseconds kRequestDeadline{2'000};
// Enough for 8 MB from a server that is built with the sanitizers, too.
inline constexpr milliseconds kRequestTimeout{10'000}, kAnswerTimeout{30'000};
// Enough for a large body under the sanitizers.
inline constexpr milliseconds kUploadDeadline{20'000};
// How long a crowd that is only waiting is left alone.
inline constexpr milliseconds kCrowdHolds{1'500};
inline constexpr milliseconds kCrowdTimeout{20'000};
// By callers that the crowd must not keep out; few, as each has to be answered.
inline constexpr int kCallsDuringCrowd = 5;
inline constexpr std::string_view kStatusLine = "HTTP/1.1 200";
// Spares the machine's ports.
inline constexpr milliseconds kPauseBetweenConnections{10};

// One core, one sidecar with small limits, and one server, which answers with `padding_bytes` and some more.
struct Site : Nodes {
  struct Options {
    std::size_t padding_bytes = 0;  // of each response
    int sidecar_memory_mb = kSidecarMemoryMb;
    int sidecar_descriptors = kSidecarDescriptors;
    int slots = 100;
    std::size_t stall_after_bytes = 0;  // see Server::Options
    int core_memory_mb = kCoreMemoryMb;
    int core_descriptors = 1024;
  };
  Site() : Site(Options()) {}
  explicit Site(const Options& site)
      : max_descriptors(static_cast<std::size_t>(site.sidecar_descriptors)),
        max_memory(static_cast<std::uint64_t>(site.sidecar_memory_mb) * kMebibyte),
        max_core_memory(static_cast<std::uint64_t>(site.core_memory_mb) * kMebibyte) {
    NodeProcess::Options core = OptionsFor(NodeProcess::Role::kCore, {}, {ips.front()});
    core.memory_mb = site.core_memory_mb;
    core.file_descriptors = site.core_descriptors;
    processes.push_back(std::make_unique<NodeProcess>(core));
    REQUIRE(processes.back()->Start());
    REQUIRE(AddSidecar(site).Start());
    Server::Options options;
    options.id = "i-1";
    options.service = kPlanService;
    options.address = sidecar().application();
    options.control = sidecar().control();
    options.slots = site.slots;
    options.queue = 1000;
    options.connections = 1000;
    options.padding_bytes = site.padding_bytes;
    options.stall_after_bytes = site.stall_after_bytes;
    server = std::make_shared<Server>(io, options, runs);
    server->Start();
    REQUIRE(Until(kStartTimeout, [&] { return ApplyConfiguration() == 200; }));
    REQUIRE(IsOrdinaryRequestAnswered());
  }
  ~Site() {
    ended = true;
    server->Crash();
  }
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  NodeProcess& AddSidecar(const Options& site) {
    NodeProcess::Options options = OptionsFor(NodeProcess::Role::kSidecar, {}, {ips.front()});
    options.memory_mb = site.sidecar_memory_mb;
    options.file_descriptors = site.sidecar_descriptors;
    options.limits.file_descriptors = max_descriptors;
    processes.push_back(std::make_unique<NodeProcess>(options));
    return *processes.back();
  }
  // Another sidecar, with ample limits and without a server, beside the one under test, which stays the last.
  NodeProcess& AddCaller(const std::string& ip) {
    NodeProcess::Options options = OptionsFor(NodeProcess::Role::kSidecar, {}, {ips.front()});
    options.name = "caller-" + ip;
    options.ip = ip;
    options.memory_mb = 4 * kCoreMemoryMb;
    const auto added = processes.insert(processes.end() - 1, std::make_unique<NodeProcess>(options));
    NodeProcess& caller = **added;
    REQUIRE(caller.Start());
    return caller;
  }
  NodeProcess& sidecar() { return *processes.back(); }
  NodeProcess& core() { return *processes.front(); }

  unsigned ApplyConfiguration(int version = 3, int base_version = 0) {
    nlohmann::json configuration = FirstConfiguration();
    configuration["version"] = version;
    configuration["baseVersion"] = base_version;
    for (auto& item : configuration["resourceList"]) {
      if (item["resourceKind"] == "limits") item["specification"]["maximumBodyBytes"] = maximum_body_bytes;
      if (item["resourceKind"] == "routes") item["specification"]["timeoutMs"] = route_timeout.count();
    }
    return Call(processes.front()->control(),
                MakeRequest(http::verb::post, "/-/Configuration.Replace", kHost, configuration.dump()));
  }

  unsigned ApplyLargerLimits() { return ApplyConfiguration(4, 3); }

  // A client of the pages tries again after a refusal.
  bool IsOrdinaryRequestAnswered() {
    return Until(kAnswerTimeout, [&] {
      return Call(sidecar().outbound(),
                  ShopRequest(false, "/plans/x", AttemptId(++requests), kRequestDeadline),
                  kRequestTimeout) == 200;
    });
  }

  using Client = std::function<asio::awaitable<void>(Tcp::socket&)>;
  // Connects `count` clients; each stays connected until its coroutine ends or the test does.
  void Connect(int count, const Client& client) { Connect(count, client, sidecar().outbound()); }
  void Connect(int count, const Client& client, const Address& to) {
    connected += count;
    for (int i = 0; i < count; ++i) asio::co_spawn(io, Run(*this, client, to), asio::detached);
  }
  static asio::awaitable<void> Run(Site& site, Client client, Address to) {
    co_await RunOnce(site, std::move(client), std::move(to));
    --site.connected;
  }
  static asio::awaitable<void> RunOnce(Site& site, Client client, Address to) {
    boost::system::error_code error;
    auto socket = std::make_shared<Tcp::socket>(site.io);
    co_await socket->async_connect(to.Endpoint(), asio::redirect_error(asio::use_awaitable, error));
    if (!error) co_await client(*socket);
  }

  // The same for clients that come back at once, each time that their connection has ended.
  void ConnectAgainAndAgain(int count, const Client& client, const Address& to) {
    connected += count;
    for (int i = 0; i < count; ++i) asio::co_spawn(io, RunAgain(*this, client, to), asio::detached);
  }
  static asio::awaitable<void> RunAgain(Site& site, Client client, Address to) {
    while (!site.ended) {
      co_await RunOnce(site, client, to);
      co_await Sleep(site.io, kPauseBetweenConnections);
    }
    --site.connected;
  }

  // Whether some calls, one after the other, are all answered 200 while the crowd goes on. A caller connects
  // once. It runs on a thread of its own and without Asio, which is built without locking, so that it knows
  // nothing of the crowd's work.
  bool AreCallsAnsweredDuringCrowd(const Address& to, const std::function<Request()>& next_request) {
    for (int call = 0; call < kCallsDuringCrowd; ++call) {
      std::ostringstream text;
      text << next_request();
      auto status = std::async(std::launch::async, CallOnce, to.Endpoint(), text.str());
      while (status.wait_for(milliseconds(0)) != std::future_status::ready) {
        Watch(kPollInterval);
        REQUIRE(connected > 0);
      }
      if (status.get() != kStatusLine) return false;
    }
    return true;
  }
  // The first bytes of the response, as far as its status; less if none comes within kAnswerTimeout.
  static std::string CallOnce(const Tcp::endpoint& to, const std::string& request) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{.tv_sec = kAnswerTimeout / std::chrono::seconds(1), .tv_usec = 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    std::string status(kStatusLine.size(), ' ');
    ::ssize_t received = 0;
    if (::connect(socket, to.data(), static_cast<socklen_t>(to.size())) == 0 &&
        ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) > 0)
      received = ::recv(socket, status.data(), status.size(), MSG_WAITALL);
    ::close(socket);
    status.resize(static_cast<std::size_t>(std::max<::ssize_t>(received, 0)));
    return status;
  }

  // Runs the crowd until it is done, or for `at_most`, and watches what the sidecar takes.
  // Stops early once it takes `stop_at_bytes`.
  void Watch(milliseconds at_most, std::uint64_t stop_at_bytes = kStopAtBytes) {
    const auto until = Clock::now() + at_most;
    while (connected > 0 && Clock::now() < until && highest_memory < stop_at_bytes &&
           highest_core_memory < stop_at_bytes) {
      io.restart();
      io.run_for(kPollInterval);
      Look();
    }
  }
  void Look() {
    highest_resident = std::max(highest_resident, sidecar().ResidentBytes());
    highest_descriptors = std::max(highest_descriptors, sidecar().OpenDescriptors());
    highest_memory = std::max(highest_memory, MemoryOf(sidecar()));
    highest_core_memory = std::max(highest_core_memory, MemoryOf(core()));
  }
  // What is counted against `memoryMb`. The sanitizers take several times as much as the program.
  static std::uint64_t MemoryOf(const NodeProcess& node) {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    return node.UnreadBytes();
#else
    return node.ResidentBytes() + node.UnreadBytes();
#endif
  }

  // What must hold, whatever the crowd does.
  void Check() {
    const bool answered = IsOrdinaryRequestAnswered();
    Look();
    INFO("resident " << highest_resident / 1024 << " KiB, with unread bytes " << highest_memory / 1024
                     << " KiB, core " << highest_core_memory / 1024 << " KiB, descriptors "
                     << highest_descriptors << "\n"
                     << sidecar().Log());
    CHECK(answered);
    CHECK_FALSE(sidecar().Ended());
    CHECK(sidecar().EndText() == "status -1");
    CHECK_FALSE(core().Ended());
    CHECK(highest_descriptors < max_descriptors);
    CHECK(highest_memory < max_memory);
    CHECK(highest_core_memory < max_core_memory);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)  // they take several times as much
    CHECK(highest_resident < max_memory);
#endif
  }

  ExecutionCounts runs;
  std::shared_ptr<Server> server;
  std::size_t maximum_body_bytes = kMaximumBodyBytes;
  milliseconds route_timeout = kRequestDeadline;
  bool ended = false;
  int connected = 0;  // clients of the crowd that have not ended
  std::uint64_t requests = 0, highest_resident = 0;
  std::uint64_t highest_memory = 0, highest_core_memory = 0;  // see MemoryOf
  std::size_t highest_descriptors = 0;
  const std::size_t max_descriptors;
  const std::uint64_t max_memory, max_core_memory;
};

inline std::string Head(const char* method, const std::string& path, const std::string& framing) {
  return std::string(method) + " " + path + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nAttempt-Id: 00000000000000aa\r\nDeadline-Remaining: 20000\r\n" + framing + "\r\n";
}
inline const std::string kChunked = "Transfer-Encoding: chunked\r\n";

// Sends `head`, then `piece` again and again until `total_bytes` are sent or the connection is closed.
inline Site::Client Flood(std::string head, std::string piece, std::size_t total_bytes) {
  return [=](Tcp::socket& socket) -> asio::awaitable<void> {
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(head), asio::redirect_error(asio::use_awaitable, error));
    for (std::size_t sent = 0; !error && sent < total_bytes; sent += piece.size())
      co_await asio::async_write(socket, asio::buffer(piece),
                                 asio::redirect_error(asio::use_awaitable, error));
  };
}

// Sends `request` and stays, without reading, until the test ends.
inline Site::Client AskAndNeverRead(std::string request) {
  return [=](Tcp::socket& socket) -> asio::awaitable<void> {
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(request),
                               asio::redirect_error(asio::use_awaitable, error));
    asio::steady_timer never(co_await asio::this_coro::executor, Clock::time_point::max());
    co_await never.async_wait(asio::redirect_error(asio::use_awaitable, error));
  };
}

// Sends nothing and stays until the other side closes the connection.
inline Site::Client WaitForEnd() {
  return [](Tcp::socket& socket) -> asio::awaitable<void> {
    boost::system::error_code error;
    char byte = 0;
    co_await asio::async_read(socket, asio::buffer(&byte, 1),
                              asio::redirect_error(asio::use_awaitable, error));
  };
}

// Sends `bytes` and stays until the other side closes the connection, without reading anything else.
inline Site::Client SendAndWait(std::string bytes) {
  return [=](Tcp::socket& socket) -> asio::awaitable<void> {
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (!error) co_await WaitForEnd()(socket);
  };
}

// Sends `head`, then `byte` again and again, one in each interval, until the connection is closed.
inline Site::Client SendSlowly(std::string head, char byte, milliseconds interval) {
  return [=](Tcp::socket& socket) -> asio::awaitable<void> {
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(head), asio::redirect_error(asio::use_awaitable, error));
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!error) {
      timer.expires_after(interval);
      boost::system::error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      co_await asio::async_write(socket, asio::buffer(&byte, 1),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
  };
}

// Sends `request`, then reads `bytes` of the response in each interval until the connection ends.
inline Site::Client AskAndReadSteadily(std::string request, std::size_t bytes, milliseconds interval) {
  return [=](Tcp::socket& socket) -> asio::awaitable<void> {
    boost::system::error_code error;
    socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), error);
    co_await asio::async_write(socket, asio::buffer(request),
                               asio::redirect_error(asio::use_awaitable, error));
    std::vector<char> piece(bytes);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!error) {
      co_await asio::async_read(socket, asio::buffer(piece),
                                asio::redirect_error(asio::use_awaitable, error));
      timer.expires_after(interval);
      boost::system::error_code ignored;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  };
}

// A frame of a link between the mesh's own processes.
inline std::string Frame(const std::string& payload) {
  const auto n = static_cast<std::uint32_t>(payload.size());
  std::string frame;
  for (const int shift : {24, 16, 8, 0}) frame += static_cast<char>(n >> shift);
  return frame + payload;
}

// The first frame of a link from a sidecar at an address of its own.
inline std::string SidecarHello(int number) {
  transport::Hello hello;
  hello.purpose = transport::Purpose::kControl;
  hello.from = "stranger-" + std::to_string(number);
  hello.address = "127.15." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) + ":7640";
  hello.incarnation = static_cast<std::uint64_t>(number);
  return Frame(transport::Pack(hello));
}

inline std::string Repeated(const std::string& text, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes) out += text;
  return out;
}

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_TESTS_SOAK_SITE_HPP_
