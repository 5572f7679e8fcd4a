// Reads batches from standard input and writes one flushed reply per batch to standard output.
// Exit status: 0 at the end of input, 1 if a reply cannot be written, 2 on malformed input.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "host.hpp"

namespace {

constexpr std::size_t kReadSize = std::size_t{1} << 18;

bool WriteAll(std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

int Serve() {
  merlinrun::drill::Host host;
  std::vector<char> chunk(kReadSize);
  std::string partial;  // an incomplete line
  for (;;) {
    const ssize_t got = ::read(STDIN_FILENO, chunk.data(), chunk.size());
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) {
      std::fprintf(stderr, "read: %s\n", std::strerror(errno));
      return 2;
    }
    if (got == 0) break;
    std::string_view rest(chunk.data(), static_cast<std::size_t>(got));
    for (std::size_t end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n')) {
      std::string_view line = rest.substr(0, end);
      if (!partial.empty()) line = partial.append(line);
      if (host.ProcessLine(line) && !WriteAll(host.reply())) return 1;
      partial.clear();
      rest.remove_prefix(end + 1);
    }
    partial.append(rest);
  }
  if (!partial.empty()) host.ProcessLine(partial);  // reports an error in the truncated last line
  if (host.in_batch() || !partial.empty()) {
    std::fprintf(stderr, "the input ends within a batch\n");
    return 2;
  }
  return 0;
}

}  // namespace

int main() {
  try {
    return Serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "merlinrun_drill: %s\n", error.what());
    return 2;
  }
}
