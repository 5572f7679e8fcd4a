#include "rig/mesh/node_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <random>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace fennelhollow::rig {
namespace {

constexpr std::string_view kCaughtSignals = "SigCgt:";  // a mask, in /proc/PID/status

constexpr std::string_view kSocketLink = "socket:[";  // then an inode and a bracket, in /proc/PID/fd
constexpr const char* kListening = "0A";              // a state in /proc/net/tcp

std::set<std::uint64_t> SocketInodes(pid_t pid) {
  std::set<std::uint64_t> inodes;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error)) {
    const std::string link = std::filesystem::read_symlink(entry.path(), error).string();
    if (!error && link.rfind(kSocketLink, 0) == 0)
      inodes.insert(std::stoull(link.substr(kSocketLink.size())));
  }
  return inodes;
}

void SetLimit(int resource, std::uint64_t value) {
  if (value == 0) return;
  const rlimit limit{value, value};
  ::setrlimit(static_cast<__rlimit_resource>(resource), &limit);
}

void SetLimits(const ProcessLimits& limits) {
  SetLimit(RLIMIT_FSIZE, limits.file_size_bytes);
  SetLimit(RLIMIT_NOFILE, limits.file_descriptors);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)  // they reserve terabytes
  SetLimit(RLIMIT_AS, limits.address_space_bytes);
#endif
}

}  // namespace

