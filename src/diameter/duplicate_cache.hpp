// What is remembered of requests, so that one that is sent again gets the outcome of the first and never a
// second run (RFC 6733, section 3: Origin-Host and end-to-end id name a request for four minutes at least).
// Decisions without I/O. Which requests it must hold on to is its owner's to say.
//
// Bounds: never more than `Limits::entries`, nor more than `Limits::bytes` of answers. With no room for an
// entry a new request is not begun; with no room for an answer the oldest answers go and their entries stay:
// their requests are known to be over, and what is sent again is told that much.
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

// Names a request. Host names compare without case (RFC 4343).
struct RequestKey {
  std::string host;  // Origin-Host, in lower case
  std::uint32_t end_to_end = 0;
  bool operator==(const RequestKey&) const = default;
};

// What has to be the same in a request that is sent again: command, application and every AVP but those that
// change on the way (Route-Record, Proxy-Info).
std::uint64_t DigestOf(const Message& request);

class DuplicateCache {
 public:
  // Where an answer is owed: a message of a peer's that names the request.
  struct Waiter {
    std::uint64_t connection = 0;
    std::uint32_t hop_by_hop = 0;
    std::string proxy_info;  // AVPs that go back as they came
  };
  struct Limits {
    std::size_t entries = 65'536;
    std::size_t bytes = std::size_t{16} << 20;
    Micros keep = 240'000'000;  // from the answer
    // Messages that wait for one request's answer; one more is turned away.
    std::size_t waiters = 4;
  };
  enum class Found {
    kNew,       // nothing is known of it
    kPending,   // it is under way: the message waits for its answer now
    kCrowded,   // it is under way, and too many wait for its answer
    kAnswered,  // it is over, see `Answer`; empty if that had to be given up
    kOther,     // the id is that of another request
  };

  explicit DuplicateCache(Limits limits) : limits_(limits) {}

  // What is known of a request that has come. With kPending the waiter has been taken. Where there is no room
  // for it, those go whose connection is not `alive` any more.
  Found Look(Micros now, const RequestKey& key, std::uint64_t digest, Waiter waiter,
             const std::function<bool(std::uint64_t connection)>& alive);
  // The AVPs of the answer and its header's flags, after kAnswered.
  std::optional<Message> Answer(const RequestKey& key) const;

  // Begins a request that is new. False if there is no room: it must not be sent on.
  bool Begin(Micros now, const RequestKey& key, std::uint64_t digest, Waiter waiter);
  // The request is over. Gives back who waits; the answer is kept if `keep`, and else the whole is forgotten.
  std::vector<Waiter> Finish(Micros now, const RequestKey& key, const Message& answer, bool keep);

  std::size_t entries() const { return entries_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Hash {
    std::size_t operator()(const RequestKey& key) const;
  };
  struct Entry {
    std::uint64_t digest = 0;
    std::vector<Waiter> waiters;
    bool over = false;
    bool has_answer = false;
    Message answer;
    Micros until = 0;
  };
  using Entries = std::unordered_map<RequestKey, Entry, Hash>;

  void Expire(Micros now);
  void DropAnswer(Entry& entry);

  const Limits limits_;
  Entries entries_;
  std::list<RequestKey> kept_;  // what is over, the oldest first: all are kept for the same time
  std::list<RequestKey>::iterator full_ = kept_.end();  // the oldest of them that still has its answer
  std::size_t bytes_ = 0;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_DUPLICATE_CACHE_HPP_
