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
constexpr Micros kShuffleInterval = 2'000'000;

std::string AddressOf(int i) {
  return "10.0." + std::to_string(i / 100) + "." + std::to_string(i % 100 + 1) + ":7001";
}

// Views in virtual time; datagrams are delayed, and one in `drop_one_in_` is lost.
class World {
 public:
  struct Node : View::Sink {
    void Send(const std::string& to, const std::string& bytes) override {
      CHECK(bytes.size() <= kMaxDatagramBytes);
      world->SendDatagram(address, to, bytes);
    }
    void OnCores(const std::vector<std::string>& listed) override {
      cores.insert(listed.begin(), listed.end());
    }
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
  // Each node initially knows one other: a chain.
  void IntroduceChain() {
    for (int i = 1; i < static_cast<int>(nodes_.size()); ++i)
      At(i).view->SetCandidates({{"", AddressOf(i - 1)}});
  }
  void SendDatagram(const std::string& from, const std::string& to, const std::string& bytes) {
    if (drop_one_in_ > 0 && random_() % drop_one_in_ == 0) return;
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
  // Number of nodes reachable from the first one along neighbour links, followed in both directions or only
  // forward.
  std::size_t CountReachable(bool both_directions) const {
    std::map<std::string, std::vector<std::string>> links;
    for (const auto& [address, node] : nodes_) {
      for (const auto& n : node->view->neighbours()) {
        links[address].push_back(n.address);
        if (both_directions) links[n.address].push_back(address);
      }
    }
    std::set<std::string> seen = {nodes_.begin()->first};
    std::vector<std::string> pending(seen.begin(), seen.end());
    while (!pending.empty()) {
      const std::string address = pending.back();
      pending.pop_back();
      for (const auto& to : links[address]) {
        if (nodes_.count(to) != 0 && seen.insert(to).second) pending.push_back(to);
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
  unsigned drop_one_in_ = 10;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::multimap<Micros, Datagram> datagrams_;
};

TEST_CASE(
    "200 nodes that start as a chain become and stay connected and balanced, also after half of them leave") {
  for (const unsigned seed : {1U, 2U, 3U}) {
    World world(200, seed);
    world.IntroduceChain();
    world.RunFor(40 * kShuffleInterval);
    for (int period = 0; period < 60; ++period) {
      world.RunFor(kShuffleInterval);
      REQUIRE(world.CountReachable(true) == 200);
      REQUIRE(world.CountReachable(false) >= 198);  // forward only: one may be in transit between two views
      for (const auto& [address, degree] : world.InDegrees()) REQUIRE(degree <= 3 * kMaxNeighbours);
    }
    std::size_t low_degree = 0, links = 0;
    for (const auto& [address, degree] : world.InDegrees()) low_degree += degree < 2, links += degree;
    CHECK(low_degree <= 4);
    CHECK(links >= 200 * kMaxNeighbours * 98 / 100);  // a dropped neighbour is replaced by the next shuffle
    for (const auto& [address, node] : world.nodes_) {
      CHECK(node->view->neighbours().size() >= kMaxNeighbours - 2);
      CHECK(node->view->counters().sent <
            100 * 4);  // at most about two requests and two responses per period
      std::set<std::string> unique;
      for (const auto& n : node->view->neighbours()) CHECK(unique.insert(n.address).second);
      CHECK(unique.count(address) == 0);
    }
    for (int i = 0; i < 200; ++i) {
      if (i % 2 == 0) world.nodes_.erase(AddressOf(i));
    }
    world.RunFor(20 * kShuffleInterval);
    for (const auto& [address, node] : world.nodes_) {
      CHECK(node->view->neighbours().size() >= 4);
      for (const auto& n : node->view->neighbours()) CHECK(world.nodes_.count(n.address) == 1);
    }
    CHECK(world.CountReachable(true) == 100);
  }
}

TEST_CASE("a newer entry reaches all nodes within eight periods, and expires when no node has it") {
  World world(200, 4);
  world.IntroduceChain();
  world.RunFor(40 * kShuffleInterval);
  for (auto& [address, node] : world.nodes_) node->view->SetLocalState(world.now_, 40, {});
  world.RunFor(4 * kShuffleInterval);
  for (auto& [address, node] : world.nodes_) CHECK(node->newer == 0);
  world.At(77).view->SetLocalState(world.now_, 41, {});
  world.RunFor(8 * kShuffleInterval);
  for (auto& [address, node] : world.nodes_) CHECK((node->newer == 41 || node->address == AddressOf(77)));
  world.nodes_.erase(AddressOf(77));
  world.RunFor(kEntryExpiry + 4 * kShuffleInterval);
  for (auto& [address, node] : world.nodes_) node->newer = 0;
  world.RunFor(8 * kShuffleInterval);
  for (auto& [address, node] : world.nodes_) CHECK(node->newer == 0);
}

TEST_CASE("a node whose cores are all gone learns of others, and none is told of cores in direct contact") {
  World world(40, 5);
  world.IntroduceChain();
  world.At(7).view->SetLocalState(0, 1, {"10.9.0.1:7000", "10.9.0.2:7000"});
  world.RunFor(10 * kShuffleInterval);
  for (int period = 0; period < 40; ++period) {
    for (int i = 0; i < 40; ++i) {
      if (i != 7) world.At(i).view->SetLocalState(world.now_, 1, {"10.9.1.1:7000", "10.9.1.2:7000"});
    }
    world.RunFor(kShuffleInterval / 2);
  }
  const std::set<std::string> both_directions = {"10.9.1.1:7000", "10.9.1.2:7000"};
  CHECK(std::includes(world.At(7).cores.begin(), world.At(7).cores.end(), both_directions.begin(),
                      both_directions.end()));
  world.RunFor(kShuffleInterval);
  for (int i = 0; i < 40; ++i) world.At(i).cores.clear();
  // Former cores expire; cores in direct contact are not reported.
  for (int step = 0; step < 20; ++step) {
    for (int i = 0; i < 40; ++i) world.At(i).view->SetLocalState(world.now_, 1, {"10.9.1.1:7000"});
    world.RunFor(kShuffleInterval / 2);
  }
  for (int i = 0; i < 40; ++i) {
    for (const auto& core : world.At(i).cores) CHECK(core == "10.9.1.2:7000");
  }
}

TEST_CASE("two halves merge again after a long partition") {
  World world(60, 6);
  world.IntroduceChain();
  world.RunFor(20 * kShuffleInterval);
  std::map<std::string, std::unique_ptr<World::Node>> other;
  for (int i = 30; i < 60; ++i) other.insert(world.nodes_.extract(AddressOf(i)));
  world.RunFor(40 * kShuffleInterval);
  world.nodes_.swap(other);
  world.RunFor(40 * kShuffleInterval);
  world.nodes_.merge(other);
  world.RunFor(20 * kShuffleInterval);
  CHECK(world.CountReachable(true) == 60);
  CHECK(world.CountReachable(false) == 60);
}

struct RecordingSink : View::Sink {
  void Send(const std::string& to, const std::string& bytes) override { sent.emplace_back(to, bytes); }
  void OnCores(const std::vector<std::string>& cores) override { listed += cores.size(); }
  void OnNewerEntry(std::uint64_t) override { ++listed; }
  std::vector<std::pair<std::string, std::string>> sent;
  std::size_t listed = 0;
};

Message FullRequest() {
  Message request;
  request.name = std::string(kMaxNameBytes, 'n');
  request.entry = 5;
  for (int i = 0; i < 4; ++i)
    request.sidecars.push_back({std::string(kMaxNameBytes, 's'), AddressOf(10 + i), 0});
  for (int i = 0; i < 8; ++i)
    request.cores.push_back({"", "100.100.100.10" + std::to_string(i) + ":17000", 0});
  return request;
}

TEST_CASE("malformed datagrams are counted and ignored") {
  RecordingSink sink;
  View view({"me", AddressOf(0), 1}, sink);
  std::mt19937 random(7);
  const std::string good = Serialize(FullRequest());
  CHECK(good.size() <= kMaxDatagramBytes);
  std::vector<std::string> bad = {"", std::string(kMaxDatagramBytes + 1, 'x'), good + "x", good.substr(1)};
  for (std::size_t n = 0; n < good.size(); n += 7) bad.push_back(good.substr(0, n));
  for (std::size_t i = 0; i < 8 * good.size(); i += 3) {  // one bit flipped
    bad.push_back(good);
    bad.back()[i / 8] = static_cast<char>(bad.back()[i / 8] ^ (1 << i % 8));
  }
  for (int i = 0; i < 2000; ++i) {
    bad.emplace_back(random() % 1300, ' ');
    for (char& c : bad.back()) c = static_cast<char>(random());
  }
  const auto with = [&](const std::function<void(Message&)>& edit) {
    Message message = FullRequest();
    edit(message);
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
  view.OnDatagram(now += 10 * kMs, AddressOf(0), good);  // from its own address
  CHECK(view.counters().malformed == bad.size() + 1);
  Message response = FullRequest();
  response.kind = Kind::kResponse;
  view.OnDatagram(now += 10 * kMs, AddressOf(1), Serialize(response));
  CHECK(view.counters().unexpected == 1);
  CHECK(sink.sent.empty());
  CHECK(sink.listed == 0);
  CHECK(view.neighbours().empty());
  view.OnDatagram(now += 10 * kMs, AddressOf(1), good);
  CHECK(sink.sent.size() == 1);
  CHECK(view.neighbours().size() == 5);
}

TEST_CASE("no amplification: one response per request, at most twice its size, and rate limited") {
  RecordingSink sink;
  View view({std::string(500, 'm'), AddressOf(0), 1}, sink);
  view.OnDatagram(0, AddressOf(1), Serialize(FullRequest()));
  REQUIRE(sink.sent.size() == 1);
  Message small;
  Micros now = 0;
  std::deque<Micros> sent;
  for (int i = 0; i < 4000; ++i) {
    now += 3 * kMs;
    Message request = i % 3 == 0 ? FullRequest() : small;
    request.request_id = static_cast<std::uint64_t>(i);
    const std::string bytes = Serialize(request);
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

TEST_CASE("over loopback: two views find each other, malformed datagrams are ignored") {
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
  a.view->OnTick(now += kShuffleInterval);
  CHECK(loopback::RunUntil(io, [&] { return !a.view->neighbours().empty(); }));
  CHECK(b.newer == 9);
  CHECK(b.view->counters().malformed == 1);
}

}  // namespace
}  // namespace fennelhollow::gossip
