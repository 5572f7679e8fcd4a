#include "rig/cluster/cluster.hpp"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "net/address.hpp"

namespace merlinrun::rig {
namespace {

// More than any test sends; StopTraffic ends it.
constexpr std::uint64_t kUnlimitedRequests = 10'000'000;
// Only the end of a log is read: reading all of it twenty times a second would delay the event loop, and the
// tests would take that delay for slowness of the sidecars.
constexpr std::size_t kLogTailBytes = 8192;
// Frequent enough to see a zone stage that lasts half a second.
constexpr const char* kTraceSettings = "every_ms = 100\nservers = false\n";

// All settings at their defaults.
constexpr const char* kReportSettings = "# reports between sidecars\n";

}  // namespace

struct Cluster::Node {
  Node(TestEnvironment& env) : discovery(env.io, env.loop, env.checker) {}
  std::string listen = FreeAddress();
  std::vector<std::unique_ptr<FaultProxy>> links;  // by server
  Discovery discovery;
  std::unique_ptr<Process> process;
  std::vector<std::unique_ptr<HttpClient>> clients;
  int incarnations = 0;
};

Cluster::Cluster(const std::string& program, const ClusterOptions& options)
    : program_(program),
      options_(options),
      env_(ShortClasses(), options.servers, options.server, ExampleDiameterFile("127.0.0.1:0"),
           options.zones),
      traffic_(env_.classes, kUnlimitedRequests, options.seed) {
  if (options.peer_reports && options.direct_reports)
    for (int i = 0; i < options.sidecars; ++i) peers_.push_back(FreeAddress());
  else if (options.peer_reports)
    report_network_ = std::make_unique<ReportNetwork>(
        env_.io, env_.loop, static_cast<std::size_t>(options.sidecars), options.seed);
  for (int i = 0; i < options.sidecars; ++i) {
    auto node = std::make_unique<Node>(env_);
    for (const auto& server : env_.servers)
      node->links.push_back(std::make_unique<FaultProxy>(env_.io, [&at = *server] { return at.http(); }));
    node->discovery.set_addresses([this, &links = node->links](const Server& server) {
      for (std::size_t s = 0; s < links.size(); ++s)
        if (env_.servers[s].get() == &server) return links[s]->address();
      throw std::logic_error("unknown server");
    });
    for (const auto& server : env_.servers) node->discovery.Set(*server, "up");
    nodes_.push_back(std::move(node));
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) Start(i);
}

Cluster::~Cluster() = default;

nlohmann::json Cluster::ConfigOf(std::size_t sidecar) const {
  const Node& node = *nodes_[sidecar];
  nlohmann::json config = env_.Config();
  config["name"] = "n" + std::to_string(sidecar);
  config["discovery"] = net::FormatAddress(node.discovery.address());
  config["known"] = node.discovery.List();
  config["settings"]["rank"] = sidecar;
  config["settings"]["siblings"] = nodes_.size();
  if (options_.peer_reports) {
    config["settings"]["allowed"]["peers"] = true;
    config["peer_listen"] = report_network_ != nullptr ? report_network_->ListenOf(sidecar) : peers_[sidecar];
    config["peers"] = report_network_ != nullptr ? report_network_->PeersOf(sidecar) : peers_;
  }
  return config;
}

void Cluster::Start(std::size_t sidecar) {
  Node& node = *nodes_.at(sidecar);
  Process::Options options;
  options.listen = node.listen;
  options.config = ConfigOf(sidecar);
  options.trace = kTraceSettings;
  if (options_.peer_reports) options.fleet = kReportSettings;
  node.process = std::make_unique<Process>(program_, env_, options);
  if (!WaitForListener(env_, ParseEndpoint(node.listen))) throw std::runtime_error("a sidecar did not start");
  ++node.incarnations;
  for (int c = 0; c < options_.clients; ++c) {
    const std::string name =
        std::to_string(sidecar) + "." + std::to_string(c) + "." + std::to_string(node.incarnations);
    node.clients.push_back(std::make_unique<HttpClient>(
        env_.io, env_.loop, env_.checker, traffic_, ParseEndpoint(node.listen), "c" + name, options_.pause));
    node.clients.back()->Start();
  }
}

void Cluster::Signal(std::size_t sidecar, int signal) const { nodes_.at(sidecar)->process->Signal(signal); }

void Cluster::SetZoneOverrides(const std::string& text) const {
  for (const auto& node : nodes_) {
    node->process->WriteZoneOverrides(text);
    node->process->Signal(SIGHUP);
  }
}

void Cluster::Kill(std::size_t sidecar) {
  Node& node = *nodes_.at(sidecar);
  for (const auto& client : node.clients) client->Crash();
  node.clients.clear();
  node.process.reset();
}

bool Cluster::Runs(std::size_t sidecar) const {
  const Node& node = *nodes_.at(sidecar);
  return node.process != nullptr && node.process->runs();
}

void Cluster::SetLinks(std::size_t sidecar, const DataCentre& zone, FaultProxy::Mode mode) {
  for (std::size_t s = 0; s < env_.servers.size(); ++s)
    if (&env_.servers[s]->centre() == &zone) nodes_.at(sidecar)->links[s]->Set(mode);
}

void Cluster::SetLinks(const DataCentre& zone, FaultProxy::Mode mode) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) SetLinks(i, zone, mode);
}

void Cluster::SetLifecycle(const Server& server, const std::string& lifecycle) {
  for (const auto& node : nodes_) node->discovery.Set(server, lifecycle);
}

nlohmann::json Cluster::Trace(std::size_t sidecar) const {
  const Node& node = *nodes_.at(sidecar);
  if (node.process == nullptr) return nullptr;
  const std::string log = node.process->Log(kLogTailBytes);
  const std::size_t end = log.rfind('\n');  // the following line may be incomplete
  const std::size_t line = end == std::string::npos ? end : log.rfind("trace: ", end);
  if (line == std::string::npos) return nullptr;
  const std::size_t from = log.find('{', line);
  return nlohmann::json::parse(log.substr(from, log.find('\n', from) - from));
}

std::string Cluster::Stage(std::size_t sidecar, const DataCentre& zone) const {
  const nlohmann::json trace = Trace(sidecar);
  if (trace.is_null() || !trace.at("zones").contains("stages")) return "";
  const auto number = std::find(env_.zones.begin(), env_.zones.end(), &zone) - env_.zones.begin();
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
    for (std::size_t s = 0; s < env_.servers.size(); ++s)
      if (&env_.servers[s]->centre() == &zone) sum += node->links[s]->accepted();
  return sum;
}

bool Cluster::StopTraffic() {
  traffic_.Stop();
  return env_.RunUntil([this] {
    for (const auto& node : nodes_)
      for (const auto& client : node->clients)
        if (!client->idle()) return false;
    return true;
  });
}

std::string Cluster::Violations() {
  std::string out;
  for (const std::string& line : env_.checker.violations()) out += line + "\n";
  for (const std::string& id : env_.checker.Overdue(env_.loop.Now() + 60'000'000))
    out += id + " has no response\n";
  return out;
}

}  // namespace merlinrun::rig
