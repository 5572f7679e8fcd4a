// The life of a request in the module: arrival, choice of a server, outcome, wait, end. Puts the decisions
// together.
#ifndef MERLINRUN_POLICY_REQUESTS_HPP_
#define MERLINRUN_POLICY_REQUESTS_HPP_

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/asking.hpp"
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

  // The events of Balancer; each is preceded by Advance with its time.
  void Advance(Micros now);
  void OnServers(const ListUpdate& update);
  void OnRequest(const Request& request);
  void OnUploadComplete(std::string_view request, Micros budget);
  void OnOutcome(const Outcome& outcome);
  void OnClientGone(std::string_view request);
  void OnTimer(std::uint64_t token);
  void OnZonePeerReport(const ZonePeerReport& told);

  std::size_t size() const { return held_.size(); }

 protected:  // for whoever explains what is believed
  Common c_;
  ColdStart cold_start_{c_};
  Servers servers_{c_};
  Admission admission_{c_, cold_start_};

 private:
  using HeldIt = std::unordered_map<std::string, Held>::iterator;
  static constexpr std::uint64_t kAskToken = 0;

  bool HasTurn(HeldIt it) const;
  void SendOrWait(HeldIt it);
  Micros TimeOut(const Held& held) const;
  void SeeZone(Server& server, Result result);
  void FeelLate(Held& held);
  void Wait(HeldIt it);
  void Alarm(HeldIt it, Micros wait);
  void End(HeldIt it);
  void CancelRest(HeldIt it);
  void Release(HeldIt it);

  ActionSink& sink_;
  Health health_{c_};
  Choice choice_{c_, health_, cold_start_};
  std::vector<Micros> longest_budget_;  // by class, of its tries: a shorter one is what is left of a deadline
  std::unordered_map<std::string, Held> held_;  // looked up, never walked
  std::unordered_map<std::uint64_t, std::string> timers_;
  std::uint64_t last_timer_ = kAskToken;
  // Request ids by key; looked up, never walked.
  std::unordered_map<std::string, std::deque<std::string>> lines_;
  membership::Asking asking_{[this](Micros most) { return c_.random.Upto(most); }};
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_REQUESTS_HPP_
