// Cost of the control plane by the number of sidecars: a leader to which all sidecars subscribe, a second
// core that only gets their reports, and N sidecar clients without proxies, over transport::Link on loopback.
// Core and sidecars run in processes of their own for separate CPU and memory figures.
//   mesh_control_scale [t=TENANTS] [N ...]    default: t=100 10 100 400 1000
#include <glog/logging.h>
#include <sys/mman.h>

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstring>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "measure.hpp"
#include "mesh/push/client.hpp"
#include "mesh/push/publisher.hpp"
#include "mesh/transport/codec.hpp"
#include "mesh/transport/link.hpp"
#include "net/asio_loop.hpp"

namespace fennelhollow::bench {
namespace {

namespace asio = merlinrun::net::asio;
using push::Client;
using push::CoreUpdate;
using push::Publisher;
using push::SidecarReport;
using transport::Link;

constexpr Micros kMs = 1000;
constexpr Micros kCoreTick = 25 * kMs;  // as in node::Core
constexpr Micros kSidecarTick = 50 * kMs;
constexpr double kMinReportRate = 3;  // reports per second of a sidecar to its subscribed core
constexpr Micros kIdleWindow = 1200 * kMs;
constexpr std::size_t kStateBytes = 100'000;
int tenants = 100;                 // with a limit
constexpr int kActiveTenants = 4;  // with requests, per sidecar
constexpr int kStateChanges = 10, kChanges = 10;
constexpr std::size_t kRepeats = 3;

struct Counts {
  std::atomic<std::uint64_t> frames_in{0}, bytes_in{0}, frames_out{0},
      bytes_out{0};  // including the 4-byte length prefix
};

// Sidecars share processes, but not too many in one, so that it does not become the bottleneck.
constexpr std::size_t kSidecarsPerProcess = 250, kMaxProcesses = 8;

enum Command : int { kNothing, kChangeOne, kRestartAll };

// Shared memory of the processes.
struct Shared {
  std::atomic<int> port[2];
  Counts counts[2];
  std::array<std::atomic<int>, kMaxProcesses> commands{};  // to the sidecar processes
  std::atomic<std::int64_t> began{0};                      // start time of the command
  std::atomic<std::uint64_t> changes_bytes{0}, changes_frames{0};
  std::atomic<std::uint64_t> synced{0};                 // sidecars with snapshot and state since the command
  std::atomic<std::uint64_t> times{0};                  // entries in `micros`
  std::array<std::atomic<std::int64_t>, 65536> micros;  // delay from the command to each sidecar
};

registry::Server MakeServer(std::size_t i, int slots) {
  const std::string n = std::to_string(1000 + i);
  return {"huvo11a-" + n + "-5f2c91",
          "service-" + std::to_string(i % 56),
          "10.20.3." + std::to_string(i % 250) + ":8080",
          "zone-" + std::to_string(i % 5),
          "v2026.11.3",
          slots,
          registry::State::kReady,
          0,
          1,
          "10.20.30.40:7" + n};
}

// A core with its publisher, as in node: one thread, one link per sidecar; a frame for many is packed once.
class Core : public Publisher::Sink {
 public:
  Core(Shared& shared, int index)
      : shared_(shared),
        counts_(shared.counts[index]),
        loop_(io),
        index_(index),
        publisher_(loop_.Now() - 3'000'000, PublisherSettings(index), *this),
        tick_(loop_.NewTimer()) {
    // Picks a free port.
    merlinrun::net::Tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
    const auto port = probe.local_endpoint().port();
    probe.close();
    listener_ = std::make_unique<transport::Listener>(
        io, "127.0.0.1", port, Link::Limits{},
        [this](std::shared_ptr<Link> link) { OnLink(std::move(link)); });
    shared.port[index] = port;
    std::map<std::string, quota::TenantLimit> limits;
    for (int t = 0; t < tenants; ++t) limits["tenant-" + std::to_string(t)] = {1000, 500};
    publisher_.SetLimits(loop_.Now(), limits);
    Tick();
  }

  void SetCoreList(const std::vector<std::string>& cores) {
    publisher_.SetCores(cores, cores.front(), index_ == 0);
    if (index_ == 0) publisher_.SetIsLeader(loop_.Now(), true);
  }
  void PublishState(std::uint64_t entry) {
    acknowledged_.clear();
    ack_ms.clear();
    published_at_ = Now();
    in_force_ms = 0;
    pending_ = entry;
    publisher_.SetState(loop_.Now(), entry, std::string(kStateBytes, 'c'));
  }

