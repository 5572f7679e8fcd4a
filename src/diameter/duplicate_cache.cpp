#include "diameter/duplicate_cache.hpp"

#include <utility>

#include "diameter/dictionary.hpp"

namespace merlinrun::diameter {
namespace {

// 64-bit FNV-1a. Tells an id that a client reused by mistake from a retransmission. It doesn't stop a
// forger, who would have to be a listed peer.
class Fnv1aHash {
 public:
  void Add(std::string_view bytes) {
    for (const char c : bytes) value_ = (value_ ^ static_cast<std::uint8_t>(c)) * 0x100000001b3ULL;
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

}  // namespace

std::uint64_t ComputeDigest(const Message& request) {
  Fnv1aHash digest;
  digest.Add(FromU32(request.header.command));
  digest.Add(FromU32(request.header.application));
  AvpReader reader(request.avps);
  while (const auto avp = reader.Next())
    if (!avp->Is(avp::kRouteRecord) && !avp->Is(avp::kProxyInfo)) digest.Add(avp->encoded);
  return digest.value();
}

std::size_t DuplicateCache::Hash::operator()(const RequestKey& key) const {
  return std::hash<std::string>()(key.host) ^ key.end_to_end * 0x9e3779b97f4a7c15ULL;
}

void DuplicateCache::DropAnswer(Entry& entry) {
  if (!std::exchange(entry.has_answer, false)) return;
  answer_bytes_ -= entry.answer.avps.size();
  entry.answer = {};
}

void DuplicateCache::Expire(Micros now) {
  while (!completed_.empty()) {
    const auto it = entries_.find(completed_.front());
    if (it->second.expires_at > now) return;
    DropAnswer(it->second);
    entries_.erase(it);
    if (oldest_answer_ == completed_.begin()) ++oldest_answer_;
    completed_.pop_front();
  }
}

DuplicateCache::LookupResult DuplicateCache::Lookup(Micros now, const RequestKey& key, std::uint64_t digest,
                                                    Waiter waiter,
                                                    const std::function<bool(std::uint64_t)>& alive) {
  Expire(now);
  const auto it = entries_.find(key);
  if (it == entries_.end()) return LookupResult::kNew;
  Entry& entry = it->second;
  if (entry.digest != digest) return LookupResult::kConflict;
  if (entry.completed) return LookupResult::kAnswered;
  if (entry.waiters.size() >= limits_.max_waiters) {
    std::erase_if(entry.waiters, [&](const Waiter& w) { return !alive(w.connection); });
    if (entry.waiters.size() >= limits_.max_waiters) return LookupResult::kTooManyWaiters;
  }
  entry.waiters.push_back(std::move(waiter));
  return LookupResult::kPending;
}

std::optional<Message> DuplicateCache::Answer(const RequestKey& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end() || !it->second.has_answer) return std::nullopt;
  return it->second.answer;
}

bool DuplicateCache::Begin(Micros now, const RequestKey& key, std::uint64_t digest, Waiter waiter) {
  Expire(now);
  if (entries_.size() >= limits_.max_entries) return false;
  Entry entry;
  entry.digest = digest;
  entry.waiters.push_back(std::move(waiter));
  return entries_.emplace(key, std::move(entry)).second;
}

std::vector<DuplicateCache::Waiter> DuplicateCache::Finish(Micros now, const RequestKey& key,
                                                           const Message& answer, bool keep) {
  const auto it = entries_.find(key);
  if (it == entries_.end() || it->second.completed) return {};
  Entry& entry = it->second;
  std::vector<Waiter> waiters = std::move(entry.waiters);
  if (!keep) {
    entries_.erase(it);
    return waiters;
  }
  entry.completed = true;
  entry.waiters = {};
  entry.expires_at = now + limits_.ttl;
  entry.answer = answer;
  entry.has_answer = true;
  answer_bytes_ += answer.avps.size();
  completed_.push_back(key);
  if (oldest_answer_ == completed_.end()) oldest_answer_ = std::prev(completed_.end());
  while (answer_bytes_ > limits_.max_answer_bytes && oldest_answer_ != completed_.end())
    DropAnswer(entries_.find(*oldest_answer_++)->second);
  return waiters;
}

}  // namespace merlinrun::diameter
