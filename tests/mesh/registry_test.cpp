#include "mesh/registry/registry.hpp"

#include <catch2/catch.hpp>
#include <random>

namespace fennelhollow::registry {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1'000'000;

std::string Beat(const std::string& address, int sequence, const std::string& state = "ready", int cold = 0) {
  return R"({"address":")" + address +
         R"(","information":{"service":"s","version":"v1","zone":"z","slots":18},)" +
         R"("statusReport":{"state":")" + state + R"(","callSequence":)" + std::to_string(sequence) +
         R"(,"coldRemainingMs":)" + std::to_string(cold) + "}}";
}

State Build(const HeartbeatTracker& beats, const std::string& id) { return beats.Find(id)->state; }

TEST_CASE("a beat is read, an older one changes nothing") {
  HeartbeatTracker beats;
  REQUIRE(beats.OnHeartbeat(0, "a", Beat("h:1", 4, "ready", 900), "hop", "mine").ok());
  const Server wanted{"a", "s", "h:1", "z", "v1", 18, State::kReady, 900, 4, "hop"};
  CHECK(*beats.Find("a") == wanted);
  CHECK(beats.Instances(300 * kMs).at(0).cold_remaining_ms == 600);
  const auto changes = beats.changes();
  REQUIRE(beats.OnHeartbeat(kS, "a", Beat("h:1", 5), "hop", "mine").ok());
  CHECK(beats.changes() == changes);  // cold time is no news
  REQUIRE(beats.OnHeartbeat(kS, "a", Beat("h:1", 6, "draining"), "hop", "mine").ok());
  CHECK(beats.changes() > changes);
  REQUIRE(beats.OnHeartbeat(kS, "a", Beat("h:1", 3), "hop", "mine").ok());
  REQUIRE(beats.OnHeartbeat(kS, "a", Beat("h:1", 7), "hop", "mine").ok());
  CHECK(Build(beats, "a") == State::kDraining);  // never ready again
}

TEST_CASE("what can't be read is an error and changes nothing") {
  HeartbeatTracker beats;
  const std::string good = Beat("h:1", 1);
  for (const std::string& bad :
       {std::string(), std::string("[]"), std::string("{}"), std::string(100, '['),
        good.substr(0, good.size() - 1), Beat("", 1), Beat("h:1", -1), Beat("h:1", 1, "asleep"), good + "x",
        Beat("h:1", 1, std::string(20000, 'r'))}) {
    CHECK(beats.OnHeartbeat(0, "a", bad, "hop", "z").code() == absl::StatusCode::kInvalidArgument);
  }
  CHECK_FALSE(beats.OnHeartbeat(0, "", good, "hop", "z").ok());
  CHECK(beats.Instances(0).empty());
}

TEST_CASE("ends of a life") {
  HeartbeatTracker beats;
  REQUIRE(beats.OnHeartbeat(0, "a", Beat("h:1", 1, "draining"), "hop", "z").ok());
  SECTION("a departure is for good, told for ten seconds") {
    beats.OnDeparture(0, "a");
    REQUIRE(beats.OnHeartbeat(kS, "a", Beat("h:1", 2), "hop", "z").ok());
    CHECK(beats.Instances(10 * kS).at(0).state == State::kGone);
    CHECK(beats.Instances(11 * kS).empty());
  }
  SECTION("the dead come back with a newer beat, but not ready again") {
    beats.OnUnreachable(0, "a");
    REQUIRE(beats.OnHeartbeat(kS, "a", Beat("h:1", 1), "hop", "z").ok());
    CHECK(Build(beats, "a") == State::kGone);
    REQUIRE(beats.OnHeartbeat(kS, "a", Beat("h:1", 2), "hop", "z").ok());
    CHECK(Build(beats, "a") == State::kDraining);
  }
  SECTION("another life on its address ends it, late beats too") {
    REQUIRE(beats.OnHeartbeat(kS, "b", Beat("h:1", 1), "hop", "z").ok());
    REQUIRE(beats.OnHeartbeat(kS, "a", Beat("h:1", 9), "hop", "z").ok());
    CHECK(Build(beats, "a") == State::kGone);
    CHECK(Build(beats, "b") == State::kReady);
  }
  SECTION("three intervals of silence end it, one's own sleep does not") {
    for (Micros t = 0; t < 4 * kS; t += kS / 2) beats.OnTick(t, 1500 * kMs);
    CHECK(Build(beats, "a") == State::kDraining);
    beats.OnTick(60 * kS, 1500 * kMs);
    CHECK(Build(beats, "a") == State::kDraining);
    beats.OnTick(61 * kS, 1500 * kMs);
    CHECK(Build(beats, "a") == State::kGone);
  }
  SECTION("bounded, the ended ones go first") {
    beats.OnDeparture(0, "a");
    for (int i = 0; i < 20; ++i) {
      REQUIRE(beats.OnHeartbeat(i, "n" + std::to_string(i), Beat("h:" + std::to_string(i + 2), 1), "h", "z")
                  .ok());
      if (i < 7) CHECK(beats.Find("a") != nullptr);
    }
    CHECK(beats.Instances(0).size() == kMaxInstances);
    CHECK(beats.Find("a") == nullptr);
  }
}

