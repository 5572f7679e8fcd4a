#include "mesh/registry/registry.hpp"

#include <catch2/catch.hpp>
#include <random>

#include "mesh/registry/heartbeat_tracker.hpp"

namespace fennelhollow::registry {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1'000'000;

std::string Heartbeat(const std::string& address, int sequence, const std::string& state = "ready",
                      int cold = 0) {
  return R"({"address":")" + address +
         R"(","information":{"service":"s","version":"v1","zone":"z","slots":18},)" +
         R"("statusReport":{"state":")" + state + R"(","callSequence":)" + std::to_string(sequence) +
         R"(,"coldRemainingMs":)" + std::to_string(cold) + "}}";
}

State StateOf(const HeartbeatTracker& tracker, const std::string& id) { return tracker.Find(id)->state; }

// Beside cores that remember nothing: each new instance is confirmed at once.
struct ConfirmingTracker : HeartbeatTracker {
  absl::Status OnHeartbeat(Micros now, std::string_view id, std::string_view json,
                           const std::string& sidecar_address, const std::string& zone) {
    absl::Status taken = HeartbeatTracker::OnHeartbeat(now, id, json, sidecar_address, zone);
    Confirm(now, id);
    return taken;
  }
};

TEST_CASE("a heartbeat is parsed, an outdated one changes nothing") {
  ConfirmingTracker tracker;
  REQUIRE(tracker.OnHeartbeat(0, "a", Heartbeat("h:1", 4, "ready", 900), "hop", "mine").ok());
  const Server expected{"a", "s", "h:1", "z", "v1", 18, State::kReady, 900, 4, "hop"};
  CHECK(*tracker.Find("a") == expected);
  CHECK(tracker.Instances(300 * kMs).at(0).cold_remaining_ms == 600);
  const auto changes = tracker.changes();
  REQUIRE(tracker.OnHeartbeat(kS, "a", Heartbeat("h:1", 5), "hop", "mine").ok());
  CHECK(tracker.changes() == changes);  // cold time alone is no change
  REQUIRE(tracker.OnHeartbeat(kS, "a", Heartbeat("h:1", 6, "draining"), "hop", "mine").ok());
  CHECK(tracker.changes() > changes);
  REQUIRE(tracker.OnHeartbeat(kS, "a", Heartbeat("h:1", 3), "hop", "mine").ok());
  REQUIRE(tracker.OnHeartbeat(kS, "a", Heartbeat("h:1", 7), "hop", "mine").ok());
  CHECK(StateOf(tracker, "a") == State::kDraining);  // never ready again
}

TEST_CASE("a malformed heartbeat is an error and changes nothing") {
  ConfirmingTracker tracker;
  const std::string good = Heartbeat("h:1", 1);
  for (const std::string& bad :
       {std::string(), std::string("[]"), std::string("{}"), std::string(100, '['),
        good.substr(0, good.size() - 1), Heartbeat("", 1), Heartbeat("h:1", -1),
        Heartbeat("h:1", 1, "asleep"), good + "x", Heartbeat("h:1", 1, std::string(20000, 'r'))}) {
    CHECK(tracker.OnHeartbeat(0, "a", bad, "hop", "z").code() == absl::StatusCode::kInvalidArgument);
  }
  CHECK_FALSE(tracker.OnHeartbeat(0, "", good, "hop", "z").ok());
  CHECK(tracker.Instances(0).empty());
}

