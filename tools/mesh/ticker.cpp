// fennelhollow-ticker: follows the cores' events; docs/operators/mesh-tools.md.
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

#include "tools/mesh/follower.hpp"
#include "tools/mesh/repeater.hpp"

namespace {

namespace tools = fennelhollow::tools;

constexpr const char* kUsage =
    "fennelhollow-ticker: follows a core's events, one line of JSON each; the next core's if it fails\n"
    "  e.g. fennelhollow-ticker --cores 10.0.0.1:7000,10.0.0.2:7000\n"
    "       fennelhollow-ticker --cores 10.0.0.1:7000 --epoch 4711 --since 17 --once\n"
    "exit status: 0 ended (signal, or --once), 2 bad input, 4 nobody answered (--once)\n";

std::uint64_t Number(const argagg::parser_results& arguments, const std::string& name) {
  std::uint64_t out = 0;
  if (arguments[name] && !absl::SimpleAtoi(arguments[name].as<std::string>(), &out))
    throw std::invalid_argument("--" + name + " takes a whole number from 0 up");
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  argagg::parser parser{
      {{"help", {"-h", "--help"}, "says this", 0},
       {"cores", {"--cores"}, "control planes' addresses: ip:port,ip:port", 1},
       {"since", {"--since"}, "begins with this number at the first core that answers (all)", 1},
       {"epoch", {"--epoch"}, "of which --since is (feedEpoch of a line); another: all", 1},
       {"once", {"--once"}, "prints what is held now, and ends", 0}}};
  try {
    const argagg::parser_results arguments = parser.parse(argc, argv);
    if (arguments["help"]) {
      std::cout << kUsage << parser;
      return 0;
    }
    if (!arguments.pos.empty())
      throw std::invalid_argument(std::string("no such argument: ") + arguments.pos.front());
    if (!arguments["cores"]) throw std::invalid_argument("--cores ip:port,ip:port is needed");
    const auto cores = tools::ParseCores(arguments["cores"].as<std::string>());
    if (!cores.ok()) throw std::invalid_argument(std::string(cores.status().message()));
    tools::FollowerSettings settings;
    settings.cores = *cores;
    settings.since = Number(arguments, "since");
    settings.epoch = Number(arguments, "epoch");
    settings.once = static_cast<bool>(arguments["once"]);

    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    bool answered = true;
    tools::Follower::Sink sink;
    sink.line = [&io](const std::string& line) {
      // At once, for those that read along; nobody does any more: the end (SIGPIPE, or an error).
      if (std::printf("%s\n", line.c_str()) < 0 || std::fflush(stdout) != 0) io.stop();
    };
    sink.trouble = [](const std::string& line) {
      std::fprintf(stderr, "fennelhollow-ticker: %s\n", line.c_str());
    };
    sink.done = [&](bool some) {
      answered = some;
      io.stop();
    };
    const auto follower = tools::Follower::Start(io, std::move(settings), std::move(sink));
    io.run();
    return static_cast<int>(answered ? tools::Exit::kTaken : tools::Exit::kNobody);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow-ticker: %s\n", error.what());
    return static_cast<int>(tools::Exit::kBadInput);
  }
}
