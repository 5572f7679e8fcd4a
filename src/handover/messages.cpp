#include "handover/messages.hpp"

#include <sys/un.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace merlinrun::handover {
namespace {

using Json = nlohmann::json;
constexpr const char* kProgram = "fennelhollow";

// Rejects negative and huge counts, which would disable the limits.
std::optional<std::size_t> ReadCount(const Json& json, const char* name) {
  const auto it = json.find(name);
  constexpr std::uint64_t kMaxCount = std::uint64_t{1} << 40;
  if (it == json.end() || !it->is_number_unsigned() || it->get<std::uint64_t>() > kMaxCount)
    return std::nullopt;
  return it->get<std::size_t>();
}

}  // namespace

std::string Serialize(const HeldResources& held_resources) {
  return Json{{"program", kProgram},
              {"version", kVersion},
              {"evacuated", held_resources.evacuated},
              {"sockets", held_resources.descriptors},
              {"memory", held_resources.memory}}
      .dump();
}

std::optional<HeldResources> ParseHeldResources(std::string_view message, std::string& error) {
  const Json json = Json::parse(message, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || json.value("program", Json()) != kProgram) {
    error = "not a message of this program";
    return std::nullopt;
  }
  if (json.value("version", Json()) != kVersion) {
    error = "a message of another version";
    return std::nullopt;
  }
  const auto descriptors = ReadCount(json, "sockets");
  const auto memory = ReadCount(json, "memory");
  const auto evacuated = json.find("evacuated");
  if (!descriptors || !memory || evacuated == json.end() || !evacuated->is_boolean()) {
    error = "a message that makes no sense";
    return std::nullopt;
  }
  return HeldResources{evacuated->get<bool>(), *descriptors, *memory};
}

std::string SocketPath(const std::string& folder, const std::string& address) {
  if (folder.empty()) return "";
  std::string name = address;
  std::replace(name.begin(), name.end(), ':', '-');
  std::string path = folder + "/fennelhollow-" + name + ".sock";
  return path.size() < sizeof(sockaddr_un::sun_path) ? path : "";
}

}  // namespace merlinrun::handover
