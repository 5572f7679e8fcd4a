#include "common/mesh.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <toml++/toml.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace fennelhollow::review {
namespace {

namespace asio = boost::asio;

constexpr int kPortsPerNode = 9;
constexpr int kHeartbeatIntervalMs = 1500;
constexpr const char* kDeployFile = "deploy/system.toml";

// Loopback addresses in a network drawn at random, so that runs don't meet.
std::vector<std::string> DrawAddresses(std::size_t count, std::mt19937& random) {
  const std::string network =
      "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
  std::vector<std::string> ips;
  for (std::size_t i = 0; i < count; ++i) ips.push_back(network + std::to_string(11 + i));
  return ips;
}

bool AllFree(const std::vector<std::string>& ips, int base_port) {
  asio::io_context io;
  for (const std::string& ip : ips) {
    for (int port = base_port; port < base_port + kPortsPerNode; ++port) {
      boost::system::error_code error;
      rig::Tcp::acceptor acceptor(io);
      acceptor.open(rig::Tcp::v4(), error);
      if (!error) acceptor.bind(Address{ip, static_cast<std::uint16_t>(port)}.Endpoint(), error);
      if (error) return false;
    }
  }
  return true;
}

std::vector<std::string> SplitAtSpaces(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

}  // namespace

Mesh::Mesh(Options options) : options_(std::move(options)) {
  const toml::table deploy = toml::parse_file(kDeployFile);
  for (const char* role : {"core", "sidecar"})
    run_lines_[role] = deploy["roles"][role]["run"].value<std::string>().value();
  std::mt19937 random(std::random_device{}());
  const std::size_t count = kCores + options_.sidecar_services.size();
  std::vector<std::string> ips;
  for (int attempt = 0; attempt < 50 && base_port_ == 0; ++attempt) {
    ips = DrawAddresses(count, random);
    const int base = 20'000 + 16 * static_cast<int>(random() % 700);  // below the ephemeral ports
    if (AllFree(ips, base)) base_port_ = base;
  }
  if (base_port_ == 0) throw std::runtime_error("no free ports");
  std::string folder = (std::filesystem::temp_directory_path() / "fennelhollow-review-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error("no temporary folder");
  folder_ = folder;
  for (std::size_t i = 0; i < count; ++i) {
    Node node;
    node.core = i < kCores;
    node.name = node.core ? "core-" + std::to_string(i + 1) : "sidecar-" + std::to_string(i - kCores + 1);
    node.ip = ips[i];
    if (!node.core) node.service = options_.sidecar_services[i - kCores];
    nodes_.push_back(node);
  }
}

Mesh::~Mesh() {
  for (Node& node : nodes_) Kill(node);
  std::error_code ignored;
  if (!folder_.empty()) std::filesystem::remove_all(folder_, ignored);
}

std::string Mesh::SettingsOf(const Node& node) const {
  const auto quoted = [](const Address& address) { return "\"" + address.Text() + "\""; };
  std::ostringstream out;
  out << "selfNode:\n  nodeName: \"" << node.name << "\"\n  role: " << (node.core ? "core" : "sidecar")
      << "\n  machineClass: " << (node.core ? "core" : "sidecar") << "\n  serves: ["
      << (node.core ? "control_plane" : "sidecar") << "]\n  ipAddress: \"" << node.ip
      << "\"\n  zone: here\n  region: here\n  lossCounted: " << (node.core ? "true" : "false")
      << "\n  firstStart: " << (node.first_start ? "true" : "false") << "\n  dataDirectory: ";
  if (node.core)
    out << "\"" << (folder_ / node.name).string() << "\"\n";
  else
    out << "null\n";
  out << "  limits: {cpuShare: 0.2, processorCores: 1, memoryMb: "
      << (node.core ? 256 : options_.terms.sidecar_memory_mb)
      << ", fileDescriptors: 4100, linkMbps: 1000.0, diskMb: " << (node.core ? 256 : 0) << "}\n";
  if (!node.core)
    out << "  applicationAddress: " << quoted(application(node)) << "\n  service: " << node.service << "\n";
  out << "network:\n  listenAddresses:\n    controlPlane: " << quoted(control(node)) << "\n";
  if (!node.core)
    out << "    inbound: " << quoted(inbound(node)) << "\n    outbound: " << quoted(outbound(node))
        << "\n    readiness: " << quoted(readiness(node)) << "\n";
  out << "  internalPortRange: [" << Port(5) << ", " << Port(8) << "]\n  seedNodes:\n";
  for (std::size_t i = 0; i < kCores; ++i) out << "    - " << quoted(control(nodes_[i])) << "\n";
  out << "  zones: {here: here}\nplatformSettings:\n  discoverySource: local_file\n  entryKind: local_file\n"
      << "  heartbeatIntervalMs: " << kHeartbeatIntervalMs
      << "\ncontractTerms:\n  contracts: " << options_.terms.contracts
      << "\n  faultTolerance: {machineLosses: 1, zones: 0, regionLosses: 0}\n  bounds: "
      << options_.terms.bounds << "\n";
  return out.str();
}

void Mesh::StartAll() {
  for (Node& node : nodes_) Start(node);
}

void Mesh::Start(Node& node) {
  const std::string settings = (folder_ / (node.name + ".yaml")).string();
  const std::string log = (folder_ / (node.name + ".log")).string();
  std::ofstream(settings) << SettingsOf(node);
  if (node.core) std::filesystem::create_directories(folder_ / node.name);
  node.first_start = false;
  const std::vector<std::string> words = SplitAtSpaces(run_lines_.at(node.core ? "core" : "sidecar"));
  std::vector<char*> arguments;
  for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  const std::string variable = "FENNELHOLLOW_CONFIG=" + settings;
  char path[] = "PATH=/usr/bin:/bin";
  char* environment[] = {const_cast<char*>(variable.c_str()), path, nullptr};
  const pid_t parent = ::getpid();
  node.pid = ::fork();
  if (node.pid < 0) throw std::runtime_error("fork failed");
  if (node.pid > 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the child ends with its parent
  if (::getppid() != parent) ::_exit(127);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::close_range(3, ~0U, 0);
  ::execve(arguments[0], arguments.data(), environment);
  ::_exit(127);
}

void Mesh::Kill(Node& node) {
  if (node.pid <= 0) return;
  ::kill(node.pid, SIGKILL);
  ::waitpid(node.pid, nullptr, 0);
  node.pid = -1;
}

void Mesh::Signal(const Node& node, int signal) {
  if (node.pid > 0) ::kill(node.pid, signal);
}

bool Mesh::Ended(Node& node) {
  if (node.pid <= 0) return true;
  if (::waitpid(node.pid, nullptr, WNOHANG) != node.pid) return false;
  node.pid = -1;
  return true;
}

long Mesh::ResidentMemoryMb(const Node& node) {
  std::ifstream status("/proc/" + std::to_string(node.pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmRSS:")) return std::stol(line.substr(6)) / 1024;
  return 0;
}

}  // namespace fennelhollow::review
