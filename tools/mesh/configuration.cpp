// fennelhollow-configuration: the operators' command line; docs/operators/mesh-tools.md.
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <argagg/argagg.hpp>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "net/address.hpp"
#include "tools/mesh/configuration_files.hpp"
#include "tools/mesh/repeater.hpp"

namespace {

using fennelhollow::tools::Check;
using fennelhollow::tools::Diff;
using fennelhollow::tools::Exchange;
using fennelhollow::tools::Exit;
using fennelhollow::tools::HttpCall;
using fennelhollow::tools::HttpReply;
using fennelhollow::tools::Outcome;
using fennelhollow::tools::ParseCores;
using fennelhollow::tools::ReadFile;
using fennelhollow::tools::Repeater;
using fennelhollow::tools::RepeaterLimits;
using fennelhollow::tools::Report;
using fennelhollow::tools::Tcp;

constexpr const char* kUsage =
    "fennelhollow-configuration: checks, compares, sends and reads the mesh's configuration\n"
    "  check FILE [--on CURRENT]   what a core would say of FILE, e.g. check next.json --on now.json\n"
    "  diff OLD NEW                what changes and what tightens, e.g. diff now.json next.json\n"
    "  put FILE                    replaces all, e.g. put next.json --cores 10.0.0.1:7000,10.0.0.2:7000\n"
    "  modify FILE                 changes named items, e.g. modify change.json --cores 10.0.0.1:7000\n"
    "  read                        prints the newest, e.g. read --cores 10.0.0.1:7000 > now.json\n"
    "  status                      each core's, a line each, e.g. status --cores 10.0.0.1:7000\n"
    "exit status: 0 taken, 2 bad input, 3 conflict (412), 4 nobody answered\n";

int Print(const Report& report) {
  std::fputs(report.text.c_str(), report.exit == Exit::kTaken ? stdout : stderr);
  return static_cast<int>(report.exit);
}

template <class T>
T Get(absl::StatusOr<T> value) {
  if (!value.ok()) throw std::invalid_argument(std::string(value.status().message()));
  return *std::move(value);
}

int Send(std::vector<Tcp::endpoint> cores, HttpCall call, std::chrono::milliseconds whole) {
  boost::asio::io_context io(1);
  RepeaterLimits limits;
  limits.whole = whole;
  const bool reads = call.method == "GET";
  Outcome outcome;
  Repeater::Start(io, std::move(cores), std::move(call), limits,
                  [&outcome](Outcome out) { outcome = std::move(out); });
  io.run();
  if (outcome.exit == Exit::kTaken) {
    std::printf("%s\n", reads ? outcome.body.c_str() : absl::StrCat("taken by ", outcome.from).c_str());
  } else if (outcome.exit == Exit::kNobody) {
    std::fprintf(stderr, "fennelhollow-configuration: nobody answered in %d tries; the last: %s\n",
                 outcome.tries, outcome.trouble.c_str());
  } else {
    std::fprintf(stderr, "fennelhollow-configuration: %s answered %u %s\n", outcome.from.c_str(),
                 outcome.status, outcome.body.c_str());
  }
  return static_cast<int>(outcome.exit);
}

int Status(const std::vector<Tcp::endpoint>& cores) {
  boost::asio::io_context io(1);
  std::vector<std::optional<absl::StatusOr<HttpReply>>> replies(cores.size());
  for (std::size_t i = 0; i < cores.size(); ++i) {
    Exchange(io, cores[i], {"GET", "/-/Status", ""}, {},
             [&replies, i](absl::StatusOr<HttpReply> reply) { replies[i] = std::move(reply); });
  }
  io.run();
  bool answered = false;
  for (std::size_t i = 0; i < cores.size(); ++i) {
    nlohmann::ordered_json line = {{"core", merlinrun::net::FormatAddress(cores[i])}};
    const auto& reply = replies[i];
    if (!reply || !reply->ok()) {
      line["error"] = reply ? std::string(reply->status().message()) : "no answer";
    } else if (auto status = nlohmann::ordered_json::parse((*reply)->body, nullptr, false);
               (*reply)->status == 200 && !status.is_discarded()) {
      line["status"] = std::move(status);
      answered = true;
    } else {
      line["error"] = absl::StrCat("answered ", (*reply)->status);
    }
    std::printf("%s\n", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
  }
  return static_cast<int>(answered ? Exit::kTaken : Exit::kNobody);
}

int Run(const argagg::parser_results& arguments) {
  std::vector<std::string> words(arguments.pos.begin(), arguments.pos.end());
  const std::string command = words.empty() ? "" : words.front();
  const std::size_t files = command == "diff"                                               ? 2
                            : command == "check" || command == "put" || command == "modify" ? 1
                                                                                            : 0;
  const bool known = files > 0 || command == "read" || command == "status";
  if (!known)
    throw std::invalid_argument(command.empty() ? "no command; see --help" : "no such command: " + command);
  if (words.size() != files + 1)
    throw std::invalid_argument(absl::StrCat(command, " takes ", files, " files"));
  if (arguments["on"] && command != "check") throw std::invalid_argument("--on belongs to check");

  if (command == "check") {
    std::optional<std::string> current;
    if (arguments["on"]) current = Get(ReadFile(arguments["on"].as<std::string>()));
    return Print(Check(Get(ReadFile(words[1])), current));
  }
  if (command == "diff") return Print(Diff(Get(ReadFile(words[1])), Get(ReadFile(words[2]))));

  if (!arguments["cores"]) throw std::invalid_argument(command + " needs --cores ip:port,ip:port");
  const auto cores = Get(ParseCores(arguments["cores"].as<std::string>()));
  if (command == "status") return Status(cores);
  double seconds = 30;
  if (arguments["for"] && (!absl::SimpleAtod(arguments["for"].as<std::string>(), &seconds) ||
                           !(seconds >= 0 && seconds <= 86'400)))
    throw std::invalid_argument("--for takes 0 to 86400 seconds");
  HttpCall call{"GET", "/-/Configuration.Read", ""};
  if (files > 0) {
    call = {"POST", command == "put" ? "/-/Configuration.Replace" : "/-/Configuration.Modify",
            Get(ReadFile(words[1]))};
  }
  return Send(cores, std::move(call), std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)));
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);  // a core that leaves is an error of the write
  argagg::parser parser{{{"help", {"-h", "--help"}, "says this", 0},
                         {"on", {"--on"}, "check: the configuration that is in place, as read prints it", 1},
                         {"cores", {"--cores"}, "control planes' addresses: ip:port,ip:port", 1},
                         {"for", {"--for"}, "put, modify, read: repeats for so many seconds (30)", 1}}};
  try {
    const argagg::parser_results arguments = parser.parse(argc, argv);
    if (arguments["help"]) {
      std::cout << kUsage << parser;
      return 0;
    }
    return Run(arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow-configuration: %s\n", error.what());
    return static_cast<int>(Exit::kBadInput);
  }
}
