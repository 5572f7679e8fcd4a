// Cost that the mesh adds to a call through both proxies (egress::OutboundProxy, ingress::InboundProxy)
// compared with a direct call. Four processes on loopback: client, outbound sidecar, inbound sidecar, stub
// HTTP server. In the mesh each sidecar is outbound for calls of its own server and inbound for calls to it.
//   mesh_hop_cost [seconds per path, default 1.5]
#include <arpa/inet.h>
#include <glog/logging.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <nlohmann/json.hpp>

#include "measure.hpp"
#include "mesh/configuration/configuration.hpp"
#include "mesh/egress/http_server.hpp"
#include "mesh/egress/inbound_proxy_client.hpp"
#include "mesh/egress/outbound_proxy.hpp"
#include "mesh/ingress/inbound_proxy.hpp"
#include "mesh/quota/quota.hpp"
#include "mesh/transport/link.hpp"
#include "net/asio_loop.hpp"

namespace fennelhollow::bench {
namespace {

namespace asio = merlinrun::net::asio;
using egress::HttpServer;
using merlinrun::net::ErrorCode;
using merlinrun::net::Tcp;

constexpr std::size_t kServices = 56, kServersPerService = 14, kTenants = 30;
constexpr std::size_t kBodySizes[] = {512, 5 * 1024, 90 * 1024};  // of responses
constexpr int kRounds = 3;                                        // of both paths in turn; prints the minimum
constexpr int kConcurrentClients = 16;                            // one active request each

std::uint16_t FreePort() {
  asio::io_context io;
  return Tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}).local_endpoint().port();
}
std::string LoopbackAddress(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// ---- Stub server: answers /p/BYTES with a body of this size and the request's Attempt-Id

class StubSession : public std::enable_shared_from_this<StubSession> {
 public:
  explicit StubSession(Tcp::socket socket) : socket_(std::move(socket)) {
    ErrorCode ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
  }
  void Read() {
    asio::async_read_until(socket_, asio::dynamic_buffer(in_), "\r\n\r\n",
                           [self = shared_from_this()](ErrorCode error, std::size_t head) {
                             if (!error) self->Answer(head);
                           });
  }

 private:
  void Answer(std::size_t head) {
    const std::size_t at = in_.find("/p/");
    const std::size_t bytes = static_cast<std::size_t>(std::atol(in_.c_str() + at + 3));
    const std::size_t id = in_.find("Attempt-Id: ") + 12;
    out_ = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Seal: 5f2c91aa03\r\nAttempt-Id: " +
           in_.substr(id, in_.find("\r\n", id) - id) + "\r\nContent-Length: " + std::to_string(bytes) +
           "\r\n\r\n";
    out_.append(bytes, 'b');
    in_.erase(0, head);
    asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (!error) self->Read();
    });
  }
  Tcp::socket socket_;
  std::string in_, out_;
};

void RunStub(std::uint16_t port) {
  asio::io_context io;
  Tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), port});
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](ErrorCode error, Tcp::socket socket) {
      if (!error) std::make_shared<StubSession>(std::move(socket))->Read();
      accept();
    });
  };
  accept();
  io.run();
}

// ---- Sidecars

registry::Snapshot MakeSnapshot(std::uint16_t inbound_port, std::uint16_t stub,
                                std::size_t per_service = kServersPerService) {
  registry::Snapshot out;
  out.epoch = out.revision = 1;
  for (std::size_t s = 0; s < kServices; ++s)
    for (std::size_t i = 0; i < per_service; ++i) {
      const std::string n = std::to_string(100 + s) + "-" + std::to_string(100 + i);
      out.servers.push_back({"server-" + n, "service-" + std::to_string(s), LoopbackAddress(stub),
                             "z" + std::to_string(i % 5), "v1", 64, registry::State::kReady, 0, 1,
                             LoopbackAddress(inbound_port)});
      out.sidecars.push_back({"machine-" + n, 1 + s * 100 + i, LoopbackAddress(inbound_port),
                              "z" + std::to_string(i % 5), "service-" + std::to_string(s)});
    }
  return out;
}

