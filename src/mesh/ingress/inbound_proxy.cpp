#include "mesh/ingress/inbound_proxy.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "mesh/memory/receive_buffer.hpp"
#include "mesh/transport/read_buffer.hpp"

namespace fennelhollow::ingress {
namespace {

constexpr Micros kMs = 1000;
// Reading from the server pauses while more than this of the response is queued on the link.
constexpr std::size_t kMaxQueuedBytes = std::size_t{256} * 1024;
// Bounds the memory for one request body; the configured limit may exceed the available memory.
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024 * 1024;
// Responses that have waited for their callers for so long may be given up if others need a slot.
constexpr Micros kSlotStall = 1000 * kMs;
// Of a link with a long response, whose client may pause.
constexpr int kStreamUserTimeoutMs = 60'000;
// Interval at which queued attempts are checked for timeouts.
constexpr Micros kQueueInterval = 10 * kMs;

// Of the head of an attempt: its own, and the text that is sent to the server.
constexpr std::size_t kHeadCopies = 2;

// What an attempt keeps of its request.
std::size_t RequestBytes(const Attempt& attempt) {
  std::size_t head_bytes = attempt.target.size();
  for (const auto& [name, value] : attempt.headers)
    head_bytes += name.size() + value.size() + memory::kFieldOverheadBytes;
  return attempt.body.size() + kHeadCopies * head_bytes;
}

}  // namespace

// A link from an outbound proxy; carries at most one attempt at a time.
struct InboundProxy::Session {
  std::shared_ptr<transport::Link> link;
  AttemptKey attempt_key;
  bool busy = false;
  bool receiving_body = false;
  Attempt attempt;
  memory::BufferCharge charge;        // of the attempt's body
  memory::BufferCharge input_charge;  // of an incomplete frame
  bool lacks_memory = false;          // for the body, whose rest is discarded
  memory::PeerWait input_wait;        // for the rest of the body, or of a frame
};

struct InboundProxy::ActiveAttempt {
  Micros WaitedForCaller(Micros now) const { return waited + (paused ? now - paused_since : 0); }