TEST_CASE("how an instance ends") {
  ConfirmingTracker tracker;
  REQUIRE(tracker.OnHeartbeat(0, "a", Heartbeat("h:1", 1, "draining"), "hop", "z").ok());
  SECTION("a departure is final and reported for a minute") {
    tracker.OnDeparture(0, "a", "hop");
    REQUIRE(tracker.OnHeartbeat(kS, "a", Heartbeat("h:1", 2), "hop", "z").ok());
    CHECK(tracker.Instances(60 * kS).at(0).state == State::kGone);
    CHECK(HasDeparted(tracker.Instances(60 * kS).at(0)));
    CHECK(tracker.Instances(61 * kS).empty());
  }
  SECTION("an unreachable instance returns with a newer heartbeat, but not as ready") {
    tracker.OnUnreachable(0, "a");
    REQUIRE(tracker.OnHeartbeat(kS, "a", Heartbeat("h:1", 1), "hop", "z").ok());
    CHECK(StateOf(tracker, "a") == State::kGone);
    REQUIRE(tracker.OnHeartbeat(kS, "a", Heartbeat("h:1", 2), "hop", "z").ok());
    CHECK(StateOf(tracker, "a") == State::kDraining);
  }
  SECTION("another instance at its address ends it, late heartbeats are ignored") {
    REQUIRE(tracker.OnHeartbeat(kS, "b", Heartbeat("h:1", 1), "hop", "z").ok());
    REQUIRE(tracker.OnHeartbeat(kS, "a", Heartbeat("h:1", 9), "hop", "z").ok());
    CHECK(StateOf(tracker, "a") == State::kGone);
    CHECK(StateOf(tracker, "b") == State::kReady);
  }
  SECTION("three missed intervals end it, a suspension of this process does not") {
    for (Micros t = 0; t < 4 * kS; t += kS / 2) tracker.OnTick(t, 1500 * kMs);
    CHECK(StateOf(tracker, "a") == State::kDraining);
    tracker.OnTick(60 * kS, 1500 * kMs);
    CHECK(StateOf(tracker, "a") == State::kDraining);
    tracker.OnTick(61 * kS, 1500 * kMs);
    CHECK(StateOf(tracker, "a") == State::kGone);
  }
  SECTION("the number of instances is bounded, gone ones are evicted first") {
    tracker.OnDeparture(0, "a", "hop");
    for (int i = 0; i < 20; ++i) {
      REQUIRE(
          tracker
              .OnHeartbeat(i, "n" + std::to_string(i), Heartbeat("h:" + std::to_string(i + 2), 1), "h", "z")
              .ok());
      if (i < 7) CHECK(tracker.Find("a") != nullptr);
    }
    CHECK(tracker.Instances(0).size() == kMaxInstances);
    CHECK(tracker.Find("a") == nullptr);
  }
}

Sidecar SidecarOf(int n, std::uint64_t incarnation) {
  const std::string i = std::to_string(n);
  return {"side-" + i, incarnation, "hop:" + i, "z", "s"};
}

Server ServerOf(const std::string& id, std::uint64_t sequence, State state = State::kReady) {
  return {id, "s", "at:" + id, "z", "v1", 4, state, 0, sequence, "hop"};
}

void Run(Registry& registry, Micros from, Micros to) {
  for (Micros t = from; t <= to; t += 100 * kMs) registry.OnTick(t);
}

TEST_CASE("the departure of an unknown instance holds against later heartbeats") {
  ConfirmingTracker tracker;
  tracker.OnDeparture(1000, "i-1", "hop");
  REQUIRE(tracker.Instances(1000).size() == 1);
  CHECK(HasDeparted(tracker.Instances(1000).at(0)));
  REQUIRE(tracker.OnHeartbeat(2000, "i-1", Heartbeat("10.0.0.1:1", 5), "hop", "z").ok());
  const Server* server = tracker.Find("i-1");
  REQUIRE(server != nullptr);
  CHECK(server->state == State::kGone);
  CHECK(HasDeparted(tracker.Instances(2000).at(0)));
}

