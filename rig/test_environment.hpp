// Environment of a test run: traffic classes, servers in two or three data centres, discovery, the sidecar's
// configurations and the invariant checker, all on one event loop.
#ifndef MERLINRUN_RIG_TEST_ENVIRONMENT_HPP_
#define MERLINRUN_RIG_TEST_ENVIRONMENT_HPP_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "diameter/application.hpp"
#include "net/asio_loop.hpp"
#include "rig/clients.hpp"
#include "rig/discovery.hpp"
#include "rig/invariant_checker.hpp"
#include "rig/server.hpp"

namespace merlinrun::rig {

// The four example classes with short service times, so that long runs take seconds. One request in ten is a
// number-port, which must not be repeated.
std::vector<TrafficClass> ShortClasses();

// A loopback address with a free port.
std::string FreeAddress();

// The example Diameter file with its listen address replaced.
std::string ExampleDiameterFile(const std::string& listen);

class TestEnvironment {
 public:
  // `diameter_file`: content of the Diameter file of servers and sidecar.
  // `zones`: 2, or 3 with south; servers are assigned to them in turn.
  TestEnvironment(std::vector<TrafficClass> traffic_classes, int servers, ServerOptions options,
                  const std::string& diameter_file, int zones = 2);
  TestEnvironment(const TestEnvironment&) = delete;
  TestEnvironment& operator=(const TestEnvironment&) = delete;

  // The example configuration with this environment's discovery, instances and classes.
  nlohmann::json Config() const;
  // The balancer settings of that configuration.
  Settings ModuleSettings() const;

  // Runs the event loop until `done` returns true; false on timeout.
  bool RunUntil(const std::function<bool()>& done, std::chrono::seconds most = std::chrono::seconds(60));
  void RunFor(std::chrono::milliseconds time);

  boost::asio::io_context io;
  net::AsioLoop loop;
  const std::vector<TrafficClass> classes;
  InvariantChecker checker;
  DataCentre east;
  DataCentre west;
  DataCentre south;
  std::vector<DataCentre*> zones;  // in the order of the settings
  diameter::Application application;
  Discovery discovery;
  std::vector<std::unique_ptr<Server>> servers;
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_TEST_ENVIRONMENT_HPP_
