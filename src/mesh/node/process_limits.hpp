// What a sidecar's listeners may take of the memory and the descriptors that its settings grant the process.
#ifndef FENNELHOLLOW_MESH_NODE_SIDECAR_LIMITS_HPP_
#define FENNELHOLLOW_MESH_NODE_SIDECAR_LIMITS_HPP_

#include "mesh/egress/http_server.hpp"
#include "mesh/memory/buffer_account.hpp"
#include "mesh/node/control_listener.hpp"
#include "mesh/settings/settings.hpp"

namespace fennelhollow::node {

// Of all that peers can fill, but for control calls.
memory::BufferAccount::Limits BufferLimits(const settings::Settings& settings);
// Of the listener for clients, before any configuration.
egress::HttpServer::Limits ClientLimits(const settings::Settings& settings);
// Of the listener for the platform's readiness checks.
egress::HttpServer::Limits ReadinessLimits(const settings::Settings& settings);
// Of the listener for the local server's calls, and operators'.
ControlListener::Limits ControlLimits(const settings::Settings& settings);

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_SIDECAR_LIMITS_HPP_
