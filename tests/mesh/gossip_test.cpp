#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "loopback.hpp"
#include "mesh/gossip/io/udp_socket.hpp"
#include "mesh/gossip/view.hpp"

namespace fennelhollow::gossip {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kEvery = 2'000'000;

std::string AddressOf(int i) {
  return "10.0." + std::to_string(i / 100) + "." + std::to_string(i % 100 + 1) + ":7001";
}

// Views in virtual time; datagrams are late, and one in `lose_one_in` is lost.
class World {
 public:
  struct Node : View::Sink {
    void Send(const std::string& to, const std::string& bytes) override {
      CHECK(bytes.size() <= kMaxDatagramBytes);
      world->Post(address, to, bytes);
    }
    void OnCores(const std::vector<std::string>& told) override { cores.insert(told.begin(), told.end()); }
    void OnNewerEntry(std::uint64_t entry) override { newer = std::max(newer, entry); }
    World* world = nullptr;
    std::string address;
    std::unique_ptr<View> view;
    std::set<std::string> cores;
    std::uint64_t newer = 0;
  };

  explicit World(int nodes, unsigned seed) : random_(seed) {
    for (int i = 0; i < nodes; ++i) Start(i);
  }
  void Start(int i) {
    auto node = std::make_unique<Node>();
    node->world = this;
    node->address = AddressOf(i);
    View::Settings settings;
    settings.name = "side-" + std::to_string(i);
    settings.address = node->address;
    settings.seed = random_();
    node->view = std::make_unique<View>(settings, *node);
    nodes_[node->address] = std::move(node);
  }
  Node& At(int i) { return *nodes_.at(AddressOf(i)); }
  // A few of them know one other each: a chain.
  void IntroduceChain() {
    for (int i = 1; i < static_cast<int>(nodes_.size()); ++i)
      At(i).view->SetCandidates({{"", AddressOf(i - 1)}});
  }
  void Post(const std::string& from, const std::string& to, const std::string& bytes) {
    if (lose_one_in_ > 0 && random_() % lose_one_in_ == 0) return;
    datagrams_.emplace(now_ + static_cast<Micros>(1 + random_() % 60) * kMs, Datagram{from, to, bytes});
  }
  void RunFor(Micros time) {
    for (const Micros end = now_ + time; now_ < end;) {
      now_ += 10 * kMs;
      while (!datagrams_.empty() && datagrams_.begin()->first <= now_) {
        const Datagram d = std::move(datagrams_.extract(datagrams_.begin()).mapped());
        const auto at = nodes_.find(d.to);
        if (at != nodes_.end()) at->second->view->OnDatagram(now_, d.from, d.bytes);
      }
      if (now_ / kMs % 50 != 0) continue;
      for (auto& [address, node] : nodes_) node->view->OnTick(now_);
    }
  }
  // How many are reached from the first, over what views hold, in both directions or along it alone.
  std::size_t Reached(bool both) const {
    std::map<std::string, std::vector<std::string>> links;
    for (const auto& [address, node] : nodes_) {
      for (const auto& n : node->view->neighbours()) {
        links[address].push_back(n.address);
        if (both) links[n.address].push_back(address);
      }
    }
    std::set<std::string> seen = {nodes_.begin()->first};
    std::vector<std::string> rest(seen.begin(), seen.end());
    while (!rest.empty()) {
      const std::string address = rest.back();
      rest.pop_back();
      for (const auto& to : links[address]) {
        if (nodes_.count(to) != 0 && seen.insert(to).second) rest.push_back(to);
      }
    }
    return seen.size();
  }
  std::map<std::string, std::size_t> InDegrees() const {
    std::map<std::string, std::size_t> degrees;
    for (const auto& [address, node] : nodes_) degrees[address];
    for (const auto& [address, node] : nodes_) {
      for (const auto& n : node->view->neighbours()) ++degrees[n.address];
    }
    return degrees;
  }

