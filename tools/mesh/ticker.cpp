// fennelhollow-ticker: prints the events of a core as they occur; see docs/operators/mesh-tools.md.
#include <absl/strings/numbers.h>

#include <argagg/argagg.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <stdexcept>
#include <string>
#include <utility>

#include "tools/mesh/event_watcher.hpp"
#include "tools/mesh/retrying_client.hpp"

namespace {

namespace tools = fennelhollow::tools;

constexpr const char* kUsage =
    "fennelhollow-ticker: prints a core's events, one JSON object per line; fails over to the next core\n"
    "  e.g. fennelhollow-ticker --cores 10.0.0.1:7000,10.0.0.2:7000\n"
    "       fennelhollow-ticker --cores 10.0.0.1:7000 --epoch 4711 --since 17 --once\n"
    "exit status: 0 ended by a signal or --once, 2 invalid input, 4 no core answered (--once)\n";

std::uint64_t ParseNumber(const argagg::parser_results& arguments, const std::string& name) {
  std::uint64_t value = 0;
  if (arguments[name] && !absl::SimpleAtoi(arguments[name].as<std::string>(), &value))
    throw std::invalid_argument("--" + name + " takes a non-negative integer");
  return value;
}

}  // namespace

int main(int argc, char** argv) {
  argagg::parser parser{
      {{"help", {"-h", "--help"}, "prints this help", 0},
       {"cores", {"--cores"}, "control plane addresses: ip:port,ip:port", 1},
       {"since",
        {"--since"},
        "number of the first event to print, at the first core that answers (default: all)",
        1},
       {"epoch", {"--epoch"}, "feedEpoch that --since refers to; if the core's differs, prints all", 1},
       {"once", {"--once"}, "prints the events held now and exits", 0}}};
  try {
    const argagg::parser_results arguments = parser.parse(argc, argv);
    if (arguments["help"]) {
      std::cout << kUsage << parser;
      return 0;
    }
    if (!arguments.pos.empty())
      throw std::invalid_argument(std::string("unexpected argument: ") + arguments.pos.front());
    if (!arguments["cores"]) throw std::invalid_argument("--cores ip:port,ip:port is required");
    const auto cores = tools::ParseCores(arguments["cores"].as<std::string>());
    if (!cores.ok()) throw std::invalid_argument(std::string(cores.status().message()));
    tools::EventWatcherSettings settings;
    settings.cores = *cores;
    settings.since = ParseNumber(arguments, "since");
    settings.epoch = ParseNumber(arguments, "epoch");
    settings.once = static_cast<bool>(arguments["once"]);

    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    bool answered = true;
    tools::EventWatcher::Sink sink;
    sink.on_line = [&io](const std::string& line) {
      // Flushed per line for a reader of the pipe; a write error means that the reader has gone.
      if (std::printf("%s\n", line.c_str()) < 0 || std::fflush(stdout) != 0) io.stop();
    };
    sink.on_error = [](const std::string& line) {
      std::fprintf(stderr, "fennelhollow-ticker: %s\n", line.c_str());
    };
    sink.on_done = [&](bool any_answered) {
      answered = any_answered;
      io.stop();
    };
    const auto watcher = tools::EventWatcher::Start(io, std::move(settings), std::move(sink));
    io.run();
    return static_cast<int>(answered ? tools::ExitStatus::kSuccess : tools::ExitStatus::kUnavailable);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow-ticker: %s\n", error.what());
    return static_cast<int>(tools::ExitStatus::kInvalidInput);
  }
}
