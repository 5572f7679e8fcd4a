// Protocol between the outbound proxy of a caller and the inbound proxy of a server. A link carries one
// attempt at a time, so that a slow reader delays its own response only and a reset affects a single request.
// The first byte of a frame is its FrameType, followed by the cereal encoding of the matching struct.
#ifndef FENNELHOLLOW_MESH_INGRESS_ATTEMPT_PROTOCOL_HPP_
#define FENNELHOLLOW_MESH_INGRESS_ATTEMPT_PROTOCOL_HPP_

#include <absl/status/statusor.h>

#include <cereal/types/utility.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mesh/transport/codec.hpp"

namespace fennelhollow::ingress {

using Headers = std::vector<std::pair<std::string, std::string>>;

enum class FrameType : std::uint8_t {
  kHello = 0,     // inbound to outbound proxy, once per link: Hello with the sender's incarnation
  kAttempt,       // outbound to inbound proxy
  kBodyChunk,     // continues a request or response body
  kResponseHead,  // inbound to outbound proxy: the response starts
  kRejected,      // the attempt was not forwarded to the server and never will be
  kReset,         // the attempt was forwarded; its response is missing or incomplete
  kStatusQuery,   // outbound to inbound proxy: was this attempt forwarded?
  kStatusReply,
};

// Identifies an attempt across all outbound proxies and their restarts.
struct AttemptKey {
  std::uint64_t incarnation = 0;  // of the outbound proxy's process
  std::uint64_t sequence = 0;
  auto operator<=>(const AttemptKey&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(incarnation, sequence);
  }
};

struct Attempt {
  AttemptKey attempt_key;
  std::string server;  // id of the server instance
  std::string method, target;
  Headers headers;                   // as sent to the server, without the body's framing
  std::string body;                  // the first chunk if `body_follows`
  bool body_follows = false;         // kBodyChunk frames carry the rest of the body
  std::int64_t remaining_ms = 0;     // until the caller's deadline
  std::int64_t max_queue_ms = 0;     // longest wait in the admission queue before the attempt is rejected
  bool unsafe = false;               // not safe to execute twice
  bool may_have_run_before = false;  // an earlier attempt of the request may have been executed
  std::int64_t due_ms = 0;           // until the response misses its latency target
  std::string route;                 // its name in the configuration; part of the flow
  std::uint8_t priority = 0;         // 0 is highest; part of the flow
  template <class Archive>
  void serialize(Archive& a) {
    a(attempt_key, server, method, target, headers, body, body_follows, remaining_ms, max_queue_ms, unsafe,
      may_have_run_before, due_ms, route, priority);
  }
};

struct BodyChunk {
  std::string bytes;
  bool end = false;
  template <class Archive>
  void serialize(Archive& a) {
    a(bytes, end);
  }
};

struct ResponseHead {
  std::uint16_t status = 0;
  Headers headers;  // without hop-by-hop headers and the body's framing
  std::string body;
  bool end = false;                  // `body` is the whole body
  std::int64_t content_length = -1;  // of the whole body in bytes; -1 if unknown
  bool executed = true;              // false: the server states that it did not execute the request
  template <class Archive>
  void serialize(Archive& a) {
    a(status, headers, body, end, content_length, executed);
  }
};

enum class RejectReason : std::uint8_t {
  kUnknownInstance = 1,
  kDraining,
  kQueueFull,  // the queue is full, or the attempt would not leave it before its queue deadline
  kUnreachable,
  kWithdrawn,  // a status query was answered with "not forwarded"
  kDeadlineExceeded,
  kShuttingDown,
  kQueueTimeout,
  kEvicted,  // removed from the queue in favor of other attempts
};
// Whether the server lacked capacity for the attempt.
constexpr bool LacksCapacity(RejectReason reason) {
  return reason == RejectReason::kQueueFull || reason == RejectReason::kQueueTimeout ||
         reason == RejectReason::kEvicted;
}
// The reason's name in metrics.
constexpr std::string_view NameOf(RejectReason reason) {
  switch (reason) {
    case RejectReason::kUnknownInstance:
      return "not_here";
    case RejectReason::kDraining:
      return "draining";
    case RejectReason::kQueueFull:
      return "full";
    case RejectReason::kUnreachable:
      return "unreachable";
    case RejectReason::kWithdrawn:
      return "withdrawn";
    case RejectReason::kDeadlineExceeded:
      return "late";
    case RejectReason::kShuttingDown:
      return "leaving";
    case RejectReason::kQueueTimeout:
      return "waited_out";
    case RejectReason::kEvicted:
      return "evicted";
  }
  return "unknown";
}
struct Rejected {
  std::uint8_t reason = 0;  // a RejectReason
  template <class Archive>
  void serialize(Archive& a) {
    a(reason);
  }
};
struct Reset {
  bool malformed = false;  // the server sent bytes that are not a valid response to the attempt
  template <class Archive>
  void serialize(Archive& a) {
    a(malformed);
  }
};
struct StatusQuery {
  AttemptKey attempt_key;
  template <class Archive>
  void serialize(Archive& a) {
    a(attempt_key);
  }
};
struct StatusReply {
  bool forwarded = true;  // false: the attempt was not forwarded and never will be
  template <class Archive>
  void serialize(Archive& a) {
    a(forwarded);
  }
};

template <class T>
std::string Encode(FrameType type, const T& value) {
  std::string out(1, static_cast<char>(type));
  out += transport::Pack(value);
  return out;
}
inline std::string Encode(FrameType type) { return std::string(1, static_cast<char>(type)); }
inline FrameType TypeOf(std::string_view frame) {
  return frame.empty() ? FrameType::kStatusReply : static_cast<FrameType>(frame.front());
}
template <class T>
absl::StatusOr<T> Decode(std::string_view frame) {
  return transport::Unpack<T>(frame.substr(1));
}

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_ATTEMPT_PROTOCOL_HPP_