// Guards against a live server that was never listed again: after a restart of the sidecar a late heartbeat
// of the former instance at its address had ended it.
TEST_CASE("a late heartbeat of the former instance at an address does not end the present one for good") {
  ConfirmingTracker tracker;
  constexpr Micros kInterval = 1500 * kMs;
  REQUIRE(tracker.OnHeartbeat(0, "present", Heartbeat("h:1", 1), "hop", "z").ok());
  REQUIRE(tracker.OnHeartbeat(100 * kMs, "former", Heartbeat("h:1", 80), "hop", "z").ok());
  int sequence = 1;
  for (Micros now = 100 * kMs; now <= 5 * kInterval; now += 100 * kMs) {
    if (now % kInterval == 0)
      REQUIRE(tracker.OnHeartbeat(now, "present", Heartbeat("h:1", ++sequence), "hop", "z").ok());
    tracker.OnTick(now, kInterval);
  }
  CHECK(StateOf(tracker, "present") == State::kReady);
  CHECK(StateOf(tracker, "former") == State::kGone);
  // It is replaced now: another late heartbeat changes nothing.
  REQUIRE(tracker.OnHeartbeat(5 * kInterval, "former", Heartbeat("h:1", 81), "hop", "z").ok());
  CHECK(StateOf(tracker, "present") == State::kReady);
}

TEST_CASE("the present instance returns as soon as a core remembers that the former one has departed") {
  ConfirmingTracker tracker;
  REQUIRE(tracker.OnHeartbeat(0, "present", Heartbeat("h:1", 1), "hop", "z").ok());
  REQUIRE(tracker.OnHeartbeat(1, "former", Heartbeat("h:1", 80), "hop", "z").ok());
  tracker.OnRemembered(2, {"former", "s", "h:1", "z", "v1", 18, State::kGone, 0, kFinalSequence, "hop"});
  REQUIRE(tracker.OnHeartbeat(kS, "present", Heartbeat("h:1", 2), "hop", "z").ok());
  CHECK(StateOf(tracker, "present") == State::kReady);
  CHECK(StateOf(tracker, "former") == State::kGone);
}

// Guards against a late heartbeat that is taken for a new instance before the cores have been asked.
TEST_CASE("a new instance is not listed before it is confirmed") {
  HeartbeatTracker tracker;
  REQUIRE(tracker.OnHeartbeat(0, "a", Heartbeat("h:1", 1), "hop", "z").ok());
  CHECK(tracker.Unconfirmed() == std::vector<std::string>{"a"});
  CHECK(tracker.Instances(0).at(0).state == State::kGone);
  CHECK_FALSE(HasDeparted(tracker.Instances(0).at(0)));
  SECTION("confirmed") {
    const auto changes = tracker.changes();
    tracker.Confirm(0, "a");
    CHECK(tracker.Instances(0).at(0).state == State::kReady);
    CHECK(tracker.Unconfirmed().empty());
    CHECK(tracker.changes() > changes);
  }
  SECTION("a core remembers that it drains") {
    tracker.OnRemembered(0, {"a", "", "", "", "", 0, State::kDraining, 0, 0, "hop"});
    CHECK(tracker.Instances(0).at(0).state == State::kDraining);
  }
  SECTION("a core remembers that it has departed") {
    tracker.OnRemembered(0, {"a", "", "", "", "", 0, State::kGone, 0, kFinalSequence, "hop"});
    tracker.Confirm(0, "a");
    CHECK(StateOf(tracker, "a") == State::kGone);
  }
  SECTION("without enough cores it is confirmed in the end; a suspension of this process does not count") {
    Micros now = 0;
    for (; now < kConfirmationTimeout / 2; now += kS / 10) tracker.OnTick(now, 10 * kS);
    now += 60 * kS;
    tracker.OnTick(now, 10 * kS);
    CHECK(StateOf(tracker, "a") == State::kGone);
    for (const Micros end = now + kConfirmationTimeout; now < end; now += kS / 10)
      tracker.OnTick(now, 10 * kS);
    CHECK(StateOf(tracker, "a") == State::kReady);
  }
  SECTION("draining needs nobody's word") {
    REQUIRE(tracker.OnHeartbeat(0, "b", Heartbeat("h:2", 1, "draining"), "hop", "z").ok());
    CHECK(StateOf(tracker, "b") == State::kDraining);
  }
  SECTION("it does not end the present instance at its address") {
    tracker.Confirm(0, "a");
    REQUIRE(tracker.OnHeartbeat(1, "former", Heartbeat("h:1", 80), "hop", "z").ok());
    CHECK(StateOf(tracker, "a") == State::kReady);
    tracker.OnRemembered(2, {"former", "", "", "", "", 0, State::kGone, 0, kFinalSequence, "hop"});
    CHECK(StateOf(tracker, "a") == State::kReady);
  }
}

