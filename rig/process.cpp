#include "rig/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>
#include <vector>

#include "net/address.hpp"

namespace merlinrun::rig {

std::filesystem::path MakeTempDirectory() {
  static std::atomic<int> count = 0;
  const auto folder = std::filesystem::temp_directory_path() /
                      ("fennelhollow-rig-" + std::to_string(::getpid()) + "-" + std::to_string(++count));
  std::filesystem::create_directory(folder);
  return folder;
}

Tcp::endpoint ParseEndpoint(const std::string& address) { return net::ParseAddress(address).value(); }

Process::Process(const std::string& program, const TestEnvironment& env, const Options& options)
    : folder_(MakeTempDirectory()) {
  std::ofstream(folder_ / "config.json") << (options.config.empty() ? env.Config() : options.config);
  std::ofstream(folder_ / "trace.toml") << options.trace;
  std::ofstream(folder_ / "fleet.toml") << options.fleet;
  WriteZoneOverrides("");
  std::ofstream(folder_ / "diameter.toml") << options.diameter_file;
  std::vector<std::string> environment = {"EDGE_CONFIG=" + (folder_ / "config.json").string(),
                                          "EDGE_LISTEN=" + options.listen};
  if (!options.ops.empty()) environment.push_back("EDGE_OPS=" + options.ops);
  if (!options.tmpdir.empty()) environment.push_back("TMPDIR=" + options.tmpdir);
  if (!options.diameter_file.empty())
    environment.push_back("EDGE_DIAMETER=" + (folder_ / "diameter.toml").string());
  if (!options.trace.empty()) environment.push_back("EDGE_TRACE=" + (folder_ / "trace.toml").string());
  environment.push_back("EDGE_ZONES=" + (folder_ / "zones.toml").string());
  if (!options.fleet.empty()) environment.push_back("EDGE_FLEET=" + (folder_ / "fleet.toml").string());
  std::vector<char*> pointers;
  for (std::string& variable : environment) pointers.push_back(variable.data());
  pointers.push_back(nullptr);
  std::string name = program;
  char* arguments[] = {name.data(), nullptr};
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  if (!options.trace.empty())
    ::posix_spawn_file_actions_addopen(&files, 2, (folder_ / "log").c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                       0600);
  // The child must not inherit the listeners of the test servers: it would keep accepting connections after
  // they are closed.
  ::posix_spawn_file_actions_addclosefrom_np(&files, 3);
  if (::posix_spawn(&pid_, program.c_str(), &files, nullptr, arguments, pointers.data()) != 0) pid_ = -1;
  ::posix_spawn_file_actions_destroy(&files);
}

Process::~Process() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  std::filesystem::remove_all(folder_);
}

bool Process::runs() const { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }

void Process::Signal(int signal) const { ::kill(pid_, signal); }

void Process::WriteZoneOverrides(const std::string& text) const {
  std::ofstream(folder_ / "zones.toml") << text;
}

int Process::Wait(TestEnvironment& env) {
  int status = 0;
  const auto ended = [&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; };
  if (!env.RunUntil(ended, std::chrono::seconds(20))) return -1;
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::size_t Process::descriptors() const {
  std::error_code gone;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/fd", gone);
  return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

double Process::cpu() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;  // skips to the 14th field, utime (proc(5))
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) * 1e6 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::string Process::Log(std::size_t last) const {
  std::ifstream file(folder_ / "log", std::ios::ate);
  if (!file) return {};
  const auto size = static_cast<std::size_t>(file.tellg());
  std::string text(std::min(size, last), '\0');
  file.seekg(static_cast<std::streamoff>(size - text.size()));
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  return text;
}

long Process::memory() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);)
    if (line.rfind("VmRSS:", 0) == 0) return std::stol(line.substr(6));
  return 0;
}

HttpReply HttpCall(const std::string& address, const std::string& method, const std::string& path) {
  namespace http = boost::beast::http;
  boost::asio::io_context io;
  Tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(ParseEndpoint(address), error);
  if (error) return {};
  http::request<http::empty_body> request(http::string_to_verb(method), path, 11);
  http::write(socket, request, error);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  if (!error) http::read(socket, buffer, response, error);
  return error ? HttpReply{} : HttpReply{response.result_int(), response.body()};
}

bool WaitForReady(TestEnvironment& env, const std::string& ops) {
  return env.RunUntil([&] { return HttpCall(ops, "GET", "/api/ready").status == 200; },
                      std::chrono::seconds(10));
}

bool WaitForListener(TestEnvironment& env, const Tcp::endpoint& address) {
  return env.RunUntil(
      [&] {
        Tcp::socket socket(env.io);
        boost::system::error_code error;
        socket.connect(address, error);
        return !error;
      },
      std::chrono::seconds(10));
}

}  // namespace merlinrun::rig