Ports FindPorts(const std::vector<std::string>& ips) {
  asio::io_context io;
  std::random_device random;
  for (int attempt = 0; attempt < 50; ++attempt) {
    // Below the ephemeral port range.
    Ports ports{static_cast<std::uint16_t>(20'000 + 16 * (random() % 700))};
    std::vector<Tcp::acceptor> held;
    bool free = true;
    for (const std::string& ip : ips) {
      for (int port = ports.base; free && port <= ports.last_internal(); ++port) {
        boost::system::error_code error;
        Tcp::acceptor& acceptor = held.emplace_back(io);
        acceptor.open(Tcp::v4(), error);
        if (!error) acceptor.bind(Address{ip, static_cast<std::uint16_t>(port)}.Endpoint(), error);
        free = !error;
      }
    }
    if (free) return ports;
  }
  return {};
}

NodeProcess::~NodeProcess() { Kill(); }

void NodeProcess::Child::Kill() {
  if (pid <= 0) return;
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
  pid = -1;
}

bool NodeProcess::Child::Ended() {
  int wait_status = 0;
  if (pid <= 0) return true;
  if (::waitpid(pid, &wait_status, WNOHANG) != pid) return false;
  pid = -1;
  if (WIFEXITED(wait_status)) status = WEXITSTATUS(wait_status);
  if (WIFSIGNALED(wait_status)) signal = WTERMSIG(wait_status);
  return true;
}

std::string NodeProcess::Child::EndText() const {
  return signal != 0 ? "signal " + std::to_string(signal) : "status " + std::to_string(status);
}

void NodeProcess::Kill() {
  current_.Kill();
  predecessor_.Kill();
}

bool NodeProcess::Ended() { return current_.Ended(); }

bool NodeProcess::PredecessorEnded() { return predecessor_.Ended(); }

std::filesystem::path NodeProcess::DataDirectory() const {
  return options_.folder / (options_.name + ".data");
}

void NodeProcess::LoseDisk() {
  std::filesystem::remove_all(DataDirectory());
  std::filesystem::create_directories(DataDirectory());
}

std::string NodeProcess::Settings() const {
  const bool core = options_.role == Role::kCore;
  const Ports& ports = options_.ports;
  const auto at = [this](std::uint16_t port) { return "\"" + Address{options_.ip, port}.Text() + "\""; };
  std::ostringstream out;
  out << "selfNode:\n"
      << "  nodeName: \"" << options_.name << "\"\n"
      << "  role: " << (core ? "core" : "sidecar") << "\n"
      << "  machineClass: " << (core ? "core" : "sidecar") << "\n"
      << "  serves: [" << (core ? "control_plane" : "sidecar") << "]\n"
      << "  ipAddress: \"" << options_.ip << "\"\n"
      << "  zone: here\n  region: here\n"
      << "  lossCounted: " << (core ? "true" : "false") << "\n"
      << "  firstStart: " << (first_start_ ? "true" : "false") << "\n"
      << "  dataDirectory: " << (core ? "\"" + DataDirectory().string() + "\"" : "null") << "\n"
      << "  limits: {cpuShare: 1, processorCores: 1, memoryMb: " << options_.memory_mb
      << ", fileDescriptors: " << options_.file_descriptors
      << ", diskMb: " << (core ? options_.core_disk_mb : 0) << "}\n";
  if (!core)
    out << "  applicationAddress: " << at(ports.application()) << "\n"
        << "  service: " << options_.service << "\n";
  out << "network:\n  listenAddresses:\n    controlPlane: " << at(ports.control()) << "\n";
  if (!core)
    out << "    outbound: " << at(ports.outbound()) << "\n"
        << "    inbound: " << at(ports.inbound()) << "\n"
        << "    readiness: " << at(ports.readiness()) << "\n";
  if (options_.internal_listen.port != 0)
    out << "    internal: \"" << options_.internal_listen.Text() << "\"\n";
  out << "  internalPortRange: [" << ports.first_internal() << ", " << ports.last_internal() << "]\n"
      << "  seedNodes:\n";
  for (const std::string& ip : options_.seeds)
    out << "    - \"" << Address{ip, ports.control()}.Text() << "\"\n";
  out << "  zones: {here: here}\n"
      << "platformSettings: {heartbeatIntervalMs: 500}\n"
      << "contractTerms:\n"
      << "  faultTolerance: {machineLosses: 1}\n"
      << "  bounds: {drainMs: 1000, gracePeriodS: " << options_.grace_period_s << "}\n";
  return out.str();
}

std::filesystem::path NodeProcess::SettingsFile() const {
  return options_.folder / (options_.name + ".yaml");
}

void NodeProcess::WriteSettings(const std::string& settings) const {
  const auto next = options_.folder / (options_.name + ".yaml.next");
  std::ofstream(next) << settings;
  std::filesystem::rename(next, SettingsFile());
}

void NodeProcess::Reload(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::shuffle(options_.seeds.begin(), options_.seeds.end(), random);
  WriteSettings(Settings());
  Signal(SIGHUP);
}

bool NodeProcess::Start() { return StartWithSettings(Settings()); }

bool NodeProcess::StartWithSettings(const std::string& settings) {
  WriteSettings(settings);
  return Spawn();
}

bool NodeProcess::StartSuccessor() {
  predecessor_.Kill();
  predecessor_ = std::exchange(current_, {});
  return Start();
}

bool NodeProcess::Spawn() {
  if (options_.role == Role::kCore) std::filesystem::create_directories(DataDirectory());
  const std::string log = (options_.folder / (options_.name + ".log")).string();
  const std::string variable = "FENNELHOLLOW_CONFIG=" + SettingsFile().string();
  first_start_ = false;
  current_ = {};
  std::vector<const char*> arguments = {options_.program.c_str()};
  for (const std::string& argument : options_.arguments) arguments.push_back(argument.c_str());
  arguments.push_back(nullptr);
  const std::vector<const char*> environment = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
  const pid_t parent = ::getpid();
  current_.pid = ::fork();
  if (current_.pid != 0) return current_.pid > 0;
  // Child process: dies with its parent.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::close_range(3, ~0U, 0);
  SetLimits(options_.limits);
  ::execve(options_.program.c_str(), const_cast<char* const*>(arguments.data()),
           const_cast<char* const*>(environment.data()));
  ::_exit(127);
}

std::size_t NodeProcess::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(current_.pid) + "/fd", error);
  if (error || !runs()) return 0;
  return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

void NodeProcess::Signal(int signal) const {
  if (current_.pid > 0) ::kill(current_.pid, signal);
}

void NodeProcess::SetDiskFull(bool full) const {
  if (current_.pid <= 0) return;
  rlimit limit{};
  if (::prlimit(current_.pid, RLIMIT_FSIZE, nullptr, &limit) != 0) return;
  limit.rlim_cur = full ? 0 : limit.rlim_max;
  ::prlimit(current_.pid, RLIMIT_FSIZE, &limit, nullptr);
}

std::uint64_t NodeProcess::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(current_.pid) + "/statm");
  std::uint64_t total_pages = 0, resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::uint64_t NodeProcess::UnreadBytes() const {
  if (!runs()) return 0;
  const std::set<std::uint64_t> inodes = SocketInodes(current_.pid);
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);  // the column names
  std::uint64_t unread = 0;
  while (std::getline(file, line)) {
    std::istringstream columns(line);
    std::string slot, local, remote, state, queues, timer, retransmits;
    std::uint64_t user = 0, timeout = 0, inode = 0;
    columns >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
    if (!columns || state == kListening || !inodes.contains(inode)) continue;
    unread += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return unread;
}

bool NodeProcess::HandlesSignals() const {
  if (current_.pid <= 0) return false;
  std::ifstream status("/proc/" + std::to_string(current_.pid) + "/status");
  const auto bit = [](int signal) { return std::uint64_t{1} << (signal - 1); };
  const std::uint64_t wanted = bit(SIGTERM) | bit(SIGHUP);
  for (std::string line; std::getline(status, line);)
    if (line.rfind(kCaughtSignals, 0) == 0)
      return (std::stoull(line.substr(kCaughtSignals.size()), nullptr, 16) & wanted) == wanted;
  return false;
}

std::string NodeProcess::Log() const {
  std::ifstream file(options_.folder / (options_.name + ".log"));
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace fennelhollow::rig
