#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

#include "rig/mesh/http.hpp"
#include "rig/soak/task_group.hpp"

namespace fennelhollow::rig::soak {
namespace {

asio::awaitable<void> SleepThenFail(asio::io_context& io) {
  co_await Sleep(io, milliseconds(1));
  throw std::runtime_error("no such file");
}

asio::awaitable<void> SleepThenCount(asio::io_context& io, int& ended) {
  co_await Sleep(io, milliseconds(20));
  ++ended;
}

// Guards against a soak run that waits without end for a task that an exception has ended.
TEST_CASE("a task that throws is a violation and no longer waited for, the others are") {
  asio::io_context io;
  ConsistencyChecker checker;
  TaskGroup tasks(io, checker);
  int ended = 0;
  tasks.Spawn("a fault", SleepThenFail(io));
  tasks.Spawn("a restart", SleepThenCount(io, ended));
  CHECK(tasks.running() == 2);
  bool waited = false;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        co_await tasks.Wait();
        waited = ended == 1;
      },
      asio::detached);
  io.run();
  CHECK(waited);
  CHECK(tasks.running() == 0);
  REQUIRE(checker.violations().size() == 1);
  CHECK(checker.violations()[0] == "a fault ended with an exception: no such file");
}

}  // namespace
}  // namespace fennelhollow::rig::soak
