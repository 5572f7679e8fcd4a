// fennelhollow_soak: runs node processes on loopback under random faults and checks their guarantees. Exit
// status: 0: no violation, 1: violations, 2: invalid arguments.
//
//   fennelhollow_soak PROGRAM [--seed N] [--for SECONDS] [--seeds COUNT] [--jobs N] [--sidecars N]
//                     [--planned] [--verbose]
//
// --sidecars: of each run; without it their number is drawn with the seed. --planned: no faults, only
// signals, restarts and changes of the configuration.
// --seed determines the faults and their times; the timing of the processes is real, so results may differ.
// --seeds runs several seeds, counting up from the first, --jobs of them concurrently.
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

// Ten to some fifty processes per run, so a few hundred at a time.
constexpr std::uint64_t kMaxJobs = 16;
constexpr std::uint64_t kMaxSidecars = 64;

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
    if (name == "--planned") {
      out.run.planned_only = true;
      continue;
    }
    if (name == "--verbose") {
      out.run.verbose = true;
      continue;
    }
    const auto value = i + 1 < argc ? Number(argv[++i]) : std::nullopt;
    if (!value) return std::nullopt;
    if (name == "--seed")
      out.run.seed = *value;
    else if (name == "--for")
      out.run.length = std::chrono::seconds(*value);
    else if (name == "--sidecars")
      out.run.sidecars = std::min<std::uint64_t>(*value, kMaxSidecars);
    else if (name == "--seeds")
      out.seeds = *value;
    else if (name == "--jobs")
      out.jobs = std::clamp<std::uint64_t>(*value, 1, kMaxJobs);
    else
      return std::nullopt;
  }
  return out;
}

// Forks a process for each run. Returns the number of failed ones.
int RunAllSeeds(const Arguments& arguments) {
  std::uint64_t running = 0;
  int failed_runs = 0;
  const auto wait = [&] {
    int status = 0;
    ::wait(&status);
    --running;
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) ++failed_runs;
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
  return failed_runs;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = Parse(argc, argv);
  if (!arguments) {
    std::fprintf(stderr,
                 "usage: fennelhollow_soak PROGRAM [--seed N] [--for SECONDS] [--seeds COUNT] [--jobs N] "
                 "[--sidecars N] [--planned] [--verbose]\n");
    return 2;
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  if (arguments->seeds == 1) return Run(arguments->run) ? 0 : 1;
  const int failed_runs = RunAllSeeds(*arguments);
  std::printf("%lu runs, %d failed\n", arguments->seeds, failed_runs);
  return failed_runs == 0 ? 0 : 1;
}
