// Request lifecycle: arrival, server selection, outcome, retry and end.
#ifndef MERLINRUN_POLICY_REQUESTS_HPP_
#define MERLINRUN_POLICY_REQUESTS_HPP_

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/list_retry.hpp"
#include "policy/admission.hpp"
#include "policy/choice.hpp"
#include "policy/cold_start.hpp"
#include "policy/health.hpp"
#include "policy/records.hpp"
#include "policy/window.hpp"

namespace merlinrun {

class Requests {
 public:
  Requests(const Settings& settings, std::uint64_t seed, Micros now, ActionSink& sink);

  // Event handlers of Balancer; Advance sets the time of each event first.
  void Advance(Micros now);
  void OnServers(const ListUpdate& update);
  void OnRequest(const Request& request);
  void OnUploadComplete(std::string_view request, Micros budget);
  void OnOutcome(const Outcome& outcome);
  void OnClientGone(std::string_view request);
  void OnTimer(std::uint64_t token);
  void OnZonePeerSummary(const ZonePeerSummary& report);

  std::size_t size() const { return requests_.size(); }

 protected:  // for snapshots
  PolicyContext c_;
  ColdStart cold_start_{c_};
  ServerList servers_{c_};
  Admission admission_{c_, cold_start_};

 private:
  using RequestIt = std::unordered_map<std::string, ActiveRequest>::iterator;
  static constexpr std::uint64_t kListTimerToken = 0;

  bool IsFirstForKey(RequestIt it) const;
  void SendOrWait(RequestIt it);
  Micros AttemptTimeout(const ActiveRequest& active) const;
  void UpdateZone(Server& server, Result result);
  void OnTargetMissed(ActiveRequest& active);
  void RetryLater(RequestIt it);
  void StartTimer(RequestIt it, Micros wait);
  void End(RequestIt it);
  void CancelInFlight(RequestIt it);
  void EraseIfDone(RequestIt it);

  ActionSink& sink_;
  Health health_{c_};
  ServerSelector selector_{c_, health_, cold_start_};
  std::vector<Micros> longest_budget_;  // by class; a shorter budget marks a retry by the client
  std::unordered_map<std::string, ActiveRequest> requests_;  // lookup only, never iterated
  std::unordered_map<std::uint64_t, std::string> timers_;
  std::uint64_t last_timer_ = kListTimerToken;
  // Request ids in order of arrival, by key.
  std::unordered_map<std::string, std::deque<std::string>> key_queues_;
  membership::ListRetry list_retry_{[this](Micros bound) { return c_.random.Upto(bound); }};
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_REQUESTS_HPP_