TEST_CASE("what a core remembers of an instance holds against its late heartbeats") {
  ConfirmingTracker tracker;
  Server remembered{"a", "s", "h:1", "z", "v1", 18, State::kGone, 0, kFinalSequence, "hop"};
  SECTION("departed, learned before or after the late heartbeat") {
    const bool before = GENERATE(true, false);
    if (before) tracker.OnRemembered(0, remembered);
    REQUIRE(tracker.OnHeartbeat(0, "a", Heartbeat("h:1", 5), "hop", "z").ok());
    const auto changes = tracker.changes();
    if (!before) {
      tracker.OnRemembered(0, remembered);
      CHECK(tracker.changes() > changes);
    }
    CHECK(StateOf(tracker, "a") == State::kGone);
    CHECK(HasDeparted(tracker.Instances(0).at(0)));
  }
  SECTION("draining, and nothing is known of a ready one") {
    REQUIRE(tracker.OnHeartbeat(0, "a", Heartbeat("h:1", 5), "hop", "z").ok());
    remembered.sequence = 6;
    remembered.state = State::kReady;
    tracker.OnRemembered(0, remembered);
    CHECK(StateOf(tracker, "a") == State::kReady);
    remembered.state = State::kDraining;
    tracker.OnRemembered(0, remembered);
    CHECK(StateOf(tracker, "a") == State::kDraining);
  }
  SECTION("no instance is evicted for one that has departed") {
    for (std::size_t i = 0; i < kMaxInstances; ++i) {
      const std::string id = "live-" + std::to_string(i);
      REQUIRE(tracker.OnHeartbeat(0, id, Heartbeat("h:" + std::to_string(10 + i), 1), "hop", "z").ok());
    }
    tracker.OnRemembered(0, remembered);
    CHECK(tracker.Find("a") == nullptr);
    CHECK(tracker.Instances(0).size() == kMaxInstances);
  }
}

Server Departed(const std::string& id) { return ServerOf(id, kFinalSequence, State::kGone); }

// Guards against review/6: a report that is out of date put aside a departure that had been acknowledged.
TEST_CASE("a server that was reported draining or departed is never ready again") {
  Registry registry(7, 1500 * kMs, 12 * kS);
  registry.OnReport(0, SidecarOf(1, 1), {ServerOf("a", 5), ServerOf("b", 5)});
  const auto state_of = [&](std::size_t i) { return registry.snapshot().servers.at(i).state; };
  const std::vector<Server> late{ServerOf("a", 4), ServerOf("b", 4)};
  const std::vector<Server> ended{ServerOf("a", 6, State::kDraining), Departed("b")};
  SECTION("reported by the process that is replaced") { registry.OnReport(kS, SidecarOf(1, 1), ended); }
  SECTION("reported by a process that leaves") {
    registry.OnLeaving(kS, "side-1", 1, {});
    registry.OnLeaving(kS, "side-1", 1, ended);
  }
  SECTION("a report of the former process that comes after one of the new process") {
    registry.OnReport(kS, SidecarOf(1, 2), {});
    registry.OnReport(kS, SidecarOf(1, 1), ended);
  }
  SECTION("remembered by the core before its own start") { registry.Restore(kS, ended); }
  registry.OnReport(2 * kS, SidecarOf(1, 2), late);
  REQUIRE(registry.snapshot().servers.size() == 2);
  CHECK(state_of(0) == State::kDraining);
  CHECK(state_of(1) == State::kGone);
  CHECK(HasDeparted(registry.snapshot().servers.at(1)));
  registry.OnReport(3 * kS, SidecarOf(1, 3), {});
  REQUIRE(registry.snapshot().servers.size() == 1);  // of those that have departed something stays
  CHECK(state_of(0) == State::kGone);
}

