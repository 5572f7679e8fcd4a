// A side of a comparison as it is named on the command line.
#ifndef MERLINRUN_MODEL_SIDE_HPP_
#define MERLINRUN_MODEL_SIDE_HPP_

#include <string>
#include <string_view>
#include <variant>

#include "model/world.hpp"

namespace merlinrun::model {

// "NAME" or "NAME:setting=value,...": this build's module with its tuning changed, or with
// program=PATH another build's. On failure one plain line.
std::variant<Side, std::string> ParseSide(std::string_view text);

// What can be set, a line each, with its default and meaning.
std::string SideSettings();

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_SIDE_HPP_
