#include "mesh/node/pending_acknowledgements.hpp"

#include <cstddef>
#include <utility>

namespace fennelhollow::node {
namespace {

constexpr std::size_t kMaxPending = 64;

}  // namespace

void PendingAcknowledgements::Add(Micros now, const std::string& id, registry::State state, Reply reply) {
  if (is_recorded_(id, state)) return reply({});
  if (pending_.size() >= kMaxPending)
    return reply(control::UnavailableResponse("too many calls wait for the cores"));
  pending_.push_back({id, state, now + kRecordTimeout, std::move(reply)});
}

void PendingAcknowledgements::ReplyToRecorded() {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (!is_recorded_(it->id, it->state)) {
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
    reply(control::UnavailableResponse("too few cores have recorded the state yet"));
  }
}

}  // namespace fennelhollow::node
