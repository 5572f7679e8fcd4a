#include "mesh/control/call_forwarder.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fennelhollow::control {

namespace {

constexpr Micros kMillisecond = 1000;
constexpr std::int64_t kWayMs = 20;  // there and back between two cores
constexpr std::int64_t kMostWithinMs = 1000;

}  // namespace

void CallForwarder::Submit(Micros now, CallKind kind, std::string body, std::function<void(Response)> reply) {
  if (body.size() > limits_.call_bytes) return reply(ErrorResponse(413, "the call is too large"));
  if (!host_.IsLeader() && (now < deaf_until_ || host_.IsPartitioned())) {
    if (auto elsewhere = host_.RedirectToPeer(kind)) {
      ++counters_.redirected;
      return reply(*std::move(elsewhere));
    }
  }
  Call call;
  call.kind = kind;
  call.body = std::make_shared<const std::string>(std::move(body));
  call.deadline = now + limits_.answer_within;
  call.leader_by = now + limits_.leader_within;
  call.done = [reply = std::move(reply)](std::optional<Response> answer) {
    reply(answer ? *std::move(answer) : UnavailableResponse("no leader is known"));
  };
  Dispatch(now, std::move(call));
}

void CallForwarder::OnCall(Micros now, const ReplicaId& from, ForwardedCall forwarded) {
  ++counters_.received;
  Call call;
  call.forwarded = true;
  call.kind = static_cast<CallKind>(forwarded.kind);
  call.body = std::make_shared<const std::string>(std::move(forwarded.body));
  call.deadline = now + std::clamp<Micros>(forwarded.timeout_ms, 0, kMostWithinMs) * kMillisecond;
  call.done = [this, from, id = forwarded.id](std::optional<Response> answer) {
    ForwardedResponse out;
    out.id = id;
    out.not_leader = !answer;
    if (answer) {
      out.status = answer->status;
      out.body = std::move(answer->body);
    }
    host_.SendResponse(from, out);
  };
  if (forwarded.kind > static_cast<std::uint8_t>(CallKind::kRead) || call.size() > limits_.call_bytes) {
    ++counters_.malformed;
    return call.done(ErrorResponse(400, "no such call"));
  }
  Dispatch(now, std::move(call));
}

void CallForwarder::OnResponse(Micros now, const ReplicaId& from, ForwardedResponse answer) {
  const auto it = forwarded_.find(answer.id);
  if (it == forwarded_.end() || it->second.to != from) return;  // too late
  Call call = std::move(it->second.call);
  forwarded_.erase(it);
  deaf_until_ = 0;
  if (answer.not_leader || answer.status < 200 || answer.status > 599)
    return Hold(now, std::move(call), now + limits_.retry_every);
  Response out = answer.status == 503
                     ? UnavailableResponse("the leader could not say; repeat the call unchanged")
                     : Response{};
  out.status = answer.status;
  out.body = std::move(answer.body);
  call.done(std::move(out));
}

void CallForwarder::Dispatch(Micros now, Call call) {
  if (host_.IsLeader()) return host_.Serve(std::move(call));
  if (call.forwarded) return call.done(std::nullopt);
  const ReplicaId leader = host_.KnownLeader();
  if (leader.empty()) return Hold(now, std::move(call), now + limits_.retry_every);
  Forwarded forwarded{leader, std::min(now + limits_.forwarded_within, call.deadline), std::move(call)};
  ForwardedCall out;
  out.id = ++count_;
  out.kind = static_cast<std::uint8_t>(forwarded.call.kind);
  out.timeout_ms = (forwarded.until - now) / kMillisecond - kWayMs;
  out.body = *forwarded.call.body;
  if (!host_.SendCall(leader, out)) return Hold(now, std::move(forwarded.call), now + limits_.retry_every);
  ++counters_.forwarded;
  forwarded_.emplace(out.id, std::move(forwarded));
}

void CallForwarder::Hold(Micros now, Call call, Micros retry_at) {
  if (now >= call.leader_by || now >= call.deadline || pending_.size() >= limits_.pending ||
      pending_bytes_ + call.size() > limits_.pending_bytes) {
    ++counters_.no_leader;
    return call.done(std::nullopt);
  }
  ++counters_.queued;
  pending_bytes_ += call.size();
  pending_.push_back({retry_at, std::move(call)});
}

void CallForwarder::ForwardAgain(Micros now, const std::function<bool(const ReplicaId&)>& sent_to,
                                 Micros retry_at) {
  std::vector<Call> again;
  for (auto it = forwarded_.begin(); it != forwarded_.end();) {
    if (!sent_to(it->second.to)) {
      ++it;
      continue;
    }
    again.push_back(std::move(it->second.call));
    it = forwarded_.erase(it);
  }
  for (Call& call : again) Hold(now, std::move(call), retry_at);
}

void CallForwarder::OnLeaderChange(Micros now, const ReplicaId& leader) {
  deaf_until_ = 0;
  ForwardAgain(
      now, [&](const ReplicaId& to) { return to != leader; }, now);
}

void CallForwarder::OnPeerDown(Micros now, const ReplicaId& core) {
  ForwardAgain(
      now, [&](const ReplicaId& to) { return to == core; }, now + limits_.retry_every);
}

void CallForwarder::ExpireForwarded(Micros now) {
  for (auto it = forwarded_.begin(); it != forwarded_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    const Call::Done done = std::move(it->second.call.done);
    it = forwarded_.erase(it);
    deaf_until_ = now + limits_.deaf_for;
    done(UnavailableResponse("the leader did not answer in time; repeat the call unchanged"));
  }
}

void CallForwarder::RetryPending(Micros now) {
  std::list<Pending> due;
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto next = std::next(it);
    if (now >= it->retry_at || now >= it->call.leader_by) due.splice(due.end(), pending_, it);
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
