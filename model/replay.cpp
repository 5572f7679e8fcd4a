#include "model/replay.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "model/random.hpp"

namespace merlinrun::model {
namespace {

constexpr Micros kSegment = 1'000'000;

// The stream from offset `start`, repeated until `length`; times start at 0.
std::vector<Replay::Item> LoopSlice(const std::vector<Replay::Item>& stream, Micros period, Micros start,
                                    Micros length) {
  std::vector<Replay::Item> out;
  const auto earlier = [](const Replay::Item& item, Micros at) { return item.at < at; };
  for (Micros offset = -start; offset < length; offset += period) {
    auto it = std::lower_bound(stream.begin(), stream.end(), std::max<Micros>(-offset, 0), earlier);
    for (; it != stream.end() && it->at + offset < length; ++it)
      out.push_back({it->at + offset, it->class_index});
  }
  return out;
}

std::vector<Replay::Item> Resample(const std::vector<Replay::Item>& stream, Micros period,
                                   RandomStream& draws, Micros length) {
  std::vector<Replay::Item> out;
  for (Micros begin = 0; begin < length; begin += kSegment) {
    const auto start = static_cast<Micros>(draws.UniformBelow(static_cast<std::uint64_t>(period)));
    for (const Replay::Item& item : LoopSlice(stream, period, start, std::min(kSegment, length - begin)))
      out.push_back({begin + item.at, item.class_index});
  }
  return out;
}

// Repeats each request by the scale, with a random rounding of the fraction. Copies are delayed by up to one
// segment.
std::vector<Replay::Item> Scale(const std::vector<Replay::Item>& items, double scale, RandomStream& draws,
                                Micros length) {
  std::vector<Replay::Item> out;
  for (const Replay::Item& item : items) {
    const double whole_copies = std::floor(scale);
    const auto copies = static_cast<int>(whole_copies) + (draws.Bernoulli(scale - whole_copies) ? 1 : 0);
    for (int i = 0; i < copies; ++i) {
      const Micros delay = i == 0 ? 0 : static_cast<Micros>(draws.UniformBelow(kSegment));
      if (item.at + delay < length) out.push_back({item.at + delay, item.class_index});
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return out;
}

}  // namespace

std::variant<Replay, std::string> MakeReplay(const std::vector<record::Recording>& recordings,
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
    // Recorded in order of completion; sort by arrival.
    std::stable_sort(stream.begin(), stream.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    const Micros first = stream.front().at;
    for (Replay::Item& item : stream) item.at -= first;
    // Add one mean gap after the last request, which keeps the recorded rate when the stream repeats.
    const auto gaps = static_cast<Micros>(stream.size() - 1);
    out.length = std::max(
        out.length, gaps == 0 ? kSegment : stream.back().at + std::max<Micros>(stream.back().at / gaps, 1));
    out.streams.push_back(std::move(stream));
  }
  if (out.streams.empty()) return "nothing was recorded";
  return out;
}

std::vector<Replay::Item> SidecarTraffic(const Replay& replay, std::uint32_t sidecar, std::uint64_t seed,
                                         Micros length) {
  const std::size_t count = replay.streams.size();
  const auto& stream = replay.streams[sidecar % count];
  RandomStream draws(seed, Purpose::kRecording, sidecar);
  // The first use of a recording starts at its beginning; further uses start at a random offset, equal on all
  // days.
  const Micros start =
      sidecar < count ? 0
                      : static_cast<Micros>(RandomStream(0, Purpose::kRecording, sidecar)
                                                .UniformBelow(static_cast<std::uint64_t>(replay.length)));
  std::vector<Replay::Item> out = replay.resampled ? Resample(stream, replay.length, draws, length)
                                                   : LoopSlice(stream, replay.length, start, length);
  return replay.scale == 1 ? out : Scale(out, replay.scale, draws, length);
}

}  // namespace merlinrun::model
