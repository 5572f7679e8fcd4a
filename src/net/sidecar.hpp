// Assembles a sidecar from listeners, request manager, upstream connections, discovery and operations. Makes
// no load-balancing decisions and holds no requests.
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
#include "ops/lifecycle.hpp"
#include "ops/listener.hpp"
#include "record/recorder.hpp"
#include "stats/counters.hpp"
#include "stats/trace.hpp"
#include "upstream.hpp"
#include "zones/overrides.hpp"

namespace merlinrun::net {

class Sidecar {
 public:
  // Throws ConfigError if the settings or a file that they name are invalid. Opens no sockets.
  Sidecar(asio::io_context& io, Config config);
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Starts listening and following discovery. Takes over from a running process of the same sidecar, if there
  // is one. Throws boost::system::system_error if an address cannot be listened on.
  void Start();
  // Called if a successor has taken over and this process was not stopped within ten seconds.
  void OnReplaced(std::function<void()> on_replaced) { on_replaced_ = std::move(on_replaced); }
  // Applies the discovery address and zone overrides of a new configuration; all else requires a restart. The
  // server list is kept until the new discovery address has sent one.
  void Reload(const Config& config);
  // Graceful shutdown; see ops::Lifecycle::Stop.
  void Stop(std::function<void()> finished);

  Tcp::endpoint address() const { return http_->address(); }
  std::size_t active_requests() const { return request_manager_->active_requests(); }
  // Bytes reserved for bodies.
  std::size_t reserved_memory() const { return budget_.reserved(); }
  std::size_t upstream_connections() const { return upstream_.open_connections(); }
  // The operators' address; none if it is off.
  std::optional<Tcp::endpoint> ops_address() const;
  const stats::Counters& counters() const { return counters_; }
  const record::Recorder* recorder() const { return recorder_.get(); }  // null if it is off
  const fleet::UdpReportExchange* report_exchange() const {
    return report_exchange_.get();
  }                                                       // null if it is off
  diameter::Node* diameter() { return diameter_.get(); }  // null if it is off

 private:
  void OnList(ListUpdate::Kind kind, const EndpointList& list);
  void OnDiscoveryFailed();
  void UpdateDiameterServers(const EndpointList& list);
  void OnDiameterUsable(const std::string& server);
  std::size_t MaxHttpSessions(const Config& config) const;
  void StartRecording();
  void StartTrace();
  void StartPeerExchange();
  std::vector<ZoneOverride> ReadZoneOverrides(const Config& config) const;
  // Hot restart: the side of the successor.
  void BeginTakeover(handover::InheritedState inherited);
  void CompleteTakeover();
  void ApplySharedLimits(const handover::HeldResources& other);
  // Hot restart: the side of the running process.
  void StartHandoverServer();
  handover::HeldResources HeldResources() const;
  void YieldToSuccessor();
  void SendHeldResources();
  void OnSuccessorLost();

  asio::io_context& io_;
  const Config config_;
  AsioLoop loop_;
  MemoryBudget budget_;                         // declared before its users
  stats::Counters counters_;                    // declared before its users
  std::unique_ptr<record::Recorder> recorder_;  // null if it is off; outlives request_manager_
  std::unique_ptr<core::RequestManager> request_manager_;
  std::unique_ptr<stats::Trace> trace_;                        // null if it is off
  std::unique_ptr<fleet::UdpReportExchange> report_exchange_;  // null if it is off
  Upstream upstream_;
  HttpEgress http_egress_;
  Discovery discovery_;
  std::unique_ptr<HttpListener> http_;
  std::unique_ptr<diameter::Node> diameter_;
  std::unordered_map<std::string, ServerInfo> diameter_servers_;  // empty if Diameter is off
  std::optional<ops::Lifecycle> lifecycle_;
  std::optional<ops::Api> api_;
  std::optional<ops::Listener> ops_;                // none without an address
  std::string handover_path_;                       // empty: no hot restart
  std::unique_ptr<handover::Channel> predecessor_;  // the process that this one takes over from
  std::optional<handover::HandoverServer> handover_server_;
  std::unique_ptr<core::Timer> handover_timer_;
  std::function<void()> on_replaced_;
  std::size_t upstream_limit_ = 0;
  Micros yielded_at_ = 0;     // 0 = not yielded
  bool taking_over_ = false;  // the predecessor still serves
  std::int64_t generation_ = 0;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_SIDECAR_HPP_
