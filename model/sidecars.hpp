// The sidecars of one day, as one side of a comparison runs them. The world tells them what happens and is
// told what they do. Two ways: the module of this build within the process, or a build's adapter program over
// the bench's wire.
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

// What sidecars do. Called from within the calls to Sidecars, or from its Flush.
class Actions {
 public:
  virtual ~Actions() = default;
  virtual void Send(std::uint32_t sidecar, std::string_view request, std::string_view server,
                    Micros timeout) = 0;
  virtual void Cancel(std::uint32_t sidecar, std::string_view request, int attempt) = 0;
  virtual void Refuse(std::uint32_t sidecar, std::string_view request, Micros retry_after) = 0;
  virtual void Fail(std::uint32_t sidecar, std::string_view request) = 0;
  virtual void SetTimer(std::uint32_t sidecar, Micros delay, std::uint64_t token) = 0;
  // The decision code is broken: the day is over for this side. One line.
  virtual void Fault(std::string what) = 0;
};

class Sidecars {
 public:
  virtual ~Sidecars() = default;
  // Settings of the sidecar: its rank and zone are set.
  virtual void Start(std::uint32_t sidecar, const Settings& settings, std::uint64_t seed, Micros now) = 0;
  virtual void Stop(std::uint32_t sidecar, Micros now) = 0;
  virtual void OnServers(std::uint32_t sidecar, Micros now, const ListUpdate& update) = 0;
  virtual void OnRequest(std::uint32_t sidecar, Micros now, const Request& request) = 0;
  // `server`: where the attempt was sent.
  virtual void OnOutcome(std::uint32_t sidecar, Micros now, const Outcome& outcome,
                         std::string_view server) = 0;
  virtual void OnClientGone(std::uint32_t sidecar, Micros now, std::string_view request) = 0;
  virtual void OnTimer(std::uint32_t sidecar, Micros now, std::uint64_t token) = 0;
  // All that happened at `now` has been told.
  virtual void Flush(Micros now) = 0;
};

// Makes the sidecars of a day for an Actions that outlives them.
using MakeSidecars = std::function<std::unique_ptr<Sidecars>(Actions&)>;

// This build's module, with its tuning in the settings.
std::unique_ptr<Sidecars> InProcess(Actions& actions);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_SIDECARS_HPP_
