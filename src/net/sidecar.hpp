// One sidecar: puts together the fronts, the core, the connections to servers and discovery. Takes no
// decision and holds no request.
#ifndef MERLINRUN_NET_SIDECAR_HPP_
#define MERLINRUN_NET_SIDECAR_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "asio_loop.hpp"
#include "config.hpp"
#include "core/request_manager.hpp"
#include "diameter/io/node.hpp"
#include "discovery.hpp"
#include "fleet/io/udp_report_exchange.hpp"
#include "fleet/settings.hpp"
#include "handover/channel.hpp"
#include "http_listener.hpp"
#include "memory_budget.hpp"
#include "ops/api.hpp"
#include "ops/listener.hpp"
#include "ops/lifecycle.hpp"
#include "record/recorder.hpp"
#include "stats/counters.hpp"
#include "stats/trace.hpp"
#include "upstream.hpp"
#include "zones/orders.hpp"

namespace merlinrun::net {

class Sidecar {
 public:
  // Throws ConfigError if the settings, or a file of the operator's (Diameter, recording, trace, fleet), make
  // no sense; opens no socket.
  Sidecar(asio::io_context& io, Config config);
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Listens and follows discovery; takes over from a running process of the same sidecar where there is one.
  // Throws boost::system::system_error if an address cannot be had.
  void Start();
  // Called if another process has taken over and nobody has told this one to stop.
  void OnReplaced(std::function<void()> outlived) { outlived_ = std::move(outlived); }
  // Follows the discovery of a new configuration, and the orders on zones as they are now; all else stays as
  // it was at the start. The list is kept until the new address has told its own.
  void Reload(const Config& config);
  // Takes what still comes for a short while, finishes all that it holds, then calls `finished`.
  void Stop(std::function<void()> finished);

  Tcp::endpoint address() const { return http_->address(); }
  std::size_t active_requests() const { return request_manager_->active_requests(); }
  // Bytes that bodies hold, or are promised.
  std::size_t reserved_memory() const { return budget_.reserved(); }
  std::size_t upstream_connections() const { return upstream_.open_connections(); }
  // Where the operators call; none where no such address is configured.
  std::optional<Tcp::endpoint> ops_address() const;
  const stats::Counters& counters() const { return counters_; }
  const record::Recorder* recorder() const { return recorder_.get(); }  // null if it is off
  const fleet::UdpReportExchange* talk() const { return talk_.get(); }  // null if it is off
  diameter::Node* diameter() { return diameter_.get(); }                // null if it is off

 private:
  void OnList(ListUpdate::Kind kind, const EndpointList& list);
  void OnDiscoveryFailed();
  void TellDiameter(const EndpointList& list);
  void OnDiameterUsable(const std::string& server);
  std::size_t HttpSessions(const Config& config) const;
  void Record();
  void StartTrace();
  void StartTalk();
  std::vector<ZoneOverride> Orders(const Config& config) const;
  // Of a process that takes over.
  void Follow(handover::Claim claim);
  void TakeOver();
  void ShareWith(const handover::HeldResources& other);
  // Of one that is taken over from.
  void OpenDoor();
  handover::HeldResources HeldResources() const;
  void GiveWay();
  void SendHeldResources();
  void GoOnAlone();

  asio::io_context& io_;
  const Config config_;
  AsioLoop loop_;
  MemoryBudget budget_;                         // before all that takes of it
  stats::Counters counters_;                    // and before all that counts
  std::unique_ptr<record::Recorder> recorder_;  // only where recording is on; outlives what tells it
  std::unique_ptr<core::RequestManager> request_manager_;
  std::unique_ptr<stats::Trace> trace_;             // only where it is on
  std::unique_ptr<fleet::UdpReportExchange> talk_;  // only where it is on
  Upstream upstream_;
  HttpEgress http_egress_;
  Discovery discovery_;
  std::unique_ptr<HttpFront> http_;
  std::unique_ptr<diameter::Node> diameter_;
  std::unordered_map<std::string, ServerInfo> listed_;  // only where Diameter is on
  std::optional<ops::Phase> phase_;
  std::optional<ops::Api> api_;
  std::optional<ops::Listener> ops_;                // only where its address is configured
  std::string handover_path_;                       // empty: nobody is told, and nobody asked
  std::unique_ptr<handover::Channel> predecessor_;  // the process that this one takes over from, if any
  std::optional<handover::Door> door_;
  std::unique_ptr<core::Timer> handover_timer_;
  std::function<void()> outlived_;
  std::size_t upstream_most_ = 0;
  Micros yielded_ = 0;        // when; 0 = it has not
  bool taking_over_ = false;  // the other process still serves
  std::int64_t generation_ = 0;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_SIDECAR_HPP_
