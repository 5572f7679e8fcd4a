// Node processes on loopback addresses of their own, without servers and clients, for tests of processes.
#ifndef FENNELHOLLOW_TESTS_SOAK_NODES_HPP_
#define FENNELHOLLOW_TESTS_SOAK_NODES_HPP_

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "rig/mesh/await.hpp"
#include "rig/mesh/node_process.hpp"
#include "rig/mesh/shop.hpp"

namespace fennelhollow::rig {

inline constexpr milliseconds kPollInterval{20};
inline constexpr milliseconds kStartTimeout{10'000};
inline constexpr milliseconds kCallTimeout{2'000};
inline constexpr std::uint64_t kMebibyte = std::uint64_t{1} << 20;
inline constexpr int kCoreMemoryMb = 256, kCoreDiskMb = 256;
inline constexpr int kCores = 3;

// The program of the installation under test, or the one that was built.
inline std::string Program() {
  const char* program = std::getenv("FENNELHOLLOW_TEST_PROGRAM");
  return program != nullptr ? program : FENNELHOLLOW_NODE;
}

struct Nodes {
  Nodes() {
    std::string path = (std::filesystem::temp_directory_path() / "fennelhollow-fault-XXXXXX").string();
    REQUIRE(::mkdtemp(path.data()) != nullptr);
    folder = path;
    const std::string network = "127.14." + std::to_string(::getpid() % 250) + ".";
    for (int i = 0; i <= kCores; ++i) ips.push_back(network + std::to_string(11 + i));
    ports = FindPorts(ips);
    REQUIRE(ports.base != 0);
  }
  ~Nodes() {
    processes.clear();
    std::filesystem::remove_all(folder);
  }
  Nodes(const Nodes&) = delete;
  Nodes& operator=(const Nodes&) = delete;

  // The first addresses are those of the cores, the last one that of a sidecar. `seeds`: all cores if empty.
  NodeProcess::Options OptionsFor(NodeProcess::Role role, const ProcessLimits& limits,
                                  const std::vector<std::string>& seeds) const {
    const bool core = role == NodeProcess::Role::kCore;
    NodeProcess::Options options;
    options.program = Program();
    options.folder = folder;
    options.name = core ? "core-" + std::to_string(processes.size() + 1) : "sidecar";
    options.role = role;
    options.ip = core ? ips[processes.size()] : ips.back();
    options.service = core ? "" : kPlanService;
    options.ports = ports;
    options.seeds = seeds;
    if (seeds.empty()) options.seeds = {ips.begin(), ips.begin() + kCores};
    options.memory_mb = kCoreMemoryMb;
    options.core_disk_mb = kCoreDiskMb;
    options.limits = limits;
    return options;
  }
  NodeProcess& Add(NodeProcess::Role role, const ProcessLimits& limits = {},
                   const std::vector<std::string>& seeds = {}) {
    processes.push_back(std::make_unique<NodeProcess>(OptionsFor(role, limits, seeds)));
    return *processes.back();
  }

  // The status of the response; 0: none.
  unsigned Call(const Address& to, const Request& request, milliseconds timeout = kCallTimeout) {
    return Await(io,
                 [](asio::io_context& loop, Address address, Request call,
                    milliseconds at_most) -> asio::awaitable<unsigned> {
                   HttpConnection connection(loop, address);
                   const auto response = co_await connection.Call(std::move(call), at_most);
                   co_return response ? response->result_int() : 0;
                 }(io, to, request, timeout));
  }
  unsigned Get(const Address& from, const char* path) {
    return Call(from, MakeRequest(http::verb::get, path, kHost));
  }
  // The body of the response; empty: none.
  std::string BodyOf(const Address& from, const char* path) {
    return Await(io,
                 [](asio::io_context& loop, Address address, Request call) -> asio::awaitable<std::string> {
                   HttpConnection connection(loop, address);
                   const auto response = co_await connection.Call(std::move(call), kCallTimeout);
                   co_return response ? response->body() : std::string();
                 }(io, from, MakeRequest(http::verb::get, path, kHost)));
  }
  std::string StatusText(const NodeProcess& node) { return BodyOf(node.control(), "/-/Status"); }

  template <class Condition>
  bool Until(milliseconds timeout, Condition condition) {
    const auto until = Clock::now() + timeout;
    while (!condition()) {
      if (Clock::now() > until) return false;
      Pause(kPollInterval);
    }
    return true;
  }
  void Pause(milliseconds time) {
    asio::steady_timer timer(io, time);
    timer.wait();
  }
  bool Serves(const NodeProcess& node) { return Get(node.control(), "/-/Status") == 200; }

  asio::io_context io{1};
  std::filesystem::path folder;
  std::vector<std::string> ips;
  Ports ports;
  std::vector<std::unique_ptr<NodeProcess>> processes;
};

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_TESTS_SOAK_NODES_HPP_
