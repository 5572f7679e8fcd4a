// Averages of the attempts in flight and of the rate of timely responses of a sidecar.
#ifndef MERLINRUN_BASE_BASELINE_HPP_
#define MERLINRUN_BASE_BASELINE_HPP_

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "base/averaging.hpp"
#include "base/in_flight_ages.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun {

class Baseline {
 public:
  void OnSent(Micros now) { ages_.OnSent(now); }
  void OnEnded(Micros sent, Micros now) { ages_.OnEnded(sent, now); }
  // Records the attempts in flight that a request found while there was no overload or capacity loss.
  void OnNormalArrival(int in_flight) {
    normal_samples_ = std::min(normal_samples_ + 1, kAverageRequests);
    normal_in_flight_ += (in_flight - normal_in_flight_) / normal_samples_;
  }
  // Records the attempts in flight over `servers` servers that a response found without overload.
  void OnResponse(int in_flight, std::size_t servers) {
    in_flight_samples_ = std::min(in_flight_samples_ + 1, kInFlightSamples);
    in_flight_per_server_ +=
        (in_flight / static_cast<double>(servers) - in_flight_per_server_) / in_flight_samples_;
  }
  void OnAttemptTime(Micros elapsed) {
    attempt_time_ += (static_cast<double>(elapsed) - attempt_time_) / std::max(in_flight_samples_, 1.0);
  }
  // A response arrived within its latency target.
  void OnServedInTime(Micros now) {
    served_in_time_ = Rate(now) * kRateWindow + 1;
    served_at_ = now;
  }

  // Timely responses per microsecond, averaged over about kRateWindow.
  double Rate(Micros now) const {
    return served_in_time_ * std::exp(static_cast<double>(served_at_ - now) / kRateWindow) / kRateWindow;
  }
  // Attempts in flight for less than `times` the average duration.
  int CountYounger(double times, Micros now) const {
    return ages_.CountYounger(static_cast<Micros>(times * attempt_time_), now);
  }
  bool has_baseline() const { return in_flight_samples_ >= kMinInFlightSamples; }
  double in_flight_per_server() const { return in_flight_per_server_; }
  double attempt_time() const { return attempt_time_; }  // average duration, in microseconds
  bool has_normal() const { return normal_samples_ >= kMinNormalSamples; }
  double normal_in_flight() const { return normal_in_flight_; }

 private:
  // Number of responses averaged, and the minimum for a valid average.
  static constexpr double kInFlightSamples = 5000;
  static constexpr double kMinInFlightSamples = 500;
  // Minimum number of requests for a valid average.
  static constexpr double kMinNormalSamples = 10;
  // Time constant of the rate, in microseconds.
  static constexpr double kRateWindow = 200'000;

  InFlightAges ages_;
  double in_flight_samples_ = 0;
  double in_flight_per_server_ = 0;
  double attempt_time_ = 0;
  double served_in_time_ = 0;  // decayed as of served_at_
  Micros served_at_ = 0;
  double normal_samples_ = 0;
  double normal_in_flight_ = 0;
};

}  // namespace merlinrun

#endif  // MERLINRUN_BASE_BASELINE_HPP_
