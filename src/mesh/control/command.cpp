#include "mesh/control/command.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace fennelhollow::control {
namespace {

constexpr std::string_view kHeartbeatPath = "/-/Instances.Heartbeat/";
constexpr std::string_view kDeparturePath = "/-/Instances.Departure/";

// A path segment of printable ASCII without spaces, as ids are written to logs.
bool IsInstanceId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxInstanceIdBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f && c != '/'; });
}

// epoch=E&since=N&waitMs=W, all optional; other parameters are ignored.
ReadEvents ParseEventsQuery(std::string_view query) {
  ReadEvents out;
  while (!query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    const std::size_t equals = part.find('=');
    const std::string_view name = part.substr(0, equals);
    if (name != "epoch" && name != "since" && name != "waitMs") continue;
    const std::string_view text = equals == std::string_view::npos ? "" : part.substr(equals + 1);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
      out.malformed = true;
      return out;
    }
    if (name == "epoch") {
      out.epoch = value;
    } else if (name == "since") {
      out.since = value;
    } else {
      out.wait_ms = static_cast<std::int64_t>(std::min<std::uint64_t>(value, kMaxEventWaitMs));
    }
  }
  return out;
}

}  // namespace

Command ParseCommand(std::string_view method, std::string_view target, std::string body) {
  const std::string_view path = target.substr(0, target.find('?'));
  const bool post = method == "POST";
  const bool get = method == "GET";
  if (path.starts_with(kHeartbeatPath)) {
    const std::string_view id = path.substr(kHeartbeatPath.size());
    if (!IsInstanceId(id) || !post) return Unknown{IsInstanceId(id)};
    return InstanceHeartbeat{std::string(id), std::move(body)};
  }
  if (path.starts_with(kDeparturePath)) {
    const std::string_view id = path.substr(kDeparturePath.size());
    if (!IsInstanceId(id) || !post) return Unknown{IsInstanceId(id)};
    return InstanceDeparture{std::string(id)};
  }
  if (path == kReplacePath) return post ? Command(Replace{std::move(body)}) : Unknown{true};
  if (path == kModifyPath) return post ? Command(Modify{std::move(body)}) : Unknown{true};
  if (path == kReadPath) return get ? Command(Read{}) : Unknown{true};
  if (path == "/-/Status") return get ? Command(Status{}) : Unknown{true};
  if (path == "/-/Events.Read") {
    if (!get) return Unknown{true};
    return ParseEventsQuery(target.substr(std::min(target.size(), path.size() + 1)));
  }
  return Unknown{false};
}

Response ErrorResponse(unsigned status, std::string_view line) {
  Response out;
  out.status = status;
  // The line may quote input from callers, which need not be valid UTF-8.
  out.body = nlohmann::json{{"error", line}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return out;
}

Response UnavailableResponse(std::string_view line) {
  Response out = ErrorResponse(503, line);
  out.headers.emplace_back("Retry-After", "0.2");
  return out;
}

Response RedirectResponse(const std::string& address, std::string_view path) {
  return {307, "{}", {{"Location", "http://" + address + std::string(path)}}};
}

}  // namespace fennelhollow::control
