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

// Of a client that is looked at from outside alone.
struct SilentSink : Client::Sink {
  void Send(const std::string&, const SidecarReport&) override {}
  void OnState(std::uint64_t, const std::string&) override {}
  void OnSnapshot(const registry::Snapshot&, std::size_t, std::size_t) override {}
  void OnShares(const std::vector<quota::Share>&, Micros) override {}
  void OnCores(const std::vector<std::string>&) override {}
};

// Clients and heralds in memory, in virtual time: links with a delay, in order; frames and links can be lost.
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
    settings.epoch = ++drawn_;
    settings.lease = 2 * kS;  // the product's is longer; what is checked is that shares end with it
    core->herald = std::make_unique<Publisher>(now_, settings, *core);
    cores_[address] = std::move(core);
    Order();
  }
  void StopCore(const std::string& address) {
    cores_.erase(address);
    for (auto& [name, sidecar] : sidecars_) Cut(*sidecar, address);
    Order();
  }
  void StartSidecar(const std::string& name) {
    auto sidecar = std::make_unique<Sidecar>();
    sidecar->world = this;
    sidecar->name = name;
    Client::Settings settings;
    settings.sidecar = {name, ++drawn_, "hop:" + name, "z", "s"};
    settings.seeds = addresses_;
    settings.seed = drawn_;
    settings.held_shares = [](Micros) { return std::vector<quota::Share>{}; };
    settings.demand = [](Micros) { return std::vector<quota::Demand>{{"t", 5, 5}}; };
    sidecar->client = std::make_unique<Client>(settings, *sidecar);
    sidecar->client->SetServers(now_, {Life(name, registry::State::kReady)});
    sidecars_[name] = std::move(sidecar);
  }
  void StopSidecar(const std::string& name) {
    for (const auto& a : addresses_) Cut(*sidecars_.at(name), a);
    sidecars_.erase(name);
  }
  static registry::Server Life(const std::string& name, registry::State state) {
    return {"server-" + name, "s", "at:" + name, "z", "v1", 4, state, 0, 1, "hop:" + name};
  }

  // Who holds the order, and what all cores that run and hear it know.
  void SetHolder(const std::string& address) {
    holder_ = address;
    Order();
  }
  void Decide() {
    ++entry_;
    Order();
  }
  void Order() {
    for (auto& [address, core] : cores_) {
      const bool settled = cores_.count(holder_) != 0 && isolated_.count(address) == 0;
      core->herald->SetCores(addresses_, settled ? holder_ : "", settled);
      core->herald->SetIsLeader(now_, address == holder_);
      core->herald->SetLimits(now_, {{"t", {100, 50}}});
      if (settled && entry_ > 0) core->herald->SetState(now_, entry_, "ledger " + std::to_string(entry_));
    }
  }
  void Isolate(const std::string& address) { isolated_.insert(address); }

  void RunFor(Micros time) {
    for (const Micros end = now_ + time; now_ < end;) {
      now_ += 10 * kMs;
      Deliver();
      const bool tick20 = now_ / kMs % 20 == 0;
      for (auto& [address, core] : cores_) {
        if (tick20 && frozen_.count(address) == 0) core->herald->OnTick(now_);
      }
      for (auto& [name, sidecar] : sidecars_) {
        if (now_ / kMs % 50 != 0) break;
        sidecar->client->OnTick(now_);
        Dial(*sidecar);
      }
    }
  }

  struct Sidecar : Client::Sink {
    void Send(const std::string& address, const SidecarReport& tell) override {
      const auto link = links.find(address);
      if (link == links.end()) return;
      ++tells;
      world->Post({world->now_ + world->Delay(), link->second, true, name, address, tell, {}});
    }
    void OnState(std::uint64_t number, const std::string& ledger) override {
      CHECK(number > entry);
      CHECK(ledger == "ledger " + std::to_string(number));
      entry = number;
    }
    void OnSnapshot(const registry::Snapshot& listing, std::size_t at, std::size_t of) override {
      rank = at;
      count = of;
      ++listings;
      if (fullest > 0 && listing.servers.size() + 1 < fullest) shrunk = true;
      fullest = std::max(fullest, listing.servers.size());
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
    int tells = 0, listings = 0;
    bool shrunk = false;
    Micros shares_until = 0;
  };
  struct Core : Publisher::Sink {
    void Send(Publisher::LinkId link, const CoreUpdate& news) override {
      world->wholes += news.has_snapshot;
      if (world->Lost()) return;
      for (auto& [name, sidecar] : world->sidecars_) {
        const auto at = sidecar->links.find(address);
        if (at == sidecar->links.end() || at->second != link) continue;
        world->Post({world->now_ + world->Delay(), link, false, name, address, {}, news});
      }
    }
    void Close(Publisher::LinkId) override { ++closed; }
    World* world = nullptr;
    std::string address;
    std::unique_ptr<Publisher> herald;
    int closed = 0;
  };

  void Cut(Sidecar& sidecar, const std::string& address) {
    const auto link = sidecar.links.find(address);
    if (link == sidecar.links.end()) return;
    const auto id = link->second;
    sidecar.links.erase(link);
    sidecar.client->OnLinkDown(now_, address);
    if (cores_.count(address) != 0) cores_.at(address)->herald->OnLinkDown(now_, id);
  }
  void Dial(Sidecar& sidecar) {
    for (const auto& address : sidecar.client->DesiredLinks(now_)) {
      if (sidecar.links.count(address) != 0) continue;
      if (cores_.count(address) == 0 || dark_) {
        sidecar.client->OnLinkDown(now_, address);
      } else {
        sidecar.links[address] = ++drawn_;
        sidecar.client->OnLinkUp(now_, address);
      }
    }
  }
  bool Lost() { return lose_one_in_ > 0 && random_() % static_cast<unsigned>(lose_one_in_) == 0; }
  Micros Delay() { return static_cast<Micros>(1 + random_() % 40) * kMs; }

  // All sidecars have the newest entry and the servers of exactly these.
  bool Agree(std::optional<std::size_t> servers = std::nullopt) const {
    for (const auto& [name, sidecar] : sidecars_) {
      const auto& listing = sidecar->client->snapshot();
      if (sidecar->entry != entry_ || listing.servers.size() != servers.value_or(sidecars_.size()))
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
    bool up;  // to the core
    std::string name, address;
    SidecarReport tell;
    CoreUpdate news;
  };
  void Post(Frame frame) {  // in the order of its link
    auto& last = last_[{frame.link, frame.up}];
    frame.at = last = std::max(last, frame.at);
    frames_.emplace(frame.at, std::move(frame));
  }
  void Deliver() {
    while (!frames_.empty() && frames_.begin()->first <= now_) {
      const Frame frame = std::move(frames_.extract(frames_.begin()).mapped());
      const auto sidecar = sidecars_.find(frame.name);
      if (sidecar == sidecars_.end() || frozen_.count(frame.address) != 0) continue;
      const auto link = sidecar->second->links.find(frame.address);
      if (link == sidecar->second->links.end() || link->second != frame.link) continue;
      if (frame.up) {
        cores_.at(frame.address)->herald->OnReport(now_, frame.link, frame.tell);
      } else {
        sidecar->second->client->OnUpdate(now_, frame.address, frame.news);
      }
    }
  }

  Micros now_ = 0;
  std::mt19937 random_;
  std::uint64_t drawn_ = 100;
  std::vector<std::string> addresses_;
  std::map<std::string, std::unique_ptr<Core>> cores_;
  std::map<std::string, std::unique_ptr<Sidecar>> sidecars_;
  std::multimap<Micros, Frame> frames_;
  std::map<std::pair<std::uint64_t, bool>, Micros> last_;
  std::string holder_;
  std::uint64_t entry_ = 0;
  std::set<std::string> isolated_, frozen_;  // from the order; silent, with its links open
  bool dark_ = false;
  int lose_one_in_ = 0;
  int wholes = 0;
};

TEST_CASE("from nothing: list, ledger, numbers, shares, spread, acknowledgements") {
  World world(3, 30);
  world.SetHolder("core:1");
  world.Decide();
  world.RunFor(kS);
  CHECK(world.Agree());
  world.RunFor(5 * kS);
  std::map<std::string, int> at;
  for (const auto& [name, sidecar] : world.sidecars_) {
    ++at[sidecar->client->subscribed_core()];
    CHECK(sidecar->client->leader() == "core:1");
    CHECK(sidecar->shares_until > world.now_ + kS);
    CHECK(sidecar->client->LastConfirmedAt() > world.now_ - 500 * kMs);
    sidecar->tells = 0;
  }
  for (const auto& [address, count] : at) CHECK((count > 3 && count < 18));
  CHECK(at.size() == 3);
  for (const auto& [address, core] : world.cores_)
    CHECK(core->herald->ActiveSidecarsWith(world.now_, 1) == 30);
  world.Decide();
  CHECK(world.cores_.at("core:1")->herald->ActiveSidecarsWith(world.now_, 2) == 0);
  world.RunFor(150 * kMs);
  for (const auto& [address, core] : world.cores_)
    CHECK(core->herald->ActiveSidecarsWith(world.now_, 2) == 30);
  CHECK(world.cores_.at("core:0")->herald->ActiveSidecars(world.now_) == 30);
  // A quiet world is cheap: nobody needs the whole, and Tells keep their cadence.
  world.wholes = 0;
  world.RunFor(10 * kS);
  CHECK(world.wholes == 0);
  for (const auto& [name, sidecar] : world.sidecars_) CHECK(sidecar->tells < 100);
}

TEST_CASE("draining and leaving are known at once") {
  World world(3, 6);
  world.SetHolder("core:0");
  world.Decide();
  world.RunFor(5 * kS);
  auto& client = *world.sidecars_.at("side-102")->client;
  client.SetServers(world.now_, {World::Life("side-102", registry::State::kDraining)});
  world.RunFor(120 * kMs);
  for (const auto& [name, sidecar] : world.sidecars_) {
    CHECK(sidecar->client->snapshot().servers.at(2).state == registry::State::kDraining);
  }
  client.Leave(world.now_);
  world.RunFor(120 * kMs);
  CHECK(world.Agree(5));  // it keeps its number
  world.RunFor(20 * kS);
  CHECK(world.sidecars_.at("side-100")->client->snapshot().sidecars.size() == 5);
}

TEST_CASE("a silent core is left within a second, a lost link at once") {
  World world(3, 8);
  world.SetHolder("core:0");
  world.Decide();
  world.RunFor(5 * kS);
  const std::string silent = world.SubscribedTo("side-103");
  SECTION("silent") { world.frozen_.insert(silent); }
  SECTION("dead") { world.StopCore(silent); }
  if (silent == "core:0") world.SetHolder("core:1");
  world.RunFor(kS);
  world.Decide();
  for (const auto& [name, sidecar] : world.sidecars_) CHECK(sidecar->client->subscribed_core() != silent);
  world.RunFor(200 * kMs);
  CHECK(world.Agree());
}

TEST_CASE("a core that starts again empty empties nobody's list") {
  World world(2, 20);
  world.SetHolder("core:0");
  world.Decide();
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
  SECTION("the links alone, all of them for three seconds") {
    world.dark_ = true;
    for (auto& [name, sidecar] : world.sidecars_) {
      for (const auto& a : world.addresses_) world.Cut(*sidecar, a);
    }
    world.RunFor(3 * kS);
    world.dark_ = false;
  }
  SECTION("one that slept") {
    const std::string silent = world.SubscribedTo("side-100");
    world.frozen_.insert(silent);
    world.RunFor(20 * kS);
    world.frozen_.clear();
  }
  world.RunFor(25 * kS);
  world.Decide();
  world.RunFor(500 * kMs);
  CHECK(world.Agree());
  for (const auto& [name, sidecar] : world.sidecars_) CHECK_FALSE(sidecar->shrunk);
  CHECK(world.cores_.at("core:0")->herald->Subscribers() > 2);  // spread again
  CHECK(world.cores_.at("core:1")->herald->Subscribers() > 2);
}

TEST_CASE("a core without the order is left for one with it, leases count only what it vouches for") {
  World world(3, 8);
  world.SetHolder("core:0");
  world.Decide();
  world.RunFor(5 * kS);
  world.Isolate("core:2");
  world.Decide();
  world.RunFor(700 * kMs);
  CHECK(world.Agree());
  world.RunFor(2 * kS);
  for (const auto& [name, sidecar] : world.sidecars_) CHECK(sidecar->client->subscribed_core() != "core:2");
  // Now nobody hears a holder.
  world.SetHolder("");
  world.RunFor(kS);
  const Micros heard = world.sidecars_.at("side-100")->client->LastConfirmedAt();
  world.RunFor(3 * kS);
  CHECK(world.sidecars_.at("side-100")->client->LastConfirmedAt() == heard);
  CHECK(world.sidecars_.at("side-100")->shares_until < world.now_);
  // Another takes over.
  world.SetHolder("core:1");
  world.Decide();
  world.RunFor(5 * kS);
  CHECK(world.Agree());
  for (const auto& [name, sidecar] : world.sidecars_) {
    CHECK(sidecar->client->leader() == "core:1");
    CHECK(sidecar->shares_until > world.now_);
  }
}

// core:0 was cut off from the others before the newest entry; a sidecar starts while the others say nothing.
TEST_CASE("a sidecar's first configuration is not that of a core which may be behind") {
  World world(3, 4);
  world.SetHolder("core:1");
  world.Decide();
  world.RunFor(5 * kS);
  world.Isolate("core:0");
  world.Decide();
  world.RunFor(kS);
  world.frozen_ = {"core:1", "core:2"};
  world.StartSidecar("late");
  const auto entry = [&] { return world.sidecars_.at("late")->entry; };
  SECTION("another one is heard in time") {
    world.RunFor(2 * kS);
    CHECK(entry() == 0);
    world.frozen_.clear();
    world.RunFor(2 * kS);
    CHECK(entry() == 2);
  }
  SECTION("nobody else is heard: an old one is better than none") {
    world.RunFor(9 * kS);
    CHECK(entry() == 1);
  }
}

TEST_CASE("a push that is lost is sent again, a gap is closed") {
  World world(2, 6);
  world.SetHolder("core:0");
  world.Decide();
  world.RunFor(5 * kS);
  world.lose_one_in_ = 3;
  for (int i = 0; i < 20; ++i) {
    const std::string name = "side-10" + std::to_string(i % 6);
    const auto state = i % 4 == 3 ? registry::State::kGone : registry::State::kReady;
    world.sidecars_.at(name)->client->SetServers(world.now_, {World::Life(name, state)});
    world.Decide();
    world.RunFor(60 * kMs);
  }
  for (auto& [name, sidecar] : world.sidecars_) {
    sidecar->client->SetServers(world.now_, {World::Life(name, registry::State::kReady)});
  }
  world.lose_one_in_ = 0;
  world.RunFor(5 * kS);
  CHECK(world.Agree());
}

TEST_CASE("seeds are tried again and again, others are dropped") {
  World world(1, 0);
  SilentSink sink;
  Client::Settings settings;
  settings.sidecar.name = "me";
  for (int i = 0; i < 12; ++i) settings.seeds.push_back("seed:" + std::to_string(i));
  Client client(settings, sink);
  std::map<std::string, int> dials;
  for (Micros now = 0; now < 30 * kS; now += 50 * kMs) {
    const auto wanted = client.DesiredLinks(now);
    CHECK(wanted.size() <= kMaxCoreLinks);
    for (const auto& address : wanted) {
      ++dials[address];
      client.OnLinkDown(now, address);
    }
  }
  CHECK(dials.size() == 12);
  for (const auto& [address, count] : dials) CHECK((count > 6 && count < 40));
  client.OnLinkUp(30 * kS, "seed:0");
  CoreUpdate news;
  news.cores = {"new:1", "new:2"};
  client.OnUpdate(30 * kS, "seed:0", news);
  CHECK(client.DesiredLinks(30 * kS).size() >= 3);
  news.cores = {"new:2"};
  news.has_leader = true;
  client.OnUpdate(31 * kS, "seed:0", news);
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

// More cores are listed than links are held, as after several replacements in a row; most are gone.
TEST_CASE("each listed core has its turn while others of them can't be reached") {
  SilentSink sink;
  Client::Settings settings;
  settings.sidecar.name = "side";
  settings.seeds = {"core:0"};
  Client client(settings, sink);
  Micros now = kS;
  client.OnLinkUp(now, "core:0");
  CoreUpdate news;
  news.has_leader = true;
  for (std::size_t i = 0; i < 2 * kMaxCoreLinks; ++i) news.cores.push_back("core:" + std::to_string(i));
  client.OnUpdate(now, "core:0", news);
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

TEST_CASE("hints are tried when all that is known better fails, are few, and are forgotten") {
  World world(1, 0);
  SilentSink sink;
  Client::Settings settings;
  settings.sidecar.name = "me";
  const int seeds = GENERATE(0, 2, 12);  // 12: more than there are links
  for (int i = 0; i < seeds; ++i) settings.seeds.push_back("seed:" + std::to_string(i));
  Client client(settings, sink);
  const auto is_hint = [](const std::string& address) { return address.rfind("hint", 0) == 0; };
  for (int i = 0; i < 100; ++i) client.AddCoreHint("hint:" + std::to_string(i));
  if (seeds > 0) {
    for (const auto& address : client.DesiredLinks(0)) CHECK_FALSE(is_hint(address));
    client.OnLinkUp(0, "seed:0");
    client.OnUpdate(0, "seed:0", {});
    for (int i = 1; i < seeds; ++i) client.OnLinkDown(0, "seed:" + std::to_string(i));
    for (const auto& address : client.DesiredLinks(kS)) CHECK_FALSE(is_hint(address));  // one speaks
    CHECK(client.ResponsiveCores(kS) == std::vector<std::string>{"seed:0"});
    client.OnLinkDown(kS, "seed:0");
  }
  CHECK(client.ResponsiveCores(kS).empty());
  std::set<std::string> hints;
  for (Micros now = kS; now < 40 * kS; now += 50 * kMs) {
    client.OnTick(now);
    const auto wanted = client.DesiredLinks(now);
    CHECK(wanted.size() <= kMaxCoreLinks);
    for (const auto& address : wanted) {
      if (is_hint(address)) hints.insert(address);
      CHECK((!is_hint(address) || now <= 31 * kS));
      client.OnLinkDown(now, address);
    }
  }
  CHECK(hints.size() == kMaxCoreHints);
  // One that speaks is kept, and tells of the others.
  client.AddCoreHint("hint:a");
  client.OnTick(40 * kS);
  client.OnLinkUp(40 * kS, "hint:a");
  CoreUpdate news;
  news.cores = {"hint:a", "new:1"};
  news.has_leader = true;
  client.OnUpdate(40 * kS, "hint:a", news);
  client.OnUpdate(80 * kS, "hint:a", news);
  client.OnTick(80 * kS);
  CHECK(client.subscribed_core() == "hint:a");
  CHECK(client.cores() == news.cores);
}

TEST_CASE("a nudge asks all cores at once, and the one that has the newer entry for it, now and then") {
  World world(3, 6);
  world.SetHolder("core:0");
  world.Decide();
  world.RunFor(5 * kS);
  // Its own core lacks what is settled.
  const auto away = std::find_if(world.sidecars_.begin(), world.sidecars_.end(), [&](const auto& s) {
    return s.second->client->subscribed_core() != "core:0";
  });
  REQUIRE(away != world.sidecars_.end());
  World::Sidecar& side = *away->second;
  world.Isolate(side.client->subscribed_core());
  world.Decide();
  world.RunFor(100 * kMs);
  CHECK(side.entry == 1);
  side.tells = 0;
  side.client->RequestNewerState(world.now_);
  side.client->RequestNewerState(world.now_ + kResyncInterval - kMs);
  CHECK(side.tells == 3);
  world.RunFor(120 * kMs);
  CHECK(side.entry == 2);
  side.tells = 0;
  side.client->RequestNewerState(world.now_ + kResyncInterval);
  CHECK(side.tells == 3);
  world.RunFor(5 * kS);
  CHECK(world.Agree());
}

TEST_CASE("random faults: no way back, and agreement within a second after the last") {
  for (unsigned seed = 0; seed < 12; ++seed) {
    World world(3, 10, seed);
    world.SetHolder("core:0");
    world.Decide();
    world.RunFor(4 * kS);
    const auto core = [&] { return world.addresses_[world.random_() % 3]; };
    const auto side = [&] { return "side-" + std::to_string(100 + world.random_() % 10); };
    for (int step = 0; step < 60; ++step) {
      const std::string address = core();
      const std::string name = side();
      world.lose_one_in_ = world.random_() % 4 == 0 ? 5 : 0;
      switch (world.random_() % 8) {
        case 0:
          if (world.cores_.count(address) != 0 && world.cores_.size() > 1) world.StopCore(address);
          break;
        case 1:
          if (world.cores_.count(address) == 0) world.StartCore(address);
          break;
        case 2:
          world.Cut(*world.sidecars_.at(name), address);
          break;
        case 3:
          world.SetHolder(world.cores_.begin()->first);
          break;
        case 4:
          world.StopSidecar(name);
          world.StartSidecar(name);
          break;
        case 5:
          world.Decide();
          break;
        case 6: {
          const auto state = world.random_() % 2 == 0 ? registry::State::kGone : registry::State::kReady;
          world.sidecars_.at(name)->client->SetServers(world.now_, {World::Life(name, state)});
          break;
        }
        default:
          break;
      }
      world.RunFor(static_cast<Micros>(world.random_() % 40) * 20 * kMs);
    }
    world.lose_one_in_ = 0;
    for (const auto& address : world.addresses_) {
      if (world.cores_.count(address) == 0) world.StartCore(address);
    }
    world.SetHolder("core:2");
    world.RunFor(6 * kS);
    world.Decide();
    for (auto& [name, sidecar] : world.sidecars_) {
      sidecar->client->SetServers(world.now_, {World::Life(name, registry::State::kReady)});
    }
    world.RunFor(kS);
    INFO("seed " << seed);
    CHECK(world.Agree());
  }
}

TEST_CASE("a newer link of the same life replaces the older, a link is one sidecar's") {
  World world(1, 0);
  struct Sink : Publisher::Sink {
    void Send(Publisher::LinkId link, const CoreUpdate&) override { sent.push_back(link); }
    void Close(Publisher::LinkId link) override { closed.push_back(link); }
    std::vector<Publisher::LinkId> sent, closed;
  } sink;
  Publisher herald(0, {}, sink);
  SidecarReport tell;
  tell.sidecar = {"a", 1, "hop", "z", "s"};
  tell.subscribe = true;
  herald.OnReport(0, 7, tell);
  herald.OnReport(0, 8, tell);
  CHECK(sink.closed == std::vector<Publisher::LinkId>{7});
  CHECK(herald.Subscribers() == 1);
  tell.sidecar.name = "b";
  herald.OnReport(0, 8, tell);
  CHECK(sink.closed == std::vector<Publisher::LinkId>{7, 8});
  CHECK(herald.Subscribers() == 0);
}

}  // namespace
}  // namespace fennelhollow::push