std::shared_ptr<const configuration::RoutingTables> MakeTables() {
  using nlohmann::json;
  json items = json::array();
  for (std::size_t s = 0; s < kServices; ++s) {
    const std::string service = "service-" + std::to_string(s);
    items.push_back(
        {{"resourceKind", "services"}, {"metadata", {{"name", service}}}, {"specification", json::object()}});
    for (int r = 0; r < 4; ++r)
      items.push_back({{"resourceKind", "routes"},
                       {"metadata", {{"name", "r-" + service + "-" + std::to_string(r)}}},
                       {"specification",
                        {{"host", "h" + std::to_string(s) + ".example"},
                         {"pathPrefix", r == 0 ? "/p/" : "/q" + std::to_string(r) + "/"},
                         {"kind", "safe"},
                         {"timeoutMs", 2500},
                         {"targetLatencyMs", 400},
                         {"priority", 1},
                         {"service", service},
                         {"attempts", 2}}}});
  }
  for (std::size_t t = 0; t < kTenants; ++t)
    items.push_back({{"resourceKind", "tenants"},
                     {"metadata", {{"name", "tenant-" + std::to_string(t)}}},
                     {"specification", {{"accessKeys", {"key-" + std::to_string(t)}}}}});
  const auto result = configuration::ReplicatedState().Evaluate(
      false, json({{"version", 1}, {"resourceList", items}}).dump());
  CHECK(result.kind == configuration::ChangeResult::Kind::kAccepted) << result.error;
  const auto state = configuration::ReplicatedState::Parse(result.next_state);
  CHECK(state.ok());
  const auto tables = configuration::RoutingTables::Build(state->newest());
  CHECK(tables.ok()) << tables.status();
  return *tables;
}

void RunInbound(std::uint16_t port, std::uint16_t stub) {
  asio::io_context io;
  merlinrun::net::AsioLoop loop(io);
  std::map<std::string, registry::Server> servers;
  for (const auto& server : MakeSnapshot(port, stub).servers) servers[server.id] = server;
  ingress::InboundProxy proxy(io, loop, {7, {}},
                              {[&](const std::string& id) -> const registry::Server* {
                                 const auto at = servers.find(id);
                                 return at == servers.end() ? nullptr : &at->second;
                               },
                               [](const std::string&) {}, [] { return true; }});
  transport::Listener listener(io, "127.0.0.1", port, {}, [&](std::shared_ptr<transport::Link> link) {
    transport::Link::Events events;
    events.on_frame = [&proxy, weak = std::weak_ptr<transport::Link>(link)](std::string_view) {  // the Hello
      if (const auto mine = weak.lock()) proxy.Serve(mine);
    };
    // Keeps the link alive until its Hello arrives.
    events.on_closed = [link] {};
    link->Start(std::move(events));
  });
  io.run();
}

egress::OutboundProxy::Settings OutboundSettings() {
  egress::OutboundProxy::Settings settings;
  settings.service = "service-1";
  settings.zone = "z0";
  settings.zones = {{"z0", "a"}, {"z1", "a"}, {"z2", "a"}, {"z3", "b"}, {"z4", "b"}};
  return settings;
}

