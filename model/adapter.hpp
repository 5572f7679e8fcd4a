// A build's decisions over the wire that src/drill speaks: its adapter program is started, told of each batch
// and asked for its actions. So an older build can be one side of a comparison. A program that ends, hangs or
// answers what is no reply is a fault of that side.
#ifndef MERLINRUN_MODEL_ADAPTER_HPP_
#define MERLINRUN_MODEL_ADAPTER_HPP_

#include <memory>
#include <string>

#include "model/sidecars.hpp"

namespace merlinrun::model {

// `program`: a path. One process for all sidecars of a day.
std::unique_ptr<Sidecars> Adapter(Actions& actions, const std::string& program);

// Settings as the wire has them: path=value pairs in one line, what ParseSettings of src/drill reads.
std::string SettingsLine(const Settings& settings);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_ADAPTER_HPP_
