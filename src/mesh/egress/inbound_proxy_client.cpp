#include "mesh/egress/inbound_proxy_client.hpp"

#include <algorithm>
#include <utility>

#include "net/address.hpp"

namespace fennelhollow::egress {
namespace {

using ingress::FrameType;
using transport::Tcp;
constexpr Micros kMs = 1000;
constexpr Micros kIdleTimeout = 15'000'000;
constexpr std::size_t kMaxIdlePerProxy = 48;
constexpr std::size_t kChunkBytes = std::size_t{256} * 1024;
// No further chunk of a body is queued while more than this waits in the link.
constexpr std::size_t kMaxQueuedBytes = kChunkBytes;

}  // namespace

struct InboundProxyClient::Connection {
  std::shared_ptr<transport::Link> link;
  std::string proxy_address;
  std::uint64_t proxy_incarnation = 0;  // 0 until its Hello has arrived
  Handle handle = 0;                    // the attempt that is sent over it; 0 if none
  Handle queried = 0;                   // the attempt whose status is queried over it; 0 if none
  Micros idle_since = 0;
};

struct InboundProxyClient::Pending {
  std::string proxy_address;
  ingress::Attempt attempt;
  std::shared_ptr<const std::string> body;  // null once it has been sent
  std::size_t body_bytes_sent = 0;
  Events events;
  ConnectionPtr connection;
  std::uint64_t proxy_incarnation = 0;  // of the process that the attempt was sent to
  bool sent = false;
  bool head_received = false;
  std::unique_ptr<merlinrun::core::Timer> timer;
};

InboundProxyClient::InboundProxyClient(asio::io_context& io, merlinrun::core::Loop& loop, Settings settings)
    : io_(io), loop_(loop), settings_(std::move(settings)) {}

InboundProxyClient::~InboundProxyClient() {
  for (auto& [handle, pending] : pending_)
    if (pending->connection) pending->connection->link->Close();
  for (auto& [proxy_address, connections] : idle_)
    for (auto& connection : connections) connection->link->Close();
}

InboundProxyClient::ConnectionPtr InboundProxyClient::Dial(const std::string& proxy_address) {
  ++links_dialed_;
  auto connection = std::make_shared<Connection>();
  connection->proxy_address = proxy_address;
  connection->link =
      transport::Link::Dial(io_, merlinrun::net::ParseAddress(proxy_address).value_or(Tcp::endpoint()),
                            settings_.connect_timeout_ms, {});
  transport::Link::Events events;
  events.on_frame = [this, weak = std::weak_ptr<Connection>(connection)](std::string_view frame) {
    if (const auto locked = weak.lock()) OnFrame(locked, frame);
  };
  events.on_drained = [this, weak = std::weak_ptr<Connection>(connection)] {
    if (const auto locked = weak.lock()) SendBody(locked);
  };
  // Keeps the connection alive, so that its end is always reported.
  events.on_closed = [this, connection] { OnClosed(connection); };
  connection->link->Start(std::move(events));
  connection->link->Send(transport::Pack(transport::Hello{.purpose = transport::Purpose::kProxy,
                                                          .from = settings_.name,
                                                          .address = settings_.address,
                                                          .incarnation = settings_.incarnation}));
  return connection;
}

InboundProxyClient::Handle InboundProxyClient::Send(const std::string& proxy_address,
                                                    ingress::Attempt attempt,
                                                    std::shared_ptr<const std::string> body, Events events) {
  const Handle handle = ++last_handle_;
  auto pending = std::make_unique<Pending>();
  pending->proxy_address = proxy_address;
  pending->attempt = std::move(attempt);
  pending->attempt.attempt_key = {settings_.incarnation, handle};
  pending->body = std::move(body);
  pending->events = std::move(events);
  ConnectionPtr connection;
  if (const auto it = idle_.find(proxy_address); it != idle_.end()) {
    while (!it->second.empty() && connection == nullptr) {
      connection = it->second.back();
      it->second.pop_back();
      if (!connection->link->open()) connection = nullptr;
    }
    if (it->second.empty()) idle_.erase(it);
  }
  if (connection == nullptr) connection = Dial(proxy_address);
  connection->handle = handle;
  pending->connection = connection;
  pending_[handle] = std::move(pending);
  // On a new link the attempt waits for the Hello: a later status query must reach the same incarnation.
  if (connection->proxy_incarnation != 0) SendAttempt(connection, handle);
  return handle;
}

void InboundProxyClient::SendAttempt(const ConnectionPtr& connection, Handle handle) {
  const auto it = pending_.find(handle);
  if (it == pending_.end()) return;
  Pending& pending = *it->second;
  pending.sent = true;
  pending.proxy_incarnation = connection->proxy_incarnation;
  if (pending.body->size() <= kChunkBytes) {
    pending.attempt.body = *pending.body;
    pending.body = nullptr;
    connection->link->Send(Encode(FrameType::kAttempt, pending.attempt));
  } else {
    pending.attempt.body_follows = true;
    connection->link->Send(Encode(FrameType::kAttempt, pending.attempt));
    SendBody(connection);
  }
  // Only the key is needed from here on; retries are up to the caller.
  std::string().swap(pending.attempt.body);
  pending.attempt.headers.clear();
}

// The next chunks of the body, as far as the link takes them; it goes on when the link has drained.
void InboundProxyClient::SendBody(const ConnectionPtr& connection) {
  const auto it = pending_.find(connection->handle);
  if (it == pending_.end()) return;
  Pending& pending = *it->second;
  transport::Link& link = *connection->link;
  while (pending.sent && pending.body != nullptr && link.open() && link.queued_bytes() < kMaxQueuedBytes) {
    const std::string& body = *pending.body;
    ingress::BodyChunk chunk{body.substr(pending.body_bytes_sent, kChunkBytes), false};
    pending.body_bytes_sent += chunk.bytes.size();
    chunk.end = pending.body_bytes_sent == body.size();
    link.Send(Encode(FrameType::kBodyChunk, chunk));
    if (chunk.end) pending.body = nullptr;
  }
}

void InboundProxyClient::Release(const ConnectionPtr& connection) {
  connection->handle = 0;
  if (!connection->link->open()) return;
  connection->idle_since = loop_.Now();
  auto& connections = idle_[connection->proxy_address];
  connections.push_back(connection);
  if (connections.size() > kMaxIdlePerProxy) {
    connections.front()->link->Close();
    connections.pop_front();
  }
}

void InboundProxyClient::OnFrame(const ConnectionPtr& connection, std::string_view frame) {
  const auto close_link = [&] {
    connection->link->Close();
    OnClosed(connection);
  };
  const FrameType type = ingress::TypeOf(frame);
  if (type == FrameType::kHello) {
    const auto hello = ingress::Decode<transport::Hello>(frame);
    if (!hello.ok() || hello->incarnation == 0 || connection->proxy_incarnation != 0) return close_link();
    connection->proxy_incarnation = hello->incarnation;
    if (connection->queried != 0) {
      const auto it = pending_.find(connection->queried);
      if (it == pending_.end()) return connection->link->Close();
      // A restarted process does not know what its predecessor forwarded.
      if (it->second->proxy_incarnation != connection->proxy_incarnation) {
        const Handle queried = std::exchange(connection->queried, 0);
        connection->link->Close();
        return FinishWithReset(queried, false, false);
      }
      connection->link->Send(
          Encode(FrameType::kStatusQuery, ingress::StatusQuery{it->second->attempt.attempt_key}));
      return;
    }
    if (connection->handle != 0) return SendAttempt(connection, connection->handle);
    return;
  }
  if (type == FrameType::kStatusReply) {
    const auto reply = ingress::Decode<ingress::StatusReply>(frame);
    if (!reply.ok() || connection->queried == 0) return close_link();
    const Handle queried = std::exchange(connection->queried, 0);
    if (const auto it = pending_.find(queried); it != pending_.end()) it->second->connection = nullptr;
    Release(connection);
    return FinishWithReset(queried, !reply->forwarded, false);
  }
  const auto it = pending_.find(connection->handle);
  if (it == pending_.end()) return close_link();
  Pending& pending = *it->second;
  const Handle handle = connection->handle;
  switch (type) {
    case FrameType::kResponseHead: {
      auto head = ingress::Decode<ingress::ResponseHead>(frame);
      if (!head.ok() || pending.head_received) return close_link();
      pending.head_received = true;
      const bool end = head->end;
      const auto callback = pending.events.on_head;
      if (end) {
        pending.connection = nullptr;
        pending_.erase(it);
        Release(connection);
      }
      return callback(*std::move(head));
    }
    case FrameType::kBodyChunk: {
      auto chunk = ingress::Decode<ingress::BodyChunk>(frame);
      if (!chunk.ok() || !pending.head_received) return close_link();
      const auto callback = pending.events.on_body;
      if (chunk->end) {
        pending.connection = nullptr;
        pending_.erase(it);
        Release(connection);
      }
      return callback(*std::move(chunk));
    }
    case FrameType::kRejected: {
      const auto rejected = ingress::Decode<ingress::Rejected>(frame);
      if (!rejected.ok() || pending.head_received) return close_link();
      const auto callback = pending.events.on_rejected;
      pending_.erase(it);
      Release(connection);
      return callback(static_cast<ingress::RejectReason>(rejected->reason));
    }
    case FrameType::kReset: {
      const auto reset = ingress::Decode<ingress::Reset>(frame);
      if (!reset.ok()) return close_link();
      pending.connection = nullptr;
      Release(connection);
      return FinishWithReset(handle, false, reset->malformed);
    }
    default:
      return close_link();
  }
}

void InboundProxyClient::OnClosed(const ConnectionPtr& connection) {
  if (connection->queried != 0) {
    const Handle queried = std::exchange(connection->queried, 0);
    return FinishWithReset(queried, false, false);
  }
  const Handle handle = std::exchange(connection->handle, 0);
  const auto it = pending_.find(handle);
  if (handle == 0 || it == pending_.end()) {
    if (const auto idle = idle_.find(connection->proxy_address); idle != idle_.end()) {
      idle->second.remove(connection);
      if (idle->second.empty()) idle_.erase(idle);
    }
    return;
  }
  Pending& pending = *it->second;
  pending.connection = nullptr;
  if (!pending.sent) {  // no Hello arrived, so the attempt was never sent
    const auto callback = pending.events.on_rejected;
    pending_.erase(it);
    return callback(ingress::RejectReason::kUnreachable);
  }
  if (pending.head_received || !pending.attempt.unsafe) return FinishWithReset(handle, false, false);
  QueryStatus(handle);
}

// The link was lost before the response. The inbound proxy knows whether it forwarded the attempt; if it did
// not, it never will.
void InboundProxyClient::QueryStatus(Handle handle) {
  Pending& pending = *pending_.at(handle);
  ++status_queries_;
  ConnectionPtr connection = Dial(pending.proxy_address);
  connection->queried = handle;
  pending.connection = connection;
  pending.timer = loop_.NewTimer();
  pending.timer->Start(settings_.status_query_timeout_ms * kMs, [this, handle, connection] {
    connection->queried = 0;
    connection->link->Close();
    FinishWithReset(handle, false, false);
  });
}

void InboundProxyClient::FinishWithReset(Handle handle, bool never_ran, bool malformed) {
  const auto it = pending_.find(handle);
  if (it == pending_.end()) return;
  const auto pending = std::move(it->second);
  pending_.erase(it);
  pending->events.on_reset(never_ran, malformed);
}

void InboundProxyClient::Cancel(Handle handle) {
  const auto it = pending_.find(handle);
  if (it == pending_.end()) return;
  const auto pending = std::move(it->second);
  pending_.erase(it);
  if (pending->connection == nullptr) return;
  // Closing the link cancels the attempt at the inbound proxy. It could not be reused anyway while the
  // response is outstanding.
  pending->connection->handle = pending->connection->queried = 0;
  pending->connection->link->Close();
}

void InboundProxyClient::Pause(Handle handle) {
  if (const auto it = pending_.find(handle); it != pending_.end() && it->second->connection)
    it->second->connection->link->PauseReading();
}
void InboundProxyClient::Resume(Handle handle) {
  if (const auto it = pending_.find(handle); it != pending_.end() && it->second->connection)
    it->second->connection->link->ResumeReading();
}

void InboundProxyClient::OnTick(Micros now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    it->second.remove_if([&](const ConnectionPtr& connection) {
      if (connection->link->open() && now - connection->idle_since < kIdleTimeout) return false;
      connection->link->Close();
      return true;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

std::size_t InboundProxyClient::idle() const {
  std::size_t count = 0;
  for (const auto& [proxy_address, connections] : idle_) count += connections.size();
  return count;
}

}  // namespace fennelhollow::egress