  void Send(Publisher::LinkId link, const CoreUpdate& update) override { SendAll({link}, update); }
  void SendAll(const std::vector<Publisher::LinkId>& links, const CoreUpdate& update) override {
    const std::string frame = transport::Pack(update);
    for (const auto id : links)
      if (const auto it = links_.find(id); it != links_.end()) it->second->Send(frame);
    counts_.frames_out += links.size();
    counts_.bytes_out += links.size() * (frame.size() + 4);
    if (update.deltas.empty()) return;
    shared_.changes_frames += links.size();
    shared_.changes_bytes += links.size() * (frame.size() + 4);
  }
  void Close(Publisher::LinkId link) override {
    const auto it = links_.find(link);
    if (it == links_.end()) return;
    const auto gone = it->second;
    links_.erase(it);
    gone->Close();
  }

  asio::io_context io;
  std::vector<double> ack_ms;  // of each sidecar, since PublishState
  double in_force_ms = 0;      // of the last sidecar; 0: not yet
  const Publisher& publisher() const { return publisher_; }
  bool RunUntil(const std::function<bool()>& done, Micros most) {
    const Micros end = Now() + most;
    while (!done() && Now() < end) io.run_for(std::chrono::milliseconds(2));
    return done();
  }
  void RunFor(Micros time) { io.run_for(std::chrono::microseconds(time)); }
  Micros LoopNow() const { return loop_.Now(); }

 private:
  static Publisher::Settings PublisherSettings(int index) {
    Publisher::Settings out;
    out.address = "core-" + std::to_string(index);
    out.epoch = 77 + static_cast<std::uint64_t>(index);
    return out;
  }
  void OnLink(std::shared_ptr<Link> link) {
    const auto id = ++last_;
    links_[id] = link;
    Link::Events events;
    // The first frame is the Hello. The link copies the callback before each call.
    events.on_frame = [this, id, greeted = std::make_shared<bool>(false)](std::string_view frame) {
      if (std::exchange(*greeted, true)) OnFrame(id, frame);
    };
    events.on_closed = [this, id] {
      if (links_.erase(id) > 0) publisher_.OnLinkDown(loop_.Now(), id);
    };
    link->Start(std::move(events));
  }
  void OnFrame(Publisher::LinkId id, std::string_view frame) {
    ++counts_.frames_in;
    counts_.bytes_in += frame.size() + 4;
    const auto report = transport::Unpack<SidecarReport>(frame);
    CHECK(report.ok());
    publisher_.OnReport(loop_.Now(), id, *report);
    if (pending_ == 0) return;
    if (report->applied_entry >= pending_ && acknowledged_.insert(report->sidecar.name).second)
      ack_ms.push_back(static_cast<double>(Now() - published_at_) / 1000);
    // The core checks this at each report while an operator waits.
    if (publisher_.ActiveSidecarsWith(loop_.Now(), pending_) < publisher_.ActiveSidecars(loop_.Now())) return;
    in_force_ms = static_cast<double>(Now() - published_at_) / 1000;
    pending_ = 0;
  }
  void Tick() {
    publisher_.OnTick(loop_.Now());
    tick_->Start(kCoreTick, [this] { Tick(); });
  }

  Shared& shared_;
  Counts& counts_;
  merlinrun::net::AsioLoop loop_;
  const int index_;
  Publisher publisher_;
  std::unique_ptr<merlinrun::core::Timer> tick_;
  std::unique_ptr<transport::Listener> listener_;
  Publisher::LinkId last_ = 0;
  std::map<Publisher::LinkId, std::shared_ptr<Link>> links_;
  std::uint64_t pending_ = 0;
  Micros published_at_ = 0;
  std::set<std::string> acknowledged_;
};

class Sidecars;

// The control-plane client of a sidecar, without its proxies.
class SidecarClient : public Client::Sink {
 public:
  SidecarClient(Sidecars& all, std::size_t index, std::uint64_t incarnation);
  ~SidecarClient() override {
    for (auto& [address, link] : links_) link->Close();
  }
  void ChangeOne() {
    slots_ = slots_ == 8 ? 9 : 8;
    Tick();
  }
  void Send(const std::string& address, const SidecarReport& report) override {
    if (const auto it = links_.find(address); it != links_.end()) it->second->Send(transport::Pack(report));
  }
  void OnState(std::uint64_t, const std::string&) override {
    has_state_ = true;
    CountIfSynced();
  }
  void OnSnapshot(const registry::Snapshot& received_snapshot, std::size_t, std::size_t) override;
  void OnShares(const std::vector<quota::Share>& shares, Micros) override { held_ = shares; }
  void OnCores(const std::vector<std::string>&) override {}

