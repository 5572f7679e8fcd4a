// What the mesh adds to one call: through both hops (egress's OutboundProxy and InboundProxyClient; ingress's
// InboundProxy), beside the same call to the server directly, in one run. Four processes on loopback: caller,
// outbound sidecar, inbound sidecar, a stub HTTP server; processor time is the kernel's account of each. In
// the mesh each sidecar is the outbound one of its own server's calls and the inbound one of the calls to it.
//   mesh_hop_cost [seconds a way, 1.5 without]
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

constexpr std::size_t kServices = 56, kServersEach = 14, kTenants = 30;
constexpr std::size_t kBodies[] = {512, 5 * 1024, 90 * 1024};  // of answers
constexpr int kRounds = 3;                                     // of both ways in turn; the least is shown
constexpr int kCallersBusy = 16;                               // connections, one request at a time each

std::uint16_t FreePort() {
  asio::io_context io;
  return Tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}).local_endpoint().port();
}
std::string At(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// ---- The stub: answers /p/BYTES with so many bytes, and the head's Attempt-Id.

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

// ---- The sidecars.

registry::Snapshot ListingOf(std::uint16_t hop, std::uint16_t stub, std::size_t each = kServersEach) {
  registry::Snapshot out;
  out.epoch = out.revision = 1;
  for (std::size_t s = 0; s < kServices; ++s)
    for (std::size_t i = 0; i < each; ++i) {
      const std::string n = std::to_string(100 + s) + "-" + std::to_string(100 + i);
      out.servers.push_back({"server-" + n, "service-" + std::to_string(s), At(stub),
                             "z" + std::to_string(i % 5), "v1", 64, registry::State::kReady, 0, 1, At(hop)});
      out.sidecars.push_back({"machine-" + n, 1 + s * 100 + i, At(hop), "z" + std::to_string(i % 5),
                              "service-" + std::to_string(s)});
    }
  return out;
}

std::shared_ptr<const configuration::RoutingTables> TablesOf() {
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
  const auto verdict = configuration::ReplicatedState().Evaluate(
      false, json({{"version", 1}, {"resourceList", items}}).dump());
  CHECK(verdict.kind == configuration::ChangeResult::Kind::kAccepted) << verdict.error;
  const auto ledger = configuration::ReplicatedState::Parse(verdict.next_state);
  CHECK(ledger.ok());
  const auto tables = configuration::RoutingTables::Build(ledger->newest());
  CHECK(tables.ok()) << tables.status();
  return *tables;
}

void RunInbound(std::uint16_t port, std::uint16_t stub) {
  asio::io_context io;
  merlinrun::net::AsioLoop loop(io);
  std::map<std::string, registry::Server> servers;
  for (const auto& server : ListingOf(port, stub).servers) servers[server.id] = server;
  ingress::InboundProxy hop(io, loop, {7, {}},
                            {[&](const std::string& id) -> const registry::Server* {
                               const auto at = servers.find(id);
                               return at == servers.end() ? nullptr : &at->second;
                             },
                             [](const std::string&) {}, [] { return true; }});
  transport::Listener listener(io, "127.0.0.1", port, {}, [&](std::shared_ptr<transport::Link> link) {
    transport::Link::Events events;
    events.on_frame = [&hop, weak = std::weak_ptr<transport::Link>(link)](std::string_view) {  // the Hello
      if (const auto mine = weak.lock()) hop.Serve(mine);
    };
    // Held until its Hello has come.
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

// What a change of the listing costs the outbound side: each is taken whole by the modules of all services.
void MeasureListing() {
  for (const std::size_t each : {std::size_t{2}, std::size_t{7}, kServersEach, std::size_t{28}}) {
    asio::io_context io;
    merlinrun::net::AsioLoop loop(io);
    egress::InboundProxyClient hops(io, loop, {"machine-1", "127.0.0.1:1", 9, 300, 400});
    quota::Limiter gauge({});
    egress::OutboundProxy outbound(loop, OutboundSettings(), hops, gauge);
    registry::Snapshot listing = ListingOf(1, 2, each);
    outbound.OnEndpoints(listing, 3, listing.sidecars.size());
    const double memory = MemoryKb(::getpid(), "VmRSS");
    outbound.OnConfiguration(TablesOf());
    std::vector<double> us;
    for (int i = 0; i < kRounds * 10; ++i) {
      ++listing.revision;
      listing.servers[5].slots = 64 + i % 2;
      const double before = ProcessorTime(::getpid());
      outbound.OnEndpoints(listing, 3, listing.sidecars.size());
      us.push_back((ProcessorTime(::getpid()) - before) * 1e6);
    }
    std::printf(
        "listing of %zu servers, %zu services: a change costs the outbound side %.0f us (median %.0f, most "
        "%.0f); "
        "tables and modules %.0f KB\n",
        listing.servers.size(), kServices, Quantile(us, 0), Quantile(us, 0.5), Quantile(us, 1),
        MemoryKb(::getpid(), "VmRSS") - memory);
  }
}

void RunOutbound(std::uint16_t port, std::uint16_t hop, std::uint16_t stub) {
  asio::io_context io;
  merlinrun::net::AsioLoop loop(io);
  egress::InboundProxyClient hops(io, loop, {"machine-1", "127.0.0.1:1", 9, 300, 400});
  quota::Limiter gauge({});
  egress::OutboundProxy outbound(loop, OutboundSettings(), hops, gauge);
  outbound.OnEndpoints(ListingOf(hop, stub), 3, kServices * kServersEach);
  outbound.OnConfiguration(TablesOf());
  HttpServer front(io, {"127.0.0.1", port}, {},
                   {[&](const HttpServer::SessionPtr& session, egress::HttpRequest in) {
                      outbound.OnRequest(session, std::move(in));
                    },
                    [&](const HttpServer::SessionPtr& session) { outbound.OnClientDisconnect(session); }});
  io.run();
}

// ---- The caller: blocking sockets, one request at a time each; a closed loop.

class Caller {
 public:
  explicit Caller(std::uint16_t port) : port_(port) { Connect(); }
  ~Caller() { ::close(fd_); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  int fd() const { return fd_; }
  void Ask(std::size_t bytes) {
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
  // Reads what is there; true once the answer is whole (or can't come: `failed`).
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
        if (!std::exchange(told, true)) std::fprintf(stderr, "first failure: %s\n", in_.c_str());
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
  void Again() {
    failed = false;
    ::close(fd_);
    Connect();
  }

  bool failed = false;
  double took_ms = 0;
  static inline std::uint64_t last = 0;
  static inline bool told = false;  // the first failure

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

struct Way {
  std::vector<double> ms;
  std::uint64_t failed = 0;
  double outbound = 0, inbound = 0, stub = 0;  // processor microseconds a request
  double alone = 0;                            // of both hops, one request at a time
  double per_second = 0;
};

Way Busy(std::uint16_t port, std::size_t bytes, double seconds, const std::array<pid_t, 3>& processes) {
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<pollfd> fds;
  for (int i = 0; i < kCallersBusy; ++i) {
    callers.push_back(std::make_unique<Caller>(port));
    callers.back()->Ask(bytes);
    fds.push_back({callers.back()->fd(), POLLIN, 0});
  }
  Way out;
  std::array<double, 3> cpu{};
  Micros began = 0;
  std::uint64_t done = 0;
  // The first tenth is the way's warming up.
  const Micros start = Now(), measured = start + static_cast<Micros>(seconds * 1e5);
  const Micros end = start + static_cast<Micros>(seconds * 1e6);
  for (Micros now = start; now < end; now = Now()) {
    if (began == 0 && now >= measured) {
      began = now;
      done = 0;
      for (std::size_t p = 0; p < 3; ++p) cpu[p] = ProcessorTime(processes[p]);
    }
    ::poll(fds.data(), fds.size(), 100);
    for (std::size_t i = 0; i < fds.size(); ++i) {
      if (fds[i].revents == 0 || !callers[i]->Read()) continue;
      ++done;
      if (callers[i]->failed) {
        ++out.failed;
        callers[i]->Again();
      }
      callers[i]->Ask(bytes);
      fds[i].fd = callers[i]->fd();
    }
  }
  const double n = static_cast<double>(std::max<std::uint64_t>(done, 1));
  out.outbound = (ProcessorTime(processes[0]) - cpu[0]) * 1e6 / n;
  out.inbound = (ProcessorTime(processes[1]) - cpu[1]) * 1e6 / n;
  out.stub = (ProcessorTime(processes[2]) - cpu[2]) * 1e6 / n;
  out.per_second = n * 1e6 / static_cast<double>(Now() - began);
  return out;
}

void Measure(std::uint16_t front, std::uint16_t stub, const std::array<pid_t, 3>& processes, double seconds) {
  std::printf("%-8s %-7s %9s %9s %9s | %11s %11s %9s %10s %7s\n", "body", "way", "p50 ms", "p99 ms",
              "p99.9 ms", "outbound us", "inbound us", "stub us", "a second", "failed");
  for (const std::size_t bytes : kBodies) {
    // One at a time, the two ways in turn: paired.
    std::vector<Way> direct(kRounds), mesh(kRounds);
    std::vector<double> added50, added99;
    for (int round = 0; round < kRounds; ++round) {
      Caller a(stub), b(front);
      const double hops = ProcessorTime(processes[0]) + ProcessorTime(processes[1]);
      const auto r = static_cast<std::size_t>(round);
      const Micros end = Now() + static_cast<Micros>(seconds * 1e6);
      while (Now() < end) {
        for (auto [caller, way] : {std::pair(&a, &direct[r]), std::pair(&b, &mesh[r])}) {
          caller->Ask(bytes);
          while (!caller->Read()) {
          }
          if (caller->failed) {
            ++way->failed;
            caller->Again();
          } else {
            way->ms.push_back(caller->took_ms);
          }
        }
      }
      mesh[r].alone = (ProcessorTime(processes[0]) + ProcessorTime(processes[1]) - hops) * 1e6 /
                      static_cast<double>(std::max<std::size_t>(mesh[r].ms.size(), 1));
      added50.push_back(Quantile(mesh[r].ms, 0.5) - Quantile(direct[r].ms, 0.5));
      added99.push_back(Quantile(mesh[r].ms, 0.99) - Quantile(direct[r].ms, 0.99));
      const Way d = Busy(stub, bytes, seconds, processes), m = Busy(front, bytes, seconds, processes);
      direct[r].stub = d.stub, direct[r].per_second = d.per_second, direct[r].failed += d.failed;
      mesh[r].outbound = m.outbound, mesh[r].inbound = m.inbound, mesh[r].stub = m.stub;
      mesh[r].per_second = m.per_second, mesh[r].failed += m.failed;
    }
    const auto spread = [&](const std::vector<Way>& ways, const std::function<double(const Way&)>& of,
                            double q) {
      std::vector<double> all;
      for (const Way& way : ways) all.push_back(of(way));
      return Quantile(all, q);
    };
    const auto print = [&](const char* name, const std::vector<Way>& ways) {
      const auto least = [&](const std::function<double(const Way&)>& of) { return spread(ways, of, 0); };
      std::uint64_t failed = 0;
      for (const Way& way : ways) failed += way.failed;
      std::printf("%-8zu %-7s %9.3f %9.3f %9.3f | %11.1f %11.1f %9.1f %10.0f %7lu\n", bytes, name,
                  least([](const Way& w) { return Quantile(w.ms, 0.5); }),
                  least([](const Way& w) { return Quantile(w.ms, 0.99); }),
                  least([](const Way& w) { return Quantile(w.ms, 0.999); }),
                  least([](const Way& w) { return w.outbound; }),
                  least([](const Way& w) { return w.inbound; }), least([](const Way& w) { return w.stub; }),
                  spread(
                      ways, [](const Way& w) { return w.per_second; }, 1),
                  failed);
    };
    print("direct", direct);
    print("mesh", mesh);
    const auto both = [](const Way& w) { return w.outbound + w.inbound; };
    const auto alone = [](const Way& w) { return w.alone; };
    std::printf(
        "         added by the mesh, median of %d rounds (least, most): p50 %.3f ms (%.3f, %.3f), p99 %.3f "
        "ms (%.3f, "
        "%.3f)\n",
        kRounds, Quantile(added50, 0.5), Quantile(added50, 0), Quantile(added50, 1), Quantile(added99, 0.5),
        Quantile(added99, 0), Quantile(added99, 1));
    std::printf(
        "         both hops: %.1f us a request (most %.1f) with %d at once, %.1f us (%.1f) one at a time\n",
        spread(mesh, both, 0), spread(mesh, both, 1), kCallersBusy, spread(mesh, alone, 0),
        spread(mesh, alone, 1));
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
  if (seconds < 0.1 || seconds > 2) {  // nine rounds of three: it has to end in under a minute
    std::fprintf(stderr, "usage: mesh_hop_cost [seconds a way, from 0.1 to 2]\n");
    return 2;
  }
  MeasureListing();
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
