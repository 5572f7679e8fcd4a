// Inbound proxy: receives attempts from outbound proxies over links and forwards them to the server on this
// machine. AdmissionQueue makes the admission decisions; this class does the I/O.
#ifndef FENNELHOLLOW_MESH_INGRESS_INBOUND_PROXY_HPP_
#define FENNELHOLLOW_MESH_INGRESS_INBOUND_PROXY_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/loop.hpp"
#include "mesh/ingress/admission_queue.hpp"
#include "mesh/ingress/attempt_protocol.hpp"
#include "mesh/ingress/server_connection_pool.hpp"
#include "mesh/memory/buffer_account.hpp"
#include "mesh/registry/registry.hpp"
#include "mesh/transport/link.hpp"

namespace fennelhollow::ingress {

class InboundProxy : private memory::BufferAccount::Holder {
 public:
  struct Settings {
    std::uint64_t incarnation = 0;  // of this process
    AdmissionQueue::Limits limits;
  };
  struct Callbacks {
    // The local server instance with this id, or null if there is none.
    std::function<const registry::Server*(const std::string& id)> find_server;
    // A request could not be sent to the server instance: no connection could be established, or a pooled
    // one was closed before a byte was written.
    std::function<void(const std::string& id)> on_unreachable;
    // False for attempts that are rejected because the process shuts down.
    std::function<bool(const Attempt&)> accepts_new;
    // Reports each finished interval of a flow's statistics. May be empty.
    std::function<void(const FlowInterval&)> on_interval;
  };
  struct Counters {
    std::uint64_t attempts = 0, forwarded = 0, queued = 0, rejected = 0, resets = 0, malformed_responses = 0,
                  withdrawn = 0, cancelled = 0,
                  abandoned = 0;  // given up though the server had not ended its response
  };

  // `account`, which must outlive it, is charged with the bodies of the attempts.
  InboundProxy(asio::io_context& io, merlinrun::core::Loop& loop, Settings settings,
               memory::BufferAccount& account, Callbacks callbacks);
  ~InboundProxy() override;

  // Serves a link whose Hello has already been received.
  void Serve(std::shared_ptr<transport::Link> link);
  // Gives up attempts that are past their deadline and from whose server nothing has come for
  // kMaxServerSilence: their slots would never be free again. To be called about every 100 ms.
  void OnTick(Micros now);
  // The server instance accepts no more work; the attempts queued for it are rejected.
  void OnServerNotReady(const std::string& id);
  std::size_t in_flight() const { return active_.size(); }
  // Bytes of responses that wait in the links to outbound proxies.
  std::size_t unsent_bytes() const;
  // Fraction (0 to 1) of the requests running at the server that may have run before.
  double retry_share() const;
  const Counters& counters() const { return counters_; }
  const ServerConnectionPool& pool() const { return pool_; }

 private:
  struct Session;
  using SessionPtr = std::shared_ptr<Session>;
  struct ActiveAttempt;

  void OnFrame(const SessionPtr& session, std::string_view frame);
  void OnBodyChunk(const SessionPtr& session, const BodyChunk& chunk);
  void OnAttempt(const SessionPtr& session, Attempt attempt);
  void Admit(const SessionPtr& session);
  void Forward(const AttemptKey& attempt_key);
  void Reject(const AttemptKey& attempt_key, RejectReason reason);
  void OnResponseBody(const AttemptKey& attempt_key, std::string bytes);
  // The server has not seen the forwarded attempt. `unreachable`: by its own fault.
  void OnNotSent(const AttemptKey& attempt_key, bool unreachable);
  // `completed`: the server has ended its response, so that its duration counts.
  void Finish(const AttemptKey& attempt_key, bool completed);
  void Abandon(const AttemptKey& attempt_key);
  // Charges what waits in the link for the caller. False if there was no room for it, and the attempt was
  // given up.
  bool ChargeQueue(const AttemptKey& attempt_key, ActiveAttempt& active);
  void Pause(ActiveAttempt& active);
  void Resume(ActiveAttempt& active);
  // Charges what the link holds of an incomplete frame. False if there is no room for it.
  bool ChargeInput(Session& session, std::size_t bytes);
  // Gives up the response of `server` that has waited longest for its caller, if there is one.
  void AbandonMostStalled(const std::string& server);
  memory::PeerActivity Activity(const Session& session, memory::BufferAccount::Pool pool,
                                const memory::BufferCharge* except) const;
  SessionPtr FindHighestRanked(memory::BufferAccount::Pool pool, const memory::BufferCharge* except) const;
  // memory::BufferAccount::Holder
  std::optional<memory::Duration> HighestRank(memory::BufferAccount::Pool pool,
                                              const memory::BufferCharge* except) const override;
  void EndHighestRanked(memory::BufferAccount::Pool pool, const memory::BufferCharge* except) override;
  void ProcessQueue();
  void ScheduleProcessing();
  void DiscardResponse(ActiveAttempt& active);
  void OnClosed(const SessionPtr& session);

  merlinrun::core::Loop& loop_;
  const Settings settings_;
  const Callbacks callbacks_;
  memory::BufferAccount& account_;
  AdmissionQueue admission_;
  ServerConnectionPool pool_;
  Counters counters_;
  std::set<SessionPtr> sessions_;
  std::map<AttemptKey, std::unique_ptr<ActiveAttempt>> active_;  // queued or forwarded
  std::size_t retries_running_ = 0, running_ = 0;
  std::unique_ptr<merlinrun::core::Timer> timer_;
  bool timer_running_ = false;
};

// Past an attempt's deadline, when its response is of little use.
inline constexpr Micros kMaxServerSilence = 2'000'000;

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_INBOUND_PROXY_HPP_
