// One sidecar: brings the application, the servers and discovery together around the decision module. Every
// decision is the module's; this holds the requests, the timers and the clock.
#ifndef MERLINRUN_NET_SIDECAR_HPP_
#define MERLINRUN_NET_SIDECAR_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "budget.hpp"
#include "config.hpp"
#include "discovery.hpp"
#include "inbound.hpp"
#include "merlinrun/balancer.hpp"
#include "upstream.hpp"

namespace merlinrun::net {

class Sidecar : private ActionSink {
 public:
  // Throws ConfigError if the settings make no sense; opens no socket.
  Sidecar(asio::io_context& io, Config config);
  ~Sidecar() override;
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Listens and follows discovery. Throws boost::system::system_error if the address cannot be had.
  void Start();
  // Follows the discovery of a new configuration; all else stays as it was at the start. The list is kept
  // until the new address has told its own.
  void Reload(const Config& config);
  // Takes what still comes for a short while, finishes all that it holds, then calls `finished`.
  void Drain(std::function<void()> finished);

  Tcp::endpoint address() const { return inbound_->address(); }
  std::size_t requests_held() const { return calls_.size(); }
  std::size_t upstream_connections() const { return upstream_.open_connections(); }

 private:
  struct Attempt {
    Upstream::AttemptId upstream = 0;
    Micros sent = 0;
    Micros expires = 0;
    bool out = true;
  };
  // A request, from its arrival until it has its answer and its last attempt is resolved.
  struct Call {
    HttpRequest request;
    Inbound::SessionPtr session;  // null once it has been answered or its client has gone
    Micros deadline = 0;          // the final answer is owed before
    std::vector<Attempt> attempts;
    std::unique_ptr<asio::steady_timer> timer;

    bool AnyOut() const;
  };
  using Calls = std::unordered_map<std::string, Call>;

  // The module's actions.
  void Send(std::string_view request, const std::string& server, Micros timeout) override;
  void Cancel(std::string_view request, int attempt) override;
  void Refuse(std::string_view request, Micros retry_after) override;
  void Fail(std::string_view request) override;
  void SetTimer(Micros delay, std::uint64_t token) override;
  void Subscribe() override;
  void Log(std::string_view text) override;

  Micros Now() const;
  void OnList(ListUpdate::Kind kind, const EndpointList& list);
  void OnDiscoveryFailed();
  void OnRequest(const Inbound::SessionPtr& session, HttpRequest request);
  void OnClientGone(const std::string& id);
  void OnAnswer(const std::string& id, int attempt, UpstreamAnswer answer);
  void Conclude(const std::string& id, int attempt, Result result);
  void Answer(Call& call, HttpResponse response, Charge charge = {});
  void Watch(const std::string& id, Call& call);
  void OnDue(const std::string& id);
  void EraseIfOver(const std::string& id);
  HttpRequest Forwarded(const Call& call, Micros left) const;
  std::optional<Fault> Check(const HttpRequest& request, int request_class) const;
  Micros BudgetOf(const HttpRequest& request, int request_class) const;
  int ClassIndex(std::string_view name) const;
  int TenantIndex(std::string_view name) const;
  void FinishDrain();
  void HurryCalls();
  void CheckFinished();

  asio::io_context& io_;
  const Config config_;
  const Micros clock_offset_;
  Budget budget_;  // before all that takes of it
  std::unique_ptr<Balancer> balancer_;
  Upstream upstream_;
  Discovery discovery_;
  std::unique_ptr<Inbound> inbound_;
  Calls calls_;
  std::int64_t generation_ = 0;
  asio::steady_timer drain_timer_;
  std::function<void()> finished_;
  Micros drain_end_ = 0;  // 0 while it does not drain
  bool closing_ = false;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_SIDECAR_HPP_
