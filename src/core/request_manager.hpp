// The life of a request of any protocol: its attempts, deadline, timers and its one final response. All
// decisions are the Balancer's. This class carries them out between the listener that accepted the request
// and the Egress that sends attempts to servers. It has no sockets, codecs or clock of its own.
//
// Threading: everything runs on the thread of the Loop.
#ifndef MERLINRUN_CORE_REQUEST_MANAGER_HPP_
#define MERLINRUN_CORE_REQUEST_MANAGER_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/loop.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun::core {

// A protocol's request or response, opaque to the core. A request is only passed to the Egress that came with
// it, so each protocol sees only its own messages.
class Message {
 public:
  virtual ~Message() = default;
};
using MessagePtr = std::unique_ptr<Message>;

enum class FailureReason {
  kNoSafeRetry,       // the balancer gave up: no further attempt is safe
  kDeadlineExceeded,  // the deadline passed without a decision of the balancer
};

// Receives the final response of one request: exactly one of the three calls, once. If the client disconnects
// first, it is destroyed without a call.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // A server's response to this request.
  virtual void Deliver(MessagePtr response) = 0;
  // The client can retry safely, after `retry_after` microseconds if that is above 0.
  virtual void Refuse(Micros retry_after) = 0;
  // Promises nothing: the request may have run. `response` is the last server's error response, null if there
  // was none.
  virtual void Fail(FailureReason reason, MessagePtr response) = 0;
};

struct AttemptResult {
  Result result = Result::kUnreachable;
  MessagePtr message;         // the server's response; with kError only if the protocol passes it on
  bool cannot_retry = false;  // the request can't be sent again, e.g. as its body was streamed
};

// Sends attempts to servers, each exactly once. Never retries by itself.
class Egress {
 public:
  using AttemptId = std::uint64_t;
  using Done = std::function<void(AttemptResult)>;
  struct SendOptions {
    Micros response_timeout = 0;
    bool may_have_run = false;  // an earlier attempt of this request may have run
  };

  virtual ~Egress() = default;
  // Starts an attempt. `done` is called once from the loop, never from inside Send, unless the attempt is
  // cancelled.
  virtual AttemptId Send(const std::string& server, const Message& request, const SendOptions& options,
                         Done done) = 0;
  // Cancels an attempt; its `done` is not called after this.
  virtual void CancelAttempt(AttemptId attempt) = 0;
};

// A request as its listener hands it over.
struct IncomingRequest {
  std::string id;  // unique among the active requests
  int request_class = 0;
  int tenant = -1;
  std::optional<Micros> cost;
  std::optional<Micros> client_timeout;  // as the client states it
  Micros upload_time = 0;  // the body may take this long, and OnUploadComplete follows; 0: it is complete
  bool is_retry = false;
  bool write = false;
  std::string key;   // the object that it concerns; empty = none
  int protocol = 0;  // index of the protocol, the bit in ServerInfo::protocols
  MessagePtr request;
  std::unique_ptr<ResponseSink> response_sink;
  Egress* egress = nullptr;  // outlives the request
};

// A request that has its final response, or whose client disconnected, and that has no attempt in flight.
struct CompletedRequest {
  enum class Disposition { kServed, kRefused, kFailed, kClientGone } disposition = Disposition::kClientGone;
  std::string_view id;
  std::string_view key;
  int request_class = 0;
  int protocol = 0;
  bool is_retry = false;
  Micros arrival_time = 0;
  Micros budget = 0;
  Micros duration = 0;  // until the final response or the client's disconnect
  std::size_t attempts = 0;
  std::optional<Cause> end_cause;  // of a refusal or failure that the balancer decided
};

struct CompletedAttempt {
  std::string_view server;
  Result result = Result::kSuccess;
  Micros duration = 0;
  int request_class = 0;
};

class RequestManager : private ActionSink {
 public:
  // Throws std::invalid_argument with a one-line message if the settings are invalid. `subscribe` is called
  // from the loop when the balancer wants the server list again; `log` gets the balancer's log lines.
  RequestManager(Loop& loop, const Settings& settings, std::uint64_t seed, std::function<void()> subscribe,
                 std::function<void(std::string_view)> log);
  ~RequestManager() override;
  RequestManager(const RequestManager&) = delete;
  RequestManager& operator=(const RequestManager&) = delete;

  void OnServers(const ListUpdate& update);

  // True while a request with this id has no final response or has an attempt in flight.
  bool Contains(const std::string& id) const { return requests_.count(id) > 0; }
  // Starts a request of a known class. Its final response may be delivered from inside this call.
  void Submit(IncomingRequest incoming);
  // The body of a request with an upload time is complete: its budget counts from now.
  void OnUploadComplete(const std::string& id);
  // The client has disconnected; its request gets no response.
  void OnClientGone(const std::string& id);

