#include "mesh/ingress/inbound_proxy.hpp"

#include <algorithm>
#include <utility>

namespace fennelhollow::ingress {
namespace {

constexpr Micros kMs = 1000;
// An answer waits in the link's queue up to here; then no more is read from the server.
constexpr std::size_t kMostQueued = std::size_t{256} * 1024;
// A request's body is held whole up to here, as the configuration's limit would be more than the memory.
constexpr std::size_t kMostBody = std::size_t{64} * 1024 * 1024;
constexpr Micros kPump = 10 * kMs;

}  // namespace

// A link from an outbound sidecar, with at most one attempt at a time.
struct InboundProxy::Session {
  std::shared_ptr<transport::Link> link;
  Ticket ticket;
  bool busy = false;
  bool gathering = false;
  Attempt attempt;
};

struct InboundProxy::Held {
  SessionPtr session;
  Attempt attempt;
  Micros arrived = 0;
  bool passed = false;
  bool repeat = false;
  ServerPool::Handle handle = 0;
  bool paused = false;
  // The head waits for the first of the body, so that a short answer is one frame.
  Head head;
  bool head_out = false;
  std::size_t come = 0;
};

InboundProxy::InboundProxy(asio::io_context& io, merlinrun::core::Loop& loop, Settings settings,
                           Callbacks outside)
    : loop_(loop),
      settings_(settings),
      outside_(std::move(outside)),
      admission_(settings.room),
      pool_(io),
      timer_(loop.NewTimer()) {
  admission_.OnSpan(outside_.on_span);
}

InboundProxy::~InboundProxy() {
  for (const SessionPtr& session : sessions_) session->link->Close();
}

void InboundProxy::Serve(std::shared_ptr<transport::Link> link) {
  auto session = std::make_shared<Session>();
  session->link = std::move(link);
  sessions_.insert(session);
  session->link->Send(Say(
      Word::kHello,
      transport::Hello{
          .purpose = transport::Purpose::kHop, .from = {}, .address = {}, .incarnation = settings_.life}));
  transport::Link::Events events;
  events.on_frame = [this, weak = std::weak_ptr<Session>(session)](std::string_view frame) {
    if (const auto mine = weak.lock()) OnFrame(mine, frame);
  };
  events.on_closed = [this, weak = std::weak_ptr<Session>(session)] {
    if (const auto mine = weak.lock()) OnClosed(mine);
  };
  events.on_drained = [this, weak = std::weak_ptr<Session>(session)] {
    const auto mine = weak.lock();
    if (mine == nullptr || !mine->busy) return;
    const auto it = held_.find(mine->ticket);
    if (it != held_.end() && std::exchange(it->second->paused, false)) pool_.Resume(it->second->handle);
  };
  session->link->SetEvents(std::move(events));
}

void InboundProxy::OnClosed(const SessionPtr& session) {
  sessions_.erase(session);
  if (!session->busy) return;
  const Ticket ticket = session->ticket;
  const auto it = held_.find(ticket);
  if (it == held_.end()) return;
  ++counters_.cancelled;
  if (!admission_.OnCancel(ticket) && it->second->passed && it->second->handle != 0) {
    // Its caller can't be told any more. What runs for nobody is ended, unless it may not run again: then its
    // end does no good to anybody, and the server may be let finish.
    if (!it->second->attempt.unsafe)
      pool_.Cancel(it->second->handle);
    else
      return;  // Held stays until the server is done; its frames go nowhere
  }
  End(ticket);
  Pump();
}

void InboundProxy::OnFrame(const SessionPtr& session, std::string_view frame) {
  const auto bad = [&] {
    session->link->Close();
    OnClosed(session);
  };
  switch (WordOf(frame)) {
    case Word::kAttempt: {
      auto attempt = Heard<Attempt>(frame);
      if (!attempt.ok() || session->busy || session->gathering) return bad();
      if (attempt->more) {
        session->gathering = true;
        session->attempt = *std::move(attempt);
        return;
      }
      return OnAttempt(session, *std::move(attempt));
    }
    case Word::kPiece: {
      auto piece = Heard<Piece>(frame);
      if (!piece.ok() || !session->gathering ||
          session->attempt.body.size() + piece->bytes.size() > kMostBody)
        return bad();
      session->attempt.body += piece->bytes;
      if (!piece->end) return;
      session->gathering = false;
      return OnAttempt(session, std::exchange(session->attempt, {}));
    }
    case Word::kAsk: {
      const auto ask = Heard<Ask>(frame);
      if (!ask.ok()) return bad();
      const bool passed = admission_.OnAsk(loop_.Now(), ask->ticket);
      if (!passed) {
        ++counters_.withdrawn;
        if (const auto it = held_.find(ask->ticket); it != held_.end())
          TurnAway(ask->ticket, Why::kWithdrawn);
      }
      session->link->Send(Say(Word::kTold, Told{passed}));
      return;
    }
    default:
      return bad();
  }
}

void InboundProxy::OnAttempt(const SessionPtr& session, Attempt attempt) {
  ++counters_.attempts;
  session->busy = true;
  session->ticket = attempt.ticket;
  if (held_.count(attempt.ticket) > 0) {
    session->busy = false;
    session->link->Send(Say(Word::kTurned, Turned{static_cast<std::uint8_t>(Why::kWithdrawn)}));
    return;
  }
  auto held = std::make_unique<Held>();
  held->session = session;
  held->attempt = std::move(attempt);
  held->arrived = loop_.Now();
  const Ticket ticket = held->attempt.ticket;
  const Held& in = *held;
  held_[ticket] = std::move(held);
  const Micros now = loop_.Now();
  const registry::Server* server = outside_.find(in.attempt.server);
  if (!outside_.takes()) return admission_.OnAsk(now, ticket), TurnAway(ticket, Why::kLeaving);
  if (server == nullptr) return admission_.OnAsk(now, ticket), TurnAway(ticket, Why::kNotHere);
  if (server->state != registry::State::kReady)
    return admission_.OnAsk(now, ticket), TurnAway(ticket, Why::kDraining);
  AdmissionQueue::Attempt admission;
  admission.ticket = ticket;
  admission.server = in.attempt.server;
  admission.slots = server->slots;
  admission.flow = {in.attempt.route, in.attempt.priority};
  admission.due = now + in.attempt.due_ms * kMs;
  admission.until = now + in.attempt.wait_ms * kMs;
  const auto decision = admission_.OnAttempt(now, admission);
  if (decision == AdmissionQueue::Decision::kTurnAway) return TurnAway(ticket, Why::kFull);
  if (decision == AdmissionQueue::Decision::kPass) return Pass(ticket);
  ++counters_.queued;
  Pump();
}

void InboundProxy::TurnAway(const Ticket& ticket, Why why) {
  const auto it = held_.find(ticket);
  if (it == held_.end()) return;
  ++counters_.rejected;
  const SessionPtr session = it->second->session;
  session->busy = false;
  held_.erase(it);
  session->link->Send(Say(Word::kTurned, Turned{static_cast<std::uint8_t>(why)}));
}

void InboundProxy::Pass(const Ticket& ticket) {
  const auto it = held_.find(ticket);
  if (it == held_.end()) return admission_.OnDone(loop_.Now(), ticket);
  Held& held = *it->second;
  const registry::Server* server = outside_.find(held.attempt.server);
  const Micros waited = loop_.Now() - held.arrived;
  const std::int64_t left = held.attempt.left_ms - waited / kMs;
  if (server == nullptr || left <= 0) {
    admission_.OnDone(loop_.Now(), ticket);
    return TurnAway(ticket, server == nullptr ? Why::kNotHere : Why::kLate);
  }
  held.passed = true;
  held.repeat = held.attempt.repeat;
  ++runs_;
  if (held.repeat) ++repeats_;
  ++counters_.forwarded;
  ServerPool::Request request;
  request.method = std::move(held.attempt.method);
  request.target = std::move(held.attempt.target);
  request.headers = std::move(held.attempt.headers);
  request.body = std::move(held.attempt.body);
  for (const auto& [name, value] : request.headers)
    if (name == "Attempt-Id") request.id = value;
  request.headers.emplace_back("Deadline-Remaining", std::to_string(left));
  request.headers.emplace_back("Expected-Instance", held.attempt.server);
  ServerPool::Events events;
  events.head = [this, ticket](std::uint16_t status, Headers headers, std::int64_t length) {
    const auto at = held_.find(ticket);
    if (at == held_.end()) return;
    Held& mine = *at->second;
    mine.head.status = status;
    mine.head.length = length;
    mine.head.executed = status != 421;
    for (auto& header : headers)
      if (header.first == "Not-Executed") mine.head.executed = false;
    mine.head.headers = std::move(headers);
  };
  events.piece = [this, ticket](std::string bytes) {
    const auto at = held_.find(ticket);
    if (at == held_.end()) return;
    Held& mine = *at->second;
    mine.come += bytes.size();
    if (!mine.head_out) {
      mine.head.body += bytes;
      const bool whole = mine.head.length >= 0 && mine.come >= static_cast<std::size_t>(mine.head.length);
      if (whole || mine.head.body.size() < transport::kMaxFrameBytes / 64)
        return;  // the end follows, or more does soon
      mine.head_out = true;
      mine.session->link->Send(Say(Word::kHead, mine.head));
      mine.head.body.clear();
    } else {
      mine.session->link->Send(Say(Word::kPiece, Piece{std::move(bytes), false}));
    }
    if (mine.session->link->queued_bytes() > kMostQueued && !std::exchange(mine.paused, true))
      pool_.Pause(mine.handle);
  };
  events.end = [this, ticket] {
    const auto at = held_.find(ticket);
    if (at == held_.end()) return;
    Held& mine = *at->second;
    const SessionPtr session = mine.session;
    session->busy = false;
    if (mine.head_out) {
      session->link->Send(Say(Word::kPiece, Piece{{}, true}));
    } else {
      mine.head.end = true;
      session->link->Send(Say(Word::kHead, mine.head));
    }
    End(ticket);
    Pump();
  };
  events.failed = [this, ticket](ServerPool::Failure why) {
    const auto at = held_.find(ticket);
    if (at == held_.end()) return;
    Held& mine = *at->second;
    const SessionPtr session = mine.session;
    if (why == ServerPool::Failure::kNotSent) {
      const std::string id = mine.attempt.server;
      --runs_;
      if (mine.repeat) --repeats_;
      admission_.OnDone(loop_.Now(), ticket);
      TurnAway(ticket, Why::kUnreachable);
      if (outside_.dead) outside_.dead(id);
      return Pump();
    }
    ++(why == ServerPool::Failure::kGarbled ? counters_.malformed_responses : counters_.resets);
    session->busy = false;
    session->link->Send(Say(Word::kBroken, Broken{why == ServerPool::Failure::kGarbled}));
    End(ticket);
    Pump();
  };
  held.handle = pool_.Send(server->address, std::move(request), std::move(events));
}

void InboundProxy::End(const Ticket& ticket) {
  const auto it = held_.find(ticket);
  if (it == held_.end()) return;
  if (it->second->passed) {
    --runs_;
    if (it->second->repeat) --repeats_;
  }
  if (it->second->session->ticket == ticket) it->second->session->busy = false;
  admission_.OnDone(loop_.Now(), ticket);
  held_.erase(it);
}

void InboundProxy::Pump() {
  const Micros now = loop_.Now();
  for (const auto& turned : admission_.Overdue(now)) TurnAway(turned.ticket, turned.why);
  while (const auto next = admission_.Next(now)) Pass(*next);
  PumpLater();
}

void InboundProxy::PumpLater() {
  if (admission_.waiting() == 0 || std::exchange(timed_, true)) return;
  timer_->Start(kPump, [this] {
    timed_ = false;
    Pump();
  });
}

void InboundProxy::OnServerNotReady(const std::string& id) {
  for (const Ticket& ticket : admission_.OnServerNotReady(id)) TurnAway(ticket, Why::kDraining);
}

double InboundProxy::retry_share() const {
  return runs_ == 0 ? 0 : static_cast<double>(repeats_) / static_cast<double>(runs_);
}

}  // namespace fennelhollow::ingress
