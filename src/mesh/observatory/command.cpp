#include "mesh/observatory/command.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fennelhollow::observatory {
namespace {

constexpr std::string_view kBeatPath = "/-/Instances.Heartbeat/";
constexpr std::string_view kDeparturePath = "/-/Instances.Departure/";

// Ids go on into lists and logs: one path segment, without blanks and control characters.
bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMostId &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f && c != '/'; });
}

}  // namespace

Command Decode(std::string_view method, std::string_view target, std::string body) {
  const std::string_view path = target.substr(0, target.find('?'));
  const bool post = method == "POST";
  const bool get = method == "GET";
  if (path.starts_with(kBeatPath)) {
    const std::string_view id = path.substr(kBeatPath.size());
    if (!IsId(id) || !post) return Unknown{IsId(id)};
    return Beat{std::string(id), std::move(body)};
  }
  if (path.starts_with(kDeparturePath)) {
    const std::string_view id = path.substr(kDeparturePath.size());
    if (!IsId(id) || !post) return Unknown{IsId(id)};
    return Departure{std::string(id)};
  }
  if (path == "/-/Configuration.Replace") return post ? Command(Replace{std::move(body)}) : Unknown{true};
  if (path == "/-/Configuration.Modify") return post ? Command(Modify{std::move(body)}) : Unknown{true};
  if (path == "/-/Configuration.Read") return get ? Command(Read{}) : Unknown{true};
  if (path == "/-/Status") return get ? Command(Status{}) : Unknown{true};
  return Unknown{false};
}

Answer Refusal(unsigned status, std::string_view line) {
  Answer out;
  out.status = status;
  // What callers sent may be quoted in the line, and need not be UTF-8.
  out.body = nlohmann::json{{"error", line}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return out;
}

Answer TryAgain(std::string_view line) {
  Answer out = Refusal(503, line);
  out.headers.emplace_back("Retry-After", "0.2");
  return out;
}

}  // namespace fennelhollow::observatory