  SessionPtr session;
  Attempt attempt;
  memory::BufferCharge charge;        // of its request
  memory::BufferCharge queue_charge;  // of its response in the link
  Micros received_at = 0;
  Micros deadline = 0;
  Micros server_heard_at = 0;  // when the request or the last part of the response passed
  bool forwarded = false;
  bool may_have_run_before = false;
  ServerConnectionPool::Handle handle = 0;
  bool paused = false;  // the caller does not read
  Micros paused_since = 0;
  Micros waited = 0;         // for the caller, before paused_since
  bool caller_gone = false;  // the rest of the response is discarded
  // Held back until part of the body has arrived, so that a short response fits in one frame.
  ResponseHead head;
  bool head_sent = false;
  std::size_t body_bytes = 0;
};

InboundProxy::InboundProxy(asio::io_context& io, merlinrun::core::Loop& loop, Settings settings,
                           memory::BufferAccount& account, Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      account_(account),
      admission_(settings.limits),
      pool_(io),
      timer_(loop.NewTimer()) {
  admission_.OnInterval(callbacks_.on_interval);
  account_.AddHolder(*this);
}

InboundProxy::~InboundProxy() {
  account_.RemoveHolder(*this);
  for (const SessionPtr& session : sessions_) session->link->Close();
}

void InboundProxy::Serve(std::shared_ptr<transport::Link> link) {
  auto session = std::make_shared<Session>();
  session->link = std::move(link);
  sessions_.insert(session);
  session->link->Send(Encode(FrameType::kHello, transport::Hello{.purpose = transport::Purpose::kProxy,
                                                                 .from = {},
                                                                 .address = {},
                                                                 .incarnation = settings_.incarnation}));
  transport::Link::Events events;
  events.on_frame = [this, weak = std::weak_ptr<Session>(session)](std::string_view frame) {
    if (const auto locked = weak.lock()) OnFrame(locked, frame);
  };
  events.on_closed = [this, weak = std::weak_ptr<Session>(session)] {
    if (const auto locked = weak.lock()) OnClosed(locked);
  };
  events.on_drained = [this, weak = std::weak_ptr<Session>(session)] {
    const auto locked = weak.lock();
    if (locked == nullptr || !locked->busy) return;
    const auto it = active_.find(locked->attempt_key);
    if (it == active_.end()) return;
    it->second->queue_charge.Release();
    Resume(*it->second);
  };
  events.on_input_memory = [this, weak = std::weak_ptr<Session>(session)](std::size_t bytes) {
    const auto locked = weak.lock();
    return locked == nullptr || ChargeInput(*locked, bytes);
  };
  session->link->SetMaxFrameBytes(transport::kMaxFrameBytes);
  session->link->SetEvents(std::move(events));
}

void InboundProxy::OnClosed(const SessionPtr& session) {
  sessions_.erase(session);
  if (!session->busy) return;
  const AttemptKey attempt_key = session->attempt_key;
  const auto it = active_.find(attempt_key);
  if (it == active_.end()) return;
  ++counters_.cancelled;
  if (!admission_.OnCancel(attempt_key) && it->second->forwarded && it->second->handle != 0) {
    // Nobody waits for the response. A safe request is cancelled at the server; an unsafe one runs to its
    // end, because cancelling it gains nothing.
    if (it->second->attempt.unsafe) return DiscardResponse(*it->second);
    pool_.Cancel(it->second->handle);
  }
  Finish(attempt_key, false);
  ProcessQueue();
}

// The attempt stays active until the server is done.
void InboundProxy::DiscardResponse(ActiveAttempt& active) {
  active.caller_gone = true;
  std::string().swap(active.head.body);
  Resume(active);
}

bool InboundProxy::ChargeInput(Session& session, std::size_t bytes) {
  const auto now = memory::Clock::now();
  const std::size_t before = session.input_charge.bytes();
  if (before == 0) session.input_wait.Begin(now, memory::kMinRequestBytesPerS);
  if (bytes > before) session.input_wait.OnBytes(now, bytes - before);
  return account_.ChargeOrReclaim(session.input_charge, bytes);
}

bool InboundProxy::ChargeQueue(const AttemptKey& attempt_key, ActiveAttempt& active) {
  const std::size_t queued = active.session->link->queued_bytes();
  // The queue's memory grows by doubling, and the rest of the response waits unread in the connection to the
  // server. What an ordinary response takes on its way is not charged.
  const std::size_t bytes = queued <= transport::kReadBufferBytes
                                ? 0
                                : 2 * queued + memory::MaxUnreadBytes(memory::kServerReceiveBytes);
  if (account_.ChargeOrReclaim(active.queue_charge, bytes)) return true;
  Abandon(attempt_key);
  return false;
}

void InboundProxy::Pause(ActiveAttempt& active) {
  if (std::exchange(active.paused, true)) return;
  active.paused_since = loop_.Now();
  pool_.Pause(active.handle);
}

void InboundProxy::Resume(ActiveAttempt& active) {
  if (!active.paused) return;
  active.waited = active.WaitedForCaller(loop_.Now());
  active.paused = false;
  active.server_heard_at = loop_.Now();
  pool_.Resume(active.handle);
}

void InboundProxy::OnFrame(const SessionPtr& session, std::string_view frame) {
  const auto close_link = [&] {
    session->link->Close();
    OnClosed(session);
  };
  switch (TypeOf(frame)) {
    case FrameType::kAttempt: {
      auto attempt = Decode<Attempt>(frame);
      if (!attempt.ok() || session->busy || session->receiving_body) return close_link();
      if (attempt->body_follows) {
        session->receiving_body = true;
        session->lacks_memory = false;
        session->input_wait.Begin(memory::Clock::now(), memory::kMinRequestBytesPerS);
        session->attempt = *std::move(attempt);
        return;
      }
      return OnAttempt(session, *std::move(attempt));
    }
    case FrameType::kBodyChunk: {
      const auto chunk = Decode<BodyChunk>(frame);
      if (!chunk.ok() || !session->receiving_body ||
          session->attempt.body.size() + chunk->bytes.size() > kMaxBodyBytes)
        return close_link();
      return OnBodyChunk(session, *chunk);
    }
    case FrameType::kStatusQuery: {
      const auto query = Decode<StatusQuery>(frame);
      if (!query.ok()) return close_link();
      const bool forwarded = admission_.OnStatusQuery(loop_.Now(), query->attempt_key);
      if (!forwarded) {
        ++counters_.withdrawn;
        if (const auto it = active_.find(query->attempt_key); it != active_.end())
          Reject(query->attempt_key, RejectReason::kWithdrawn);
      }
      session->link->Send(Encode(FrameType::kStatusReply, StatusReply{forwarded}));
      return;
    }
    default:
      return close_link();
  }
}

void InboundProxy::OnBodyChunk(const SessionPtr& session, const BodyChunk& chunk) {
  std::string& body = session->attempt.body;
  session->input_wait.OnBytes(memory::Clock::now(), chunk.bytes.size());
  if (!session->lacks_memory &&
      !account_.ChargeOrReclaim(session->charge, body.size() + chunk.bytes.size())) {
    session->lacks_memory = true;
    std::string().swap(body);
    session->charge.Release();
  }
  if (!session->lacks_memory) body += chunk.bytes;
  if (!chunk.end) return;
  session->receiving_body = false;
  OnAttempt(session, std::exchange(session->attempt, {}));
}

void InboundProxy::OnAttempt(const SessionPtr& session, Attempt attempt) {
  ++counters_.attempts;
  session->busy = true;
  session->attempt_key = attempt.attempt_key;
  if (active_.count(attempt.attempt_key) > 0) {
    session->busy = false;
    session->link->Send(
        Encode(FrameType::kRejected, Rejected{static_cast<std::uint8_t>(RejectReason::kWithdrawn)}));
    return;
  }
  auto active = std::make_unique<ActiveAttempt>();
  active->session = session;
  active->attempt = std::move(attempt);
  active->received_at = loop_.Now();
  const AttemptKey attempt_key = active->attempt.attempt_key;
  const bool lacks_memory =
      session->lacks_memory || !account_.ChargeOrReclaim(session->charge, RequestBytes(active->attempt));
  active->charge = std::move(session->charge);
  session->charge = {};
  session->lacks_memory = false;
  const ActiveAttempt& received = *active;
  active_[attempt_key] = std::move(active);
  const Micros now = loop_.Now();
  const registry::Server* server = callbacks_.find_server(received.attempt.server);
  if (!callbacks_.accepts_new(received.attempt))
    return admission_.OnStatusQuery(now, attempt_key), Reject(attempt_key, RejectReason::kShuttingDown);
  if (lacks_memory)
    return admission_.OnStatusQuery(now, attempt_key), Reject(attempt_key, RejectReason::kQueueFull);
  if (server == nullptr)
    return admission_.OnStatusQuery(now, attempt_key), Reject(attempt_key, RejectReason::kUnknownInstance);
  if (server->state != registry::State::kReady)
    return admission_.OnStatusQuery(now, attempt_key), Reject(attempt_key, RejectReason::kDraining);
  AdmissionQueue::Attempt admission;
  admission.attempt_key = attempt_key;
  admission.server = received.attempt.server;
  admission.slots = server->slots;
  admission.flow = {received.attempt.route, received.attempt.priority};
  admission.due = now + received.attempt.due_ms * kMs;
  admission.queue_deadline = now + received.attempt.max_queue_ms * kMs;
  if (!admission_.HasFreeSlot(admission.server)) AbandonMostStalled(admission.server);
  const auto decision = admission_.OnAttempt(now, admission);
  if (decision == AdmissionQueue::Decision::kReject) return Reject(attempt_key, RejectReason::kQueueFull);
  if (decision == AdmissionQueue::Decision::kForward) return Forward(attempt_key);
  ++counters_.queued;
  ProcessQueue();
}

void InboundProxy::Reject(const AttemptKey& attempt_key, RejectReason reason) {
  const auto it = active_.find(attempt_key);
  if (it == active_.end()) return;
  ++counters_.rejected;
  const SessionPtr session = it->second->session;
  session->busy = false;
  active_.erase(it);
  session->link->Send(Encode(FrameType::kRejected, Rejected{static_cast<std::uint8_t>(reason)}));
}

void InboundProxy::Forward(const AttemptKey& attempt_key) {
  const auto it = active_.find(attempt_key);
  if (it == active_.end()) return admission_.OnAbandoned(loop_.Now(), attempt_key);
  ActiveAttempt& active = *it->second;
  const registry::Server* server = callbacks_.find_server(active.attempt.server);
  const Micros queued_for = loop_.Now() - active.received_at;
  const std::int64_t remaining = active.attempt.remaining_ms - queued_for / kMs;
  if (server == nullptr || remaining <= 0) {
    admission_.OnAbandoned(loop_.Now(), attempt_key);
    return Reject(attempt_key,
                  server == nullptr ? RejectReason::kUnknownInstance : RejectReason::kDeadlineExceeded);
  }
  active.forwarded = true;
  active.deadline = active.received_at + active.attempt.remaining_ms * kMs;
  active.server_heard_at = loop_.Now();
  active.may_have_run_before = active.attempt.may_have_run_before;
  ++running_;
  if (active.may_have_run_before) ++retries_running_;
  ++counters_.forwarded;
  ServerConnectionPool::Request request;
  request.method = std::move(active.attempt.method);
  request.target = std::move(active.attempt.target);
  request.headers = std::move(active.attempt.headers);
  request.body = std::move(active.attempt.body);
  for (const auto& [name, value] : request.headers)
    if (name == "Attempt-Id") request.id = value;
  request.headers.emplace_back("Deadline-Remaining", std::to_string(remaining));
  request.headers.emplace_back("Expected-Instance", active.attempt.server);
  ServerConnectionPool::Events events;
  events.on_head = [this, attempt_key](std::uint16_t status, Headers headers, std::int64_t content_length) {
    const auto found = active_.find(attempt_key);
    if (found == active_.end()) return;
    ActiveAttempt& active_attempt = *found->second;
    active_attempt.server_heard_at = loop_.Now();
    active_attempt.head.status = status;
    active_attempt.head.content_length = content_length;
    active_attempt.head.executed = status != 421;
    for (auto& header : headers)
      if (header.first == "Not-Executed") active_attempt.head.executed = false;
    active_attempt.head.headers = std::move(headers);
  };
  events.on_body = [this, attempt_key](std::string bytes) { OnResponseBody(attempt_key, std::move(bytes)); };
  events.on_end = [this, attempt_key] {
    const auto found = active_.find(attempt_key);
    if (found == active_.end()) return;
    ActiveAttempt& active_attempt = *found->second;
    const SessionPtr session = active_attempt.session;
    session->busy = false;
    if (active_attempt.head_sent) {
      session->link->Send(Encode(FrameType::kBodyChunk, BodyChunk{{}, true}));
    } else {
      active_attempt.head.end = true;
      session->link->Send(Encode(FrameType::kResponseHead, active_attempt.head));
    }
    Finish(attempt_key, true);
    ProcessQueue();
  };
  events.on_failure = [this, attempt_key](ServerConnectionPool::Failure failure) {
    const auto found = active_.find(attempt_key);
    if (found == active_.end()) return;
    ActiveAttempt& active_attempt = *found->second;
    const SessionPtr session = active_attempt.session;
    if (failure == ServerConnectionPool::Failure::kNotSent ||
        failure == ServerConnectionPool::Failure::kNoSocket)
      return OnNotSent(attempt_key, failure == ServerConnectionPool::Failure::kNotSent);
    ++(failure == ServerConnectionPool::Failure::kMalformed ? counters_.malformed_responses
                                                            : counters_.resets);
    session->busy = false;
    session->link->Send(
        Encode(FrameType::kReset, Reset{failure == ServerConnectionPool::Failure::kMalformed}));
    Finish(attempt_key, false);
    ProcessQueue();
  };
  active.handle = pool_.Send(server->address, std::move(request), std::move(events));
}

void InboundProxy::OnResponseBody(const AttemptKey& attempt_key, std::string bytes) {
  const auto found = active_.find(attempt_key);
  if (found == active_.end()) return;
  ActiveAttempt& active = *found->second;
  active.server_heard_at = loop_.Now();
  if (active.caller_gone) return;
  active.body_bytes += bytes.size();
  if (!active.head_sent) {
    active.head.body += bytes;
    const bool complete = active.head.content_length >= 0 &&
                          active.body_bytes >= static_cast<std::size_t>(active.head.content_length);
    if (complete || active.head.body.size() < transport::kMaxFrameBytes / 64)
      return;  // more of the body or its end is about to arrive
    active.head_sent = true;
    active.session->link->SetUserTimeout(kStreamUserTimeoutMs);
    active.session->link->Send(Encode(FrameType::kResponseHead, active.head));
    active.head.body.clear();
  } else {
    active.session->link->Send(Encode(FrameType::kBodyChunk, BodyChunk{std::move(bytes), false}));
  }
  if (!ChargeQueue(attempt_key, active)) return;
  if (active.session->link->queued_bytes() > kMaxQueuedBytes) Pause(active);
}

void InboundProxy::OnNotSent(const AttemptKey& attempt_key, bool unreachable) {
  const ActiveAttempt& active = *active_.at(attempt_key);
  const std::string server = active.attempt.server;
  --running_;
  if (active.may_have_run_before) --retries_running_;
  admission_.OnAbandoned(loop_.Now(), attempt_key);
  Reject(attempt_key, unreachable ? RejectReason::kUnreachable : RejectReason::kQueueFull);
  if (unreachable && callbacks_.on_unreachable) callbacks_.on_unreachable(server);
  ProcessQueue();
}

void InboundProxy::Finish(const AttemptKey& attempt_key, bool completed) {
  const auto it = active_.find(attempt_key);
  if (it == active_.end()) return;
  if (it->second->forwarded) {
    --running_;
    if (it->second->may_have_run_before) --retries_running_;
  }
  if (it->second->session->attempt_key == attempt_key) it->second->session->busy = false;
  const Micros now = loop_.Now();
  const Micros waited = it->second->WaitedForCaller(now);
  if (completed)
    admission_.OnDone(now, attempt_key, waited);
  else
    admission_.OnAbandoned(now, attempt_key, waited);
  active_.erase(it);
}

// Ends the attempt on both sides. The caller learns of it by the end of its link.
void InboundProxy::Abandon(const AttemptKey& attempt_key) {
  const auto it = active_.find(attempt_key);
  if (it == active_.end()) return;
  ++counters_.abandoned;
  const SessionPtr session = it->second->session;
  pool_.Cancel(it->second->handle);
  Finish(attempt_key, false);
  session->link->Close();
  sessions_.erase(session);
}

// In favor of another attempt that needs a slot of the server.
void InboundProxy::AbandonMostStalled(const std::string& server) {
  const Micros now = loop_.Now();
  const ActiveAttempt* most_stalled = nullptr;
  for (const auto& [attempt_key, active] : active_) {
    if (!active->paused || active->attempt.server != server) continue;
    if (active->WaitedForCaller(now) < kSlotStall) continue;
    if (most_stalled == nullptr || active->WaitedForCaller(now) > most_stalled->WaitedForCaller(now))
      most_stalled = active.get();
  }
  if (most_stalled == nullptr) return;
  const AttemptKey most_stalled_key = most_stalled->attempt.attempt_key;  // a copy: the attempt is erased
  Abandon(most_stalled_key);
}

// What the session's link waits for, as far as that is charged to `pool`.
memory::PeerActivity InboundProxy::Activity(const Session& session, memory::BufferAccount::Pool pool,
                                            const memory::BufferCharge* except) const {
  const auto holds = [&](const memory::BufferCharge& charge) {
    return charge.bytes() > 0 && charge.pool() == pool;
  };
  using Kind = memory::PeerActivity::Kind;
  if (&session.charge == except || &session.input_charge == except) return {};
  if (session.busy) {
    const auto active = active_.find(session.attempt_key);
    if (active == active_.end() || !active->second->paused || !holds(active->second->queue_charge) ||
        &active->second->queue_charge == except)
      return {};
    const memory::Duration waited(active->second->WaitedForCaller(loop_.Now()));
    return {Kind::kReadsResponse, waited, waited};
  }
  if (!holds(session.charge) && !holds(session.input_charge)) return {};
  const auto now = memory::Clock::now();
  return {Kind::kSendsRequest, session.input_wait.Waited(now), session.input_wait.Overdue(now)};
}

InboundProxy::SessionPtr InboundProxy::FindHighestRanked(memory::BufferAccount::Pool pool,
                                                         const memory::BufferCharge* except) const {
  return memory::FindHighestRanked(sessions_, [&](const SessionPtr& session) {
    return memory::RankForMemory(Activity(*session, pool, except));
  });
}

std::optional<memory::Duration> InboundProxy::HighestRank(memory::BufferAccount::Pool pool,
                                                          const memory::BufferCharge* except) const {
  const SessionPtr session = FindHighestRanked(pool, except);
  if (session == nullptr) return std::nullopt;
  return memory::RankForMemory(Activity(*session, pool, except));
}

void InboundProxy::EndHighestRanked(memory::BufferAccount::Pool pool, const memory::BufferCharge* except) {
  const SessionPtr session = FindHighestRanked(pool, except);
  if (session == nullptr) return;
  if (session->busy) return Abandon(session->attempt_key);
  session->link->Close();
  session->charge.Release();
  session->input_charge.Release();
  OnClosed(session);
}

void InboundProxy::OnTick(Micros now) {
  std::vector<AttemptKey> silent;
  for (const auto& [attempt_key, active] : active_) {
    const bool waits_for_caller = active->paused;
    if (active->forwarded && !waits_for_caller && now > active->deadline &&
        now - active->server_heard_at > kMaxServerSilence)
      silent.push_back(attempt_key);
  }
  for (const AttemptKey& attempt_key : silent) Abandon(attempt_key);
  if (!silent.empty()) ProcessQueue();
}

void InboundProxy::ProcessQueue() {
  const Micros now = loop_.Now();
  for (const auto& rejection : admission_.TakeRejected(now)) Reject(rejection.attempt_key, rejection.reason);
  while (const auto next_key = admission_.NextToForward(now)) Forward(*next_key);
  ScheduleProcessing();
}

void InboundProxy::ScheduleProcessing() {
  if (admission_.queued() == 0 || std::exchange(timer_running_, true)) return;
  timer_->Start(kQueueInterval, [this] {
    timer_running_ = false;
    ProcessQueue();
  });
}

void InboundProxy::OnServerNotReady(const std::string& id) {
  for (const AttemptKey& attempt_key : admission_.OnServerNotReady(id))
    Reject(attempt_key, RejectReason::kDraining);
}

std::size_t InboundProxy::unsent_bytes() const {
  std::size_t bytes = 0;
  for (const SessionPtr& session : sessions_) bytes += session->link->queued_bytes();
  return bytes;
}

double InboundProxy::retry_share() const {
  return running_ == 0 ? 0 : static_cast<double>(retries_running_) / static_cast<double>(running_);
}

}  // namespace fennelhollow::ingress
