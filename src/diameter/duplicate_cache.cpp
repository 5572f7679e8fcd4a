#include "diameter/duplicate_cache.hpp"

#include <utility>

#include "diameter/dictionary.hpp"

namespace merlinrun::diameter {
namespace {

// FNV-1a of 64 bits: it tells a slip of a client's from a resend; it is no guard against a forger, who would
// have to be a listed peer.
class Digest {
 public:
  void Add(std::string_view bytes) {
    for (const char c : bytes) value_ = (value_ ^ static_cast<std::uint8_t>(c)) * 0x100000001b3ULL;
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

}  // namespace

std::uint64_t DigestOf(const Message& request) {
  Digest digest;
  digest.Add(FromU32(request.header.command));
  digest.Add(FromU32(request.header.application));
  AvpReader reader(request.avps);
  while (const auto avp = reader.Next())
    if (!avp->Is(avp::kRouteRecord) && !avp->Is(avp::kProxyInfo)) digest.Add(avp->whole);
  return digest.value();
}

std::size_t DuplicateCache::Hash::operator()(const RequestKey& key) const {
  return std::hash<std::string>()(key.host) ^ key.end_to_end * 0x9e3779b97f4a7c15ULL;
}

void DuplicateCache::DropAnswer(Entry& entry) {
  if (!std::exchange(entry.has_answer, false)) return;
  bytes_ -= entry.answer.avps.size();
  entry.answer = {};
}

void DuplicateCache::Expire(Micros now) {
  while (!kept_.empty()) {
    const auto it = entries_.find(kept_.front());
    if (it->second.until > now) return;
    DropAnswer(it->second);
    entries_.erase(it);
    if (full_ == kept_.begin()) ++full_;
    kept_.pop_front();
  }
}

DuplicateCache::Found DuplicateCache::Look(Micros now, const RequestKey& key, std::uint64_t digest,
                                           Waiter waiter, const std::function<bool(std::uint64_t)>& alive) {
  Expire(now);
  const auto it = entries_.find(key);
  if (it == entries_.end()) return Found::kNew;
  Entry& entry = it->second;
  if (entry.digest != digest) return Found::kOther;
  if (entry.over) return Found::kAnswered;
  if (entry.waiters.size() >= limits_.waiters) {
    std::erase_if(entry.waiters, [&](const Waiter& w) { return !alive(w.connection); });
    if (entry.waiters.size() >= limits_.waiters) return Found::kCrowded;
  }
  entry.waiters.push_back(std::move(waiter));
  return Found::kPending;
}

std::optional<Message> DuplicateCache::Answer(const RequestKey& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end() || !it->second.has_answer) return std::nullopt;
  return it->second.answer;
}

bool DuplicateCache::Begin(Micros now, const RequestKey& key, std::uint64_t digest, Waiter waiter) {
  Expire(now);
  if (entries_.size() >= limits_.entries) return false;
  Entry entry;
  entry.digest = digest;
  entry.waiters.push_back(std::move(waiter));
  return entries_.emplace(key, std::move(entry)).second;
}

std::vector<DuplicateCache::Waiter> DuplicateCache::Finish(Micros now, const RequestKey& key,
                                                           const Message& answer, bool keep) {
  const auto it = entries_.find(key);
  if (it == entries_.end() || it->second.over) return {};
  Entry& entry = it->second;
  std::vector<Waiter> waiters = std::move(entry.waiters);
  if (!keep) {
    entries_.erase(it);
    return waiters;
  }
  entry.over = true;
  entry.waiters = {};
  entry.until = now + limits_.keep;
  entry.answer = answer;
  entry.has_answer = true;
  bytes_ += answer.avps.size();
  kept_.push_back(key);
  if (full_ == kept_.end()) full_ = std::prev(kept_.end());
  while (bytes_ > limits_.bytes && full_ != kept_.end()) DropAnswer(entries_.find(*full_++)->second);
  return waiters;
}

}  // namespace merlinrun::diameter
