// fennelhollow_soak: real processes of the mesh on loopback under drawn faults, judged by a ledger. Exit
// status: 0 if nothing was broken, 1 if something was, 2 for arguments that make no sense.
//
//   fennelhollow_soak PROGRAM [--seed N] [--for SECONDS] [--seeds COUNT] [--jobs N] [--verbose]
//
// --seed repeats a run: the same faults are drawn at the same times. The processes' own timing is real, so
// what comes of them may differ. --seeds plays so many from that one on, --jobs of them side by side.
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include "rig/soak/run.hpp"

namespace {

using fennelhollow::rig::soak::Run;
using fennelhollow::rig::soak::RunOptions;

// Eleven processes a run: 200 at most.
constexpr std::uint64_t kMostJobs = 16;

struct Arguments {
  RunOptions run;
  std::uint64_t seeds = 1;
  std::uint64_t jobs = 1;
};

std::optional<std::uint64_t> Number(const char* text) {
  std::uint64_t value = 0;
  const char* end = text + std::strlen(text);
  const auto [at, error] = std::from_chars(text, end, value);
  if (error != std::errc() || at != end) return std::nullopt;
  return value;
}

std::optional<Arguments> Parse(int argc, char** argv) {
  if (argc < 2 || ::access(argv[1], X_OK) != 0) return std::nullopt;
  Arguments out;
  out.run.program = argv[1];
  for (int i = 2; i < argc; ++i) {
    const std::string_view name = argv[i];
    if (name == "--verbose") {
      out.run.talkative = true;
      continue;
    }
    const auto value = i + 1 < argc ? Number(argv[++i]) : std::nullopt;
    if (!value) return std::nullopt;
    if (name == "--seed")
      out.run.seed = *value;
    else if (name == "--for")
      out.run.length = std::chrono::seconds(*value);
    else if (name == "--seeds")
      out.seeds = *value;
    else if (name == "--jobs")
      out.jobs = std::clamp<std::uint64_t>(*value, 1, kMostJobs);
    else
      return std::nullopt;
  }
  return out;
}

// Each run is a process of its own. The number of broken ones.
int PlayAll(const Arguments& arguments) {
  std::uint64_t running = 0;
  int broken = 0;
  const auto wait = [&] {
    int status = 0;
    ::wait(&status);
    --running;
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) ++broken;
  };
  for (std::uint64_t i = 0; i < arguments.seeds; ++i) {
    while (running >= arguments.jobs) wait();
    RunOptions run = arguments.run;
    run.seed += i;
    std::fflush(stdout);
    const pid_t child = ::fork();
    if (child == 0) {
      const bool good = Run(run);
      std::fflush(stdout);
      ::_exit(good ? 0 : 1);
    }
    ++running;
  }
  while (running > 0) wait();
  return broken;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = Parse(argc, argv);
  if (!arguments) {
    std::fprintf(stderr,
                 "usage: fennelhollow_soak PROGRAM [--seed N] [--for SECONDS] [--seeds COUNT] [--jobs N] "
                 "[--verbose]\n");
    return 2;
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  if (arguments->seeds == 1) return Run(arguments->run) ? 0 : 1;
  const int broken = PlayAll(*arguments);
  std::printf("%lu runs, %d broken\n", arguments->seeds, broken);
  return broken == 0 ? 0 : 1;
}
