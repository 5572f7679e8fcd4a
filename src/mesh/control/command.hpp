// Parsing of HTTP requests to the control plane, and its responses. No I/O.
#ifndef FENNELHOLLOW_MESH_CONTROL_COMMAND_HPP_
#define FENNELHOLLOW_MESH_CONTROL_COMMAND_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace fennelhollow::control {

struct InstanceHeartbeat {
  std::string id;
  std::string json;
};
struct InstanceDeparture {
  std::string id;
};
struct Replace {
  std::string body;
};
struct Modify {
  std::string body;
};
struct Read {};
struct Status {};
// Reads a core's event log (push/events.hpp).
struct ReadEvents {
  std::uint64_t epoch = 0, since = 0;
  std::int64_t wait_ms = 0;  // at most kMaxEventWaitMs
  bool malformed = false;    // the query string is invalid
};
// Unknown path, or unsupported method.
struct Unknown {
  bool method_not_allowed = false;
};
using Command =
    std::variant<InstanceHeartbeat, InstanceDeparture, Replace, Modify, Read, Status, ReadEvents, Unknown>;

// Longer instance ids are rejected.
inline constexpr std::size_t kMaxInstanceIdBytes = 256;

inline constexpr std::int64_t kMaxEventWaitMs = 10'000;

// `target` is the request target with its query string, which is ignored except for Events.Read.
Command ParseCommand(std::string_view method, std::string_view target, std::string body);

inline constexpr std::string_view kReplacePath = "/-/Configuration.Replace";
inline constexpr std::string_view kModifyPath = "/-/Configuration.Modify";
inline constexpr std::string_view kReadPath = "/-/Configuration.Read";

// An HTTP response with a JSON body.
struct Response {
  unsigned status = 200;
  std::string body = "{}";
  std::vector<std::pair<std::string, std::string>> headers;  // Location, Retry-After
};

// With the body {"error":"line"}.
Response ErrorResponse(unsigned status, std::string_view line);
// 503 with Retry-After: the caller should repeat the call unchanged.
Response UnavailableResponse(std::string_view line);
// 307 to `address` (ip:port).
Response RedirectResponse(const std::string& address, std::string_view path);

}  // namespace fennelhollow::control

#endif  // FENNELHOLLOW_MESH_CONTROL_COMMAND_HPP_
