#include "mesh/control/call_forwarder.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fennelhollow::control {

namespace {

constexpr Micros kMillisecond = 1000;
constexpr std::int64_t kRoundTripMs = 20;  // between two cores
constexpr std::int64_t kMaxTimeoutMs = 1000;

}  // namespace

void CallForwarder::Submit(Micros now, CallKind kind, std::string body, std::function<void(Response)> reply) {
  if (body.size() > limits_.max_call_bytes) return reply(ErrorResponse(413, "the call is too large"));
  if (!host_.IsLeader() && (now < redirect_until_ || host_.IsPartitioned())) {
    if (auto redirect = host_.RedirectToPeer(kind)) {
      ++counters_.redirected;
      return reply(*std::move(redirect));
    }
  }
  Call call;
  call.kind = kind;
  call.body = std::make_shared<const std::string>(std::move(body));
  call.deadline = now + limits_.response_timeout;
  call.leader_deadline = now + limits_.leader_wait;
  call.done = [reply = std::move(reply)](std::optional<Response> response) {
    reply(response ? *std::move(response) : UnavailableResponse("no leader is known"));
  };
  Dispatch(now, std::move(call));
}

void CallForwarder::OnCall(Micros now, const ReplicaId& from, ForwardedCall forwarded) {
  ++counters_.received;
  Call call;
  call.forwarded = true;
  call.kind = static_cast<CallKind>(forwarded.kind);
  call.body = std::make_shared<const std::string>(std::move(forwarded.body));
  call.deadline = now + std::clamp<Micros>(forwarded.timeout_ms, 0, kMaxTimeoutMs) * kMillisecond;
  call.done = [this, from, call_id = forwarded.call_id](std::optional<Response> response) {
    ForwardedResponse out;
    out.call_id = call_id;
    out.not_leader = !response;
    if (response) {
      out.status = response->status;
      out.body = std::move(response->body);
    }
    host_.SendResponse(from, out);
  };
  if (forwarded.kind > static_cast<std::uint8_t>(CallKind::kRead) || call.size() > limits_.max_call_bytes) {
    ++counters_.malformed;
    return call.done(ErrorResponse(400, "no such call"));
  }
  Dispatch(now, std::move(call));
}

void CallForwarder::OnResponse(Micros now, const ReplicaId& from, ForwardedResponse response) {
  const auto it = forwarded_.find(response.call_id);
  if (it == forwarded_.end() || it->second.to != from) return;  // timed out or forwarded elsewhere
  Call call = std::move(it->second.call);
  forwarded_.erase(it);
  redirect_until_ = 0;
  if (response.not_leader || response.status < 200 || response.status > 599)
    return Enqueue(now, std::move(call), now + limits_.retry_interval);
  Response out = response.status == 503
                     ? UnavailableResponse("the leader could not say; repeat the call unchanged")
                     : Response{};
  out.status = response.status;
  out.body = std::move(response.body);
  call.done(std::move(out));
}

void CallForwarder::Dispatch(Micros now, Call call) {
  if (host_.IsLeader()) return host_.Serve(std::move(call));
  if (call.forwarded) return call.done(std::nullopt);
  const ReplicaId leader = host_.KnownLeader();
  if (leader.empty()) return Enqueue(now, std::move(call), now + limits_.retry_interval);
  Forwarded forwarded{leader, std::min(now + limits_.forward_timeout, call.deadline), std::move(call)};
  ForwardedCall out;
  out.call_id = ++last_call_id_;
  out.kind = static_cast<std::uint8_t>(forwarded.call.kind);
  out.timeout_ms = (forwarded.forward_deadline - now) / kMillisecond - kRoundTripMs;
  out.body = *forwarded.call.body;
  if (!host_.SendCall(leader, out))
    return Enqueue(now, std::move(forwarded.call), now + limits_.retry_interval);
  ++counters_.forwarded;
  forwarded_.emplace(out.call_id, std::move(forwarded));
}

void CallForwarder::Enqueue(Micros now, Call call, Micros retry_at) {
  if (now >= call.leader_deadline || now >= call.deadline || pending_.size() >= limits_.max_pending ||
      pending_bytes_ + call.size() > limits_.max_pending_bytes) {
    ++counters_.no_leader;
    return call.done(std::nullopt);
  }
  ++counters_.queued;
  pending_bytes_ += call.size();
  pending_.push_back({retry_at, std::move(call)});
}

void CallForwarder::ReforwardIf(Micros now, const std::function<bool(const ReplicaId&)>& sent_to,
                                Micros retry_at) {
  std::vector<Call> calls;
  for (auto it = forwarded_.begin(); it != forwarded_.end();) {
    if (!sent_to(it->second.to)) {
      ++it;
      continue;
    }
    calls.push_back(std::move(it->second.call));
    it = forwarded_.erase(it);
  }
  for (Call& call : calls) Enqueue(now, std::move(call), retry_at);
}

void CallForwarder::OnLeaderChange(Micros now, const ReplicaId& leader) {
  redirect_until_ = 0;
  ReforwardIf(
      now, [&](const ReplicaId& to) { return to != leader; }, now);
}

void CallForwarder::OnPeerDown(Micros now, const ReplicaId& core) {
  ReforwardIf(
      now, [&](const ReplicaId& to) { return to == core; }, now + limits_.retry_interval);
}

void CallForwarder::ExpireForwarded(Micros now) {
  for (auto it = forwarded_.begin(); it != forwarded_.end();) {
    if (now < it->second.forward_deadline) {
      ++it;
      continue;
    }
    const Call::Done done = std::move(it->second.call.done);
    it = forwarded_.erase(it);
    redirect_until_ = now + limits_.redirect_period;
    done(UnavailableResponse("the leader did not answer in time; repeat the call unchanged"));
  }
}

void CallForwarder::RetryPending(Micros now) {
  std::list<Pending> due;
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto next = std::next(it);
    if (now >= it->retry_at || now >= it->call.leader_deadline) due.splice(due.end(), pending_, it);
    it = next;
  }
  for (Pending& pending : due) {
    pending_bytes_ -= pending.call.size();
    Dispatch(now, std::move(pending.call));
  }
}

void CallForwarder::OnTick(Micros now) {
  ExpireForwarded(now);
  RetryPending(now);
}

}  // namespace fennelhollow::control