Sidecar Teller(int n, std::uint64_t life) {
  const std::string i = std::to_string(n);
  return {"side-" + i, life, "hop:" + i, "z", "s"};
}

Server Told(const std::string& id, std::uint64_t sequence, State state = State::kReady) {
  return {id, "s", "at:" + id, "z", "v1", 4, state, 0, sequence, "hop"};
}

void Run(Registry& registry, Micros from, Micros to) {
  for (Micros t = from; t <= to; t += 100 * kMs) registry.OnTick(t);
}

TEST_CASE("a departure of a life that is not known yet holds against its beats that come later") {
  HeartbeatTracker beats;
  beats.OnDeparture(1000, "i-1");
  CHECK(beats.Instances(1000).empty());
  REQUIRE(beats.OnHeartbeat(2000, "i-1", Beat("10.0.0.1:1", 5), "hop", "z").ok());
  const Server* server = beats.Find("i-1");
  REQUIRE(server != nullptr);
  CHECK(server->state == State::kGone);
  CHECK(beats.Instances(2000).empty());
}

TEST_CASE("cold time is no change until it jumps or ends") {
  Registry registry(7, 1500 * kMs, 12 * kS);
  Server server = Told("a", 1);
  server.cold_remaining_ms = 4000;
  registry.OnReport(0, Teller(1, 1), {server});
  CHECK(registry.snapshot().revision == 2);
  server.cold_remaining_ms = 3050;
  server.sequence = 2;
  registry.OnReport(kS, Teller(1, 1), {server});
  CHECK(registry.snapshot().revision == 2);
  server.cold_remaining_ms = 9000;
  registry.OnReport(kS, Teller(1, 1), {server});
  CHECK(registry.snapshot().revision == 3);
  for (Micros t = kS; t <= 10 * kS; t += 100 * kMs) {
    registry.OnKeepalive(t, "side-1", 1);
    registry.OnTick(t);
  }
  CHECK(registry.snapshot().revision == 4);
  CHECK(registry.snapshot().servers.at(0).cold_remaining_ms == 0);
}

TEST_CASE("tellers: former lives, leaving, silence, one's own sleep") {
  Registry registry(7, 1500 * kMs, 12 * kS);
  registry.OnTick(0);
  for (int i = 0; i < 8; ++i) registry.OnReport(0, Teller(i, 1), {Told("s" + std::to_string(i), 1)});
  const auto servers = [&] { return registry.snapshot().servers.size(); };
  SECTION("a former life counts for nothing") {
    registry.OnReport(0, Teller(0, 2), {Told("new", 1)});
    registry.OnReport(0, Teller(0, 1), {Told("s0", 9)});
    CHECK_FALSE(registry.OnKeepalive(0, "side-0", 1));
    registry.OnLeaving(0, "side-0", 1);
    CHECK(servers() == 8);
    CHECK(registry.snapshot().servers.at(0).id == "new");
  }
  SECTION("one that leaves keeps its number") {
    registry.OnLeaving(0, "side-3", 1);
    registry.OnReport(0, Teller(3, 1), {Told("s3", 2)});
    CHECK(servers() == 7);
    CHECK(registry.snapshot().sidecars.size() == 8);
  }
  SECTION("few silent: off, most silent: kept for longer") {
    Run(registry, 0, kS);
    for (int i = 0; i < 5; ++i) registry.OnKeepalive(kS, "side-" + std::to_string(i), 1);
    Run(registry, kS, 1600 * kMs);
    CHECK(servers() == 5);
    Run(registry, 1700 * kMs, 7900 * kMs);
    CHECK(servers() == 8);  // now all are silent: rather this core's fault
    for (int i = 0; i < 6; ++i) registry.OnKeepalive(7900 * kMs, "side-" + std::to_string(i), 1);
    Run(registry, 7950 * kMs, 7990 * kMs);
    CHECK(servers() == 8);  // most are back: the others may be about to be
    Run(registry, 8 * kS, 8900 * kMs);
    CHECK(servers() == 6);
    CHECK(registry.snapshot().sidecars.size() == 8);
    Run(registry, 9 * kS, 13 * kS);
    CHECK(registry.snapshot().sidecars.size() == 6);
  }
  SECTION("a sleep counts against nobody") {
    registry.OnTick(60 * kS);
    CHECK(servers() == 8);
  }
}

