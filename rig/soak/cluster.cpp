#include "rig/soak/cluster.hpp"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace fennelhollow::rig::soak {
namespace {

constexpr int kServerSlots = 4;
constexpr milliseconds kMinServiceTime{20}, kMaxServiceTime{60};
constexpr milliseconds kStatusTimeout{500};
// The kernel enforces what the settings name, as on the operators' machines.
constexpr int kMemoryMb = 256, kCoreDiskMb = 256;
constexpr std::uint64_t kFileDescriptors = 1024;  // in NodeProcess::Settings
constexpr std::uint64_t kMebibyte = std::uint64_t{1} << 20;
// Concurrent runs use networks of their own, 127.16.0.* to 127.255.255.*.
constexpr std::uint64_t kFirstNetwork = 16, kNetworks = 240;
constexpr std::size_t kFirstHost = 11;

std::string NetworkOf(std::uint64_t seed) {
  const std::uint64_t drawn = (seed * 0x9e3779b97f4a7c15U + static_cast<std::uint64_t>(::getpid())) >> 8;
  return "127." + std::to_string(kFirstNetwork + drawn % kNetworks) + "." +
         std::to_string(drawn / kNetworks % 250) + ".";
}

}  // namespace

Cluster::Cluster(asio::io_context& io, Options options, ConsistencyChecker& checker)
    : io_(io), options_(std::move(options)), checker_(checker) {}

Cluster::~Cluster() {
  for (const auto& server : servers_) server->Crash();
  nodes_.clear();
  std::error_code ignored;
  if (!folder_.empty()) std::filesystem::remove_all(folder_, ignored);
}