TEST_CASE("tombstones: departed follows draining, they expire, and their number is bounded") {
  Tombstones tombstones;
  CHECK_FALSE(tombstones.Record(0, ServerOf("a", 1)));
  CHECK_FALSE(tombstones.Record(0, ServerOf("a", 1, State::kGone)));  // silent: it may return
  CHECK(tombstones.Record(0, ServerOf("a", 2, State::kDraining)));
  CHECK_FALSE(tombstones.Record(kS, ServerOf("a", 3, State::kDraining)));
  CHECK(tombstones.Record(2 * kS, Departed("a")));
  CHECK_FALSE(tombstones.Record(3 * kS, ServerOf("a", 4, State::kDraining)));
  CHECK(HasDeparted(*tombstones.Find("a")));
  CHECK(tombstones.Expire(kTombstoneLifetime + kS).empty());
  CHECK(tombstones.Expire(kTombstoneLifetime + 2 * kS) == std::vector<std::string>{"a"});
  CHECK(tombstones.Find("a") == nullptr);
  for (std::size_t i = 0; i < kMaxTombstones + 3; ++i)
    tombstones.Record(static_cast<Micros>(i), Departed("x" + std::to_string(i)));
  CHECK(tombstones.Expire(kS) == std::vector<std::string>{"x0", "x1", "x2"});
  CHECK(tombstones.All().size() == kMaxTombstones);
}

// Guards against a report that fills a core's memory with tombstones.
TEST_CASE("a report leaves no more tombstones than a sidecar has instances") {
  Registry registry(7, 1500 * kMs, 12 * kS);
  std::vector<Server> servers;
  for (std::size_t i = 0; i < 3 * kMaxInstances; ++i) servers.push_back(Departed("x" + std::to_string(i)));
  SECTION("as a report") { registry.OnReport(0, SidecarOf(1, 1), servers); }
  SECTION("as a leaving sidecar's") { registry.OnLeaving(0, "side-1", 1, servers); }
  CHECK(registry.tombstones().All().size() == kMaxInstances);
  registry.Restore(0, servers);
  CHECK(registry.tombstones().All().size() == servers.size());
}

TEST_CASE("a departed server leaves the snapshot when its tombstone expires") {
  Registry registry(7, 1500 * kMs, 12 * kS);
  registry.OnReport(0, SidecarOf(1, 1), {Departed("a")});
  registry.OnTick(0);
  CHECK(registry.snapshot().servers.size() == 1);
  registry.OnReport(kTombstoneLifetime, SidecarOf(1, 1), {});
  registry.OnTick(kTombstoneLifetime);
  CHECK(registry.snapshot().servers.empty());
}

TEST_CASE("cold time is no change until it jumps or elapses") {
  Registry registry(7, 1500 * kMs, 12 * kS);
  Server server = ServerOf("a", 1);
  server.cold_remaining_ms = 4000;
  registry.OnReport(0, SidecarOf(1, 1), {server});
  CHECK(registry.snapshot().revision == 2);
  server.cold_remaining_ms = 3050;
  server.sequence = 2;
  registry.OnReport(kS, SidecarOf(1, 1), {server});
  CHECK(registry.snapshot().revision == 2);
  server.cold_remaining_ms = 9000;
  registry.OnReport(kS, SidecarOf(1, 1), {server});
  CHECK(registry.snapshot().revision == 3);
  for (Micros t = kS; t <= 10 * kS; t += 100 * kMs) {
    registry.OnKeepalive(t, "side-1", 1);
    registry.OnTick(t);
  }
  CHECK(registry.snapshot().revision == 4);
  CHECK(registry.snapshot().servers.at(0).cold_remaining_ms == 0);
}

