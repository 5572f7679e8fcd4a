// What the listeners of a sidecar or a core may take of the memory and the descriptors that its settings
// grant the process.
#ifndef FENNELHOLLOW_MESH_NODE_PROCESS_LIMITS_HPP_
#define FENNELHOLLOW_MESH_NODE_PROCESS_LIMITS_HPP_

#include "mesh/egress/http_server.hpp"
#include "mesh/memory/buffer_account.hpp"
#include "mesh/node/control_listener.hpp"
#include "mesh/settings/settings.hpp"

namespace fennelhollow::node {

// Of all that peers can fill.
memory::BufferAccount::Limits BufferLimits(const settings::Settings& settings);
// Of a sidecar's listener for clients, before any configuration.
egress::HttpServer::Limits ClientLimits(const settings::Settings& settings);
// Of a sidecar's listener for the platform's readiness checks.
egress::HttpServer::Limits ReadinessLimits(const settings::Settings& settings);
// Of a sidecar's listener for the local server's calls.
ControlListener::Limits ControlLimits(const settings::Settings& settings);
// Of a core's listener for operators' calls.
ControlListener::Limits CoreControlLimits(const settings::Settings& settings);
// Links that a sidecar accepts from processes which have not said yet who they are.
std::size_t MaxUnidentifiedLinks(const settings::Settings& settings);
// Links that a core accepts from other processes.
std::size_t MaxCoreLinks(const settings::Settings& settings);

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_PROCESS_LIMITS_HPP_