bool Cluster::Start() {
  std::vector<std::string> ips;
  const std::string network = NetworkOf(options_.seed);
  const std::size_t count = options_.cores + options_.sidecars;
  for (std::size_t i = 0; i < count; ++i) ips.push_back(network + std::to_string(kFirstHost + i));
  const Ports ports = FindPorts(ips);
  if (ports.base == 0) return false;
  std::string folder = (std::filesystem::temp_directory_path() / "fennelhollow-soak-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) return false;
  folder_ = folder;
  std::vector<RelayNetwork::Machine> machines;
  const std::vector<std::string> seeds(ips.begin(), ips.begin() + 3);
  for (std::size_t i = 0; i < count; ++i) {
    const bool core = i < options_.cores;
    NodeProcess::Options node;
    node.program = options_.program;
    node.folder = folder_;
    node.name = core ? "core-" + std::to_string(i + 1) : "sidecar-" + std::to_string(i - options_.cores + 1);
    node.role = core ? NodeProcess::Role::kCore : NodeProcess::Role::kSidecar;
    node.ip = ips[i];
    node.service = (i - options_.cores) % 2 == 0 ? kPlanService : kOrderService;
    node.ports = ports;
    node.seeds = seeds;
    node.grace_period_s = options_.grace_period_s;
    node.internal_listen = {ips[i], ports.last_internal()};
    node.arguments = {"--abort-on-violation"};
    node.memory_mb = kMemoryMb;
    node.core_disk_mb = kCoreDiskMb;
    node.limits.address_space_bytes = kMemoryMb * kMebibyte;
    node.limits.file_size_bytes = kCoreDiskMb * kMebibyte;
    node.limits.file_descriptors = kFileDescriptors;
    machines.push_back({{ips[i], ports.first_internal()}, node.internal_listen});
    nodes_.push_back(std::make_unique<NodeProcess>(node));
  }
  network_ = std::make_unique<RelayNetwork>(io_, machines);
  should_run_.assign(count, true);
  lives_.assign(count, 1);
  for (const auto& node : nodes_)
    if (!node->Start()) return false;
  servers_.resize(options_.sidecars);
  for (std::size_t i = 0; i < options_.sidecars; ++i) StartServer(i);
  return true;
}

void Cluster::StartServer(std::size_t sidecar) {
  Server::Options server;
  server.id = "i-" + std::to_string(++server_count_);
  server.service = sidecar % 2 == 0 ? kPlanService : kOrderService;
  server.address = this->sidecar(sidecar).application();
  server.control = this->sidecar(sidecar).control();
  server.slots = kServerSlots;
  server.min_service_time = kMinServiceTime;
  server.max_service_time = kMaxServiceTime;
  servers_[sidecar] = std::make_shared<Server>(io_, server, runs_);
  servers_[sidecar]->SlowDown(slowdown_);
  servers_[sidecar]->SetSlowShare(slow_share_);
  servers_[sidecar]->Start();
}

std::optional<Clock::time_point> Cluster::terminated_at(std::size_t machine, int life) const {
  const auto found = terminations_.find({machine, life});
  if (found == terminations_.end()) return std::nullopt;
  return found->second;
}

int Cluster::Terminate(std::size_t machine) {
  should_run_[machine] = false;
  terminations_[{machine, lives_[machine]}] = Clock::now();
  nodes_[machine]->Signal(SIGTERM);
  return lives_[machine];
}

void Cluster::Kill(std::size_t machine) {
  should_run_[machine] = false;
  nodes_[machine]->Kill();
}

void Cluster::Restart(std::size_t machine) {
  // Another fault may have terminated it meanwhile: that one starts it again once it has ended.
  if (should_run_[machine] || nodes_[machine]->runs()) return;
  should_run_[machine] = true;
  ++lives_[machine];
  if (!nodes_[machine]->Start())
    checker_.ReportViolation(nodes_[machine]->name() + " could not be restarted");
}

bool Cluster::StartSuccessor(std::size_t machine) {
  if (nodes_[machine]->StartSuccessor()) return true;
  checker_.ReportViolation(nodes_[machine]->name() + " could not be restarted");
  return false;
}

void Cluster::AdoptSuccessor(std::size_t machine) {
  should_run_[machine] = true;
  ++lives_[machine];
}

void Cluster::ReplaceServer(std::size_t sidecar) {
  servers_[sidecar]->Crash();
  StartServer(sidecar);
}

void Cluster::SlowDownServers(int times) {
  slowdown_ = times;
  for (const auto& server : servers_) server->SlowDown(times);
}

void Cluster::SetSlowShare(double share) {
  slow_share_ = share;
  for (const auto& server : servers_) server->SetSlowShare(share);
}

double Cluster::CapacityPerSecond() const {
  const double service_time_s =
      std::chrono::duration<double>(kMinServiceTime + kMaxServiceTime).count() / 2 * slowdown_;
  return static_cast<double>(servers_.size()) * kServerSlots / service_time_s;
}

void Cluster::CheckProcesses() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    CheckMemory(*nodes_[i]);
    if (!should_run_[i] || !nodes_[i]->Ended()) continue;
    should_run_[i] = false;
    checker_.ReportViolation(nodes_[i]->name() + " exited unexpectedly with " + nodes_[i]->EndText());
  }
}

void Cluster::CheckMemory(const NodeProcess& node) {
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)  // they take several times as much
  const std::uint64_t resident = node.ResidentBytes();
  highest_resident_bytes_ = std::max(highest_resident_bytes_, resident);
  if (resident > kMemoryMb * kMebibyte)
    checker_.ReportViolation(node.name() + " takes more memory than its limit");
#else
  static_cast<void>(node);
#endif
}

asio::awaitable<std::optional<nlohmann::json>> Cluster::StatusOf(std::size_t machine) {
  HttpConnection connection(io_, nodes_[machine]->control());
  const auto answer = co_await connection.Call(
      MakeRequest(http::verb::get, "/-/Status", connection.address().Text()), kStatusTimeout);
  if (!answer || answer->result_int() != 200) co_return std::nullopt;
  auto status = nlohmann::json::parse(answer->body(), nullptr, false);
  if (!status.is_object()) co_return std::nullopt;
  co_return status;
}

std::string Cluster::Logs() const {
  constexpr std::size_t kLast = 6000;
  std::string out;
  for (const auto& node : nodes_) {
    const std::string log = node->Log();
    out += "---- " + node->name() + "\n" + log.substr(log.size() > kLast ? log.size() - kLast : 0);
  }
  return out;
}

}  // namespace fennelhollow::rig::soak