  struct Datagram {
    std::string from, to, bytes;
  };
  Micros now_ = 0;
  std::mt19937 random_;
  unsigned lose_one_in_ = 10;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::multimap<Micros, Datagram> datagrams_;
};

TEST_CASE("200 that know one other each become and stay one, evenly, after half have gone, too") {
  for (const unsigned seed : {1U, 2U, 3U}) {
    World world(200, seed);
    world.IntroduceChain();
    world.RunFor(40 * kEvery);
    for (int period = 0; period < 60; ++period) {
      world.RunFor(kEvery);
      REQUIRE(world.Reached(true) == 200);
      REQUIRE(world.Reached(false) >= 198);  // along the links: one may be between two views
      for (const auto& [address, degree] : world.InDegrees()) REQUIRE(degree <= 3 * kMaxNeighbours);
    }
    std::size_t few = 0, links = 0;
    for (const auto& [address, degree] : world.InDegrees()) few += degree < 2, links += degree;
    CHECK(few <= 4);
    CHECK(links >=
          200 * kMaxNeighbours * 98 / 100);  // one dropped by losses is replaced with the next shuffle
    for (const auto& [address, node] : world.nodes_) {
      CHECK(node->view->neighbours().size() >= kMaxNeighbours - 2);
      CHECK(node->view->counters().sent < 100 * 4);  // about two asks and two answers a period at most
      std::set<std::string> once;
      for (const auto& n : node->view->neighbours()) CHECK(once.insert(n.address).second);
      CHECK(once.count(address) == 0);
    }
    for (int i = 0; i < 200; ++i) {
      if (i % 2 == 0) world.nodes_.erase(AddressOf(i));
    }
    world.RunFor(20 * kEvery);
    for (const auto& [address, node] : world.nodes_) {
      CHECK(node->view->neighbours().size() >= 4);
      for (const auto& n : node->view->neighbours()) CHECK(world.nodes_.count(n.address) == 1);
    }
    CHECK(world.Reached(true) == 100);
  }
}

TEST_CASE("a newer number reaches all within eight periods, and is forgotten when nobody has it") {
  World world(200, 4);
  world.IntroduceChain();
  world.RunFor(40 * kEvery);
  for (auto& [address, node] : world.nodes_) node->view->SetLocalState(world.now_, 40, {});
  world.RunFor(4 * kEvery);
  for (auto& [address, node] : world.nodes_) CHECK(node->newer == 0);
  world.At(77).view->SetLocalState(world.now_, 41, {});
  world.RunFor(8 * kEvery);
  for (auto& [address, node] : world.nodes_) CHECK((node->newer == 41 || node->address == AddressOf(77)));
  world.nodes_.erase(AddressOf(77));
  world.RunFor(kEntryExpiry + 4 * kEvery);
  for (auto& [address, node] : world.nodes_) node->newer = 0;
  world.RunFor(8 * kEvery);
  for (auto& [address, node] : world.nodes_) CHECK(node->newer == 0);
}

TEST_CASE("one whose cores have all gone learns of others, no one of those that it hears itself") {
  World world(40, 5);
  world.IntroduceChain();
  world.At(7).view->SetLocalState(0, 1, {"10.9.0.1:7000", "10.9.0.2:7000"});
  world.RunFor(10 * kEvery);
  for (int period = 0; period < 40; ++period) {
    for (int i = 0; i < 40; ++i) {
      if (i != 7) world.At(i).view->SetLocalState(world.now_, 1, {"10.9.1.1:7000", "10.9.1.2:7000"});
    }
    world.RunFor(kEvery / 2);
  }
  const std::set<std::string> both = {"10.9.1.1:7000", "10.9.1.2:7000"};
  CHECK(std::includes(world.At(7).cores.begin(), world.At(7).cores.end(), both.begin(), both.end()));
  world.RunFor(kEvery);
  for (int i = 0; i < 40; ++i) world.At(i).cores.clear();
  // Those of before are forgotten; of its own nobody is told.
  for (int step = 0; step < 20; ++step) {
    for (int i = 0; i < 40; ++i) world.At(i).view->SetLocalState(world.now_, 1, {"10.9.1.1:7000"});
    world.RunFor(kEvery / 2);
  }
  for (int i = 0; i < 40; ++i) {
    for (const auto& core : world.At(i).cores) CHECK(core == "10.9.1.2:7000");
  }
}

TEST_CASE("two halves that were cut for long find together again") {
  World world(60, 6);
  world.IntroduceChain();
  world.RunFor(20 * kEvery);
  std::map<std::string, std::unique_ptr<World::Node>> other;
  for (int i = 30; i < 60; ++i) other.insert(world.nodes_.extract(AddressOf(i)));
  world.RunFor(40 * kEvery);
  world.nodes_.swap(other);
  world.RunFor(40 * kEvery);
  world.nodes_.merge(other);
  world.RunFor(20 * kEvery);
  CHECK(world.Reached(true) == 60);
  CHECK(world.Reached(false) == 60);
}

struct Kept : View::Sink {
  void Send(const std::string& to, const std::string& bytes) override { sent.emplace_back(to, bytes); }
  void OnCores(const std::vector<std::string>& cores) override { told += cores.size(); }
  void OnNewerEntry(std::uint64_t) override { ++told; }
  std::vector<std::pair<std::string, std::string>> sent;
  std::size_t told = 0;
};

Message FullAsk() {
  Message ask;
  ask.name = std::string(kMaxNameBytes, 'n');
  ask.entry = 5;
  for (int i = 0; i < 4; ++i) ask.sidecars.push_back({std::string(kMaxNameBytes, 's'), AddressOf(10 + i), 0});
  for (int i = 0; i < 8; ++i) ask.cores.push_back({"", "100.100.100.10" + std::to_string(i) + ":17000", 0});
  return ask;
}

TEST_CASE("garbage is counted and harmless") {
  Kept sink;
  View view({"me", AddressOf(0), 1}, sink);
  std::mt19937 random(7);
  const std::string good = Serialize(FullAsk());
  CHECK(good.size() <= kMaxDatagramBytes);
  std::vector<std::string> bad = {"", std::string(kMaxDatagramBytes + 1, 'x'), good + "x", good.substr(1)};
  for (std::size_t n = 0; n < good.size(); n += 7) bad.push_back(good.substr(0, n));
  for (std::size_t i = 0; i < 8 * good.size(); i += 3) {  // one bit
    bad.push_back(good);
    bad.back()[i / 8] = static_cast<char>(bad.back()[i / 8] ^ (1 << i % 8));
  }
  for (int i = 0; i < 2000; ++i) {
    bad.emplace_back(random() % 1300, ' ');
    for (char& c : bad.back()) c = static_cast<char>(random());
  }
  const auto with = [&](const std::function<void(Message&)>& change) {
    Message message = FullAsk();
    change(message);
    bad.push_back(Serialize(message));
  };
  with([](Message& m) { m.kind = static_cast<Kind>(3); });
  with([](Message& m) { m.name.clear(), m.name.resize(kMaxNameBytes + 1); });
  with([](Message& m) { m.sidecars.push_back({"", AddressOf(1), 0}); });
  with([](Message& m) { m.cores.push_back({"", AddressOf(1), 0}); });
  for (const char* address : {"", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3:5", "1.2.3.256:5",
                              "1.2.3.4.5:6", "a:1", "01.2.3.4:5", "1.2.3.4:5 ", "+1.2.3.4:5", "1.2.3.4:-5"})
    with([&](Message& m) { m.cores[0].address = address; });
  Micros now = 0;
  for (const auto& bytes : bad) view.OnDatagram(now += 10 * kMs, AddressOf(1), bytes);
  CHECK(view.counters().malformed == bad.size());
  view.OnDatagram(now += 10 * kMs, AddressOf(0), good);  // from itself
  CHECK(view.counters().malformed == bad.size() + 1);
  Message answer = FullAsk();
  answer.kind = Kind::kResponse;
  view.OnDatagram(now += 10 * kMs, AddressOf(1), Serialize(answer));
  CHECK(view.counters().unexpected == 1);
  CHECK(sink.sent.empty());
  CHECK(sink.told == 0);
  CHECK(view.neighbours().empty());
  view.OnDatagram(now += 10 * kMs, AddressOf(1), good);
  CHECK(sink.sent.size() == 1);
  CHECK(view.neighbours().size() == 5);
}

TEST_CASE("no amplification: one answer for each ask, of twice its size at most, so many a second") {
  Kept sink;
  View view({std::string(500, 'm'), AddressOf(0), 1}, sink);
  view.OnDatagram(0, AddressOf(1), Serialize(FullAsk()));
  REQUIRE(sink.sent.size() == 1);
  Message small;
  Micros now = 0;
  std::deque<Micros> sent;
  for (int i = 0; i < 4000; ++i) {
    now += 3 * kMs;
    Message ask = i % 3 == 0 ? FullAsk() : small;
    ask.request_id = static_cast<std::uint64_t>(i);
    const std::string bytes = Serialize(ask);
    const std::string from = AddressOf(20 + i % 100);
    sink.sent.clear();
    view.OnDatagram(now, from, bytes);
    REQUIRE(sink.sent.size() <= 1);
    if (!sink.sent.empty()) {
      CHECK(sink.sent[0].first == from);
      CHECK(sink.sent[0].second.size() <= 2 * bytes.size());
    }
    view.OnTick(now);
    sent.insert(sent.end(), sink.sent.size(), now);
    while (now - sent.front() >= 1'000'000) sent.pop_front();
    REQUIRE(sent.size() <= kMaxSentPerSecond);
    CHECK(view.neighbours().size() <= kMaxNeighbours);
  }
  CHECK(view.counters().over_rate > 0);
}

TEST_CASE("datagrams over loopback: two views find each other, rubbish does no harm") {
  boost::asio::io_context io;
  struct End : View::Sink {
    void Send(const std::string& to, const std::string& bytes) override { socket->Send(to, bytes); }
    void OnCores(const std::vector<std::string>&) override {}
    void OnNewerEntry(std::uint64_t entry) override { newer = entry; }
    std::unique_ptr<UdpSocket> socket;
    std::unique_ptr<View> view;
    std::string address;
    std::uint64_t newer = 0;
  } a, b;
  Micros now = 0;
  for (End* end : {&a, &b}) {
    auto socket = UdpSocket::Open(
        io, "127.0.0.1", 0,
        [&now, end](const std::string& from, std::string_view d) { end->view->OnDatagram(now, from, d); });
    REQUIRE(socket.ok());
    end->socket = std::move(*socket);
    end->address = "127.0.0.1:" + std::to_string(end->socket->port());
    end->view = std::make_unique<View>(View::Settings{"x", end->address, 1}, *end);
  }
  CHECK_FALSE(UdpSocket::Open(io, "127.0.0.1", a.socket->port(), {}).ok());
  a.socket->Send(b.address, std::string(1500, 'x'));
  a.socket->Send("127.0.0.1:1", "nobody there");
  a.socket->Send("nowhere", "x");
  CHECK(a.socket->send_failures() == 1);
  a.view->SetCandidates({{"b", b.address}});
  a.view->SetLocalState(now, 9, {});
  a.view->OnTick(now);
  a.view->OnTick(now += kEvery);
  CHECK(loopback::RunUntil(io, [&] { return !a.view->neighbours().empty(); }));
  CHECK(b.newer == 9);
  CHECK(b.view->counters().malformed == 1);
}

}  // namespace
}  // namespace fennelhollow::gossip
