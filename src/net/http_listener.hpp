// HTTP/1.1 on both sides of the core: the ingress turns requests into arrivals, the egress turns attempts
// into requests to servers.
#ifndef MERLINRUN_NET_HTTP_LISTENER_HPP_
#define MERLINRUN_NET_HTTP_LISTENER_HPP_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/protocol_listener.hpp"
#include "core/request_manager.hpp"
#include "downstream.hpp"
#include "memory_budget.hpp"
#include "upstream.hpp"

namespace merlinrun::net {

class HttpEgress : public core::Egress {
 public:
  explicit HttpEgress(Upstream& upstream) : upstream_(upstream) {}
  AttemptId Send(const std::string& server, const core::Message& request, const SendOptions& order,
                 Done done) override;
  void CancelAttempt(AttemptId attempt) override { upstream_.GiveUp(attempt); }

 private:
  Upstream& upstream_;
};

class HttpFront : public core::ProtocolListener {
 public:
  // Throws boost::system::system_error if the address cannot be listened on. All that it is given must
  // outlive it.
  HttpFront(asio::io_context& io, const Inbound::Listening& listening, Inbound::Limits limits,
            MemoryBudget& budget, stats::Counters& counters, core::RequestManager& request_manager,
            core::Egress& egress, std::function<bool()> ready);

  void SetDraining(bool draining) override { inbound_.SetDraining(draining); }
  void StopAccepting() override { inbound_.StopAccepting(); }
  void PauseAccepting() override { inbound_.PauseAccepting(); }
  void ResumeAccepting() override { inbound_.ResumeAccepting(); }
  // Client connections from now on; some idle ones are closed if there are more.
  void SetMost(std::size_t sessions) { inbound_.SetMost(sessions); }
  int listener() { return inbound_.listener(); }
  void CloseIdle(Micros rested) override { inbound_.CloseIdle(rested); }
  std::size_t sessions() const override { return inbound_.sessions(); }
  Tcp::endpoint address() const { return inbound_.address(); }

 private:
  void OnRequest(const Inbound::SessionPtr& session, Inbound::Request from, int request_class);
  std::optional<RequestError> Check(const HttpRequest& request, int request_class) const;

  core::RequestManager& request_manager_;
  core::Egress& egress_;
  Inbound inbound_;  // last: it calls back into the rest
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_HTTP_LISTENER_HPP_
