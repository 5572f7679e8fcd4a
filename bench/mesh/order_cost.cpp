// Cost of consensus, configuration changes and quota shares by their sizes.
//   mesh_order_cost order           3, 5, 7 replicas by state size: virtual time, real CPU time; the store
//   mesh_order_cost configuration   evaluation, parsing and routing tables by number of routes
//   mesh_order_cost cutter          the leader's quota shares by sidecars and tenants
//   mesh_order_cost                 all of these
// Virtual links take 0.5 ms within a region and 30 ms between two, a sync 0.5 ms; the store is on a real
// disk. Each figure is the minimum of three runs, with the maximum in brackets.
#include <glog/logging.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <set>

#include "measure.hpp"
#include "mesh/configuration/configuration.hpp"
#include "mesh/consensus/replica.hpp"
#include "mesh/quota/quota.hpp"
#include "mesh/storage/store.hpp"

namespace fennelhollow::bench {
namespace {

using namespace consensus;

constexpr Micros kMs = 1000;
constexpr int kRepeats = 3;

double ProcessCpuSeconds() { return Seconds(CLOCK_PROCESS_CPUTIME_ID); }

struct Spread {
  std::vector<double> all;
  double least() const { return Quantile(all, 0); }
  double most() const { return Quantile(all, 1); }
};

// ---- Consensus

struct Simulation;
struct SimulatedReplica final : Sink {
  SimulatedReplica(Simulation& w, ReplicaId name, int r) : simulation(w), id(std::move(name)), region(r) {}
  void Send(const ReplicaId& to, std::string message) override;
  void Write(const PersistentState& persistent, std::uint64_t token) override;
  void Apply(const Entry& entry) override;
  void OnRequestDone(std::uint64_t call, Outcome outcome) override;
  void OnLeaderChange(const ReplicaId&, std::uint64_t) override {}
  Simulation& simulation;
  const ReplicaId id;
  const int region;
  std::unique_ptr<Replica> replica;
  std::uint64_t applied_index = 0;
};

struct Simulation {
  explicit Simulation(int count) {
    std::vector<ReplicaId> ids;
    for (int i = 0; i < count; ++i) ids.push_back("10.0.0." + std::to_string(i + 1) + ":7000");
    // A majority in one region: 2 of 3, 3 of 5, 4 of 7.
    for (int i = 0; i < count; ++i)
      members[ids[static_cast<std::size_t>(i)]] = std::make_unique<SimulatedReplica>(
          *this, ids[static_cast<std::size_t>(i)], i < count / 2 + 1 ? 0 : 1);
    for (auto& [id, m] : members) {
      ReplicaSettings s;
      s.self = id;
      s.incarnation = ++incarnations;
      s.seed = incarnations;
      s.initial_voters = s.seed_peers = ids;
      s.bootstrap = true;
      s.max_voters = static_cast<std::size_t>(count);
      m->replica = std::make_unique<Replica>(s, now, *m);
      Tick(*m);
    }
  }
  void Tick(SimulatedReplica& m) {
    At(now + 25 * kMs, [this, &m] {
      m.replica->OnTick(now);
      Tick(m);
    });
  }
  void At(Micros when, std::function<void()> what) { events.push({when, ++sequence, std::move(what)}); }
  bool RunUntil(const std::function<bool()>& done, Micros most) {
    const Micros end = now + most;
    while (!done() && !events.empty() && events.top().when <= end) {
      const auto event = events.top();
      events.pop();
      now = std::max(now, event.when);
      event.what();
    }
    return done();
  }
  SimulatedReplica* Leader() {
    for (auto& [id, m] : members)
      if (m->replica->is_leader()) return m.get();
    return nullptr;
  }
  struct Event {
    Micros when;
    std::uint64_t sequence;
    std::function<void()> what;
    bool operator<(const Event& o) const { return std::tie(o.when, o.sequence) < std::tie(when, sequence); }
  };
  std::map<ReplicaId, std::unique_ptr<SimulatedReplica>> members;
  std::priority_queue<Event> events;
  Micros now = 1'000'000;
  std::uint64_t sequence = 0, incarnations = 0, messages = 0, bytes = 0, committed = 0, writes = 0;
};

void SimulatedReplica::Send(const ReplicaId& to, std::string message) {
  ++simulation.messages;
  simulation.bytes += message.size() + 5;  // length prefix and message tag
  SimulatedReplica& other = *simulation.members.at(to);
  const Micros delay = other.region == region ? kMs / 2 : 30 * kMs;
  simulation.At(simulation.now + delay,
                [this, &other, text = std::make_shared<std::string>(std::move(message))] {
                  other.replica->OnMessage(simulation.now, id, *text);
                });
}
void SimulatedReplica::Write(const PersistentState&, std::uint64_t token) {
  ++simulation.writes;
  simulation.At(simulation.now + kMs / 2, [this, token] { replica->OnWritten(simulation.now, token, true); });
}
void SimulatedReplica::Apply(const Entry& entry) { applied_index = entry.index; }
void SimulatedReplica::OnRequestDone(std::uint64_t, Outcome outcome) {
  simulation.committed += outcome == Outcome::kSuccess ? 1 : 0;
}

void MeasureConsensus() {
  constexpr int kChanges = 40;
  std::printf(
      "consensus: replicas, state KB | a change: CPU us of all replicas, messages, bytes | committed at the "
      "leader p50 p99 ms, applied by all p50 p99 ms | idle per second: us, messages, bytes\n");
  for (const int count : {3, 5, 7})
    for (const std::size_t kb : {10, 100, 400}) {
      Spread cpu, rest_cpu;
      double messages = 0, bytes = 0, rest_messages = 0, rest_bytes = 0;
      std::vector<double> committed, all;
      for (int repeat = 0; repeat < kRepeats; ++repeat) {
        Simulation simulation(count);
        if (!simulation.RunUntil([&] { return simulation.Leader() != nullptr; }, 20'000'000)) {
          std::printf("  %d replicas: no leader after 20 s\n", count);
          return;
        }
        const auto none = [] { return false; };
        simulation.RunUntil(none, 3'000'000);
        double before = ProcessCpuSeconds();
        std::uint64_t m = simulation.messages, b = simulation.bytes;
        simulation.RunUntil(none, 20'000'000);
        rest_cpu.all.push_back((ProcessCpuSeconds() - before) * 1e6 / 20);
        rest_messages = static_cast<double>(simulation.messages - m) / 20;
        rest_bytes = static_cast<double>(simulation.bytes - b) / 20;
        double total = 0, elapsed_seconds = 0;
        m = simulation.messages, b = simulation.bytes;
        for (int i = 0; i < kChanges; ++i) {
          SimulatedReplica* leader = simulation.Leader();
          const std::string state(kb * 1000, static_cast<char>('a' + i % 26));
          const std::uint64_t want = simulation.committed + 1,
                              base_index = leader->replica->last_committed().index;
          const Micros began = simulation.now;
          before = ProcessCpuSeconds();
          leader->replica->Propose(simulation.now, static_cast<std::uint64_t>(i + 1), base_index, state);
          if (!simulation.RunUntil([&] { return simulation.committed >= want; }, 5'000'000)) {
            std::printf("  %d replicas, %zu KB: change %d was not committed\n", count, kb, i);
            return;
          }
          committed.push_back(static_cast<double>(simulation.now - began) / 1000);
          simulation.RunUntil(
              [&] {
                for (const auto& [id, member] : simulation.members)
                  if (member->applied_index <= base_index) return false;
                return true;
              },
              5'000'000);
          all.push_back(static_cast<double>(simulation.now - began) / 1000);
          total += ProcessCpuSeconds() - before;
          elapsed_seconds += static_cast<double>(simulation.now - began) * 1e-6;
          simulation.RunUntil(none, 137 * kMs);  // not in phase with the heartbeats
          elapsed_seconds += 0.137;
        }
        cpu.all.push_back(total * 1e6 / kChanges);
        messages = static_cast<double>(simulation.messages - m) / kChanges -
                   rest_messages * elapsed_seconds / kChanges;
        bytes =
            static_cast<double>(simulation.bytes - b) / kChanges - rest_bytes * elapsed_seconds / kChanges;
      }
      std::printf(
          "  %d %4zu | %7.0f (%.0f) %6.1f %9.0f | %5.1f %5.1f %6.1f %6.1f | %6.0f (%.0f) %5.1f %7.0f\n",
          count, kb, cpu.least(), cpu.most(), messages, bytes, Quantile(committed, 0.5),
          Quantile(committed, 0.99), Quantile(all, 0.5), Quantile(all, 0.99), rest_cpu.least(),
          rest_cpu.most(), rest_messages, rest_bytes);
    }
}

void MeasureStore() {
  constexpr int kWrites = 60;
  std::printf("store: state KB | synced write: CPU us, p50 p99 ms; read us; memory KB\n");
  const auto folder = std::filesystem::temp_directory_path() / ("order_cost." + std::to_string(::getpid()));
  for (const std::size_t kb : {10, 100, 400}) {
    Spread cpu, read;
    std::vector<double> ms;
    const double memory = MemoryKb(::getpid(), "VmRSS");
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      std::filesystem::remove_all(folder);
      auto store = storage::Store::Open(folder.string(), std::size_t{64} << 20);
      CHECK(store.ok()) << store.status();
      PersistentState persistent;
      persistent.storage_id = 5;
      persistent.accepted.voters = {"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"};
      persistent.accepted.voter_storage_ids = {1, 2, 3};
      persistent.accepted.state.assign(kb * 1000, 's');
      const double before = ProcessCpuSeconds();
      for (int i = 0; i < kWrites; ++i) {
        persistent.accepted.index = static_cast<std::uint64_t>(i + 1);
        const Micros began = Now();
        const auto written = (*store)->Write(persistent);
        CHECK(written.ok()) << written;
        ms.push_back(static_cast<double>(Now() - began) / 1000);
      }
      cpu.all.push_back((ProcessCpuSeconds() - before) * 1e6 / kWrites);
      const double read_before = ProcessCpuSeconds();
      CHECK((*store)->Read().ok());
      read.all.push_back((ProcessCpuSeconds() - read_before) * 1e6);
    }
    std::printf("  %4zu | %6.0f (%.0f) %6.2f %6.2f; %6.0f; %.0f\n", kb, cpu.least(), cpu.most(),
                Quantile(ms, 0.5), Quantile(ms, 0.99), read.least(), MemoryKb(::getpid(), "VmRSS") - memory);
  }
  std::filesystem::remove_all(folder);
}

// ---- Configuration

nlohmann::json Route(std::size_t i, int timeout) {
  return {{"resourceKind", "routes"},
          {"metadata", {{"name", "r-" + std::to_string(100000 + i)}}},
          {"specification",
           {{"host", "h" + std::to_string(i % 40) + ".example"},
            {"pathPrefix", "/p" + std::to_string(i) + "/"},
            {"kind", i % 3 == 0 ? "unsafe" : "safe"},
            {"timeoutMs", timeout},
            {"targetLatencyMs", 400},
            {"priority", 1},
            {"service", "service-" + std::to_string(i % 56)},
            {"attempts", 2}}}};
}

void MeasureConfiguration() {
  using nlohmann::json;
  std::printf(
      "configuration: routes (56 services, 30 tenants) | state KB | Evaluate of a change of one route, "
      "ReplicatedState::Parse, "
      "RoutingTables::Build, Compare: CPU us; a lookup ns\n");
  for (const std::size_t routes : {10, 100, 1000, 4000}) {
    json items = json::array();
    for (std::size_t s = 0; s < 56; ++s)
      items.push_back({{"resourceKind", "services"},
                       {"metadata", {{"name", "service-" + std::to_string(s)}}},
                       {"specification", {{"healthPath", "/health"}, {"connectionLimit", 110}}}});
    for (std::size_t t = 0; t < 30; ++t)
      items.push_back({{"resourceKind", "tenants"},
                       {"metadata", {{"name", "tenant-" + std::to_string(t)}}},
                       {"specification", {{"accessKeys", {"key-" + std::to_string(t)}}}}});
    for (std::size_t i = 0; i < routes; ++i) items.push_back(Route(i, 2500));
    const auto first = configuration::ReplicatedState().Evaluate(
        false, json({{"version", 1}, {"resourceList", items}}).dump());
    if (first.kind != configuration::ChangeResult::Kind::kAccepted) {
      std::printf("  %4zu | rejected: %s\n", routes, first.error.c_str());
      continue;
    }
    const auto replicated_state = configuration::ReplicatedState::Parse(first.next_state);
    CHECK(replicated_state.ok());
    const std::string change =
        json({{"version", 2}, {"baseVersion", 1}, {"upsert", {{"resourceList", {Route(routes / 2, 2600)}}}}})
            .dump();
    const int times = routes >= 1000 ? 5 : 40;
    const auto time = [&](const std::function<void()>& what) {
      Spread out;
      for (int repeat = 0; repeat < kRepeats; ++repeat) {
        const double before = ProcessCpuSeconds();
        for (int i = 0; i < times; ++i) what();
        out.all.push_back((ProcessCpuSeconds() - before) * 1e6 / times);
      }
      return out;
    };
    std::string next;
    const Spread decide = time([&] {
      const auto result = replicated_state->Evaluate(true, change);
      CHECK(result.kind == configuration::ChangeResult::Kind::kAccepted) << result.error;
      next = result.next_state;
    });
    const Spread read = time([&] { CHECK(configuration::ReplicatedState::Parse(next).ok()); });
    std::shared_ptr<const configuration::RoutingTables> tables;
    const Spread make =
        time([&] { tables = *configuration::RoutingTables::Build(replicated_state->newest()); });
    const Spread compare = time([&] { configuration::Compare(*tables, *tables); });
    std::size_t found = 0;
    const Spread lookup = time([&] {
      for (std::size_t i = 0; i < 1000; ++i) {
        const std::size_t r = i % routes;
        found += tables->FindRoute("h" + std::to_string(r % 40) + ".example",
                                   "/p" + std::to_string(r) + "/x") != nullptr;
      }
    });
    CHECK(found == 1000U * static_cast<unsigned>(times) * kRepeats);
    std::printf("  %4zu | %7.1f | %8.0f (%.0f) %7.0f (%.0f) %7.0f (%.0f) %6.0f (%.0f); %.0f\n", routes,
                static_cast<double>(next.size()) / 1000, decide.least(), decide.most(), read.least(),
                read.most(), make.least(), make.most(), compare.least(), compare.most(), lookup.least());
  }
}

// ---- Quota shares

void MeasureShareAllocator() {
  std::printf(
      "share allocator: sidecars, tenants (each sidecar reports all of them; 8 of them) every 300 ms | CPU "
      "ms "
      "a "
      "second; us per call; shares in a response; memory KB\n");
  constexpr Micros kReportInterval = 300 * kMs;
  for (const std::size_t tenants : {8, 100, 300})
    for (const std::size_t sidecars : {10, 100, 400, 1000})
      for (const std::size_t active_tenants : std::set<std::size_t>{8, tenants}) {
        Spread cpu;
        double calls = 0, shares = 0;
        const double memory = MemoryKb(::getpid(), "VmRSS");
        quota::ShareAllocator allocator({}, 2'000'000);
        std::map<std::string, quota::TenantLimit> limits;
        for (std::size_t t = 0; t < tenants; ++t) limits["tenant-" + std::to_string(t)] = {1000, 500};
        Micros now = 1'000'000;
        allocator.UpdateLimits(now, limits);
        allocator.SetSidecarCount(now, sidecars);
        allocator.OnBecameLeader(now);
        std::vector<std::string> names;
        for (std::size_t s = 0; s < sidecars; ++s) names.push_back("machine-" + std::to_string(1000 + s));
        const auto round = [&] {
          for (std::size_t s = 0; s < sidecars; ++s) {
            std::vector<quota::Demand> demand;
            for (std::size_t t = 0; t < active_tenants; ++t)
              demand.push_back(
                  {"tenant-" + std::to_string((s * 8 + t) % tenants),
                   1000.0 / static_cast<double>(sidecars) * (0.5 + static_cast<double>(s % 5) * 0.2), 4});
            shares = static_cast<double>(
                allocator
                    .OnDemand(now + static_cast<Micros>(s) * kReportInterval / static_cast<Micros>(sidecars),
                              names[s], demand)
                    .size());
          }
          now += kReportInterval;
        };
        for (int i = 0; i < 8; ++i) round();  // until the initial lease has passed
        const double started = ProcessCpuSeconds();
        for (int repeat = 0; repeat < kRepeats && ProcessCpuSeconds() - started < 3; ++repeat) {
          const double before = ProcessCpuSeconds();
          int rounds = 0;
          while (rounds < 10 && (rounds == 0 || ProcessCpuSeconds() - before < 0.5)) round(), ++rounds;
          cpu.all.push_back((ProcessCpuSeconds() - before) * 1e3 / (static_cast<double>(rounds) * 0.3));
          calls = static_cast<double>(sidecars) / 0.3;
        }
        std::printf("  %4zu %3zu active %3zu | %8.2f (%.2f) %8.1f %5.0f %7.0f\n", sidecars, tenants,
                    active_tenants, cpu.least(), cpu.most(), cpu.least() * 1e3 / calls, shares,
                    MemoryKb(::getpid(), "VmRSS") - memory);
      }
}

}  // namespace
}  // namespace fennelhollow::bench

int main(int argc, char** argv) {
  using namespace fennelhollow::bench;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  FLAGS_minloglevel = 2;
  google::InitGoogleLogging(argv[0]);
  const std::string what = argc > 1 ? argv[1] : "";
  if (what.empty() || what == "order") MeasureConsensus(), MeasureStore();
  if (what.empty() || what == "configuration") MeasureConfiguration();
  if (what.empty() || what == "cutter") MeasureShareAllocator();
  return 0;
}
