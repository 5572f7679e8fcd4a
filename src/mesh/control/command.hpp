// Calls to the control plane's address, decoded. Free of I/O.
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
  std::string body;
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
// Of a core: what it saw happen (push/events.hpp).
struct ReadEvents {
  std::uint64_t epoch = 0, since = 0;
  std::int64_t wait_ms = 0;  // at most kMaxEventWaitMs
  bool malformed = false;    // the query can't be read
};
// No such path, or not with this method.
struct Unknown {
  bool method_not_allowed = false;
};
using Command =
    std::variant<InstanceHeartbeat, InstanceDeparture, Replace, Modify, Read, Status, ReadEvents, Unknown>;

// An id longer than this is no server's.
inline constexpr std::size_t kMaxInstanceIdBytes = 256;

inline constexpr std::int64_t kMaxEventWaitMs = 10'000;

// `target` as the request line has it; a query is passed over, but for Events.Read.
Command ParseCommand(std::string_view method, std::string_view target, std::string body);

inline constexpr std::string_view kReplacePath = "/-/Configuration.Replace";
inline constexpr std::string_view kModifyPath = "/-/Configuration.Modify";
inline constexpr std::string_view kReadPath = "/-/Configuration.Read";

// What a call is answered with; the body is JSON.
struct Response {
  unsigned status = 200;
  std::string body = "{}";
  std::vector<std::pair<std::string, std::string>> headers;  // Location, Retry-After
};

// {"error":"line"} with this status.
Response ErrorResponse(unsigned status, std::string_view line);
// 503: nobody can say now; the caller is to repeat the call unchanged.
Response UnavailableResponse(std::string_view line);
// 307: the caller is to repeat the call unchanged at `address` (ip:port).
Response RedirectResponse(const std::string& address, std::string_view path);

}  // namespace fennelhollow::control

#endif  // FENNELHOLLOW_MESH_CONTROL_COMMAND_HPP_