TEST_CASE("sidecars: past incarnations, leaving, silence, suspension of this process") {
  Registry registry(7, 1500 * kMs, 12 * kS);
  registry.OnTick(0);
  for (int i = 0; i < 8; ++i) registry.OnReport(0, SidecarOf(i, 1), {ServerOf("s" + std::to_string(i), 1)});
  const auto servers = [&] { return registry.snapshot().servers.size(); };
  SECTION("a past incarnation is ignored") {
    registry.OnReport(0, SidecarOf(0, 2), {ServerOf("new", 1)});
    registry.OnReport(0, SidecarOf(0, 1), {ServerOf("s0", 9)});
    CHECK_FALSE(registry.OnKeepalive(0, "side-0", 1));
    registry.OnLeaving(0, "side-0", 1, {});
    CHECK(servers() == 8);
    CHECK(registry.snapshot().servers.at(0).id == "new");
  }
  SECTION("a sidecar that leaves stays listed") {
    registry.OnLeaving(0, "side-3", 1, {});
    registry.OnReport(0, SidecarOf(3, 1), {ServerOf("s3", 2)});
    CHECK(servers() == 7);
    CHECK(registry.snapshot().sidecars.size() == 8);
  }
  SECTION("servers of a few silent sidecars are removed, of most silent sidecars kept for longer") {
    Run(registry, 0, kS);
    for (int i = 0; i < 5; ++i) registry.OnKeepalive(kS, "side-" + std::to_string(i), 1);
    Run(registry, kS, 1600 * kMs);
    CHECK(servers() == 5);
    Run(registry, 1700 * kMs, 7900 * kMs);
    CHECK(servers() == 8);  // now all are silent: self-preservation
    for (int i = 0; i < 6; ++i) registry.OnKeepalive(7900 * kMs, "side-" + std::to_string(i), 1);
    Run(registry, 7950 * kMs, 7990 * kMs);
    CHECK(servers() == 8);  // most are back, the others may follow
    Run(registry, 8 * kS, 8900 * kMs);
    CHECK(servers() == 6);
    CHECK(registry.snapshot().sidecars.size() == 8);
    Run(registry, 9 * kS, 13 * kS);
    CHECK(registry.snapshot().sidecars.size() == 6);
  }
  SECTION("a suspension counts against no sidecar") {
    registry.OnTick(60 * kS);
    CHECK(servers() == 8);
  }
}

// Reference model: recomputes everything from all reports each time.
struct ReferenceModel {
  struct Report {
    Sidecar sidecar;
    std::vector<Server> servers;
    Micros last_heard;
    bool left;
  };
  std::map<std::string, Report> reports;
  std::map<std::string, std::pair<Server, Micros>> ended;  // draining or departed, and since when
  Micros self_preservation_until = 0;
  void Remember(Micros now, const std::vector<Server>& servers) {
    for (const Server& s : servers) {
      if (s.state != State::kDraining && !HasDeparted(s)) continue;
      const auto at = ended.find(s.id);
      if (at != ended.end() && (HasDeparted(at->second.first) || !HasDeparted(s))) continue;
      ended[s.id] = {s, now};
    }
  }
  void Tick(Micros now) {
    std::erase_if(ended, [&](const auto& e) { return now - e.second.second >= kTombstoneLifetime; });
    std::size_t present = 0;
    std::size_t overdue = 0;
    for (const auto& [name, t] : reports) {
      if (t.left) continue;
      ++present;
      if (now - t.last_heard >= 1500 * kMs) ++overdue;
    }
    if (overdue >= kSelfPreservationMinimum && overdue * 2 > present) self_preservation_until = now + 3 * kS;
  }
  Snapshot Expected(Micros now) const {
    const Micros silence_limit = now < self_preservation_until ? 8 * kS : 1500 * kMs;
    std::map<std::string, Server> best;
    Snapshot snapshot;
    for (const auto& [name, t] : reports) {
      snapshot.sidecars.push_back(t.sidecar);
      if (t.left || now - t.last_heard >= silence_limit) continue;
      for (const auto& s : t.servers) {
        const auto [at, inserted] = best.emplace(s.id, s);
        if (!inserted && s.sequence > at->second.sequence) at->second = s;
      }
    }
    for (const auto& [id, tombstone] : ended) {
      if (HasDeparted(tombstone.first)) {
        snapshot.servers.push_back(tombstone.first);
        snapshot.servers.back().sequence = 0;
        best.erase(id);
      } else if (const auto at = best.find(id); at != best.end() && at->second.state == State::kReady) {
        at->second.state = State::kDraining;
      }
    }
    for (auto& [id, s] : best) {
      s.sequence = 0;
      if (s.state != State::kGone) snapshot.servers.push_back(s);
    }
    std::sort(snapshot.servers.begin(), snapshot.servers.end(),
              [](const Server& a, const Server& b) { return a.id < b.id; });
    return snapshot;
  }
};

