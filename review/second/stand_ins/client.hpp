// Stand-in of the clients on one machine: they keep connections to its sidecar, give each try an id of its
// own, tell how long they wait, and heed Retry-After.
#ifndef SECOND_REVIEW_STAND_INS_CLIENT_HPP_
#define SECOND_REVIEW_STAND_INS_CLIENT_HPP_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "rig/mesh/http.hpp"

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using fennelhollow::rig::Address;
using fennelhollow::rig::Clock;
using fennelhollow::rig::milliseconds;
using fennelhollow::rig::Request;
using fennelhollow::rig::Response;

// An id that no other try of this run has.
std::string NewAttemptId();

struct Call {
  std::string host = {}, path = {}, key = {};  // no key: none is sent
  bool unsafe = false;
  milliseconds deadline{2500};
  int further_tries = 2;  // retries of the classes in coastline-fennel.toml
};

struct Try {
  std::string id;
  Clock::time_point sent;
  int status = 0;  // 0: no complete answer in time
  std::string seal;
  std::string body;
};

class Client {
 public:
  Client(asio::io_context& io, Address sidecar) : io_(io), sidecar_(sidecar) {}
  // Sends a request, and again on a new connection: after a promise that it has not run, and if it may be
  // repeated after any failure. `on_try` is called for each try that has ended. Returns the
  // last.
  asio::awaitable<Try> Send(Call call, std::function<void(const Try&)> on_try);

 private:
  using Connection = fennelhollow::rig::HttpConnection;
  asio::awaitable<Try> SendOnce(const Call& call, milliseconds left, bool fresh, milliseconds& retry_after);
  asio::io_context& io_;
  const Address sidecar_;
  struct Idle {
    std::shared_ptr<Connection> connection;
    Clock::time_point since;
  };
  std::deque<Idle> idle_;  // most recently used last
};

}  // namespace review

#endif  // SECOND_REVIEW_STAND_INS_CLIENT_HPP_
