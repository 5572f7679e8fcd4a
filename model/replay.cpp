#include "model/replay.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "model/random.hpp"

namespace merlinrun::model {
namespace {

constexpr Micros kPiece = 1'000'000;

// The recorded stream from `from` on, begun again at its end, for `length`; times count from 0.
std::vector<Replay::Item> Cut(const std::vector<Replay::Item>& stream, Micros whole, Micros from,
                              Micros length) {
  std::vector<Replay::Item> out;
  const auto before = [](const Replay::Item& item, Micros at) { return item.at < at; };
  for (Micros done = -from; done < length; done += whole) {
    auto it = std::lower_bound(stream.begin(), stream.end(), std::max<Micros>(-done, 0), before);
    for (; it != stream.end() && it->at + done < length; ++it) out.push_back({it->at + done, it->its_class});
  }
  return out;
}

std::vector<Replay::Item> Resample(const std::vector<Replay::Item>& stream, Micros whole, Draws& draws,
                                   Micros length) {
  std::vector<Replay::Item> out;
  for (Micros begin = 0; begin < length; begin += kPiece) {
    const auto from = static_cast<Micros>(draws.Below(static_cast<std::uint64_t>(whole)));
    for (const Replay::Item& item : Cut(stream, whole, from, std::min(kPiece, length - begin)))
      out.push_back({begin + item.at, item.its_class});
  }
  return out;
}

// So many times the requests: each is there as often as the scale says, chance deciding on the fraction;
// copies come within a piece of the first, not together with it.
std::vector<Replay::Item> Scale(const std::vector<Replay::Item>& items, double scale, Draws& draws,
                                Micros length) {
  std::vector<Replay::Item> out;
  for (const Replay::Item& item : items) {
    const double whole = std::floor(scale);
    const auto copies = static_cast<int>(whole) + (draws.Chance(scale - whole) ? 1 : 0);
    for (int i = 0; i < copies; ++i) {
      const Micros later = i == 0 ? 0 : static_cast<Micros>(draws.Below(kPiece));
      if (item.at + later < length) out.push_back({item.at + later, item.its_class});
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return out;
}

}  // namespace

std::variant<Replay, std::string> ReplayOf(const std::vector<record::Recording>& recordings,
                                           const Scenario& scenario) {
  Replay out;
  for (const record::Recording& recording : recordings) {
    std::vector<std::optional<std::uint32_t>> classes;
    for (const std::string& name : recording.header.classes) {
      const auto it = std::find_if(scenario.classes.begin(), scenario.classes.end(),
                                   [&](const TrafficClass& c) { return c.name == name; });
      classes.push_back(it == scenario.classes.end()
                            ? std::optional<std::uint32_t>()
                            : static_cast<std::uint32_t>(it - scenario.classes.begin()));
    }
    std::vector<Replay::Item> stream;
    for (const record::Record& record : recording.records) {
      if (!classes.at(record.request_class))
        return "the recording has class '" + recording.header.classes[record.request_class] +
               "', and the scenario has not";
      stream.push_back({record.arrival_time, *classes[record.request_class]});
    }
    if (stream.empty()) continue;
    // They were written as they ended.
    std::stable_sort(stream.begin(), stream.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    const Micros first = stream.front().at;
    for (Replay::Item& item : stream) item.at -= first;
    // The recording went on for some time after its last request: a usual gap, so that its rate stays what it
    // was.
    const auto gaps = static_cast<Micros>(stream.size() - 1);
    out.length = std::max(
        out.length, gaps == 0 ? kPiece : stream.back().at + std::max<Micros>(stream.back().at / gaps, 1));
    out.streams.push_back(std::move(stream));
  }
  if (out.streams.empty()) return "nothing was recorded";
  return out;
}

std::vector<Replay::Item> StreamOf(const Replay& replay, std::uint32_t sidecar, std::uint64_t seed,
                                   Micros length) {
  const std::size_t count = replay.streams.size();
  const auto& stream = replay.streams[sidecar % count];
  Draws draws(seed, Purpose::kRecording, sidecar);
  // The first use of each is from its beginning, the others from where chance says, on every day the same.
  const Micros from =
      sidecar < count
          ? 0
          : static_cast<Micros>(
                Draws(0, Purpose::kRecording, sidecar).Below(static_cast<std::uint64_t>(replay.length)));
  std::vector<Replay::Item> out = replay.resampled ? Resample(stream, replay.length, draws, length)
                                                   : Cut(stream, replay.length, from, length);
  return replay.scale == 1 ? out : Scale(out, replay.scale, draws, length);
}

}  // namespace merlinrun::model
