// Sidecars whose decisions come from the adapter program of another build (merlinrun_drill), over the batch
// protocol of src/drill. An older build can thus be one side of a comparison. A program that exits, hangs or
// sends an invalid reply fails its side.
#ifndef MERLINRUN_MODEL_ADAPTER_HPP_
#define MERLINRUN_MODEL_ADAPTER_HPP_

#include <memory>
#include <string>

#include "model/sidecars.hpp"

namespace merlinrun::model {

// `program`: path of the executable. One process serves all sidecars of a simulated day.
std::unique_ptr<Sidecars> MakeAdapterSidecars(Actions& actions, const std::string& program);

// The settings as one line of path=value pairs, the format that drill::ParseSettings reads.
std::string SettingsLine(const Settings& settings);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_ADAPTER_HPP_
