// Operators of the simulation: orders (whole configurations and changes) and reads, sent to any core, again
// after silence or a 5xx, to others first; two of them may pick the same number.
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
#include "rig/sim/judge.hpp"

namespace fennelhollow::sim {

class Operators {
 public:
  // Absent: no answer came.
  using Done = std::function<void(std::optional<control::Response>)>;
  // Sends a call to some core; the next `turn` is the next core.
  using CallCore =
      std::function<void(std::uint64_t turn, control::CallKind kind, const std::string& body, Done done)>;

  Operators(EventQueue& events, Judge& judge, std::uint64_t seed, int count, CallCore call);

  // No new orders from now on; those that are open are sent on.
  void Rest() { resting_ = true; }
  bool AllClear() const;  // no order is open

 private:
  struct Operator {
    std::int64_t newest = 0;  // that it knows of
    int open = 0;
  };

  void Next(std::size_t who);
  Order MakeOrder(const Operator& from);
  void Send(std::size_t who, std::uint64_t id, int tries);
  void OnAnswer(std::size_t who, std::uint64_t id, int tries, Micros sent_at,
                const std::optional<control::Response>& answer);
  void Close(std::size_t who, Micros pause);
  void ReadNewest(std::size_t who);
  void ReadLoop();

  EventQueue& events_;
  Judge& judge_;
  merlinrun::Random random_;
  const CallCore call_;
  std::vector<Operator> operators_;
  std::uint64_t orders_ = 0;
  bool resting_ = false;
};

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_OPERATORS_HPP_
