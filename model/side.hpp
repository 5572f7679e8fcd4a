// Parses sides of a comparison from the command line.
#ifndef MERLINRUN_MODEL_SIDE_HPP_
#define MERLINRUN_MODEL_SIDE_HPP_

#include <string>
#include <string_view>
#include <variant>

#include "model/simulation.hpp"

namespace merlinrun::model {

// "NAME" or "NAME:setting=value,...": the balancer of this build with changed tuning, or with program=PATH
// another build. Returns a one-line error on failure.
std::variant<Side, std::string> ParseSide(std::string_view text);

// Help text of all settings, one per line, with defaults.
std::string SideSettings();

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_SIDE_HPP_
