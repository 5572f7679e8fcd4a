// HTTP/1.1 server for clients on this machine. Buffers each request completely and handles one request per
// connection at a time; responses are sent whole or streamed.
#ifndef FENNELHOLLOW_MESH_EGRESS_HTTP_SERVER_HPP_
#define FENNELHOLLOW_MESH_EGRESS_HTTP_SERVER_HPP_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mesh/memory/buffer_account.hpp"
#include "mesh/settings/settings.hpp"
#include "net/protocol.hpp"

namespace fennelhollow::egress {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;
using merlinrun::net::Tcp;
using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method, target, host;
  Headers headers;  // without hop-by-hop headers and the body's framing
  std::string body;
};

class HttpServer : private memory::BufferAccount::Holder {
 public:
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  struct Limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 67108864;
    std::int64_t header_timeout_ms = 3000;
    std::int64_t idle_timeout_ms = 15000;
    std::int64_t response_grace_ms = 15000;  // before a minimum rate of reading a response holds
    std::size_t max_connections = 3000;
  };
  struct Counters {
    // Connections that were reset because they held memory or a place without making progress.
    std::uint64_t evicted = 0;
    std::uint64_t refused_bodies = 0;  // 503, for lack of memory
    std::uint64_t too_slow = 0;        // connections whose client did not read its response
  };
  struct Handler {
    // Called with a complete request. The handler must send exactly one response: Respond, or Begin followed
    // by Finish or Abort.
    std::function<void(const SessionPtr&, HttpRequest)> on_request;
    // The client disconnected before its response was complete; no response is expected any more.
    std::function<void(const SessionPtr&)> on_disconnect;
  };

  // Throws boost::system::system_error if the address can't be listened on. `account`, which must outlive it,
  // is charged with what the connections buffer, in both directions.
  HttpServer(asio::io_context& io, const settings::Address& address, Limits limits,
             memory::BufferAccount& account, Handler handler);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  static void Respond(const SessionPtr& session, unsigned status, const Headers& headers,
                      std::string_view body);
  // `body_length` -1: the body is sent in chunks.
  static void Begin(const SessionPtr& session, unsigned status, const Headers& headers,
                    std::int64_t body_length);
  static void Write(const SessionPtr& session, std::string_view bytes);
  static void Finish(const SessionPtr& session);
  // Resets the connection, so that the client detects the truncated response.
  static void Abort(const SessionPtr& session);
  // Charges the session with `bytes` of a response that is buffered before it begins. If there is no memory
  // for it, the connection is reset and on_disconnect called, as if the client had left.
  static void ChargeHeldResponse(const SessionPtr& session, std::size_t bytes);
  // Response bytes that have not been written to the socket yet.
  static std::size_t QueuedBytes(const SessionPtr& session);
  // `drained` is called whenever all queued bytes have been written, but not any more after Finish or Abort.
  static void OnDrained(const SessionPtr& session, std::function<void()> drained);
  // A value for the owner's use.
  static std::uint64_t& Tag(const SessionPtr& session);

  void SetLimits(const Limits& limits) { limits_ = limits; }
  // Sends Connection: close with every response from now on. Idle connections stay open, because the client
  // may just be sending a request.
  void SetDraining();
  // Accepts the connections that are already established, then stops listening.
  void StopAccepting();
  // Stops accepting and handles the input that has already arrived on all connections. Call before the
  // process exits, so that it does not cut off requests whose bytes it has.
  void HandleArrived();
  std::size_t sessions() const { return sessions_.size(); }
  std::size_t busy() const { return busy_; }  // connections with an unfinished request or response
  const Counters& counters() const { return counters_; }

 private:
  using Clock = std::chrono::steady_clock;

  // Of a new connection, when all places are taken.
  enum class Admission { kAdmitted, kLater, kRefused };

  void Accept();
  void AcceptSome();
  void AcceptLater(Clock::duration delay);
  bool Admit(Tcp::socket& socket);
  void AdmitNewcomer();
  void AddSession(Tcp::socket socket, bool read_at_once);
  Admission MakeRoom();
  void RankForPlaces();
  SessionPtr FindHighestRanked(memory::BufferAccount::Pool pool, const memory::BufferCharge* except) const;
  // memory::BufferAccount::Holder
  std::optional<memory::Duration> HighestRank(memory::BufferAccount::Pool pool,
                                              const memory::BufferCharge* except) const override;
  void EndHighestRanked(memory::BufferAccount::Pool pool, const memory::BufferCharge* except) override;
  void ScheduleSweep();

  asio::io_context& io_;
  Limits limits_;
  Handler handler_;
  Tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_, sweep_timer_;
  bool draining_ = false;
  memory::BufferAccount& account_;
  Counters counters_;
  std::size_t busy_ = 0;
  std::list<SessionPtr> sessions_;
  std::vector<SessionPtr> giving_way_;   // in this turn of accepting; the next one last
  std::optional<Tcp::socket> newcomer_;  // waits for a place
};

}  // namespace fennelhollow::egress

#endif  // FENNELHOLLOW_MESH_EGRESS_HTTP_SERVER_HPP_
