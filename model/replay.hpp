// Traffic from recordings of sidecars, in place of the synthetic one: as it was, scaled, or resampled. A
// recording holds what clients sent, their retries among it, so that replayed requests are not tried again by
// the model's clients.
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
    std::uint32_t its_class = 0;  // of the scenario
  };
  // A recording each, in order of time; times count from the recording's first request.
  std::vector<std::vector<Item>> streams;
  Micros length = 0;  // of the longest
  double scale = 1;   // so many times the requests, above 0
  // Each day is put together of pieces of a second, drawn with replacement by its seed: days differ as the
  // recorded seconds do. Else each day has the requests as they were, and differs in all else.
  bool resampled = false;
};

// Takes the recordings' requests. On failure one plain line: a class that the scenario does not have, or
// nothing recorded.
std::variant<Replay, std::string> ReplayOf(const std::vector<record::Recording>& recordings,
                                           const Scenario& scenario);

// The requests of one sidecar on a day of `length`, in order of time. With fewer recordings than sidecars
// they are used again, each time from another moment on, so that copies are not in step.
std::vector<Replay::Item> StreamOf(const Replay& replay, std::uint32_t sidecar, std::uint64_t seed,
                                   Micros length);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_REPLAY_HPP_
