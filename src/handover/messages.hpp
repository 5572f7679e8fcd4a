// Messages of the hot restart protocol between the running process of a sidecar and its successor, and how
// both share the limits of the sidecar. Does no I/O.
#ifndef MERLINRUN_HANDOVER_MESSAGES_HPP_
#define MERLINRUN_HANDOVER_MESSAGES_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace merlinrun::handover {

inline constexpr int kVersion = 1;
inline constexpr std::size_t kMaxMessageBytes = 512;  // longer messages are truncated and so rejected

// What the running process still holds. Sent with the listening descriptor first, then periodically during
// the handover.
struct HeldResources {
  bool evacuated = false;       // by the operator
  std::size_t descriptors = 0;  // open file descriptors
  std::size_t memory = 0;       // bytes of buffered bodies
};

std::string Serialize(const HeldResources& held_resources);
// Returns nullopt and sets `error` if the message is truncated, foreign or of another version.
std::optional<HeldResources> ParseHeldResources(std::string_view message, std::string& error);

// The only message of the successor: it serves now.
inline constexpr std::string_view kServing = "serving";

// File descriptors that a successor needs before it serves: standard streams, event loop, signals, discovery,
// the channel, listeners and the operators' connections.
inline constexpr std::size_t kSuccessorDescriptors = 48;

// The part of a limit that remains for one process while the other holds `others`; at least `minimum`, as a
// process that may hold nothing could serve no client.
constexpr std::size_t RemainingShare(std::size_t limit, std::size_t others, std::size_t minimum) {
  return limit > others + minimum ? limit - others : minimum;
}

// The path of the handover socket of the process that listens on `address`; empty if `folder` is empty or the
// path is too long for a Unix socket.
std::string SocketPath(const std::string& folder, const std::string& address);

}  // namespace merlinrun::handover

#endif  // MERLINRUN_HANDOVER_MESSAGES_HPP_
