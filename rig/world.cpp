#include "rig/world.hpp"

#include <stdexcept>
#include <utility>
#include <variant>

#include "net/config.hpp"

namespace merlinrun::rig {
namespace {

constexpr std::size_t kMostServers = 1000;

nlohmann::json ClassJson(const WorkClass& c) {
  const char* const repeat = c.repeat == Repeat::kSafe           ? "idempotent"
                             : c.repeat == Repeat::kDeduplicated ? "deduplicated"
                                                                 : "at_most_once";
  return {{"name", c.name},    {"aim_us", c.deadline / 2}, {"hard_limit_us", c.deadline},
          {"importance", 1.0}, {"repeat", repeat},         {"group", "zone"},
          {"late_value", 0.5}, {"window_us", 12'000'000},  {"stream", false}};
}

nlohmann::json SettingsJson(const std::vector<WorkClass>& classes) {
  nlohmann::json grades = nlohmann::json::array();
  for (const WorkClass& c : classes) grades.push_back(ClassJson(c));
  return {{"allowed",
           {{"cancel", true},
            {"conn_idle_us", 60'000'000},
            {"dial_timeout_us", 250'000},
            {"max_attempts", 5},
            {"retry_after", true},
            {"max_retry_after_us", 2'000'000}}},
          {"azs", {"east", "west"}},
          {"host_types", {"std"}},
          {"my_zone", "east"},
          {"grades", grades},
          {"membership_mode", "automatic"},
          {"quantum_us", 5000},
          {"rank", 0},
          {"siblings", 1},
          {"rules",
           {{"drain_grace_us", 500'000},
            {"cold_from", 0.32},
            {"warm_after_us", 8'900'000},
            {"overload_factor", 4.0},
            {"fall_us", 2'000'000}}},
          {"tenants", nlohmann::json::array()}};
}

}  // namespace

std::vector<WorkClass> ShortClasses() {
  return {{"sim-lookup", Repeat::kSafe, 4'000, 3'000'000, 40},
          {"plan-check", Repeat::kSafe, 6'000, 6'000'000, 28},
          {"activate", Repeat::kDeduplicated, 8'000, 6'000'000, 22},
          {"number-port", Repeat::kNever, 12'000, 5'000'000, 10}};
}

World::World(std::vector<WorkClass> its_classes, int count, ServerOptions options,
             const std::string& diameter_file)
    : loop(io), classes(std::move(its_classes)), discovery(io, loop, ledger) {
  east.name = "east";
  west.name = "west";
  auto read = diameter::ParseApplication(diameter_file, "diameter.toml", ModuleSettings(), "n0");
  if (const auto* error = std::get_if<std::string>(&read)) throw std::invalid_argument(*error);
  application = std::get<diameter::Application>(std::move(read));
  if (static_cast<std::size_t>(count) > kMostServers) throw std::invalid_argument("too many servers");
  for (int i = 0; i < count; ++i) {
    options.id = "s-" + std::to_string(i);
    servers.push_back(
        std::make_unique<Server>(io, loop, ledger, i % 2 == 0 ? east : west, classes, application, options));
    discovery.Set(*servers.back(), "up");
  }
}

nlohmann::json World::Config() const {
  const Tcp::endpoint at = discovery.address();
  return {{"name", "n0"},
          {"listen", "127.0.0.1:1"},
          {"discovery", at.address().to_string() + ":" + std::to_string(at.port())},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", discovery.List()},
          {"settings", SettingsJson(classes)}};
}

Settings World::ModuleSettings() const {
  return drill::ParseSettings(net::Flatten(SettingsJson(classes))).settings;
}

bool World::RunUntil(const std::function<bool()>& done, std::chrono::seconds most) {
  const auto end = std::chrono::steady_clock::now() + most;
  io.restart();
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io.run_one_for(std::chrono::milliseconds(20));
    if (io.stopped()) io.restart();
  }
  return true;
}

void World::RunFor(std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  RunUntil([&] { return std::chrono::steady_clock::now() >= end; });
}

}  // namespace merlinrun::rig