// The rules again, plainly: everything from all tellers each time.
struct Plain {
  struct T {
    Sidecar me;
    std::vector<Server> servers;
    Micros heard;
    bool left;
  };
  std::map<std::string, T> sidecar_count;
  Micros cut_off_until = 0;
  void Tick(Micros now) {
    std::size_t present = 0;
    std::size_t overdue = 0;
    for (const auto& [name, t] : sidecar_count) {
      if (t.left) continue;
      ++present;
      if (now - t.heard >= 1500 * kMs) ++overdue;
    }
    if (overdue >= kSelfPreservationMinimum && overdue * 2 > present) cut_off_until = now + 3 * kS;
  }
  Snapshot Now(Micros now) const {
    const Micros bound = now < cut_off_until ? 8 * kS : 1500 * kMs;
    std::map<std::string, Server> best;
    Snapshot listing;
    for (const auto& [name, t] : sidecar_count) {
      listing.sidecars.push_back(t.me);
      if (t.left || now - t.heard >= bound) continue;
      for (const auto& s : t.servers) {
        const auto [at, fresh] = best.emplace(s.id, s);
        if (!fresh && s.sequence > at->second.sequence) at->second = s;
      }
    }
    for (auto& [id, s] : best) {
      s.sequence = 0;
      if (s.state != State::kGone) listing.servers.push_back(s);
    }
    return listing;
  }
};

TEST_CASE("as the plain model over random tells, differences give the whole") {
  for (unsigned seed = 0; seed < 30; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](unsigned n) { return static_cast<int>(random() % n); };
    Registry registry(7, 1500 * kMs, 12 * kS);
    Plain plain;
    std::vector<Snapshot> followers(3, registry.snapshot());
    std::uint64_t sequence = 0;
    std::uint64_t life = 0;
    std::size_t wholes = 0;
    for (Micros now = 0; now < 120 * kS; now += 100 * kMs) {
      std::erase_if(plain.sidecar_count, [&](const auto& t) { return now - t.second.heard >= 12 * kS; });
      plain.Tick(now);
      registry.OnTick(now);
      const int dark = (now / (10 * kS)) % 3 == 2 ? 4 + below(9) : 0;  // now and then many are silent
      for (int i = dark; i < 12; ++i) {
        const std::string name = "side-" + std::to_string(i);
        const auto at = plain.sidecar_count.find(name);
        const bool there = at != plain.sidecar_count.end() && !at->second.left;
        if (below(8) != 0) continue;
        if (there && below(30) == 0) {
          registry.OnLeaving(now, name, at->second.me.incarnation);
          at->second.left = true;
          at->second.heard = now;
        } else if (there && below(2) == 0) {
          CHECK(registry.OnKeepalive(now, name, at->second.me.incarnation));
          at->second.heard = now;
        } else {
          const Sidecar me = Teller(i, there && below(10) != 0 ? at->second.me.incarnation : ++life);
          std::vector<Server> servers;
          for (int n = below(3); n > 0; --n) {  // ids are shared by two tellers now and then
            const std::string id = "s" + std::to_string(i / 2) + std::to_string(n);
            servers.push_back(Told(id, ++sequence, static_cast<State>(below(3))));
          }
          registry.OnReport(now, me, servers);
          plain.sidecar_count[name] = {me, servers, now, false};
        }
      }
      plain.Tick(now);
      registry.OnTick(now);
      Snapshot is = registry.snapshot();
      for (auto& s : is.servers) s.sequence = 0;
      const Snapshot wanted = plain.Now(now);
      REQUIRE(is.servers == wanted.servers);
      REQUIRE(is.sidecars == wanted.sidecars);
      for (auto& follower : followers) {
        if (below(40) != 0) continue;
        const auto change = registry.DeltaSince(7, follower.revision);
        if (!change) {
          ++wholes;
          follower = registry.snapshot();
          continue;
        }
        Snapshot late = follower;
        REQUIRE(ApplyDelta(follower, *change));
        REQUIRE(ApplyDelta(follower, *change));  // twice is as once
        late.revision = change->from_revision - 1;
        CHECK_FALSE(ApplyDelta(late, *change));
        REQUIRE(follower.revision == registry.snapshot().revision);
        REQUIRE(follower.servers == registry.snapshot().servers);
        REQUIRE(follower.sidecars == registry.snapshot().sidecars);
      }
    }
    CHECK(wholes < 5);
    CHECK_FALSE(registry.DeltaSince(8, registry.snapshot().revision));
    CHECK_FALSE(registry.DeltaSince(7, registry.snapshot().revision + 1));
  }
}

}  // namespace
}  // namespace fennelhollow::registry
