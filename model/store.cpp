#include "model/store.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "model/random.hpp"
#include "model/report.hpp"

namespace merlinrun::model {
namespace {

std::uint64_t HashText(const std::string& text) {
  std::uint64_t hash = text.size();
  for (const char c : text) hash = Hash(hash, static_cast<unsigned char>(c));
  return hash;
}

}  // namespace

std::string SideKey(const Scenario& scenario, const std::string& side, const std::string& program) {
  char text[20];
  std::snprintf(text, sizeof text, "%016lx",
                HashText(PrintScenario(scenario) + "\n" + side + "\n" + program));
  return text;
}

DayStore::DayStore(const std::string& file, std::vector<std::string> keys) : keys_(std::move(keys)) {
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) {
    const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (!json.is_object() || !json.contains("key") || !json.contains("day")) continue;
    try {
      for (std::size_t side = 0; side < keys_.size(); ++side) {
        if (json["key"] != keys_[side]) continue;
        DayResult day = FromJson(json["day"]);
        const std::uint64_t seed = day.seed;
        completed_[{side, seed}] = std::move(day);
      }
    } catch (const nlohmann::json::exception&) {
      continue;
    }
  }
  file_.reset(std::fopen(file.c_str(), "a"));
  if (file_ == nullptr) throw std::runtime_error(file + ": can't be written to");
  std::fputc('\n', file_.get());  // terminates a truncated line
}

void DayStore::Add(std::size_t side, const DayResult& day) {
  const std::string line = nlohmann::json{{"key", keys_[side]}, {"day", ToJson(day)}}.dump() + "\n";
  std::fwrite(line.data(), 1, line.size(), file_.get());
  std::fflush(file_.get());
}

}  // namespace merlinrun::model
