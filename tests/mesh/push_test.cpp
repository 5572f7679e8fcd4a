#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <set>

#include "mesh/push/client.hpp"
#include "mesh/push/publisher.hpp"

namespace fennelhollow::push {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1'000'000;

// For tests that only look at the client itself.
struct NullSink : Client::Sink {
  void Send(const std::string&, const SidecarReport&) override {}
  void OnState(std::uint64_t, const std::string&) override {}
  void OnSnapshot(const registry::Snapshot&, std::size_t, std::size_t) override {}
  void OnShares(const std::vector<quota::Share>&, Micros) override {}
  void OnCores(const std::vector<std::string>&) override {}
};

// Clients and publishers in virtual time. Links deliver in order after a random delay; messages and links can
// be lost.
class World {
 public:
  struct Sidecar;
  struct Core;

  World(int cores, int sidecars, unsigned seed = 1) : random_(seed) {
    for (int i = 0; i < cores; ++i) addresses_.push_back("core:" + std::to_string(i));
    for (const auto& a : addresses_) StartCore(a);
    for (int i = 0; i < sidecars; ++i) StartSidecar("side-" + std::to_string(100 + i));
  }

  void StartCore(const std::string& address) {
    auto core = std::make_unique<Core>();
    core->world = this;
    core->address = address;
    Publisher::Settings settings;
    settings.address = address;
    settings.epoch = ++last_id_;
    settings.lease = 2 * kS;  // shorter than the default; the tests check that shares expire with it
    core->publisher = std::make_unique<Publisher>(now_, settings, *core);
    cores_[address] = std::move(core);
    UpdateCores();
  }
  void StopCore(const std::string& address) {
    cores_.erase(address);
    for (auto& [name, sidecar] : sidecars_) CloseLink(*sidecar, address);
    UpdateCores();
  }
  void StartSidecar(const std::string& name) {
    auto sidecar = std::make_unique<Sidecar>();
    sidecar->world = this;
    sidecar->name = name;
    Client::Settings settings;
    settings.sidecar = {name, ++last_id_, "hop:" + name, "z", "s"};
    settings.seeds = addresses_;
    settings.seed = last_id_;
    settings.held_shares = [](Micros) { return std::vector<quota::Share>{}; };
    settings.demand = [](Micros) { return std::vector<quota::Demand>{{"t", 5, 5}}; };
    sidecar->client = std::make_unique<Client>(settings, *sidecar);
    sidecar->client->SetServers(now_, {ServerOf(name, registry::State::kReady)});
    sidecars_[name] = std::move(sidecar);
  }
  void StopSidecar(const std::string& name) {
    for (const auto& a : addresses_) CloseLink(*sidecars_.at(name), a);
    sidecars_.erase(name);
  }
  static registry::Server ServerOf(const std::string& name, registry::State state) {
    return {"server-" + name, "s", "at:" + name, "z", "v1", 4, state, 0, 1, "hop:" + name};
  }

  // Sets the consensus leader as seen by all connected cores.
  void SetLeader(const std::string& address) {
    leader_ = address;
    UpdateCores();
  }
  void CommitEntry() {
    ++entry_;
    UpdateCores();
  }
  void UpdateCores() {
    for (auto& [address, core] : cores_) {
      const bool has_leader = cores_.count(leader_) != 0 && isolated_.count(address) == 0;
      core->publisher->SetCores(addresses_, has_leader ? leader_ : "", has_leader);
      core->publisher->SetIsLeader(now_, address == leader_);
      core->publisher->SetLimits(now_, {{"t", {100, 50}}});
      if (has_leader && entry_ > 0)
        core->publisher->SetState(now_, entry_, "ledger " + std::to_string(entry_));
    }
  }
  void Isolate(const std::string& address) { isolated_.insert(address); }

