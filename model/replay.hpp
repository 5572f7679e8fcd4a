// Recorded traffic of sidecars in place of synthetic traffic: as recorded, scaled or resampled. Recordings
// include the clients' retries, so simulated clients don't retry replayed requests.
#ifndef MERLINRUN_MODEL_REPLAY_HPP_
#define MERLINRUN_MODEL_REPLAY_HPP_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/scenario.hpp"
#include "record/format.hpp"

namespace merlinrun::model {

struct Replay {
  struct Item {
    Micros at = 0;
    std::uint32_t class_index = 0;  // index in the scenario's classes
  };
  // One stream per recording, ordered by time from the recording's first request.
  std::vector<std::vector<Item>> streams;
  Micros length = 0;  // of the longest recording
  double scale = 1;   // multiplies the number of requests; above 0
  // Each day consists of one-second segments drawn with replacement by its seed. Otherwise every day has the
  // same requests.
  bool resampled = false;
};

// Converts recordings. Returns a one-line error if a class is not in the scenario or nothing was recorded.
std::variant<Replay, std::string> MakeReplay(const std::vector<record::Recording>& recordings,
                                             const Scenario& scenario);

// The requests of one sidecar for a day of `length`, ordered by time. Recordings are reused if there are
// fewer than sidecars, each time with another offset, so that copies of a recording are not synchronized.
std::vector<Replay::Item> SidecarTraffic(const Replay& replay, std::uint32_t sidecar, std::uint64_t seed,
                                         Micros length);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_REPLAY_HPP_
