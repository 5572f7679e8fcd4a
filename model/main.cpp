// fennelhollow-model: simulates days of a fleet and compares balancer settings. Exit status: 0 on success, 1
// if a file can't be read or written, 2 on invalid input, 3 if stopped before a verdict.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <stdexcept>
#include <thread>

#include "model/compare.hpp"
#include "model/report.hpp"
#include "model/side.hpp"
#include "model/store.hpp"

namespace merlinrun::model {
namespace {

std::atomic<bool> g_stop = false;  // set by Ctrl-C

struct Options {
  std::string scenario;
  std::vector<std::string> sides;
  ComparisonPlan plan;
  std::vector<std::string> recordings;
  bool resampled = false;
  double scale = 1;
  std::string json;
  std::string html;
  std::string resume;
  bool quiet = false;
};

// Invalid input from the user.
class BadInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string ReadAll(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw std::runtime_error(file + ": can't be read");
  return std::string((std::istreambuf_iterator<char>(in)), {});
}

void WriteAll(const std::string& file, const std::string& text) {
  std::ofstream out(file, std::ios::binary | std::ios::trunc);
  out << text;
  if (!out.flush()) throw std::runtime_error(file + ": can't be written");
}

Scenario ReadScenario(const std::string& file) {
  if (file.empty()) return DefaultScenario();
  auto read = ParseScenario(ReadAll(file), file);
  if (const auto* const error = std::get_if<std::string>(&read)) throw BadInput(*error);
  return std::get<Scenario>(std::move(read));
}

// Loads the recordings. Appends to `bytes` everything that the replay depends on.
Replay ReadReplay(const Options& options, const Scenario& scenario, std::string& bytes) {
  std::vector<record::Recording> recordings;
  for (const std::string& file : options.recordings) {
    const std::string text = ReadAll(file);
    auto read = record::ParseRecording(text);
    if (const auto* const error = std::get_if<std::string>(&read)) throw BadInput(file + ": " + *error);
    recordings.push_back(std::get<record::Recording>(std::move(read)));
    bytes += text;
  }
  bytes += std::to_string(options.scale) + (options.resampled ? "r" : "");
  auto replay = MakeReplay(recordings, scenario);
  if (const auto* const error = std::get_if<std::string>(&replay))
    throw BadInput(options.recordings[0] + ": " + *error);
  Replay out = std::get<Replay>(std::move(replay));
  out.scale = options.scale;
  out.resampled = options.resampled;
  return out;
}

int Run(Options& options) {
  ComparisonPlan& plan = options.plan;
  plan.scenario = ReadScenario(options.scenario);
  std::string replay_inputs;
  if (!options.recordings.empty()) plan.replay = ReadReplay(options, plan.scenario, replay_inputs);
  if (options.sides.empty()) options.sides = {"now"};
  for (const std::string& text : options.sides) {
    auto side = ParseSide(text);
    if (const auto* const error = std::get_if<std::string>(&side)) throw BadInput(*error);
    plan.sides.push_back(std::get<Side>(std::move(side)));
  }
  if (plan.sides.size() == 1) plan.first_look = plan.max_pairs;  // nothing to compare
  std::optional<DayStore> store;
  if (!options.resume.empty()) {
    const std::string program = ReadAll("/proc/self/exe") + replay_inputs;
    std::vector<std::string> keys;
    for (const std::string& side : options.sides) keys.push_back(SideKey(plan.scenario, side, program));
    store.emplace(options.resume, std::move(keys));
  }
  std::size_t done = 0;
  RunHooks hooks;
  hooks.stop = &g_stop;
  hooks.on_day = [&](std::size_t side, const DayResult& day) {
    if (store) store->Add(side, day);
    if (!options.quiet)
      std::fprintf(stderr, "day %zu: %s, seed %lu, service %.4f\n", ++done, plan.sides[side].name.c_str(),
                   day.seed, day.service);
  };
  const Comparison comparison = Compare(plan, store ? store->completed() : CompletedDays(), hooks);
  std::fputs(TextReport(plan, comparison).c_str(), stdout);
  if (!options.json.empty()) WriteAll(options.json, JsonReport(plan, comparison));
  if (!options.html.empty()) WriteAll(options.html, HtmlReport(plan, comparison));
  return comparison.stopped ? 3 : 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Simulates days of a fleet and compares balancer settings.");
  app.require_subcommand(1);
  Options options;
  ComparisonPlan& plan = options.plan;
  plan.threads = std::max(1U, std::thread::hardware_concurrency());

  CLI::App* const print_command = app.add_subcommand(
      "scenario", "Print a scenario, by default the production fleet, with all its parameters");
  print_command->add_option("file", options.scenario, "a scenario (TOML)");

  CLI::App* const run_command =
      app.add_subcommand("run", "Simulate days and report the service; with several sides, which is better");
  run_command->add_option("scenario", options.scenario, "a scenario (TOML); by default the production fleet");
  run_command
      ->add_option("--side", options.sides, "NAME or NAME:setting=value,...; the first is the baseline")
      ->allow_extra_args(false);
  run_command
      ->add_option("--recording", options.recordings, "replay this recording of one sidecar; repeatable")
      ->allow_extra_args(false);
  run_command->add_flag("--resampled", options.resampled,
                        "compose each day of recorded seconds, drawn by its seed");
  run_command->add_option("--scale", options.scale, "multiply the recorded requests")
      ->check(CLI::Range(0.01, 100.0))
      ->capture_default_str();
  run_command->add_option("--seed", plan.first_seed, "the first day's seed")->capture_default_str();
  run_command->add_option("--days", plan.max_pairs, "maximum days per side")
      ->check(CLI::Range(2, 100'000))
      ->capture_default_str();
  run_command->add_option("--first-look", plan.first_look, "days before the first interim analysis")
      ->check(CLI::Range(2, 100'000))
      ->capture_default_str();
  run_command->add_option("--level", plan.level, "probability of reporting a difference between equal sides")
      ->check(CLI::Range(1e-6, 0.5))
      ->capture_default_str();
  run_command->add_option("--matters", plan.min_effect, "smallest difference in service that matters")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  run_command->add_option("--threads", plan.threads, "days simulated in parallel")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  run_command->add_option("--json", options.json, "write the report as JSON");
  run_command->add_option("--html", options.html, "write the report as an HTML page with plots");
  run_command->add_option("--resume", options.resume, "store finished days in this file, and resume from it");
  run_command->add_flag("--quiet", options.quiet, "no progress on standard error");
  run_command->footer("Settings of a side, with their defaults:\n" + SideSettings());

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int status = app.exit(error);
    return status == 0 ? 0 : 2;
  }
  std::signal(SIGINT, [](int) { g_stop = true; });
  if (print_command->parsed()) {
    std::fputs(PrintScenario(ReadScenario(options.scenario)).c_str(), stdout);
    return 0;
  }
  return Run(options);
}

}  // namespace
}  // namespace merlinrun::model

int main(int argc, char** argv) {
  try {
    return merlinrun::model::Main(argc, argv);
  } catch (const merlinrun::model::BadInput& error) {
    std::fprintf(stderr, "fennelhollow-model: %s\n", error.what());
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow-model: %s\n", error.what());
    return 1;
  }
}
