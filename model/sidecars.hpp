// Interface between the simulation and the sidecars of one side. Implementations: the balancer of this build
// in the process, or the adapter program of another build.
#ifndef MERLINRUN_MODEL_SIDECARS_HPP_
#define MERLINRUN_MODEL_SIDECARS_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::model {

// Actions of sidecars, called during calls to Sidecars or from its Flush.
class Actions {
 public:
  virtual ~Actions() = default;
  virtual void Send(std::uint32_t sidecar, std::string_view request, std::string_view server,
                    Micros timeout) = 0;
  virtual void Cancel(std::uint32_t sidecar, std::string_view request, int attempt) = 0;
  virtual void Refuse(std::uint32_t sidecar, std::string_view request, Micros retry_after) = 0;
  virtual void Fail(std::uint32_t sidecar, std::string_view request) = 0;
  virtual void SetTimer(std::uint32_t sidecar, Micros delay, std::uint64_t token) = 0;
  // The decision code failed, which ends the day for this side. `message`: one line.
  virtual void Fault(std::string message) = 0;
};

class Sidecars {
 public:
  virtual ~Sidecars() = default;
  // `settings` has the sidecar's index and zone.
  virtual void Start(std::uint32_t sidecar, const Settings& settings, std::uint64_t seed, Micros now) = 0;
  virtual void Stop(std::uint32_t sidecar, Micros now) = 0;
  virtual void OnServers(std::uint32_t sidecar, Micros now, const ListUpdate& update) = 0;
  virtual void OnRequest(std::uint32_t sidecar, Micros now, const Request& request) = 0;
  // `server`: the target of the attempt.
  virtual void OnOutcome(std::uint32_t sidecar, Micros now, const Outcome& outcome,
                         std::string_view server) = 0;
  virtual void OnClientGone(std::uint32_t sidecar, Micros now, std::string_view request) = 0;
  virtual void OnTimer(std::uint32_t sidecar, Micros now, std::uint64_t token) = 0;
  // Ends a batch: all events at `now` were delivered.
  virtual void Flush(Micros now) = 0;
};

// Creates the sidecars of a day. The Actions must outlive them.
using SidecarsFactory = std::function<std::unique_ptr<Sidecars>(Actions&)>;

// The balancer of this build, with the tuning in its settings.
std::unique_ptr<Sidecars> MakeInProcessSidecars(Actions& actions);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_SIDECARS_HPP_
