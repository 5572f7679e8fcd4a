// What the two hops of a request say to each other (standard term: proxy-to-proxy protocol). A link carries
// one attempt at a time, so a slow reader holds up nothing but its own answer, and a reset takes one request
// with it. The first byte of a frame is its Word, the rest is cereal.
#ifndef FENNELHOLLOW_MESH_INGRESS_PROXY_PROTOCOL_HPP_
#define FENNELHOLLOW_MESH_INGRESS_PROXY_PROTOCOL_HPP_

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

enum class Word : std::uint8_t {
  kHello = 0,  // last hop to outbound, once a link: Hello with its life
  kAttempt,    // outbound to last hop
  kPiece,      // more of a body, either way
  kHead,       // last hop to outbound: an answer begins
  kTurned,     // it was not passed on, and never will be
  kBroken,     // it was passed on; no answer will come, or no more of it
  kAsk,        // outbound to last hop: was this attempt passed on?
  kTold,       // the answer
};

// An attempt of an outbound sidecar's life.
struct Ticket {
  std::uint64_t life = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Ticket&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(life, number);
  }
};

struct Attempt {
  Ticket ticket;
  std::string server;  // the life of a server that it is meant for
  std::string method, target;
  Headers headers;           // as they go to the server, but for the body's framing
  std::string body;          // or its first piece
  bool more = false;         // pieces follow
  std::int64_t left_ms = 0;  // until its caller has no use for an answer
  std::int64_t wait_ms = 0;  // that it may wait for room at the server before it is turned away
  bool unsafe = false;
  bool repeat = false;      // an earlier attempt of the request may have run
  std::int64_t due_ms = 0;  // until its answer is late
  std::string route;        // its name in the configuration; with the priority, its flow
  std::uint8_t priority = 0;
  template <class Archive>
  void serialize(Archive& a) {
    a(ticket, server, method, target, headers, body, more, left_ms, wait_ms, unsafe, repeat, due_ms, route,
      priority);
  }
};

struct Piece {
  std::string bytes;
  bool end = false;
  template <class Archive>
  void serialize(Archive& a) {
    a(bytes, end);
  }
};

struct Head {
  std::uint16_t status = 0;
  Headers headers;  // without those of the connection and the body's framing
  std::string body;
  bool end = false;          // that was all of it
  std::int64_t length = -1;  // of the whole body; -1 = not told
  bool executed = true;      // false: the server says that it did not run it
  template <class Archive>
  void serialize(Archive& a) {
    a(status, headers, body, end, length, executed);
  }
};

enum class Why : std::uint8_t {
  kNotHere = 1,
  kDraining,
  kFull,  // it would not have room in time
  kUnreachable,
  kWithdrawn,
  kLate,
  kLeaving,
  kWaitedOut,  // it had no room in time
  kEvicted,    // it waited and gave way to others
};
// For want of room at the server.
constexpr bool IsFull(Why why) { return why == Why::kFull || why == Why::kWaitedOut || why == Why::kEvicted; }
// Its name in metrics.
constexpr std::string_view NameOf(Why why) {
  switch (why) {
    case Why::kNotHere:
      return "not_here";
    case Why::kDraining:
      return "draining";
    case Why::kFull:
      return "full";
    case Why::kUnreachable:
      return "unreachable";
    case Why::kWithdrawn:
      return "withdrawn";
    case Why::kLate:
      return "late";
    case Why::kLeaving:
      return "leaving";
    case Why::kWaitedOut:
      return "waited_out";
    case Why::kEvicted:
      return "evicted";
  }
  return "unknown";
}
struct Turned {
  std::uint8_t why = 0;
  template <class Archive>
  void serialize(Archive& a) {
    a(why);
  }
};
struct Broken {
  bool garbled = false;  // bytes that were no answer to it
  template <class Archive>
  void serialize(Archive& a) {
    a(garbled);
  }
};
struct Ask {
  Ticket ticket;
  template <class Archive>
  void serialize(Archive& a) {
    a(ticket);
  }
};
struct Told {
  bool passed_on = true;  // false: it was not, and never will be
  template <class Archive>
  void serialize(Archive& a) {
    a(passed_on);
  }
};

template <class T>
std::string Say(Word word, const T& value) {
  std::string out(1, static_cast<char>(word));
  out += transport::Pack(value);
  return out;
}
inline std::string Say(Word word) { return std::string(1, static_cast<char>(word)); }
inline Word WordOf(std::string_view frame) {
  return frame.empty() ? Word::kTold : static_cast<Word>(frame.front());
}
template <class T>
absl::StatusOr<T> Heard(std::string_view frame) {
  return transport::Unpack<T>(frame.substr(1));
}

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_PROXY_PROTOCOL_HPP_
