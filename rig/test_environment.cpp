#include "rig/test_environment.hpp"

#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <utility>
#include <variant>

#include "net/config.hpp"

namespace merlinrun::rig {
namespace {

constexpr std::size_t kMaxServers = 1000;

// The example configuration in deploy/.
nlohmann::json Example() {
  return nlohmann::json::parse(
      net::ReadFile(std::string(FENNELHOLLOW_SOURCE) + "/deploy/config.example.json"));
}

// The example settings with the deadlines of the traffic classes.
nlohmann::json SettingsJson(const std::vector<TrafficClass>& classes) {
  nlohmann::json settings = Example().at("settings");
  for (nlohmann::json& grade : settings.at("grades"))
    for (const TrafficClass& c : classes)
      if (grade.at("name") == c.name) {
        grade["aim_us"] = c.deadline / 2;
        grade["hard_limit_us"] = c.deadline;
      }
  return settings;
}

}  // namespace

std::vector<TrafficClass> ShortClasses() {
  return {{"sim-lookup", RetrySafety::kSafe, 4'000, 3'000'000, 40},
          {"plan-check", RetrySafety::kSafe, 6'000, 6'000'000, 28},
          {"activate", RetrySafety::kDeduplicated, 8'000, 6'000'000, 22},
          {"number-port", RetrySafety::kNever, 12'000, 5'000'000, 10}};
}

// Each call uses a new loopback address, derived from pid and a counter, so that no other test or client
// socket takes the port before it is used.
std::string FreeAddress() {
  static std::atomic<unsigned> count = 0;
  const auto pid = static_cast<unsigned>(::getpid());
  const std::string host = "127." + std::to_string(64 + (pid >> 8) % 64) + "." + std::to_string(pid % 256) +
                           "." + std::to_string(1 + count++ % 250);
  boost::asio::io_context io;
  const Tcp::acceptor free_port(io, Tcp::endpoint(boost::asio::ip::make_address(host), 0));
  return net::FormatAddress(free_port.local_endpoint());
}

std::string ExampleDiameterFile(const std::string& listen) {
  std::string text = net::ReadFile(std::string(FENNELHOLLOW_SOURCE) + "/deploy/diameter.example.toml");
  const std::string address = "127.0.0.1:3868";
  return text.replace(text.find(address), address.size(), listen);
}

TestEnvironment::TestEnvironment(std::vector<TrafficClass> traffic_classes, int count, ServerOptions options,
                                 const std::string& diameter_file, int zone_count)
    : loop(io), classes(std::move(traffic_classes)), discovery(io, loop, checker) {
  east.name = "east";
  west.name = "west";
  south.name = "south";
  zones = {&east, &west};
  if (zone_count > 2) zones.push_back(&south);
  auto read = diameter::ParseApplication(diameter_file, "diameter.toml", ModuleSettings(), "n0");
  if (const auto* error = std::get_if<std::string>(&read)) throw std::invalid_argument(*error);
  application = std::get<diameter::Application>(std::move(read));
  if (static_cast<std::size_t>(count) > kMaxServers) throw std::invalid_argument("too many servers");
  for (int i = 0; i < count; ++i) {
    options.id = "s-" + std::to_string(i);
    servers.push_back(std::make_unique<Server>(io, loop, checker,
                                               *zones[static_cast<std::size_t>(i) % zones.size()], classes,
                                               application, options));
    discovery.Set(*servers.back(), "up");
  }
}

nlohmann::json TestEnvironment::Config() const {
  const Tcp::endpoint at = discovery.address();
  nlohmann::json config = Example();
  config["discovery"] = at.address().to_string() + ":" + std::to_string(at.port());
  config["known"] = discovery.List();
  config["settings"] = SettingsJson(classes);
  for (std::size_t i = 2; i < zones.size(); ++i) config["settings"]["azs"].push_back(zones[i]->name);
  return config;
}

Settings TestEnvironment::ModuleSettings() const {
  return drill::ParseSettings(net::FlattenSettings(SettingsJson(classes))).settings;
}

bool TestEnvironment::RunUntil(const std::function<bool()>& done, std::chrono::seconds most) {
  const auto end = std::chrono::steady_clock::now() + most;
  io.restart();
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io.run_one_for(std::chrono::milliseconds(20));
    if (io.stopped()) io.restart();
  }
  return true;
}

void TestEnvironment::RunFor(std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  RunUntil([&] { return std::chrono::steady_clock::now() >= end; });
}

}  // namespace merlinrun::rig
