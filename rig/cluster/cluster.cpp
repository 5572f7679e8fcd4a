#include "rig/cluster/cluster.hpp"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "net/address.hpp"

namespace merlinrun::rig {
namespace {

// Far more than any trial asks: it ends by Finish.
constexpr std::uint64_t kAsks = 10'000'000;
// What is read of a log: some lines of its trace. Guards against a rig that is late because it reads all logs
// from their beginning twenty times a second, and finds its own lateness in the sidecars.
constexpr std::size_t kTail = 8192;
// Often enough to see a stage that lasts for half a second.
constexpr const char* kTrace = "every_ms = 100\nservers = false\n";

// Every figure as it is by default.
constexpr const char* kFleet = "# words between sidecars\n";

}  // namespace

struct Cluster::Node {
  Node(World& world) : discovery(world.io, world.loop, world.ledger) {}
  std::string listen = FreeAddress();
  std::vector<std::unique_ptr<Link>> links;  // by server
  Discovery discovery;
  std::unique_ptr<Process> process;
  std::vector<std::unique_ptr<HttpClient>> clients;
  int lives = 0;
};

Cluster::Cluster(const std::string& program, const ClusterOptions& options)
    : program_(program),
      options_(options),
      world_(ShortClasses(), options.servers, options.server, ExampleDiameterFile("127.0.0.1:0"),
             options.zones),
      traffic_(world_.classes, kAsks, options.seed) {
  if (options.words && options.straight)
    for (int i = 0; i < options.sidecars; ++i) peers_.push_back(FreeAddress());
  else if (options.words)
    mesh_ = std::make_unique<Mesh>(world_.io, world_.loop, static_cast<std::size_t>(options.sidecars),
                                   options.seed);
  for (int i = 0; i < options.sidecars; ++i) {
    auto node = std::make_unique<Node>(world_);
    for (const auto& server : world_.servers)
      node->links.push_back(std::make_unique<Link>(world_.io, [&at = *server] { return at.http(); }));
    node->discovery.set_addresses([this, &links = node->links](const Server& server) {
      for (std::size_t s = 0; s < links.size(); ++s)
        if (world_.servers[s].get() == &server) return links[s]->address();
      throw std::logic_error("a server of another world");
    });
    for (const auto& server : world_.servers) node->discovery.Set(*server, "up");
    nodes_.push_back(std::move(node));
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) Start(i);
}

Cluster::~Cluster() = default;

nlohmann::json Cluster::ConfigOf(std::size_t sidecar) const {
  const Node& node = *nodes_[sidecar];
  nlohmann::json config = world_.Config();
  config["name"] = "n" + std::to_string(sidecar);
  config["discovery"] = net::FormatAddress(node.discovery.address());
  config["known"] = node.discovery.List();
  config["settings"]["rank"] = sidecar;
  config["settings"]["siblings"] = nodes_.size();
  if (options_.words) {
    config["settings"]["allowed"]["peers"] = true;
    config["peer_listen"] = mesh_ != nullptr ? mesh_->ListenOf(sidecar) : peers_[sidecar];
    config["peers"] = mesh_ != nullptr ? mesh_->PeersOf(sidecar) : peers_;
  }
  return config;
}

void Cluster::Start(std::size_t sidecar) {
  Node& node = *nodes_.at(sidecar);
  Process::Options options;
  options.listen = node.listen;
  options.config = ConfigOf(sidecar);
  options.trace = kTrace;
  if (options_.words) options.fleet = kFleet;
  node.process = std::make_unique<Process>(program_, world_, options);
  if (!WaitFor(world_, At(node.listen))) throw std::runtime_error("a sidecar does not start");
  ++node.lives;
  for (int c = 0; c < options_.clients; ++c) {
    const std::string name =
        std::to_string(sidecar) + "." + std::to_string(c) + "." + std::to_string(node.lives);
    node.clients.push_back(std::make_unique<HttpClient>(world_.io, world_.loop, world_.ledger, traffic_,
                                                        At(node.listen), "c" + name, options_.pause));
    node.clients.back()->Start();
  }
}

void Cluster::Signal(std::size_t sidecar, int signal) const { nodes_.at(sidecar)->process->Signal(signal); }

void Cluster::Order(const std::string& text) const {
  for (const auto& node : nodes_) {
    node->process->Order(text);
    node->process->Signal(SIGHUP);
  }
}

void Cluster::Kill(std::size_t sidecar) {
  Node& node = *nodes_.at(sidecar);
  for (const auto& client : node.clients) client->Die();
  node.clients.clear();
  node.process.reset();
}

bool Cluster::Runs(std::size_t sidecar) const {
  const Node& node = *nodes_.at(sidecar);
  return node.process != nullptr && node.process->runs();
}

void Cluster::SetLinks(std::size_t sidecar, const DataCentre& zone, Link::Mode mode) {
  for (std::size_t s = 0; s < world_.servers.size(); ++s)
    if (&world_.servers[s]->centre() == &zone) nodes_.at(sidecar)->links[s]->Set(mode);
}

void Cluster::SetLinks(const DataCentre& zone, Link::Mode mode) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) SetLinks(i, zone, mode);
}

void Cluster::List(const Server& server, const std::string& lifecycle) {
  for (const auto& node : nodes_) node->discovery.Set(server, lifecycle);
}

nlohmann::json Cluster::Trace(std::size_t sidecar) const {
  const Node& node = *nodes_.at(sidecar);
  if (node.process == nullptr) return nullptr;
  const std::string log = node.process->Log(kTail);
  const std::size_t end = log.rfind('\n');  // the line after it may be half written
  const std::size_t line = end == std::string::npos ? end : log.rfind("trace: ", end);
  if (line == std::string::npos) return nullptr;
  const std::size_t from = log.find('{', line);
  return nlohmann::json::parse(log.substr(from, log.find('\n', from) - from));
}

std::string Cluster::Stage(std::size_t sidecar, const DataCentre& zone) const {
  const nlohmann::json trace = Trace(sidecar);
  if (trace.is_null() || !trace.at("zones").contains("stages")) return "";
  const auto number = std::find(world_.zones.begin(), world_.zones.end(), &zone) - world_.zones.begin();
  return trace["zones"]["stages"].value(std::to_string(number), "");
}

std::uint64_t Cluster::Epoch(std::size_t sidecar) const {
  const nlohmann::json trace = Trace(sidecar);
  return trace.is_null() ? 0 : trace.at("zones").at("epoch").get<std::uint64_t>();
}

std::size_t Cluster::Count(const DataCentre& zone, const std::string& stage) const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) count += Stage(i, zone) == stage;
  return count;
}

std::uint64_t Cluster::Accepted(const DataCentre& zone) const {
  std::uint64_t sum = 0;
  for (const auto& node : nodes_)
    for (std::size_t s = 0; s < world_.servers.size(); ++s)
      if (&world_.servers[s]->centre() == &zone) sum += node->links[s]->accepted();
  return sum;
}

bool Cluster::Finish() {
  traffic_.Finish();
  return world_.RunUntil([this] {
    for (const auto& node : nodes_)
      for (const auto& client : node->clients)
        if (!client->idle()) return false;
    return true;
  });
}

std::string Cluster::Faults() {
  std::string out;
  for (const std::string& line : world_.ledger.broken()) out += line + "\n";
  for (const std::string& id : world_.ledger.Owed(world_.loop.Now() + 60'000'000)) out += id + " is owed\n";
  return out;
}

}  // namespace merlinrun::rig