// Cost of a snapshot change in the outbound proxy, which applies it to the balancers of all services.
void MeasureSnapshotUpdate() {
  for (const std::size_t per_service :
       {std::size_t{2}, std::size_t{7}, kServersPerService, std::size_t{28}}) {
    asio::io_context io;
    merlinrun::net::AsioLoop loop(io);
    egress::InboundProxyClient proxy_client(io, loop, {"machine-1", "127.0.0.1:1", 9, 300, 400});
    quota::Limiter limiter({});
    egress::OutboundProxy outbound(loop, OutboundSettings(), proxy_client, limiter);
    registry::Snapshot snapshot = MakeSnapshot(1, 2, per_service);
    outbound.OnEndpoints(snapshot, 3, snapshot.sidecars.size());
    const double memory = MemoryKb(::getpid(), "VmRSS");
    outbound.OnConfiguration(MakeTables());
    std::vector<double> us;
    for (int i = 0; i < kRounds * 10; ++i) {
      ++snapshot.revision;
      snapshot.servers[5].slots = 64 + i % 2;
      const double before = CpuSeconds(::getpid());
      outbound.OnEndpoints(snapshot, 3, snapshot.sidecars.size());
      us.push_back((CpuSeconds(::getpid()) - before) * 1e6);
    }
    std::printf(
        "snapshot of %zu servers, %zu services: a change costs the outbound proxy %.0f us (median %.0f, max "
        "%.0f); "
        "tables and balancers %.0f KB\n",
        snapshot.servers.size(), kServices, Quantile(us, 0), Quantile(us, 0.5), Quantile(us, 1),
        MemoryKb(::getpid(), "VmRSS") - memory);
  }
}

void RunOutbound(std::uint16_t port, std::uint16_t inbound_port, std::uint16_t stub) {
  asio::io_context io;
  merlinrun::net::AsioLoop loop(io);
  egress::InboundProxyClient proxy_client(io, loop, {"machine-1", "127.0.0.1:1", 9, 300, 400});
  quota::Limiter limiter({});
  egress::OutboundProxy outbound(loop, OutboundSettings(), proxy_client, limiter);
  outbound.OnEndpoints(MakeSnapshot(inbound_port, stub), 3, kServices * kServersPerService);
  outbound.OnConfiguration(MakeTables());
  HttpServer front(io, {"127.0.0.1", port}, {},
                   {[&](const HttpServer::SessionPtr& session, egress::HttpRequest in) {
                      outbound.OnRequest(session, std::move(in));
                    },
                    [&](const HttpServer::SessionPtr& session) { outbound.OnClientDisconnect(session); }});
  io.run();
}

// ---- Client: blocking sockets, closed loop, one active request per connection

