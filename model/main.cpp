// fennelhollow-model: plays days of a modelled fleet, and compares settings. Exit status: 0 when it did what
// it was asked, 1 if a file can't be read or written, 2 on bad input, 3 if it was stopped before it was
// clear.
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
  Plan plan;
  std::vector<std::string> recordings;
  bool resampled = false;
  double scale = 1;
  std::string json;
  std::string html;
  std::string resume;
  bool quiet = false;
};

// What was asked for makes no sense.
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
  if (const auto* const wrong = std::get_if<std::string>(&read)) throw BadInput(*wrong);
  return std::get<Scenario>(std::move(read));
}

// What the recordings hold; `bytes` gets all that it depends on.
Replay ReadReplay(const Options& options, const Scenario& scenario, std::string& bytes) {
  std::vector<record::Recording> recordings;
  for (const std::string& file : options.recordings) {
    const std::string text = ReadAll(file);
    auto read = record::ParseRecording(text);
    if (const auto* const wrong = std::get_if<std::string>(&read)) throw BadInput(file + ": " + *wrong);
    recordings.push_back(std::get<record::Recording>(std::move(read)));
    bytes += text;
  }
  bytes += std::to_string(options.scale) + (options.resampled ? "r" : "");
  auto replay = ReplayOf(recordings, scenario);
  if (const auto* const wrong = std::get_if<std::string>(&replay))
    throw BadInput(options.recordings[0] + ": " + *wrong);
  Replay out = std::get<Replay>(std::move(replay));
  out.scale = options.scale;
  out.resampled = options.resampled;
  return out;
}

int Run(Options& options) {
  Plan& plan = options.plan;
  plan.scenario = ReadScenario(options.scenario);
  std::string traffic;
  if (!options.recordings.empty()) plan.replay = ReadReplay(options, plan.scenario, traffic);
  if (options.sides.empty()) options.sides = {"now"};
  for (const std::string& text : options.sides) {
    auto side = ParseSide(text);
    if (const auto* const wrong = std::get_if<std::string>(&side)) throw BadInput(*wrong);
    plan.sides.push_back(std::get<Side>(std::move(side)));
  }
  if (plan.sides.size() == 1) plan.first_look = plan.most_pairs;  // there is nothing to look for
  std::optional<Store> store;
  if (!options.resume.empty()) {
    const std::string program = ReadAll("/proc/self/exe") + traffic;
    std::vector<std::string> keys;
    for (const std::string& side : options.sides) keys.push_back(SideKey(plan.scenario, side, program));
    store.emplace(options.resume, std::move(keys));
  }
  std::size_t done = 0;
  Watching watching;
  watching.stop = &g_stop;
  watching.on_day = [&](std::size_t side, const DayResult& day) {
    if (store) store->Add(side, day);
    if (!options.quiet)
      std::fprintf(stderr, "day %zu: %s, seed %lu, service %.4f\n", ++done, plan.sides[side].name.c_str(),
                   day.seed, day.service);
  };
  const Comparison comparison = Compare(plan, store ? store->known() : Known(), watching);
  std::fputs(TextReport(plan, comparison).c_str(), stdout);
  if (!options.json.empty()) WriteAll(options.json, JsonReport(plan, comparison));
  if (!options.html.empty()) WriteAll(options.html, HtmlReport(plan, comparison));
  return comparison.stopped ? 3 : 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Plays days of a modelled fleet and says which of several settings serves better.");
  app.require_subcommand(1);
  Options options;
  Plan& plan = options.plan;
  plan.threads = std::max(1U, std::thread::hardware_concurrency());

  CLI::App* const print =
      app.add_subcommand("scenario", "Print a scenario, by default the fleet as it is, with all its figures");
  print->add_option("file", options.scenario, "a scenario (TOML)");

  CLI::App* const run = app.add_subcommand(
      "run", "Play days and say how well they were served; with several sides, which is better");
  run->add_option("scenario", options.scenario, "a scenario (TOML); by default the fleet as it is");
  run->add_option("--side", options.sides,
                  "NAME or NAME:setting=value,...; the first is what the others are compared with")
      ->allow_extra_args(false);
  run->add_option("--recording", options.recordings,
                  "replay this recording of a sidecar; several are several sidecars'")
      ->allow_extra_args(false);
  run->add_flag("--resampled", options.resampled,
                "put each day together of seconds of the recordings, drawn by its seed");
  run->add_option("--scale", options.scale, "replay so many times the requests")
      ->check(CLI::Range(0.01, 100.0))
      ->capture_default_str();
  run->add_option("--seed", plan.first_seed, "the first day's seed")->capture_default_str();
  run->add_option("--days", plan.most_pairs, "days of each side, at most")
      ->check(CLI::Range(2, 100'000))
      ->capture_default_str();
  run->add_option("--first-look", plan.first_look, "days after which it first looks whether it is clear")
      ->check(CLI::Range(2, 100'000))
      ->capture_default_str();
  run->add_option("--level", plan.level, "chance of calling equal sides different")
      ->check(CLI::Range(1e-6, 0.5))
      ->capture_default_str();
  run->add_option("--matters", plan.matters, "a smaller difference in service is none")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  run->add_option("--threads", plan.threads, "days that are played at once")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  run->add_option("--json", options.json, "write the report as JSON");
  run->add_option("--html", options.html, "write the report as one page with plots");
  run->add_option("--resume", options.resume,
                  "keep the days in this file, and go on from those that are in it");
  run->add_flag("--quiet", options.quiet, "no progress on standard error");
  run->footer("Settings of a side, with their defaults:\n" + SideSettings());

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int status = app.exit(error);
    return status == 0 ? 0 : 2;
  }
  std::signal(SIGINT, [](int) { g_stop = true; });
  if (print->parsed()) {
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
