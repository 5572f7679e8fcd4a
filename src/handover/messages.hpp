// What an old and a new process of one sidecar say to each other, and how they share its limits. Free of I/O.
#ifndef MERLINRUN_HANDOVER_MESSAGES_HPP_
#define MERLINRUN_HANDOVER_MESSAGES_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace merlinrun::handover {

inline constexpr int kVersion = 1;
inline constexpr std::size_t kMostMessage = 512;  // bytes; a longer one is cut and so not read

// What the old process says: at first with its listening descriptor, then each time as it gives back.
struct HeldResources {
  bool evacuated = false;   // its clients were told to go elsewhere
  std::size_t sockets = 0;  // descriptors that it holds
  std::size_t memory = 0;   // bytes of bodies and answers that it holds
};

std::string Write(const HeldResources& holding);
// Empty, with one line in `error`, for what is cut, foreign or of another version.
std::optional<HeldResources> ParseHeldResources(std::string_view message, std::string& error);

// The one thing that the new process says.
inline constexpr std::string_view kServing = "serving";

// What a newcomer needs before it serves: standard streams, the loop's own, signals, discovery's watch, the
// channel, the listeners and the second address's callers.
inline constexpr std::size_t kNewcomer = 48;

// What one of two processes may hold of a limit of which the other holds `others`; at least `least`, as a
// process with nothing serves nobody.
constexpr std::size_t Left(std::size_t limit, std::size_t others, std::size_t least) {
  return limit > others + least ? limit - others : least;
}

// The path of the socket at which the process that listens on `address` is found; empty if `folder` is, or if
// the path is longer than a socket's may be.
std::string PathFor(const std::string& folder, const std::string& address);

}  // namespace merlinrun::handover

#endif  // MERLINRUN_HANDOVER_MESSAGES_HPP_
