// Reads a core's events for as long as it answers, then the next core's (standard term: watch client).
#ifndef FENNELHOLLOW_TOOLS_MESH_FOLLOWER_HPP_
#define FENNELHOLLOW_TOOLS_MESH_FOLLOWER_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tools/mesh/http_client.hpp"

namespace fennelhollow::tools {

struct FollowerSettings {
  std::vector<Tcp::endpoint> cores;    // one or more
  std::uint64_t epoch = 0, since = 0;  // where to begin at the core that answers first
  bool once = false;                   // what is held now, then the end
  milliseconds wait{10'000};           // that a core is asked to wait for something newer
  milliseconds first_pause{100};       // after a core that failed; doubles while none answers
  milliseconds most_pause{2000};
  HttpLimits http;  // `wait` is added to its time for an answer
};

// Each core counts for itself (`feedEpoch` says which count a number is of), so after a move to another all
// that it holds is told, unless it was read before: then from there on. Lines besides the events':
// {"kind":"following",...} at each move, and
// {"kind":"lost",...} for events that nobody can tell any more.
class Follower : public std::enable_shared_from_this<Follower> {
 public:
  struct Sink {
    std::function<void(std::string line)> line;     // JSON, without its end
    std::function<void(std::string line)> trouble;  // plain
    std::function<void(bool answered)> done;        // with `once` alone; false: no core did
  };
  static std::shared_ptr<Follower> Start(asio::io_context& io, FollowerSettings settings, Sink sink);

 private:
  struct Position {
    std::uint64_t epoch = 0, since = 0;
  };
  Follower(asio::io_context& io, FollowerSettings settings, Sink sink);
  void Ask();
  // False: the answer makes no sense.
  bool Take(const std::string& body, std::size_t& events);
  void Fail(const std::string& trouble);
  void AskLater();

  asio::io_context& io_;
  const FollowerSettings settings_;
  const Sink sink_;
  asio::steady_timer timer_;
  milliseconds pause_;
  std::size_t at_ = 0;
  std::size_t failed_ = 0;  // cores in a row
  bool following_ = false;  // the one at at_ has answered since the last move
  bool begun_ = false;      // some core has answered
  std::vector<Position> positions_;
};

}  // namespace fennelhollow::tools

#endif  // FENNELHOLLOW_TOOLS_MESH_FOLLOWER_HPP_
