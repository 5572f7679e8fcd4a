// fennelhollow-configuration: operators' command line tool; see docs/operators/mesh-tools.md.
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
#include "tools/mesh/retrying_client.hpp"

namespace {

using fennelhollow::tools::Check;
using fennelhollow::tools::Diff;
using fennelhollow::tools::Exchange;
using fennelhollow::tools::ExitStatus;
using fennelhollow::tools::HttpCall;
using fennelhollow::tools::HttpReply;
using fennelhollow::tools::Outcome;
using fennelhollow::tools::ParseCores;
using fennelhollow::tools::ReadFile;
using fennelhollow::tools::RetryingClient;
using fennelhollow::tools::RetryLimits;
using fennelhollow::tools::Summary;
using fennelhollow::tools::Tcp;

constexpr const char* kUsage =
    "fennelhollow-configuration: checks, compares, sends and reads the mesh's configuration\n"
    "  check FILE [--on CURRENT]   whether a core would accept FILE, e.g. check next.json --on now.json\n"
    "  diff OLD NEW                what changes and what tightens, e.g. diff now.json next.json\n"
    "  put FILE                    replaces the configuration, e.g. put next.json --cores "
    "10.0.0.1:7000,10.0.0.2:7000\n"
    "  modify FILE                 changes named items, e.g. modify change.json --cores 10.0.0.1:7000\n"
    "  read                        prints the newest configuration, e.g. read --cores 10.0.0.1:7000 > "
    "now.json\n"
    "  status                      prints one line per core, e.g. status --cores 10.0.0.1:7000\n"
    "exit status: 0 success, 2 invalid input, 3 version conflict (409, 412), 4 no core answered\n";

int Print(const Summary& summary) {
  std::fputs(summary.text.c_str(), summary.exit == ExitStatus::kSuccess ? stdout : stderr);
  return static_cast<int>(summary.exit);
}

template <class T>
T ValueOrThrow(absl::StatusOr<T> value) {
  if (!value.ok()) throw std::invalid_argument(std::string(value.status().message()));
  return *std::move(value);
}

int Send(std::vector<Tcp::endpoint> cores, HttpCall call, std::chrono::milliseconds total_timeout) {
  boost::asio::io_context io(1);
  RetryLimits limits;
  limits.total_timeout = total_timeout;
  const bool is_read = call.method == "GET";
  Outcome outcome;
  RetryingClient::Start(io, std::move(cores), std::move(call), limits,
                        [&outcome](Outcome result) { outcome = std::move(result); });
  io.run();
  if (outcome.exit == ExitStatus::kSuccess) {
    std::printf("%s\n",
                is_read ? outcome.body.c_str() : absl::StrCat("taken by ", outcome.responder).c_str());
  } else if (outcome.exit == ExitStatus::kUnavailable) {
    std::fprintf(stderr, "fennelhollow-configuration: no core answered in %d attempts; last error: %s\n",
                 outcome.attempts, outcome.last_error.c_str());
  } else {
    std::fprintf(stderr, "fennelhollow-configuration: %s answered %u %s\n", outcome.responder.c_str(),
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
  return static_cast<int>(answered ? ExitStatus::kSuccess : ExitStatus::kUnavailable);
}

int Run(const argagg::parser_results& arguments) {
  std::vector<std::string> positional(arguments.pos.begin(), arguments.pos.end());
  const std::string command = positional.empty() ? "" : positional.front();
  const std::size_t files = command == "diff"                                               ? 2
                            : command == "check" || command == "put" || command == "modify" ? 1
                                                                                            : 0;
  const bool known = files > 0 || command == "read" || command == "status";
  if (!known)
    throw std::invalid_argument(command.empty() ? "no command; see --help" : "unknown command: " + command);
  if (positional.size() != files + 1)
    throw std::invalid_argument(absl::StrCat(command, " takes ", files, " file arguments"));
  if (arguments["on"] && command != "check") throw std::invalid_argument("--on is only valid with check");

  if (command == "check") {
    std::optional<std::string> current;
    if (arguments["on"]) current = ValueOrThrow(ReadFile(arguments["on"].as<std::string>()));
    return Print(Check(ValueOrThrow(ReadFile(positional[1])), current));
  }
  if (command == "diff")
    return Print(Diff(ValueOrThrow(ReadFile(positional[1])), ValueOrThrow(ReadFile(positional[2]))));

  if (!arguments["cores"]) throw std::invalid_argument(command + " needs --cores ip:port,ip:port");
  const auto cores = ValueOrThrow(ParseCores(arguments["cores"].as<std::string>()));
  if (command == "status") return Status(cores);
  double seconds = 30;
  if (arguments["for"] && (!absl::SimpleAtod(arguments["for"].as<std::string>(), &seconds) ||
                           !(seconds >= 0 && seconds <= 86'400)))
    throw std::invalid_argument("--for takes 0 to 86400 seconds");
  HttpCall call{"GET", "/-/Configuration.Read", ""};
  if (files > 0) {
    call = {"POST", command == "put" ? "/-/Configuration.Replace" : "/-/Configuration.Modify",
            ValueOrThrow(ReadFile(positional[1]))};
  }
  return Send(cores, std::move(call), std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)));
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);  // writing to a closed connection returns an error instead
  argagg::parser parser{{{"help", {"-h", "--help"}, "prints this help", 0},
                         {"on", {"--on"}, "check: the current configuration, as printed by read", 1},
                         {"cores", {"--cores"}, "control plane addresses: ip:port,ip:port", 1},
                         {"for", {"--for"}, "put, modify, read: retry for up to N seconds (default 30)", 1}}};
  try {
    const argagg::parser_results arguments = parser.parse(argc, argv);
    if (arguments["help"]) {
      std::cout << kUsage << parser;
      return 0;
    }
    return Run(arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow-configuration: %s\n", error.what());
    return static_cast<int>(ExitStatus::kInvalidInput);
  }
}