  // Requests that arrive, or whose body completes, from now on must be answered by `deadline`. Requests that
  // are active already keep their deadlines until EnforceShutdownDeadline.
  void SetShutdownDeadline(Micros deadline);
  // Applies the shutdown deadline to the active requests too, and answers those that are due.
  void EnforceShutdownDeadline();
  // `empty` is called whenever the last active request has completed.
  void OnEmpty(std::function<void()> empty) { on_empty_ = std::move(empty); }
  // `completed` is called from the loop for each completed request and must not call back into this. Set it
  // before the first request or not at all.
  void SetCompletionObserver(std::function<void(const CompletedRequest&)> completed) {
    on_request_completed_ = std::move(completed);
  }
  // The same for each attempt.
  void OnAttemptCompleted(std::function<void(const CompletedAttempt&)> completed) {
    on_attempt_completed_ = std::move(completed);
  }
  std::size_t active_requests() const { return requests_.size(); }
  BalancerSnapshot TakeSnapshot() const { return balancer_->TakeSnapshot(loop_.Now()); }
  std::vector<BalancerSnapshot::Zone> TakeZoneSnapshots() const {
    return balancer_->TakeZoneSnapshots(loop_.Now());
  }
  std::uint64_t zones_epoch() const { return balancer_->zones_epoch(); }
  void OnZoneOverrides(std::span<const ZoneOverride> overrides) {
    balancer_->OnZoneOverrides(loop_.Now(), overrides);
  }
  void OnZonePeerSummary(const ZonePeerSummary& report) { balancer_->OnZonePeerSummary(loop_.Now(), report); }

  const Settings& settings() const { return settings_; }

 private:
  struct Attempt {
    Egress::AttemptId egress_id = 0;
    Micros sent = 0;
    Micros expires = 0;
    std::string server;  // set only if OnAttemptCompleted was
    bool in_flight = true;
    bool may_have_run = true;  // until its result excludes it; only for SendOptions
  };
  struct CompletionRecord {
    std::string key;
    CompletedRequest completed;
  };
  // A request from its arrival until it has its final response and its last attempt has ended.
  struct ActiveRequest {
    MessagePtr request;
    std::unique_ptr<ResponseSink> response_sink;  // null after the final response or the client's disconnect
    Egress* egress = nullptr;
    MessagePtr error;     // the last error response of a server
    Micros deadline = 0;  // of the final response
    Micros budget = 0;    // from the end of the request's body to the deadline
    int request_class = 0;
    std::vector<Attempt> attempts;
    std::unique_ptr<Timer> timer;
    std::unique_ptr<CompletionRecord> record;  // set only if SetCompletionObserver was

    bool HasAttemptInFlight() const;
  };
  using ActiveRequests = std::unordered_map<std::string, ActiveRequest>;

  // ActionSink:
  void Send(std::string_view request, const std::string& server, Micros timeout) override;
  void Cancel(std::string_view request, int attempt) override;
  void Refuse(std::string_view request, Micros retry_after, Cause why) override;
  void Fail(std::string_view request, Cause why) override;
  void SetTimer(Micros delay, std::uint64_t token) override;
  void Subscribe() override;
  void Log(std::string_view text) override;

  Micros BudgetOf(const IncomingRequest& incoming) const;
  void OnAttemptResult(const std::string& id, int attempt, AttemptResult attempt_result);
  void FinishAttempt(const std::string& id, int attempt, Result result, bool cannot_retry = false);
  void ArmTimer(const std::string& id, ActiveRequest& active);
  void OnTimerExpired(const std::string& id);
  void EraseIfComplete(const std::string& id);
  // Erases the requests that the balancer has ended. Call after each call of the balancer about a request or
  // a timer: it may end other requests than the one that the call is about.
  void EraseEnded();
  // Returns the request's sink and records how the request ended; the request has no sink after this.
  std::unique_ptr<ResponseSink> TakeSink(ActiveRequest& active, CompletedRequest::Disposition disposition,
                                         std::optional<Cause> why = {});

  Loop& loop_;
  const Settings settings_;
  const std::function<void()> subscribe_;
  const std::function<void(std::string_view)> log_;
  std::function<void()> on_empty_;
  std::function<void(const CompletedRequest&)> on_request_completed_;
  std::function<void(const CompletedAttempt&)> on_attempt_completed_;
  std::vector<std::string> ended_;  // requests that the balancer has refused or failed; see EraseEnded
  std::unique_ptr<Balancer> balancer_;
  ActiveRequests requests_;
  Micros shutdown_deadline_ = 0;  // 0 = none
};

}  // namespace merlinrun::core

#endif  // MERLINRUN_CORE_REQUEST_MANAGER_HPP_
