#include "mesh/node/pending_acknowledgements.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace fennelhollow::node {
namespace {

constexpr std::size_t kMaxPending = 64;

const registry::Server* FindServer(const registry::Snapshot& snapshot, const std::string& id) {
  const auto at = std::lower_bound(
      snapshot.servers.begin(), snapshot.servers.end(), id,
      [](const registry::Server& server, const std::string& key) { return server.id < key; });
  return at != snapshot.servers.end() && at->id == id ? &*at : nullptr;
}

}  // namespace

bool PendingAcknowledgements::IsRecorded(const Pending& pending, const registry::Snapshot& snapshot) {
  const registry::Server* server = FindServer(snapshot, pending.id);
  // Cores of earlier versions remove a server that has departed from their snapshot.
  if (server == nullptr) return pending.was_listed && pending.state == registry::State::kGone;
  if (pending.state == registry::State::kGone) return registry::HasDeparted(*server);
  return server->state != registry::State::kReady;
}

void PendingAcknowledgements::Add(Micros now, const std::string& id, registry::State state,
                                  const registry::Snapshot& snapshot, Reply reply) {
  Pending pending{id, state, FindServer(snapshot, id) != nullptr, now + kRecordTimeout, std::move(reply)};
  if (IsRecorded(pending, snapshot)) return pending.reply({});
  if (pending_.size() >= kMaxPending)
    return pending.reply(control::UnavailableResponse("too many calls wait for a core"));
  pending_.push_back(std::move(pending));
}

void PendingAcknowledgements::OnSnapshot(const registry::Snapshot& snapshot) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (!IsRecorded(*it, snapshot)) {
      ++it;
      continue;
    }
    const Reply reply = std::move(it->reply);
    it = pending_.erase(it);
    reply({});
  }
}

void PendingAcknowledgements::OnTick(Micros now) {
  while (!pending_.empty() && pending_.front().deadline <= now) {
    const Reply reply = std::move(pending_.front().reply);
    pending_.pop_front();
    reply(control::UnavailableResponse("no core has recorded the state yet"));
  }
}

}  // namespace fennelhollow::node