  void RunFor(Micros time) {
    for (const Micros end = now_ + time; now_ < end;) {
      now_ += 10 * kMs;
      Deliver();
      const bool tick20 = now_ / kMs % 20 == 0;
      for (auto& [address, core] : cores_) {
        if (tick20 && unresponsive_.count(address) == 0) core->publisher->OnTick(now_);
      }
      for (auto& [name, sidecar] : sidecars_) {
        if (now_ / kMs % 50 != 0) break;
        sidecar->client->OnTick(now_);
        Dial(*sidecar);
      }
    }
  }

  struct Sidecar : Client::Sink {
    void Send(const std::string& address, const SidecarReport& report) override {
      const auto link = links.find(address);
      if (link == links.end()) return;
      ++reports;
      world->Enqueue({world->now_ + world->Delay(), link->second, true, name, address, report, {}});
    }
    void OnState(std::uint64_t new_entry, const std::string& state) override {
      CHECK(new_entry > entry);
      CHECK(state == "ledger " + std::to_string(new_entry));
      entry = new_entry;
    }
    void OnSnapshot(const registry::Snapshot& snapshot, std::size_t at, std::size_t of) override {
      rank = at;
      count = of;
      ++snapshots;
      if (fullest > 0 && snapshot.servers.size() + 1 < fullest) shrunk = true;
      fullest = std::max(fullest, snapshot.servers.size());
    }
    void OnShares(const std::vector<quota::Share>&, Micros until) override {
      CHECK(until > world->now_);
      CHECK(until <= world->now_ + 2 * kS);
      shares_until = std::max(shares_until, until);
    }
    void OnCores(const std::vector<std::string>&) override {}
    World* world = nullptr;
    std::string name;
    std::unique_ptr<Client> client;
    std::map<std::string, std::uint64_t> links;
    std::uint64_t entry = 0;
    std::size_t rank = 0, count = 0, fullest = 0;
    int reports = 0, snapshots = 0;
    bool shrunk = false;
    Micros shares_until = 0;
  };
  struct Core : Publisher::Sink {
    void Send(Publisher::LinkId link, const CoreUpdate& update) override {
      world->full_snapshots += update.has_snapshot;
      if (world->DropMessage()) return;
      for (auto& [name, sidecar] : world->sidecars_) {
        const auto at = sidecar->links.find(address);
        if (at == sidecar->links.end() || at->second != link) continue;
        world->Enqueue({world->now_ + world->Delay(), link, false, name, address, {}, update});
      }
    }
    void SendRecords(Publisher::LinkId, const ServerRecords&) override {}
    void Close(Publisher::LinkId) override { ++closed; }
    World* world = nullptr;
    std::string address;
    std::unique_ptr<Publisher> publisher;
    int closed = 0;
  };

  void CloseLink(Sidecar& sidecar, const std::string& address) {
    const auto link = sidecar.links.find(address);
    if (link == sidecar.links.end()) return;
    const auto id = link->second;
    sidecar.links.erase(link);
    sidecar.client->OnLinkDown(now_, address);
    if (cores_.count(address) != 0) cores_.at(address)->publisher->OnLinkDown(now_, id);
  }
  void Dial(Sidecar& sidecar) {
    for (const auto& address : sidecar.client->DesiredLinks(now_)) {
      if (sidecar.links.count(address) != 0) continue;
      if (cores_.count(address) == 0 || network_down_) {
        sidecar.client->OnLinkDown(now_, address);
      } else {
        sidecar.links[address] = ++last_id_;
        sidecar.client->OnLinkUp(now_, address);
      }
    }
  }
  bool DropMessage() { return drop_one_in_ > 0 && random_() % static_cast<unsigned>(drop_one_in_) == 0; }
  Micros Delay() { return static_cast<Micros>(1 + random_() % 40) * kMs; }

  // Whether all sidecars run the newest entry and list exactly the servers of the running sidecars.
  bool Converged(std::optional<std::size_t> servers = std::nullopt) const {
    for (const auto& [name, sidecar] : sidecars_) {
      const auto& snapshot = sidecar->client->snapshot();
      if (sidecar->entry != entry_ || snapshot.servers.size() != servers.value_or(sidecars_.size()))
        return false;
      if (sidecar->count != sidecars_.size()) return false;
      const auto at = sidecars_.find(name);
      if (sidecar->rank != static_cast<std::size_t>(std::distance(sidecars_.begin(), at))) return false;
    }
    return true;
  }
  std::string SubscribedTo(const std::string& name) { return sidecars_.at(name)->client->subscribed_core(); }