class Client {
 public:
  explicit Client(std::uint16_t port) : port_(port) { Connect(); }
  ~Client() { ::close(fd_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  int fd() const { return fd_; }
  void Send(std::size_t bytes) {
    if (fd_ < 0) Connect();
    const std::string text =
        "GET /p/" + std::to_string(bytes) + "?x=1 HTTP/1.1\r\nHost: h5.example\r\nAttempt-Id: a" +
        std::to_string(++last) +
        "\r\nDeadline-Remaining: 2000\r\nAuthorization: Token key-7\r\nAccept: */*\r\nUser-Agent: "
        "bench\r\n\r\n";
    in_.clear();
    need_ = 0;
    asked_ = Now();
    if (::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) < 0) failed = true;
  }
  // Reads available bytes; true once the response is complete or has failed.
  bool Read() {
    char buffer[65536];
    const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
    if (n <= 0) return failed = true;
    in_.append(buffer, static_cast<std::size_t>(n));
    if (need_ == 0) {
      const std::size_t head = in_.find("\r\n\r\n");
      if (head == std::string::npos) return false;
      std::size_t length = in_.find("Content-Length: ");
      if (length == std::string::npos) length = in_.find("content-length: ");
      if (length == std::string::npos || in_.compare(9, 3, "200") != 0) {
        if (!std::exchange(failure_printed, true)) std::fprintf(stderr, "first failure: %s\n", in_.c_str());
        return failed = true;
      }
      need_ = head + 4 + static_cast<std::size_t>(std::atol(in_.c_str() + length + 16));
      closes_ = in_.substr(0, head).find("onnection: close") != std::string::npos;
    }
    if (in_.size() < need_) return false;
    took_ms = static_cast<double>(Now() - asked_) / 1000;
    if (closes_) {
      ::close(fd_);
      Connect();
    }
    return true;
  }
  void Reconnect() {
    failed = false;
    ::close(fd_);
    Connect();
  }

  bool failed = false;
  double took_ms = 0;
  static inline std::uint64_t last = 0;
  static inline bool failure_printed = false;  // only the first failure is printed

 private:
  void Connect() {
    fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port_);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (int i = 0; i < 500 && ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0; ++i)
      ::usleep(10'000);
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  const std::uint16_t port_;
  int fd_ = -1;
  Micros asked_ = 0;
  std::string in_;
  std::size_t need_ = 0;
  bool closes_ = false;
};

struct PathResult {
  std::vector<double> ms;
  std::uint64_t failed = 0;
  double outbound = 0, inbound = 0, stub = 0;  // CPU microseconds per request
  double sequential_us = 0;                    // of both proxies, one request at a time
  double per_second = 0;
};

PathResult MeasureConcurrent(std::uint16_t port, std::size_t bytes, double seconds,
                             const std::array<pid_t, 3>& processes) {
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<pollfd> fds;
  for (int i = 0; i < kConcurrentClients; ++i) {
    clients.push_back(std::make_unique<Client>(port));
    clients.back()->Send(bytes);
    fds.push_back({clients.back()->fd(), POLLIN, 0});
  }
  PathResult out;
  std::array<double, 3> cpu{};
  Micros began = 0;
  std::uint64_t done = 0;
  // The first tenth is warm-up.
  const Micros start = Now(), measured = start + static_cast<Micros>(seconds * 1e5);
  const Micros end = start + static_cast<Micros>(seconds * 1e6);
  for (Micros now = start; now < end; now = Now()) {
    if (began == 0 && now >= measured) {
      began = now;
      done = 0;
      for (std::size_t p = 0; p < 3; ++p) cpu[p] = CpuSeconds(processes[p]);
    }
    ::poll(fds.data(), fds.size(), 100);
    for (std::size_t i = 0; i < fds.size(); ++i) {
      if (fds[i].revents == 0 || !clients[i]->Read()) continue;
      ++done;
      if (clients[i]->failed) {
        ++out.failed;
        clients[i]->Reconnect();
      }
      clients[i]->Send(bytes);
      fds[i].fd = clients[i]->fd();
    }
  }
  const double n = static_cast<double>(std::max<std::uint64_t>(done, 1));
  out.outbound = (CpuSeconds(processes[0]) - cpu[0]) * 1e6 / n;
  out.inbound = (CpuSeconds(processes[1]) - cpu[1]) * 1e6 / n;
  out.stub = (CpuSeconds(processes[2]) - cpu[2]) * 1e6 / n;
  out.per_second = n * 1e6 / static_cast<double>(Now() - began);
  return out;
}

void Measure(std::uint16_t front, std::uint16_t stub, const std::array<pid_t, 3>& processes, double seconds) {
  std::printf("%-8s %-7s %9s %9s %9s | %11s %11s %9s %10s %7s\n", "body", "path", "p50 ms", "p99 ms",
              "p99.9 ms", "outbound us", "inbound us", "stub us", "requests/s", "failed");
  for (const std::size_t bytes : kBodySizes) {
    // One request at a time, alternating between the paths.
    std::vector<PathResult> direct(kRounds), mesh(kRounds);
    std::vector<double> added50, added99;
    for (int round = 0; round < kRounds; ++round) {
      Client a(stub), b(front);
      const double hops = CpuSeconds(processes[0]) + CpuSeconds(processes[1]);
      const auto r = static_cast<std::size_t>(round);
      const Micros end = Now() + static_cast<Micros>(seconds * 1e6);
      while (Now() < end) {
        for (auto [client, path] : {std::pair(&a, &direct[r]), std::pair(&b, &mesh[r])}) {
          client->Send(bytes);
          while (!client->Read()) {
          }
          if (client->failed) {
            ++path->failed;
            client->Reconnect();
          } else {
            path->ms.push_back(client->took_ms);
          }
        }
      }
      mesh[r].sequential_us = (CpuSeconds(processes[0]) + CpuSeconds(processes[1]) - hops) * 1e6 /
                              static_cast<double>(std::max<std::size_t>(mesh[r].ms.size(), 1));
      added50.push_back(Quantile(mesh[r].ms, 0.5) - Quantile(direct[r].ms, 0.5));
      added99.push_back(Quantile(mesh[r].ms, 0.99) - Quantile(direct[r].ms, 0.99));
      const PathResult d = MeasureConcurrent(stub, bytes, seconds, processes),
                       m = MeasureConcurrent(front, bytes, seconds, processes);
      direct[r].stub = d.stub, direct[r].per_second = d.per_second, direct[r].failed += d.failed;
      mesh[r].outbound = m.outbound, mesh[r].inbound = m.inbound, mesh[r].stub = m.stub;
      mesh[r].per_second = m.per_second, mesh[r].failed += m.failed;
    }
    const auto spread = [&](const std::vector<PathResult>& paths,
                            const std::function<double(const PathResult&)>& of, double q) {
      std::vector<double> all;
      for (const PathResult& path : paths) all.push_back(of(path));
      return Quantile(all, q);
    };
    const auto print = [&](const char* name, const std::vector<PathResult>& paths) {
      const auto least = [&](const std::function<double(const PathResult&)>& of) {
        return spread(paths, of, 0);
      };
      std::uint64_t failed = 0;
      for (const PathResult& path : paths) failed += path.failed;
      std::printf("%-8zu %-7s %9.3f %9.3f %9.3f | %11.1f %11.1f %9.1f %10.0f %7lu\n", bytes, name,
                  least([](const PathResult& w) { return Quantile(w.ms, 0.5); }),
                  least([](const PathResult& w) { return Quantile(w.ms, 0.99); }),
                  least([](const PathResult& w) { return Quantile(w.ms, 0.999); }),
                  least([](const PathResult& w) { return w.outbound; }),
                  least([](const PathResult& w) { return w.inbound; }),
                  least([](const PathResult& w) { return w.stub; }),
                  spread(
                      paths, [](const PathResult& w) { return w.per_second; }, 1),
                  failed);
    };
    print("direct", direct);
    print("mesh", mesh);
    const auto both = [](const PathResult& w) { return w.outbound + w.inbound; };
    const auto sequential_us = [](const PathResult& w) { return w.sequential_us; };
    std::printf(
        "         added by the mesh, median of %d rounds (min, max): p50 %.3f ms (%.3f, %.3f), p99 %.3f "
        "ms (%.3f, "
        "%.3f)\n",
        kRounds, Quantile(added50, 0.5), Quantile(added50, 0), Quantile(added50, 1), Quantile(added99, 0.5),
        Quantile(added99, 0), Quantile(added99, 1));
    std::printf(
        "         both proxies: %.1f us per request (max %.1f) with %d concurrent, %.1f us (%.1f) "
        "sequential\n",
        spread(mesh, both, 0), spread(mesh, both, 1), kConcurrentClients, spread(mesh, sequential_us, 0),
        spread(mesh, sequential_us, 1));
  }
}

}  // namespace
}  // namespace fennelhollow::bench

int main(int argc, char** argv) {
  using namespace fennelhollow::bench;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  FLAGS_minloglevel = 2;
  google::InitGoogleLogging(argv[0]);
  const double seconds = argc > 1 ? std::atof(argv[1]) : 1.5;
  if (seconds < 0.1 || seconds > 2) {  // nine rounds of three; must end within a minute
    std::fprintf(stderr, "usage: mesh_hop_cost [seconds per path, 0.1 to 2]\n");
    return 2;
  }
  MeasureSnapshotUpdate();
  const auto stub = FreePort(), hop = FreePort(), front = FreePort();
  const pid_t server = Fork([&] { RunStub(stub); });
  const pid_t inbound = Fork([&] { RunInbound(hop, stub); });
  const pid_t outbound = Fork([&] { RunOutbound(front, hop, stub); });
  Measure(front, stub, {outbound, inbound, server}, seconds);
  std::printf("memory: outbound %.0f KB, inbound %.0f KB\n", MemoryKb(outbound, "VmRSS"),
              MemoryKb(inbound, "VmRSS"));
  for (const pid_t child : {outbound, inbound, server}) End(child);
  return 0;
}