TEST_CASE("random reports: equals the reference model, and deltas reproduce the snapshot") {
  for (unsigned seed = 0; seed < 30; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](unsigned n) { return static_cast<int>(random() % n); };
    Registry registry(7, 1500 * kMs, 12 * kS);
    ReferenceModel model;
    std::vector<Snapshot> followers(3, registry.snapshot());
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    std::size_t full_snapshots = 0;
    for (Micros now = 0; now < 240 * kS; now += 100 * kMs) {
      std::erase_if(model.reports, [&](const auto& t) { return now - t.second.last_heard >= 12 * kS; });
      model.Tick(now);
      registry.OnTick(now);
      const int silent_count = (now / (10 * kS)) % 3 == 2 ? 4 + below(9) : 0;  // many are silent at times
      for (int i = silent_count; i < 12; ++i) {
        const std::string name = "side-" + std::to_string(i);
        const auto at = model.reports.find(name);
        const bool known = at != model.reports.end() && !at->second.left;
        if (below(8) != 0) continue;
        if (known && below(30) == 0) {
          std::vector<Server> last = at->second.servers;
          if (!last.empty() && below(3) == 0) last[0] = Departed(last[0].id);
          registry.OnLeaving(now, name, at->second.sidecar.incarnation, last);
          model.Remember(now, last);
          at->second.left = true;
          at->second.last_heard = now;
        } else if (known && below(2) == 0) {
          CHECK(registry.OnKeepalive(now, name, at->second.sidecar.incarnation));
          at->second.last_heard = now;
        } else {
          const Sidecar sidecar =
              SidecarOf(i, known && below(10) != 0 ? at->second.sidecar.incarnation : ++incarnation);
          std::vector<Server> servers;
          for (int n = below(3); n > 0; --n) {  // some ids are reported by two sidecars
            // New ids come up, as those that have ended do not return.
            const std::string id =
                "s" + std::to_string(i / 2) + std::to_string(n) + std::to_string(now / (8 * kS) % 20);
            const bool departs = below(20) == 0;
            const State state = static_cast<State>(below(4) == 0 ? below(3) : 0);
            servers.push_back(departs ? Departed(id) : ServerOf(id, ++sequence, state));
          }
          registry.OnReport(now, sidecar, servers);
          model.Remember(now, servers);
          model.reports[name] = {sidecar, servers, now, false};
        }
      }
      model.Tick(now);
      registry.OnTick(now);
      Snapshot actual = registry.snapshot();
      for (auto& s : actual.servers) s.sequence = 0;
      const Snapshot expected = model.Expected(now);
      REQUIRE(actual.servers == expected.servers);
      REQUIRE(actual.sidecars == expected.sidecars);
      for (auto& follower : followers) {
        if (below(40) != 0) continue;
        const auto delta = registry.DeltaSince(7, follower.revision);
        if (!delta) {
          ++full_snapshots;
          follower = registry.snapshot();
          continue;
        }
        Snapshot ahead = follower;
        REQUIRE(ApplyDelta(follower, *delta));
        REQUIRE(ApplyDelta(follower, *delta));  // idempotent
        ahead.revision = delta->from_revision - 1;
        CHECK_FALSE(ApplyDelta(ahead, *delta));
        REQUIRE(follower.revision == registry.snapshot().revision);
        REQUIRE(follower.servers == registry.snapshot().servers);
        REQUIRE(follower.sidecars == registry.snapshot().sidecars);
      }
    }
    CHECK(full_snapshots < 5);
    CHECK_FALSE(registry.DeltaSince(8, registry.snapshot().revision));
    CHECK_FALSE(registry.DeltaSince(7, registry.snapshot().revision + 1));
  }
}

}  // namespace
}  // namespace fennelhollow::registry