 private:
  void CountIfSynced();
  void Tick();
  void Dial(const std::string& address);
  Sidecars& all_;
  const std::size_t index_;
  int slots_ = 8;
  bool has_snapshot_ = false, has_state_ = false, counted_ = false;
  std::vector<quota::Share> held_;
  std::unique_ptr<Client> client_;
  std::unique_ptr<merlinrun::core::Timer> timer_;
  std::map<std::string, std::shared_ptr<Link>> links_;
  std::set<const Link*> up_;
};

class Sidecars {
 public:
  // Runs sidecars from `process` * kSidecarsPerProcess on, of `count` in total.
  Sidecars(Shared& shared_in, std::size_t count, std::size_t process)
      : shared(shared_in), loop(io), count_(count), process_(process), poll_(loop.NewTimer()) {
    for (const auto& port : shared.port) cores.push_back("127.0.0.1:" + std::to_string(port));
  }
  void Run() {
    RestartAll();
    Poll();
    io.run();
  }
  std::size_t count() const { return count_; }

  Shared& shared;
  asio::io_context io;
  merlinrun::net::AsioLoop loop;
  std::vector<std::string> cores;

 private:
  void RestartAll() {
    all_.clear();
    const std::size_t first = process_ * kSidecarsPerProcess;
    for (std::size_t i = first; i < std::min(count_, first + kSidecarsPerProcess); ++i)
      all_.push_back(std::make_unique<SidecarClient>(*this, i, ++incarnations_));
  }
  void Poll() {
    const int command = shared.commands[process_].exchange(kNothing);
    if (command == kChangeOne) all_.front()->ChangeOne();
    if (command == kRestartAll) {
      // Dial only the leader, because the other core has no state to publish.
      cores.resize(1);
      RestartAll();
    }
    poll_->Start(2 * kMs, [this] { Poll(); });
  }
  const std::size_t count_, process_;
  std::uint64_t incarnations_ = 1000;
  std::vector<std::unique_ptr<SidecarClient>> all_;
  std::unique_ptr<merlinrun::core::Timer> poll_;
};

SidecarClient::SidecarClient(Sidecars& all, std::size_t index, std::uint64_t incarnation)
    : all_(all), index_(index), timer_(all.loop.NewTimer()) {
  Client::Settings settings;
  const registry::Server server = MakeServer(index, slots_);
  settings.sidecar = {"machine-" + std::to_string(1000 + index), incarnation, server.sidecar_address,
                      server.zone, server.service};
  settings.seeds = all.cores;
  settings.seed = incarnation;
  settings.demand = [this](Micros) {
    std::vector<quota::Demand> out;
    for (int t = 0; t < kActiveTenants; ++t)
      out.push_back({"tenant-" + std::to_string((index_ + static_cast<std::size_t>(t) * 25) %
                                                static_cast<std::size_t>(tenants)),
                     20, 90});
    return out;
  };
  settings.held_shares = [this](Micros) { return held_; };
  client_ = std::make_unique<Client>(settings, *this);
  // Start times are spread over a tick; the first tick dials.
  timer_->Start(static_cast<Micros>(index % 50) * kMs, [this] { Tick(); });
}

void SidecarClient::Tick() {
  const Micros now = all_.loop.Now();
  client_->SetServers(now, {MakeServer(index_, slots_)});
  client_->OnTick(now);
  const auto wanted = client_->DesiredLinks(now);
  for (const auto& address : wanted)
    if (links_.count(address) == 0) Dial(address);
  timer_->Start(kSidecarTick, [this] { Tick(); });
}

void SidecarClient::Dial(const std::string& address) {
  const auto port = static_cast<std::uint16_t>(std::atoi(address.c_str() + address.rfind(':') + 1));
  const auto link =
      Link::Dial(all_.io, {fennelhollow::transport::asio::ip::address_v4::loopback(), port}, 500, {});
  links_[address] = link;
  Link::Events events;
  events.on_frame = [this, address](std::string_view frame) {
    const auto update = transport::Unpack<CoreUpdate>(frame);
    CHECK(update.ok());
    client_->OnUpdate(all_.loop.Now(), address, *update);
  };
  events.on_closed = [this, address, raw = link.get()] {
    up_.erase(raw);
    links_.erase(address);
    client_->OnLinkDown(all_.loop.Now(), address);
  };
  events.on_drained = [this, address, raw = link.get()] {
    if (up_.insert(raw).second) client_->OnLinkUp(all_.loop.Now(), address);
  };
  link->Start(std::move(events));
  transport::Hello hello;
  hello.purpose = transport::Purpose::kControl;
  hello.from = "machine-" + std::to_string(1000 + index_);
  link->Send(transport::Pack(hello));
}

void SidecarClient::CountIfSynced() {
  if (has_snapshot_ && has_state_ && !std::exchange(counted_, true)) ++all_.shared.synced;
}

void SidecarClient::OnSnapshot(const registry::Snapshot& received_snapshot, std::size_t, std::size_t) {
  has_snapshot_ |= received_snapshot.servers.size() >= all_.count();
  CountIfSynced();
  const std::uint64_t at = all_.shared.times++;
  if (at < all_.shared.micros.size()) all_.shared.micros[at] = Now() - all_.shared.began;
}

double CpuSeconds(const std::vector<pid_t>& processes) {
  double out = 0;
  for (const pid_t process : processes) out += bench::CpuSeconds(process);
  return out;
}

struct IdleRates {                           // per second, without changes
  double core = 0, other = 0, sidecars = 0;  // CPU seconds
  double in = 0, out = 0, frames_in = 0, frames_out = 0;
  double other_in = 0, other_out = 0;
};

IdleRates Measure(Core& core, const Shared& shared, pid_t other, const std::vector<pid_t>& sidecars) {
  const auto read = [&] {
    return std::array<double, 9>{bench::CpuSeconds(::getpid()),
                                 bench::CpuSeconds(other),
                                 CpuSeconds(sidecars),
                                 static_cast<double>(shared.counts[0].bytes_in),
                                 static_cast<double>(shared.counts[0].bytes_out),
                                 static_cast<double>(shared.counts[0].frames_in),
                                 static_cast<double>(shared.counts[0].frames_out),
                                 static_cast<double>(shared.counts[1].bytes_in),
                                 static_cast<double>(shared.counts[1].bytes_out)};
  };
  const auto before = read();
  const Micros began = Now();
  core.RunFor(kIdleWindow);
  const auto after = read();
  const double s = static_cast<double>(Now() - began) * 1e-6;
  const auto per = [&](std::size_t i) { return (after[i] - before[i]) / s; };
  return {per(0), per(1), per(2), per(3), per(4), per(5), per(6), per(7), per(8)};
}

void RunCore(std::size_t n, Shared& shared) {
  Core core(shared, 0);
  const pid_t other = Fork([&] {
    Core second(shared, 1);
    second.SetCoreList(
        {"127.0.0.1:" + std::to_string(shared.port[0]), "127.0.0.1:" + std::to_string(shared.port[1])});
    second.io.run();
  });
  while (shared.port[1] == 0) ::usleep(1000);
  core.SetCoreList(
      {"127.0.0.1:" + std::to_string(shared.port[0]), "127.0.0.1:" + std::to_string(shared.port[1])});
  const double core_before = MemoryKb(::getpid(), "VmRSS");
  shared.began = Now();
  std::vector<pid_t> sidecars;
  for (std::size_t k = 0; k * kSidecarsPerProcess < n; ++k)
    sidecars.push_back(Fork([&, k] { Sidecars(shared, n, k).Run(); }));
  ::usleep(1000);
  const bool up = core.RunUntil(
      [&] { return core.publisher().snapshot().servers.size() >= n && core.publisher().Subscribers() >= n; },
      8'000'000);
  if (!up)
    std::printf("N %zu: only %zu servers in the snapshot, %zu subscribers\n", n,
                core.publisher().snapshot().servers.size(), core.publisher().Subscribers());
  core.RunFor(1500 * kMs);
  const double count = static_cast<double>(n);

  std::vector<IdleRates> rest;
  int discarded = 0;
  // Discards windows in which other load on the machine kept the sidecars from reporting in time.
  for (int i = 0; i < 3 * static_cast<int>(kRepeats) && rest.size() < kRepeats; ++i) {
    const IdleRates one = Measure(core, shared, other, sidecars);
    if (one.frames_in < kMinReportRate * count)
      ++discarded;
    else
      rest.push_back(one);
  }
  const auto min_max = [&](double IdleRates::*field) {
    std::vector<double> all;
    for (const IdleRates& r : rest) all.push_back(r.*field);
    return std::pair(Quantile(all, 0), Quantile(all, 1));
  };
  const auto [core_s, core_most] = min_max(&IdleRates::core);
  const auto [other_s, other_most] = min_max(&IdleRates::other);
  const auto [side_s, side_most] = min_max(&IdleRates::sidecars);
  if (discarded > 0)
    std::printf("N %zu: %d windows discarded, in which the sidecars got too little CPU\n", n, discarded);
  std::printf(
      "N %zu\n  idle: leader with subscribers: %.4f of a CPU (max of %zu: %.4f), %.1f us/s per "
      "sidecar\n",
      n, core_s, kRepeats, core_most, core_s * 1e6 / count);
  std::printf("        other core: %.4f of a CPU (%.4f), %.1f us a second per sidecar\n", other_s, other_most,
              other_s * 1e6 / count);
  std::printf("        a sidecar with two cores: %.1f us a second (%.1f)\n", side_s * 1e6 / count,
              side_most * 1e6 / count);
  std::printf(
      "        bytes/s per sidecar: to the leader %.0f, from it %.0f (frames %.2f, %.2f); other core: %.0f, "
      "%.0f\n",
      min_max(&IdleRates::in).first / count, min_max(&IdleRates::out).first / count,
      min_max(&IdleRates::frames_in).first / count, min_max(&IdleRates::frames_out).first / count,
      min_max(&IdleRates::other_in).first / count, min_max(&IdleRates::other_out).first / count);
  double side_kb = 0;
  for (const pid_t process : sidecars) side_kb += MemoryKb(process, "VmRSS");
  std::printf(
      "  memory: core %.0f KB, of that %.1f KB per sidecar; sidecar process %.1f KB each (snapshot of %zu)\n",
      MemoryKb(::getpid(), "VmRSS"), (MemoryKb(::getpid(), "VmRSS") - core_before) / count, side_kb / count,
      n);

  // Change of one server's state.
  core.RunFor(100 * kMs);
  shared.changes_bytes = shared.changes_frames = 0;
  std::vector<double> p50, p99, last;
  double core_cpu = 1e9, side_cpu = 1e9;
  for (int i = 0; i < kChanges; ++i) {
    const double before = bench::CpuSeconds(::getpid()), side_before = CpuSeconds(sidecars);
    shared.times = 0;
    shared.began = Now();
    shared.commands[0] = kChangeOne;
    core.RunUntil([&] { return shared.times >= n; }, 2'000'000);
    core_cpu = std::min(core_cpu, bench::CpuSeconds(::getpid()) - before);
    side_cpu = std::min(side_cpu, CpuSeconds(sidecars) - side_before);
    std::vector<double> ms;
    for (std::size_t k = 0; k < std::min<std::size_t>(n, shared.times); ++k)
      ms.push_back(static_cast<double>(shared.micros[k]) / 1000);
    p50.push_back(Quantile(ms, 0.5));
    p99.push_back(Quantile(ms, 0.99));
    last.push_back(Quantile(ms, 1));
    core.RunFor(70 * kMs);
  }
  std::printf(
      "  one server changes: %.0f bytes per sidecar; received after p50 %.1f p99 %.1f max %.1f ms "
      "(least of "
      "%d; most %.1f); core %.2f ms, a sidecar %.0f us\n",
      static_cast<double>(shared.changes_bytes) /
          static_cast<double>(std::max<std::uint64_t>(1, shared.changes_frames)),
      Quantile(p50, 0), Quantile(p99, 0), Quantile(last, 0), kChanges, Quantile(last, 1), core_cpu * 1e3,
      side_cpu * 1e6 / count);

  // A new committed entry.
  std::vector<double> acks, all;
  double core_state_cpu = 1e9, sidecar_state_cpu = 1e9;
  int missing = 0;
  for (int i = 0; i < kStateChanges; ++i) {
    const double before = bench::CpuSeconds(::getpid()), side_before = CpuSeconds(sidecars);
    core.PublishState(static_cast<std::uint64_t>(i + 1));
    missing += core.RunUntil([&] { return core.in_force_ms > 0; }, 3'000'000) ? 0 : 1;
    core_state_cpu = std::min(core_state_cpu, bench::CpuSeconds(::getpid()) - before);
    sidecar_state_cpu = std::min(sidecar_state_cpu, CpuSeconds(sidecars) - side_before);
    acks.insert(acks.end(), core.ack_ms.begin(), core.ack_ms.end());
    all.push_back(core.in_force_ms);
    core.RunFor(70 * kMs);
  }
  std::printf(
      "  entry of %zu KB: acknowledged after p50 %.1f p99 %.1f ms; by all: min %.1f p50 %.1f max %.1f ms, "
      "not in "
      "3 s %d of %d; core %.1f ms, a sidecar %.0f us; core's peak memory %.0f KB\n",
      kStateBytes / 1000, Quantile(acks, 0.5), Quantile(acks, 0.99), Quantile(all, 0), Quantile(all, 0.5),
      Quantile(all, 1), missing, kStateChanges, core_state_cpu * 1e3, sidecar_state_cpu * 1e6 / count,
      MemoryKb(::getpid(), "VmHWM"));

  // All sidecars restart at once and need snapshot and state.
  std::vector<double> took, cpu, bytes, side;
  for (int i = 0; i < static_cast<int>(kRepeats); ++i) {
    const double before = bench::CpuSeconds(::getpid()), side_before = CpuSeconds(sidecars);
    const double out = static_cast<double>(shared.counts[0].bytes_out);
    shared.synced = 0;
    shared.began = Now();
    for (std::size_t k = 0; k < sidecars.size(); ++k) shared.commands[k] = kRestartAll;
    const bool done = core.RunUntil([&] { return shared.synced >= n; }, 6'000'000);
    if (!done) {
      std::printf("  all restarted at once: not all had snapshot and state in 6 s\n");
      continue;
    }
    took.push_back(static_cast<double>(Now() - shared.began) / 1000);
    cpu.push_back((bench::CpuSeconds(::getpid()) - before) * 1e3);
    side.push_back((CpuSeconds(sidecars) - side_before) * 1e3 / count);
    bytes.push_back((static_cast<double>(shared.counts[0].bytes_out) - out) / count);
    core.RunFor(300 * kMs);
  }
  std::printf(
      "  all restarted at once: all have snapshot and state after %.0f ms (max of %zu: %.0f); core %.0f ms "
      "of CPU, a sidecar %.2f ms; %.0f bytes to each; core's peak memory %.0f KB\n",
      Quantile(took, 0), kRepeats, Quantile(took, 1), Quantile(cpu, 0), Quantile(side, 0), Quantile(bytes, 0),
      MemoryKb(::getpid(), "VmHWM"));
  for (const pid_t process : sidecars) End(process);
  End(other);
}

}  // namespace
}  // namespace fennelhollow::bench