  struct Frame {
    Micros at;
    std::uint64_t link;
    bool to_core;  // from sidecar to core
    std::string name, address;
    SidecarReport report;
    CoreUpdate update;
  };
  void Enqueue(Frame frame) {  // keeps the order of its link
    auto& last = last_[{frame.link, frame.to_core}];
    frame.at = last = std::max(last, frame.at);
    frames_.emplace(frame.at, std::move(frame));
  }
  void Deliver() {
    while (!frames_.empty() && frames_.begin()->first <= now_) {
      const Frame frame = std::move(frames_.extract(frames_.begin()).mapped());
      const auto sidecar = sidecars_.find(frame.name);
      if (sidecar == sidecars_.end() || unresponsive_.count(frame.address) != 0) continue;
      const auto link = sidecar->second->links.find(frame.address);
      if (link == sidecar->second->links.end() || link->second != frame.link) continue;
      if (frame.to_core) {
        cores_.at(frame.address)->publisher->OnReport(now_, frame.link, frame.report);
      } else {
        sidecar->second->client->OnUpdate(now_, frame.address, frame.update);
      }
    }
  }

  Micros now_ = 0;
  std::mt19937 random_;
  std::uint64_t last_id_ = 100;
  std::vector<std::string> addresses_;
  std::map<std::string, std::unique_ptr<Core>> cores_;
  std::map<std::string, std::unique_ptr<Sidecar>> sidecars_;
  std::multimap<Micros, Frame> frames_;
  std::map<std::pair<std::uint64_t, bool>, Micros> last_;
  std::string leader_;
  std::uint64_t entry_ = 0;
  // Cores without contact to the leader, and cores that are unresponsive but keep their links open.
  std::set<std::string> isolated_, unresponsive_;
  bool network_down_ = false;
  int drop_one_in_ = 0;
  int full_snapshots = 0;
};

TEST_CASE("cold start: snapshot, state, ranks, shares, balanced subscriptions and acknowledgements") {
  World world(3, 30);
  world.SetLeader("core:1");
  world.CommitEntry();
  world.RunFor(kS);
  CHECK(world.Converged());
  world.RunFor(5 * kS);
  std::map<std::string, int> at;
  for (const auto& [name, sidecar] : world.sidecars_) {
    ++at[sidecar->client->subscribed_core()];
    CHECK(sidecar->client->leader() == "core:1");
    CHECK(sidecar->shares_until > world.now_ + kS);
    CHECK(sidecar->client->LastConfirmedAt() > world.now_ - 500 * kMs);
    sidecar->reports = 0;
  }
  for (const auto& [address, count] : at) CHECK((count > 3 && count < 18));
  CHECK(at.size() == 3);
  for (const auto& [address, core] : world.cores_)
    CHECK(core->publisher->ActiveSidecarsWith(world.now_, 1) == 30);
  world.CommitEntry();
  CHECK(world.cores_.at("core:1")->publisher->ActiveSidecarsWith(world.now_, 2) == 0);
  world.RunFor(150 * kMs);
  for (const auto& [address, core] : world.cores_)
    CHECK(core->publisher->ActiveSidecarsWith(world.now_, 2) == 30);
  CHECK(world.cores_.at("core:0")->publisher->ActiveSidecars(world.now_) == 30);
  // Without changes no full snapshots are sent, and reports keep their interval.
  world.full_snapshots = 0;
  world.RunFor(10 * kS);
  CHECK(world.full_snapshots == 0);
  for (const auto& [name, sidecar] : world.sidecars_) CHECK(sidecar->reports < 100);
}

TEST_CASE("draining and leaving propagate at once") {
  World world(3, 6);
  world.SetLeader("core:0");
  world.CommitEntry();
  world.RunFor(5 * kS);
  auto& client = *world.sidecars_.at("side-102")->client;
  client.SetServers(world.now_, {World::ServerOf("side-102", registry::State::kDraining)});
  world.RunFor(120 * kMs);
  for (const auto& [name, sidecar] : world.sidecars_) {
    CHECK(sidecar->client->snapshot().servers.at(2).state == registry::State::kDraining);
  }
  client.Leave(world.now_);
  world.RunFor(120 * kMs);
  CHECK(world.Converged(5));  // it keeps its rank
  world.RunFor(20 * kS);
  CHECK(world.sidecars_.at("side-100")->client->snapshot().sidecars.size() == 5);
}

TEST_CASE("a silent core is replaced within a second, a lost link at once") {
  World world(3, 8);
  world.SetLeader("core:0");
  world.CommitEntry();
  world.RunFor(5 * kS);
  const std::string silent = world.SubscribedTo("side-103");
  SECTION("silent") { world.unresponsive_.insert(silent); }
  SECTION("dead") { world.StopCore(silent); }
  if (silent == "core:0") world.SetLeader("core:1");
  world.RunFor(kS);
  world.CommitEntry();
  for (const auto& [name, sidecar] : world.sidecars_) CHECK(sidecar->client->subscribed_core() != silent);
  world.RunFor(200 * kMs);
  CHECK(world.Converged());
}

TEST_CASE("a core that restarts with an empty registry does not empty the snapshots of sidecars") {
  World world(2, 20);
  world.SetLeader("core:0");
  world.CommitEntry();
  world.RunFor(5 * kS);
  for (auto& [name, sidecar] : world.sidecars_) sidecar->shrunk = false;
  SECTION("one after the other") {
    for (const std::string address : {"core:0", "core:1"}) {
      world.StopCore(address);
      world.RunFor(300 * kMs);
      world.StartCore(address);
      world.RunFor(300 * kMs);
    }
  }
  SECTION("both at once") {
    world.StopCore("core:0");
    world.StopCore("core:1");
    world.RunFor(5 * kS);
    world.StartCore("core:1");
    world.StartCore("core:0");
  }
  SECTION("only the links, all of them for three seconds") {
    world.network_down_ = true;
    for (auto& [name, sidecar] : world.sidecars_) {
      for (const auto& a : world.addresses_) world.CloseLink(*sidecar, a);
    }
    world.RunFor(3 * kS);
    world.network_down_ = false;
  }
  SECTION("one that was suspended") {
    const std::string silent = world.SubscribedTo("side-100");
    world.unresponsive_.insert(silent);
    world.RunFor(20 * kS);
    world.unresponsive_.clear();
  }
  world.RunFor(25 * kS);
  world.CommitEntry();
  world.RunFor(500 * kMs);
  CHECK(world.Converged());
  for (const auto& [name, sidecar] : world.sidecars_) CHECK_FALSE(sidecar->shrunk);
  CHECK(world.cores_.at("core:0")->publisher->Subscribers() > 2);  // balanced again
  CHECK(world.cores_.at("core:1")->publisher->Subscribers() > 2);
}

// Guards against a sidecar that takes the incomplete registry of a core that has just started, and learns
// nothing from the others.
TEST_CASE("a sidecar does not stay with a core that has just started if another one is complete") {
  World world(3, 30);
  world.SetLeader("core:1");
  world.RunFor(6 * kS);  // beyond the warm-up of all cores
  world.StopCore("core:0");
  world.StartCore("core:0");
  for (int i = 0; i < 30; ++i) world.StartSidecar("side-" + std::to_string(200 + i));
  world.RunFor(1500 * kMs);
  for (auto& [name, sidecar] : world.sidecars_) {
    INFO(name);
    CHECK(sidecar->client->subscribed_core() != "core:0");
    CHECK(sidecar->client->snapshot().servers.size() == 60);
  }
}

TEST_CASE("a core without a leader is replaced by one with a leader, and confirms no leases") {
  World world(3, 8);
  world.SetLeader("core:0");
  world.CommitEntry();
  world.RunFor(5 * kS);
  world.Isolate("core:2");
  world.CommitEntry();
  world.RunFor(700 * kMs);
  CHECK(world.Converged());
  world.RunFor(2 * kS);
  for (const auto& [name, sidecar] : world.sidecars_) CHECK(sidecar->client->subscribed_core() != "core:2");
  // No core has a leader any more.
  world.SetLeader("");
  world.RunFor(kS);
  const Micros confirmed_at = world.sidecars_.at("side-100")->client->LastConfirmedAt();
  world.RunFor(3 * kS);
  CHECK(world.sidecars_.at("side-100")->client->LastConfirmedAt() == confirmed_at);
  CHECK(world.sidecars_.at("side-100")->shares_until < world.now_);
  // Another leader takes over.
  world.SetLeader("core:1");
  world.CommitEntry();
  world.RunFor(5 * kS);
  CHECK(world.Converged());
  for (const auto& [name, sidecar] : world.sidecars_) {
    CHECK(sidecar->client->leader() == "core:1");
    CHECK(sidecar->shares_until > world.now_);
  }
}

// core:0 was partitioned before the newest entry; a sidecar starts while the other cores are silent.
TEST_CASE("the first configuration of a sidecar does not come from a possibly stale core") {
  World world(3, 4);
  world.SetLeader("core:1");
  world.CommitEntry();
  world.RunFor(5 * kS);
  world.Isolate("core:0");
  world.CommitEntry();
  world.RunFor(kS);
  world.unresponsive_ = {"core:1", "core:2"};
  world.StartSidecar("late");
  const auto entry = [&] { return world.sidecars_.at("late")->entry; };
  SECTION("another core responds in time") {
    world.RunFor(2 * kS);
    CHECK(entry() == 0);
    world.unresponsive_.clear();
    world.RunFor(2 * kS);
    CHECK(entry() == 2);
  }
  SECTION("no other core responds: a stale one is better than none") {
    world.RunFor(9 * kS);
    CHECK(entry() == 1);
  }
}

TEST_CASE("a lost push is resent and gaps are closed") {
  World world(2, 6);
  world.SetLeader("core:0");
  world.CommitEntry();
  world.RunFor(5 * kS);
  world.drop_one_in_ = 3;
  for (int i = 0; i < 20; ++i) {
    const std::string name = "side-10" + std::to_string(i % 6);
    const auto state = i % 4 == 3 ? registry::State::kGone : registry::State::kReady;
    world.sidecars_.at(name)->client->SetServers(world.now_, {World::ServerOf(name, state)});
    world.CommitEntry();
    world.RunFor(60 * kMs);
  }
  for (auto& [name, sidecar] : world.sidecars_) {
    sidecar->client->SetServers(world.now_, {World::ServerOf(name, registry::State::kReady)});
  }
  world.drop_one_in_ = 0;
  world.RunFor(5 * kS);
  CHECK(world.Converged());
}

TEST_CASE("seeds are retried forever, other cores are dropped") {
  World world(1, 0);
  NullSink sink;
  Client::Settings settings;
  settings.sidecar.name = "me";
  for (int i = 0; i < 12; ++i) settings.seeds.push_back("seed:" + std::to_string(i));
  Client client(settings, sink);
  std::map<std::string, int> dials;
  for (Micros now = 0; now < 30 * kS; now += 50 * kMs) {
    const auto desired = client.DesiredLinks(now);
    CHECK(desired.size() <= kMaxCoreLinks);
    for (const auto& address : desired) {
      ++dials[address];
      client.OnLinkDown(now, address);
    }
  }
  CHECK(dials.size() == 12);
  for (const auto& [address, count] : dials) CHECK((count > 6 && count < 40));
  client.OnLinkUp(30 * kS, "seed:0");
  CoreUpdate update;
  update.cores = {"new:1", "new:2"};
  client.OnUpdate(30 * kS, "seed:0", update);
  CHECK(client.DesiredLinks(30 * kS).size() >= 3);
  update.cores = {"new:2"};
  update.has_leader = true;
  client.OnUpdate(31 * kS, "seed:0", update);
  CHECK(client.cores() == std::vector<std::string>{"new:2"});
  for (Micros now = 31 * kS; now < 60 * kS; now += 50 * kMs) {
    client.OnTick(now);
    for (const auto& address : client.DesiredLinks(now)) {
      if (address == "seed:0") continue;
      client.OnLinkDown(now, address);
      CHECK((address != "new:1" || now < 42 * kS));
    }
  }
}

// More cores are listed than links are allowed, as after several replacements in a row; most are gone.
TEST_CASE("each listed core is dialled in turn while others are unreachable") {
  NullSink sink;
  Client::Settings settings;
  settings.sidecar.name = "side";
  settings.seeds = {"core:0"};
  Client client(settings, sink);
  Micros now = kS;
  client.OnLinkUp(now, "core:0");
  CoreUpdate update;
  update.has_leader = true;
  for (std::size_t i = 0; i < 2 * kMaxCoreLinks; ++i) update.cores.push_back("core:" + std::to_string(i));
  client.OnUpdate(now, "core:0", update);
  client.OnLinkDown(now, "core:0");
  std::set<std::string> tried;
  for (int round = 0; round < 10; ++round, now += kS) {
    for (const std::string& core : client.DesiredLinks(now)) {
      tried.insert(core);
      client.OnLinkDown(now, core);
    }
  }
  CHECK(tried.size() == 2 * kMaxCoreLinks);
}

TEST_CASE("hints are bounded, expire, and are tried only when all known cores fail") {
  World world(1, 0);
  NullSink sink;
  Client::Settings settings;
  settings.sidecar.name = "me";
  const int seeds = GENERATE(0, 2, 12);  // 12: more than kMaxCoreLinks
  for (int i = 0; i < seeds; ++i) settings.seeds.push_back("seed:" + std::to_string(i));
  Client client(settings, sink);
  const auto is_hint = [](const std::string& address) { return address.rfind("hint", 0) == 0; };
  for (int i = 0; i < 100; ++i) client.AddCoreHint("hint:" + std::to_string(i));
  if (seeds > 0) {
    for (const auto& address : client.DesiredLinks(0)) CHECK_FALSE(is_hint(address));
    client.OnLinkUp(0, "seed:0");
    client.OnUpdate(0, "seed:0", {});
    for (int i = 1; i < seeds; ++i) client.OnLinkDown(0, "seed:" + std::to_string(i));
    for (const auto& address : client.DesiredLinks(kS)) CHECK_FALSE(is_hint(address));  // one core responds
    CHECK(client.ResponsiveCores(kS) == std::vector<std::string>{"seed:0"});
    client.OnLinkDown(kS, "seed:0");
  }
  CHECK(client.ResponsiveCores(kS).empty());
  std::set<std::string> hints;
  for (Micros now = kS; now < 40 * kS; now += 50 * kMs) {
    client.OnTick(now);
    const auto desired = client.DesiredLinks(now);
    CHECK(desired.size() <= kMaxCoreLinks);
    for (const auto& address : desired) {
      if (is_hint(address)) hints.insert(address);
      CHECK((!is_hint(address) || now <= 31 * kS));
      client.OnLinkDown(now, address);
    }
  }
  CHECK(hints.size() == kMaxCoreHints);
  // A hint that responds is kept and lists the other cores.
  client.AddCoreHint("hint:a");
  client.OnTick(40 * kS);
  client.OnLinkUp(40 * kS, "hint:a");
  CoreUpdate update;
  update.cores = {"hint:a", "new:1"};
  update.has_leader = true;
  client.OnUpdate(40 * kS, "hint:a", update);
  client.OnUpdate(80 * kS, "hint:a", update);
  client.OnTick(80 * kS);
  CHECK(client.subscribed_core() == "hint:a");
  CHECK(client.cores() == update.cores);
}

TEST_CASE(
    "a resync reports to all cores at once, requests the newer entry from one that has it, and is rate "
    "limited") {
  World world(3, 6);
  world.SetLeader("core:0");
  world.CommitEntry();
  world.RunFor(5 * kS);
  // The subscribed core lacks the newest entry.
  const auto elsewhere = std::find_if(world.sidecars_.begin(), world.sidecars_.end(), [&](const auto& s) {
    return s.second->client->subscribed_core() != "core:0";
  });
  REQUIRE(elsewhere != world.sidecars_.end());
  World::Sidecar& sidecar_name = *elsewhere->second;
  world.Isolate(sidecar_name.client->subscribed_core());
  world.CommitEntry();
  world.RunFor(100 * kMs);
  CHECK(sidecar_name.entry == 1);
  sidecar_name.reports = 0;
  sidecar_name.client->RequestNewerState(world.now_);
  sidecar_name.client->RequestNewerState(world.now_ + kResyncInterval - kMs);
  CHECK(sidecar_name.reports == 3);
  world.RunFor(120 * kMs);
  CHECK(sidecar_name.entry == 2);
  sidecar_name.reports = 0;
  sidecar_name.client->RequestNewerState(world.now_ + kResyncInterval);
  CHECK(sidecar_name.reports == 3);
  world.RunFor(5 * kS);
  CHECK(world.Converged());
}

TEST_CASE(
    "random faults: entries never go back, and sidecars converge within a second after the last fault") {
  for (unsigned seed = 0; seed < 12; ++seed) {
    World world(3, 10, seed);
    world.SetLeader("core:0");
    world.CommitEntry();
    world.RunFor(4 * kS);
    const auto core = [&] { return world.addresses_[world.random_() % 3]; };
    const auto sidecar_name = [&] { return "side-" + std::to_string(100 + world.random_() % 10); };
    for (int step = 0; step < 60; ++step) {
      const std::string address = core();
      const std::string name = sidecar_name();
      world.drop_one_in_ = world.random_() % 4 == 0 ? 5 : 0;
      switch (world.random_() % 8) {
        case 0:
          if (world.cores_.count(address) != 0 && world.cores_.size() > 1) world.StopCore(address);
          break;
        case 1:
          if (world.cores_.count(address) == 0) world.StartCore(address);
          break;
        case 2:
          world.CloseLink(*world.sidecars_.at(name), address);
          break;
        case 3:
          world.SetLeader(world.cores_.begin()->first);
          break;
        case 4:
          world.StopSidecar(name);
          world.StartSidecar(name);
          break;
        case 5:
          world.CommitEntry();
          break;
        case 6: {
          const auto state = world.random_() % 2 == 0 ? registry::State::kGone : registry::State::kReady;
          world.sidecars_.at(name)->client->SetServers(world.now_, {World::ServerOf(name, state)});
          break;
        }
        default:
          break;
      }
      world.RunFor(static_cast<Micros>(world.random_() % 40) * 20 * kMs);
    }
    world.drop_one_in_ = 0;
    for (const auto& address : world.addresses_) {
      if (world.cores_.count(address) == 0) world.StartCore(address);
    }
    world.SetLeader("core:2");
    world.RunFor(6 * kS);
    world.CommitEntry();
    for (auto& [name, sidecar] : world.sidecars_) {
      sidecar->client->SetServers(world.now_, {World::ServerOf(name, registry::State::kReady)});
    }
    world.RunFor(kS);
    INFO("seed " << seed);
    CHECK(world.Converged());
  }
}

TEST_CASE("a newer link of the same incarnation replaces the older one, and a link belongs to one sidecar") {
  World world(1, 0);
  struct Sink : Publisher::Sink {
    void Send(Publisher::LinkId link, const CoreUpdate&) override { sent.push_back(link); }
    void SendRecords(Publisher::LinkId, const ServerRecords&) override {}
    void Close(Publisher::LinkId link) override { closed.push_back(link); }
    std::vector<Publisher::LinkId> sent, closed;
  } sink;
  Publisher publisher(0, {}, sink);
  SidecarReport report;
  report.sidecar = {"a", 1, "hop", "z", "s"};
  report.subscribe = true;
  publisher.OnReport(0, 7, report);
  publisher.OnReport(0, 8, report);
  CHECK(sink.closed == std::vector<Publisher::LinkId>{7});
  CHECK(publisher.Subscribers() == 1);
  report.sidecar.name = "b";
  publisher.OnReport(0, 8, report);
  CHECK(sink.closed == std::vector<Publisher::LinkId>{7, 8});
  CHECK(publisher.Subscribers() == 0);
}

// Guards against a majority that no sidecar can reach, as it is linked to some of many cores: no departure
// was acknowledged there.
TEST_CASE("a sidecar of many cores is linked to those that record, and so is its next process") {
  const int cores = GENERATE(1, 3, 18);
  World world(cores, 4);
  world.SetLeader("core:0");
  world.RunFor(5 * kS);
  for (auto& [name, sidecar] : world.sidecars_) {
    const std::vector<std::string> recording = sidecar->client->record_cores();
    CHECK(recording.size() == std::min<std::size_t>(static_cast<std::size_t>(cores), kMaxRecordCores));
    const std::vector<std::string> responsive = sidecar->client->ResponsiveCores(world.now_);
    for (const std::string& core : recording)
      CHECK(std::find(responsive.begin(), responsive.end(), core) != responsive.end());
  }
  const std::vector<std::string> before = world.sidecars_.at("side-101")->client->record_cores();
  world.StopSidecar("side-101");
  world.StartSidecar("side-101");
  world.RunFor(5 * kS);
  CHECK(world.sidecars_.at("side-101")->client->record_cores() == before);
}

// Guards against a core that vouches for what it has not read from its disk, not written to it, or lost with
// it.
TEST_CASE("a core tells a sidecar what it remembers of its servers, and what of that is on disk") {
  struct Sink : Publisher::Sink {
    void Send(Publisher::LinkId, const CoreUpdate&) override {}
    void SendRecords(Publisher::LinkId, const ServerRecords& records) override { sent.push_back(records); }
    void Close(Publisher::LinkId) override {}
    std::vector<ServerRecords> sent;
  } sink;
  Publisher publisher(0, {}, sink);
  SidecarReport report;
  report.sidecar = {"a", 1, "hop", "z", "s"};
  report.servers = {World::ServerOf("a", registry::State::kReady)};
  const bool disk_lost = GENERATE(false, true);
  if (disk_lost) publisher.SetDiskLost();
  publisher.OnReport(0, 7, report);
  CHECK(sink.sent.empty());
  publisher.RestoreTombstones(0, {});
  REQUIRE(sink.sent.size() == 1);
  CHECK(sink.sent.back().complete == !disk_lost);
  CHECK(sink.sent.back().servers.at(0).state == registry::State::kReady);

  report.servers.at(0).state = registry::State::kDraining;
  publisher.OnReport(0, 7, report);
  REQUIRE(sink.sent.size() == 2);
  CHECK(sink.sent.back().servers.at(0).id == "server-a");
  CHECK(sink.sent.back().servers.at(0).state == registry::State::kDraining);
  CHECK_FALSE(sink.sent.back().servers.at(0).on_disk);
  publisher.OnTombstonesWritten(publisher.tombstones().version());
  REQUIRE(sink.sent.size() == 3);
  CHECK(sink.sent.back().servers.at(0).on_disk);
  publisher.OnTombstonesWritten(publisher.tombstones().version());
  CHECK(sink.sent.size() == 3);  // nobody waits any more

  report.has_servers = false;
  publisher.OnReport(0, 7, report);
  CHECK(sink.sent.size() == 3);
  report.has_servers = true;
  publisher.OnReport(kDiskLossPeriod, 7, report);
  REQUIRE(sink.sent.size() == 4);
  CHECK(sink.sent.back().complete);
}

}  // namespace
}  // namespace fennelhollow::push
