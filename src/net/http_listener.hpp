// Connects HTTP/1.1 to the core: HttpListener submits client requests, HttpEgress sends attempts to servers.
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
  AttemptId Send(const std::string& server, const core::Message& request, const SendOptions& options,
                 Done done) override;
  void CancelAttempt(AttemptId attempt) override { upstream_.CancelAttempt(attempt); }

 private:
  Upstream& upstream_;
};

class HttpListener : public core::ProtocolListener {
 public:
  // Throws boost::system::system_error if the address cannot be listened on. The references must outlive
  // this.
  HttpListener(asio::io_context& io, const Downstream::ListenOptions& options, Downstream::Limits limits,
               MemoryBudget& budget, stats::Counters& counters, core::RequestManager& request_manager,
               core::Egress& egress, std::function<bool()> ready);

  void SetDraining(bool draining) override { downstream_.SetDraining(draining); }
  void StopAccepting() override { downstream_.StopAccepting(); }
  void PauseAccepting() override { downstream_.PauseAccepting(); }
  void ResumeAccepting() override { downstream_.ResumeAccepting(); }
  // Closes idle client connections above the new limit.
  void SetMaxSessions(std::size_t sessions) { downstream_.SetMaxSessions(sessions); }
  int listener() { return downstream_.listener(); }
  void CloseIdle(Micros min_idle) override { downstream_.CloseIdle(min_idle); }
  std::size_t sessions() const override { return downstream_.sessions(); }
  Tcp::endpoint address() const { return downstream_.address(); }

 private:
  void OnRequest(const Downstream::SessionPtr& session, Downstream::Request received, int request_class);
  std::optional<RequestError> Check(const HttpRequest& request, int request_class) const;

  core::RequestManager& request_manager_;
  core::Egress& egress_;
  Downstream downstream_;  // last member: its callbacks use the others
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_HTTP_LISTENER_HPP_