int main(int argc, char** argv) {
  using fennelhollow::bench::Shared;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  FLAGS_minloglevel = 2;
  // Time limit on an overloaded machine; the child processes exit with this one.
  std::signal(SIGALRM, [](int) {
    constexpr char kLine[] = "time limit: the remaining sizes were not measured\n";
    [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, kLine, sizeof kLine - 1);
    ::_exit(3);
  });
  ::alarm(58);
  google::InitGoogleLogging(argv[0]);
  std::vector<std::size_t> sizes;
  for (int i = 1; i < argc; ++i) {
    const std::string word = argv[i];
    if (word.rfind("t=", 0) == 0) {
      fennelhollow::bench::tenants = std::clamp(std::atoi(word.c_str() + 2), 4, 4000);
      continue;
    }
    sizes.push_back(static_cast<std::size_t>(std::atol(word.c_str())));
  }
  if (sizes.empty()) sizes = {10, 100, 400, 1000};
  for (const std::size_t n : sizes) {
    if (n < 1 || n > 2000) {
      std::fprintf(stderr, "usage: mesh_control_scale [N from 1 to 2000 ...]\n");
      return 2;
    }
    void* memory = ::mmap(nullptr, sizeof(Shared), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (memory == MAP_FAILED) return 1;
    auto* shared = new (memory) Shared();
    fennelhollow::bench::WaitFor(
        fennelhollow::bench::Fork([&] { fennelhollow::bench::RunCore(n, *shared); }));
    ::munmap(memory, sizeof(Shared));
  }
  return 0;
}
