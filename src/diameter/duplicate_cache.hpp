// Cache of requests for duplicate detection: a retransmitted request gets the answer of the first one and is
// never run twice (RFC 6733, section 3: Origin-Host and end-to-end id identify a request for at least four
// minutes). Does no I/O.
//
// At most `Limits::max_entries` entries and `Limits::max_answer_bytes` bytes of answers. Without room for an
// entry a new request is refused. Without room for an answer the oldest answers are dropped, but their
// entries stay, so that a retransmission is still recognized.
#ifndef MERLINRUN_DIAMETER_DUPLICATE_CACHE_HPP_
#define MERLINRUN_DIAMETER_DUPLICATE_CACHE_HPP_

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "diameter/codec.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun::diameter {

// Identifies a request. Host names compare without case (RFC 4343).
struct RequestKey {
  std::string host;  // Origin-Host, in lower case
  std::uint32_t end_to_end = 0;
  bool operator==(const RequestKey&) const = default;
};

// Digest of what must be equal in a retransmission: command, application and all AVPs except those that
// change on the way (Route-Record, Proxy-Info).
std::uint64_t ComputeDigest(const Message& request);

class DuplicateCache {
 public:
  // Where the answer has to be sent: identifies a received copy of the request.
  struct Waiter {
    std::uint64_t connection = 0;
    std::uint32_t hop_by_hop = 0;
    std::string proxy_info;  // Proxy-Info AVPs to return with the answer
  };
  struct Limits {
    std::size_t max_entries = 65'536;
    std::size_t max_answer_bytes = std::size_t{16} << 20;
    Micros ttl = 240'000'000;  // from completion
    // Copies of one request that may wait for its answer.
    std::size_t max_waiters = 4;
  };
  enum class LookupResult {
    kNew,             // not in the cache
    kPending,         // pending; the waiter has been added
    kTooManyWaiters,  // pending, and too many copies are waiting
    kAnswered,        // completed; `Answer` is empty if the answer was dropped
    kConflict,        // the key belongs to a different request
  };

  explicit DuplicateCache(Limits limits) : limits_(limits) {}

  // Looks up a received request. Waiters whose connection isn't `alive` are dropped if there are too many.
  LookupResult Lookup(Micros now, const RequestKey& key, std::uint64_t digest, Waiter waiter,
                      const std::function<bool(std::uint64_t connection)>& alive);
  // The answer after kAnswered, if it is still cached.
  std::optional<Message> Answer(const RequestKey& key) const;

  // Adds a new request. False if the cache is full: the request must not be forwarded.
  bool Begin(Micros now, const RequestKey& key, std::uint64_t digest, Waiter waiter);
  // Completes a request and returns its waiters. With `keep` the answer is cached, else the entry is removed.
  std::vector<Waiter> Finish(Micros now, const RequestKey& key, const Message& answer, bool keep);

  std::size_t entries() const { return entries_.size(); }
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  struct Hash {
    std::size_t operator()(const RequestKey& key) const;
  };
  struct Entry {
    std::uint64_t digest = 0;
    std::vector<Waiter> waiters;
    bool completed = false;
    bool has_answer = false;
    Message answer;
    Micros expires_at = 0;
  };
  using Entries = std::unordered_map<RequestKey, Entry, Hash>;

  void Expire(Micros now);
  void DropAnswer(Entry& entry);

  const Limits limits_;
  Entries entries_;
  std::list<RequestKey> completed_;  // completed requests, oldest first; all have the same TTL
  std::list<RequestKey>::iterator oldest_answer_ = completed_.end();  // oldest one that still has its answer
  std::size_t answer_bytes_ = 0;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_DUPLICATE_CACHE_HPP_
