// gossip: sidecars that know some others, a second way to the cores and a second way for a number
// (standard term: gossip, peer sampling by partial views as CYCLON does it). What travels here is advice: it
// decides nothing, and nothing here makes a request fail. Free of I/O; one thread; times are of one steady
// clock, in microseconds.
#ifndef FENNELHOLLOW_MESH_GOSSIP_VIEW_HPP_
#define FENNELHOLLOW_MESH_GOSSIP_VIEW_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.hpp"
#include "mesh/gossip/message.hpp"

namespace fennelhollow::gossip {

using merlinrun::Micros;

inline constexpr std::size_t kMaxNeighbours = 8;
inline constexpr std::size_t kExchangeSize = 4;  // in each direction; the asker is one of its own
inline constexpr std::size_t kMaxCoresPerMessage = 8;
inline constexpr std::size_t kMaxCandidates = 8;
inline constexpr std::size_t kMaxDatagramBytes = 1200;     // bytes
inline constexpr std::size_t kMaxNameBytes = 64;           // bytes; longer names are told cut
inline constexpr std::size_t kMaxSentPerSecond = 20;       // datagrams in any second
inline constexpr std::size_t kMaxResponsesPerSecond = 15;  // of these, so that own asks aren't starved
inline constexpr std::size_t kMaxReadPerSecond = 200;      // datagrams in any second that are looked into
inline constexpr Micros kCoreExpiry = 60'000'000;          // since somebody heard it first hand
inline constexpr Micros kEntryExpiry = 30'000'000;

class View {
 public:
  struct Settings {
    std::string name;
    std::string address;                  // its own UDP ip:port
    std::uint64_t seed = 1;               // of random numbers
    Micros shuffle_interval = 2'000'000;  // a shuffle, give or take a quarter
  };

  // Called from inside the view's functions; must not call back into it.
  class Sink {
   public:
    virtual ~Sink() = default;
    virtual void Send(const std::string& address, const std::string& bytes) = 0;
    // Cores (internal ip:port) of which others know and that are not heard first hand here, youngest first;
    // at most kMostCoresTold. With each datagram that tells of some.
    virtual void OnCores(const std::vector<std::string>& cores) = 0;
    // Somebody knows of a newer entry than this one has. With each datagram that says so.
    virtual void OnNewerEntry(std::uint64_t entry) = 0;
  };

  struct Candidate {
    std::string name;
    std::string address;  // UDP ip:port
  };

  struct Neighbour {
    std::string name;
    std::string address;
    Micros heard = 0;  // when somebody heard it first hand; the latest that is known here
  };

  struct Counters {
    std::uint64_t sent = 0, received = 0;
    std::uint64_t malformed = 0;   // dropped: can't be read
    std::uint64_t unexpected = 0;  // dropped: an answer to nothing that was asked
    std::uint64_t over_rate = 0;   // not sent, or not looked into
    std::uint64_t lost_neighbours = 0;
  };

  // `sink` must outlive the view.
  View(Settings settings, Sink& sink);

  // Sidecars that may be asked when neighbours are few, and now and then besides (which joins views that fell
  // apart). May be the whole listing: a few at random are kept, in place of those of before.
  void SetCandidates(const std::vector<Candidate>& sidecars);
  // What is in force here, and the cores heard first hand just now; each time it has been looked up, at least
  // every second.
  void SetLocalState(Micros now, std::uint64_t entry, const std::vector<std::string>& cores);
  // `from`: the ip:port it came from.
  void OnDatagram(Micros now, const std::string& from, std::string_view bytes);
  // Every 50 to 100 ms.
  void OnTick(Micros now);

  const std::vector<Neighbour>& neighbours() const { return neighbours_; }
  const Counters& counters() const { return counters_; }

 private:
  static constexpr Micros kNever = INT64_MIN / 4;
  struct Asked {
    std::string address;
    std::uint64_t number = 0;
    Micros first = 0, at = 0;
    int times = 1;
    std::vector<std::string> told;  // neighbours that may make room for what the answer tells of
  };

  Neighbour* Find(const std::string& address);
  std::vector<PeerRecord> Some(Micros now, const std::string& but, std::size_t most);
  std::vector<PeerRecord> CoresToTell(Micros now) const;
  Message Base(Micros now, Kind kind, std::uint64_t number) const;
  void Shuffle(Micros now);
  void Ask(Micros now);
  void Trim(Micros now);
  std::vector<std::string> Answer(Micros now, const std::string& to, std::uint64_t number, std::size_t size);
  void GiveUp(Micros now);
  // Takes in what was told; `room`: addresses that go first when the view is full.
  void Merge(Micros now, const std::string& from, const Message& message, std::vector<std::string> room);
  void TakeAdvice(Micros now, const Message& message);
  bool MaySend(Micros now, std::size_t most);

  const Settings settings_;
  Sink& sink_;
  merlinrun::Random random_;
  std::vector<Neighbour> neighbours_;
  std::vector<Candidate> candidates_;
  std::optional<Asked> asked_;
  struct Lost {
    std::string address;
    Micros asked;
  };
  std::deque<Lost> lost_;  // asked in vain: what others heard of them before that is not taken
  struct KnownCore {
    Micros heard = 0;  // first hand, by somebody
    Micros heard_here = kNever;
  };
  std::map<std::string, KnownCore> cores_;
  std::uint64_t entry_ = 0;  // in force here
  std::uint64_t newer_ = 0;  // known second hand
  Micros newer_heard_ = kNever;
  std::uint64_t drawn_ = 0, shuffles_ = 0;
  Micros shuffle_at_ = kNever, ticked_ = kNever;
  std::deque<Micros> sent_;
  Micros reads_since_ = kNever;
  std::size_t reads_ = 0;
  Counters counters_;
};

}  // namespace fennelhollow::gossip

#endif  // FENNELHOLLOW_MESH_GOSSIP_VIEW_HPP_
