// Simulated operators: send configuration changes and reads to any core and retry on another one after a
// timeout or 5xx. Two of them may choose the same version number.
#ifndef FENNELHOLLOW_RIG_SIM_OPERATORS_HPP_
#define FENNELHOLLOW_RIG_SIM_OPERATORS_HPP_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "mesh/control/call_forwarder.hpp"
#include "rig/sim/event_queue.hpp"
#include "rig/sim/history_checker.hpp"

namespace fennelhollow::sim {

class Operators {
 public:
  // Absent: no response.
  using Done = std::function<void(std::optional<control::Response>)>;
  // Sends a call to a core; the next `turn` selects the next core.
  using CallCore =
      std::function<void(std::uint64_t turn, control::CallKind kind, const std::string& body, Done done)>;

  Operators(EventQueue& events, HistoryChecker& checker, std::uint64_t seed, int count, CallCore call);

  // Starts no new changes; open ones are still retried.
  void StopNewChanges() { stopped_ = true; }
  bool AllResolved() const;  // no change is open

 private:
  struct Operator {
    std::int64_t newest = 0;  // newest version it knows
    int open = 0;
  };

  void Next(std::size_t index);
  ChangeRequest MakeChange(const Operator& from);
  void Send(std::size_t index, std::uint64_t id, int attempts);
  void OnResponse(std::size_t index, std::uint64_t id, int attempts, Micros sent_at,
                  const std::optional<control::Response>& response);
  void ScheduleNext(std::size_t index, Micros pause);
  void ReadNewest(std::size_t index);
  void ReadLoop();

  EventQueue& events_;
  HistoryChecker& checker_;
  merlinrun::Random random_;
  const CallCore call_;
  std::vector<Operator> operators_;
  std::uint64_t last_change_id_ = 0;
  bool stopped_ = false;
};

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_OPERATORS_HPP_
