// Sees every request, every execution and every answer of a run, and says which of the four rules was broken.
// It is told; it asks nobody. One ledger for all stand-ins of a run; times are microseconds of one clock.
#ifndef MERLINRUN_RIG_LEDGER_HPP_
#define MERLINRUN_RIG_LEDGER_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::rig {

// A class of requests as the stand-ins know it.
struct WorkClass {
  std::string name;
  RetrySafety repeat = RetrySafety::kSafe;
  Micros work = 10'000;  // on a core of a server
  Micros deadline = 2'000'000;
  int share = 1;  // of the requests, in proportion to the others'
};

class Ledger {
 public:
  enum class Outcome { kServed, kRefused, kFailed };
  struct Row {  // a class's, or all
    std::uint64_t asked = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t left = 0;     // whose client died before the answer
    std::uint64_t ran = 0;      // executions that were begun
    std::vector<Micros> times;  // of what was served
    Micros Quantile(double q) const;
  };

  // A client sends a request for the first time. It is owed one answer until `now + deadline`.
  void Asked(const std::string& id, const WorkClass& its_class, Micros now);
  // The same request is sent once more by the same client: still one outcome, and one answer to each message.
  void AskedAgain(const std::string& id);
  // The client died: what it had asked is owed no answer on the connection that went with it.
  void ClientDied(const std::string& id);
  // What a client was told. `token` is what its answer held.
  void Answered(const std::string& id, Outcome outcome, const std::string& token, Micros now);

  // A server begins a request, for which its answer will hold `token`; a repeat that it drops is not begun.
  void Began(const std::string& id, const std::string& server, const std::string& token, Micros now);
  // It has ended, or its server died with it.
  void Ended(const std::string& id);
  // A request arrived at a server, whether it is begun, queued or declined.
  void Arrived(const std::string& server, Micros now);
  // The sidecar has been told that a server drains or is gone; it is back under the same name from `Listed`
  // on.
  void Told(const std::string& server, Micros now);
  void Listed(const std::string& server) { told_.erase(server); }
  // A server that had just started was sent more than it can bear.
  void FellOver(const std::string& server);

  // What is still owed. At the end of a run nothing may be.
  std::vector<std::string> Owed(Micros now) const;
  // What was broken, a line each, at most kMostLines of them; empty if nothing was.
  const std::vector<std::string>& broken() const { return broken_; }
  std::uint64_t broken_count() const { return broken_count_; }
  std::map<std::string, Row> Rows() const;

 private:
  struct Entry {
    WorkClass its_class;
    Micros asked = 0;
    int owed = 1;
    bool left = false;
    int running = 0;
    std::vector<std::string> tokens;  // of its executions
    std::vector<Outcome> outcomes;
    std::string served;
    Micros took = 0;
  };
  void Break(int rule, const std::string& what);

  // From the deadline on, for a busy machine; the platform gives 50 ms.
  static constexpr Micros kLateGrace = 250'000;
  static constexpr Micros kDrainGrace = 550'000;  // the rule's 500 ms, and the platform's 50
  static constexpr std::size_t kMostLines = 20;
  std::unordered_map<std::string, Entry> entries_;
  std::unordered_map<std::string, Micros> told_;
  std::vector<std::string> broken_;
  std::uint64_t broken_count_ = 0;
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_LEDGER_HPP_
